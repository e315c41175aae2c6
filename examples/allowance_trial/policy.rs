//! What a way to enforce allowances is asked and told.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use limpetdeck::lists::Allowance;

/// Instances of the fleet.
pub const INSTANCES: usize = 18;
/// Instances on the larger side of a cut.
pub const LARGER_SIDE: usize = 12;
/// Customers that open flows.
pub const CUSTOMERS: usize = 20;
/// Bytes that a control message has beside its contents: IPv4, UDP and the seal.
pub const MESSAGE_OVERHEAD: u64 = 28 + 40;
/// Time after which an instance that is silent counts as dead.
pub const DETECTION: Duration = Duration::from_secs(2);

/// One flow.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    /// Number of the flow, never used again.
    pub number: u32,
    /// Customer that opens it.
    pub customer: usize,
    /// The caller is on the smaller side of the cut.
    pub smaller_side: bool,
}

impl Flow {
    /// Returns an address and port that no other flow has.
    pub fn caller(&self) -> SocketAddrV4 {
        let [_, a, b, c] = self.number.to_be_bytes();
        let ip = Ipv4Addr::new(10, 100 + self.customer as u8, a, b);
        SocketAddrV4::new(ip, 1_024 + u16::from(c))
    }
}

/// The answer to a first packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The flow is open.
    Admitted,
    /// The caller got a reset.
    Refused,
    /// Nothing came back: the packet went to a dead instance.
    Lost,
}

/// Which instances can reach each other.
#[derive(Debug, Clone, Default)]
pub struct Network {
    /// Instance that is dead.
    pub dead: Option<usize>,
    /// The two sides cannot reach each other.
    pub cut: bool,
}

impl Network {
    /// Tells whether two instances reach each other.
    pub fn joins(&self, a: usize, b: usize) -> bool {
        self.alive(a) && self.alive(b) && (!self.cut || (a < LARGER_SIDE) == (b < LARGER_SIDE))
    }

    /// Tells whether an instance is alive.
    pub fn alive(&self, instance: usize) -> bool {
        self.dead != Some(instance)
    }

    /// Returns the instances that one reaches, itself among them.
    pub fn reached(&self, from: usize) -> Vec<usize> {
        (0..INSTANCES).filter(|&to| self.joins(from, to)).collect()
    }
}

/// A way to enforce allowances.
pub trait Policy: std::fmt::Debug {
    /// Returns the name of the way.
    fn name(&self) -> &'static str;
    /// Takes the first packet of a flow at an instance.
    fn open(&mut self, now: Duration, flow: Flow, at: usize) -> Answer;
    /// Takes an answer of the flow's target at an instance.
    fn answer(&mut self, _now: Duration, _flow: Flow, _at: usize) {}
    /// Takes the end of a flow at an instance; answers whether anybody got it.
    fn end(&mut self, now: Duration, flow: Flow, at: usize) -> bool;
    /// Advances time by a tenth of a second.
    fn tick(&mut self, _now: Duration) {}
    /// Notes what has just become of the network; instances find out later.
    fn changed(&mut self, now: Duration, network: &Network);
    /// Takes what the instances know of the network from now on.
    fn detected(&mut self, _now: Duration, _network: &Network) {}
    /// Returns the instance whose death hurts most.
    fn weakest(&self) -> usize {
        0
    }
    /// Returns the control bytes that all instances have sent.
    fn control_bytes(&self) -> u64 {
        0
    }
}

/// Returns the allowance of every customer.
pub fn allowance(max_open_flows: u32, max_new_flows_per_s: u32) -> Allowance {
    Allowance { max_open_flows, max_new_flows_per_s }
}

//! Credits leased from a holder: an instance asks for a few at a time.

use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::lists::Allowance;

use crate::fixed::Bucket;
use crate::policy::{Answer, CUSTOMERS, Flow, INSTANCES, MESSAGE_OVERHEAD, Network, Policy};

/// Credits that are leased at once.
const LEASE: u32 = 4;
/// Bytes of one request or answer beside the overhead.
const ENTRY: u64 = 8;
/// Time after which the credits of a dead instance go back to the holder.
const LAPSE: Duration = Duration::from_secs(10);

/// Credits of all instances.
#[derive(Debug)]
pub struct Credits {
    allowance: Allowance,
    /// Credits that each instance holds, in use or not.
    held: Vec<[u32; CUSTOMERS]>,
    used: Vec<[u32; CUSTOMERS]>,
    buckets: Vec<[Bucket; CUSTOMERS]>,
    admitted_at: HashMap<u32, usize>,
    network: Network,
    known: Network,
    /// When the credits of a dead instance lapse.
    lapse: Option<Duration>,
    bytes: u64,
}

impl Credits {
    /// Makes credits that the holder has.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            held: vec![[0; CUSTOMERS]; INSTANCES],
            used: vec![[0; CUSTOMERS]; INSTANCES],
            buckets: vec![[Bucket::default(); CUSTOMERS]; INSTANCES],
            admitted_at: HashMap::default(),
            network: Network::default(),
            known: Network::default(),
            lapse: None,
            bytes: 0,
        }
    }

    /// The instance that ranks first among those that an instance knows.
    fn holder(&self, of: usize) -> usize {
        self.known.reached(of).first().copied().unwrap_or(of)
    }

    fn lease(&mut self, at: usize, customer: usize) {
        let holder = self.holder(at);
        self.bytes += MESSAGE_OVERHEAD + ENTRY;
        if !self.network.joins(at, holder) {
            return;
        }
        self.bytes += MESSAGE_OVERHEAD + ENTRY;
        let counted = |i: &usize| self.known.joins(holder, *i) || self.known.dead == Some(*i);
        let held: u32 = (0..INSTANCES).filter(counted).map(|i| self.held[i][customer]).sum();
        let left = self.allowance.max_open_flows.saturating_sub(held);
        self.held[at][customer] += left.min(LEASE);
    }
}

impl Policy for Credits {
    fn name(&self) -> &'static str {
        "credits"
    }

    /// A request takes about a millisecond, so the first packet waits for its answer.
    fn open(&mut self, now: Duration, flow: Flow, at: usize) -> Answer {
        let customer = flow.customer;
        if self.used[at][customer] >= self.held[at][customer] {
            self.lease(at, customer);
        }
        let per_second = f64::from(self.allowance.max_new_flows_per_s) / INSTANCES as f64;
        if self.used[at][customer] >= self.held[at][customer]
            || !self.buckets[at][customer].take(now, per_second)
        {
            return Answer::Refused;
        }
        self.used[at][customer] += 1;
        self.admitted_at.insert(flow.number, at);
        Answer::Admitted
    }

    fn end(&mut self, _now: Duration, flow: Flow, _at: usize) -> bool {
        let customer = flow.customer;
        let Some(at) = self.admitted_at.remove(&flow.number) else { return true };
        self.used[at][customer] = self.used[at][customer].saturating_sub(1);
        let idle = self.held[at][customer] - self.used[at][customer].min(self.held[at][customer]);
        if idle > LEASE {
            self.held[at][customer] -= LEASE;
            self.bytes += MESSAGE_OVERHEAD + ENTRY;
        }
        true
    }

    fn tick(&mut self, now: Duration) {
        if self.lapse.is_some_and(|lapse| now >= lapse) {
            self.lapse = None;
            if let Some(dead) = self.network.dead {
                self.held[dead] = [0; CUSTOMERS];
            }
        }
    }

    fn changed(&mut self, now: Duration, network: &Network) {
        self.network = network.clone();
        self.lapse = network.dead.map(|_| now + LAPSE);
    }

    fn detected(&mut self, _now: Duration, network: &Network) {
        self.known = network.clone();
    }

    fn control_bytes(&self) -> u64 {
        self.bytes
    }
}

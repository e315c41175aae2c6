//! The naive way: each instance has an equal and fixed share of every allowance.

use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::lists::Allowance;

use crate::policy::{Answer, CUSTOMERS, Flow, INSTANCES, Network, Policy};

/// A token bucket that holds the tokens of half a second, but at least one.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bucket {
    taken: f64,
    at: Duration,
}

impl Bucket {
    /// Takes a token if there is one.
    pub fn take(&mut self, now: Duration, per_second: f64) -> bool {
        let passed = (now - self.at).as_secs_f64();
        self.at = now;
        self.taken = (self.taken - passed * per_second).max(0.0);
        let free = self.taken + 1.0 <= (per_second / 2.0).max(1.0);
        self.taken += f64::from(u8::from(free));
        free
    }
}

/// Equal shares, and the instance that admitted each flow.
#[derive(Debug)]
pub struct Fixed {
    allowance: Allowance,
    open: Vec<[u32; CUSTOMERS]>,
    buckets: Vec<[Bucket; CUSTOMERS]>,
    admitted_at: HashMap<u32, usize>,
}

impl Fixed {
    /// Makes the shares.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            open: vec![[0; CUSTOMERS]; INSTANCES],
            buckets: vec![[Bucket::default(); CUSTOMERS]; INSTANCES],
            admitted_at: HashMap::default(),
        }
    }
}

impl Policy for Fixed {
    fn name(&self) -> &'static str {
        "fixed"
    }

    fn open(&mut self, now: Duration, flow: Flow, at: usize) -> Answer {
        let share = |all: u32| f64::from(all) / INSTANCES as f64;
        let open = &mut self.open[at][flow.customer];
        let per_second = share(self.allowance.max_new_flows_per_s);
        if f64::from(*open + 1) > share(self.allowance.max_open_flows).ceil()
            || !self.buckets[at][flow.customer].take(now, per_second)
        {
            return Answer::Refused;
        }
        *open += 1;
        self.admitted_at.insert(flow.number, at);
        Answer::Admitted
    }

    /// The end reaches the instance that counts the flow as data, wherever it enters.
    fn end(&mut self, _now: Duration, flow: Flow, _at: usize) -> bool {
        if let Some(at) = self.admitted_at.remove(&flow.number) {
            self.open[at][flow.customer] -= 1;
        }
        true
    }

    fn changed(&mut self, _now: Duration, _network: &Network) {}
}

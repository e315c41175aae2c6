//! Shares by demand: a coordinator divides what is left once a second.

use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::lists::Allowance;

use crate::fixed::Bucket;
use crate::policy::{Answer, CUSTOMERS, Flow, INSTANCES, MESSAGE_OVERHEAD, Network, Policy};

/// Bytes for each customer in a report or an answer.
const ENTRY: u64 = 6;
/// Time between two reports.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Part of the demand that is still counted after the next report.
const FADE: f64 = 0.9;

/// What one instance knows and counts.
#[derive(Debug, Clone, Default)]
struct Member {
    open: [u32; CUSTOMERS],
    asked: [f64; CUSTOMERS],
    share: [f64; CUSTOMERS],
    rate: [f64; CUSTOMERS],
    buckets: [Bucket; CUSTOMERS],
}

/// Shares that follow the demand.
#[derive(Debug)]
pub struct Demand {
    allowance: Allowance,
    members: Vec<Member>,
    admitted_at: HashMap<u32, usize>,
    network: Network,
    known: Network,
    next_report: Duration,
    bytes: u64,
}

impl Demand {
    /// Makes equal shares.
    pub fn new(allowance: Allowance) -> Self {
        let share = |all: u32| [f64::from(all) / INSTANCES as f64; CUSTOMERS];
        let member = Member {
            share: share(allowance.max_open_flows),
            rate: share(allowance.max_new_flows_per_s),
            ..Member::default()
        };
        Self {
            allowance,
            members: vec![member; INSTANCES],
            admitted_at: HashMap::default(),
            network: Network::default(),
            known: Network::default(),
            next_report: Duration::ZERO,
            bytes: 0,
        }
    }

    /// Divides the allowances among the instances that report to one coordinator.
    fn divide(&mut self, group: &[usize]) {
        for customer in 0..CUSTOMERS {
            let open: u32 = group.iter().map(|&i| self.members[i].open[customer]).sum();
            let left = f64::from(self.allowance.max_open_flows.saturating_sub(open));
            let weight = |member: &Member| member.asked[customer] + 0.5;
            let all: f64 = group.iter().map(|&i| weight(&self.members[i])).sum();
            for &i in group {
                let member = &mut self.members[i];
                let part = weight(member) / all;
                member.share[customer] = f64::from(member.open[customer]) + left * part;
                member.rate[customer] = f64::from(self.allowance.max_new_flows_per_s) * part;
            }
        }
        for &i in group {
            self.members[i].asked = self.members[i].asked.map(|asked| asked * FADE);
        }
        let messages = 2 * (group.len() as u64).saturating_sub(1);
        self.bytes += messages * (MESSAGE_OVERHEAD + ENTRY * CUSTOMERS as u64);
    }
}

impl Policy for Demand {
    fn name(&self) -> &'static str {
        "demand"
    }

    fn open(&mut self, now: Duration, flow: Flow, at: usize) -> Answer {
        let customer = flow.customer;
        let member = &mut self.members[at];
        member.asked[customer] += 1.0;
        let per_second = member.rate[customer];
        if f64::from(member.open[customer] + 1) > member.share[customer]
            || !member.buckets[customer].take(now, per_second)
        {
            return Answer::Refused;
        }
        member.open[customer] += 1;
        self.admitted_at.insert(flow.number, at);
        Answer::Admitted
    }

    fn end(&mut self, _now: Duration, flow: Flow, _at: usize) -> bool {
        if let Some(at) = self.admitted_at.remove(&flow.number) {
            self.members[at].open[flow.customer] -= 1;
        }
        true
    }

    fn tick(&mut self, now: Duration) {
        // Until the change is noticed, the reports find no coordinator.
        let settled = self.known.dead == self.network.dead && self.known.cut == self.network.cut;
        if now < self.next_report || !settled {
            return;
        }
        self.next_report = now + REPORT_EVERY;
        let first = self.network.reached(0);
        let rest: Vec<_> =
            (0..INSTANCES).filter(|i| self.network.alive(*i) && !first.contains(i)).collect();
        for group in [first, rest] {
            if !group.is_empty() {
                self.divide(&group);
            }
        }
    }

    fn changed(&mut self, _now: Duration, network: &Network) {
        self.network = network.clone();
    }

    fn detected(&mut self, _now: Duration, network: &Network) {
        self.known = network.clone();
    }

    fn weakest(&self) -> usize {
        INSTANCES - 1
    }

    fn control_bytes(&self) -> u64 {
        self.bytes
    }
}

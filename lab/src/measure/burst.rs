//! A customer that opens far more flows than its plan allows, beside one that keeps to it.

use std::net::SocketAddrV4;
use std::time::Duration;

use limpetdeck::lists::rules::{
    ALLOWANCES, PLANS, RawAllowance, RawAllowances, RawCustomer, RawPlan, RawPlans,
};

use super::figures::Figures;
use super::traffic::{End, Kind};
use super::world::World;

/// Open flows that the bursting customer may have at one service.
const MAX_OPEN: u32 = 600;
/// Flows that it may open in a second.
const MAX_NEW: u32 = 100;
/// Flows that it tries to open in a second.
const TRIES: u32 = 300;
/// Time for which it tries.
const LASTS: Duration = Duration::from_secs(16);
/// Flows that the steady customer opens in a second: four fifths of what it may.
const STEADY_NEW: u32 = 80;
/// Flows that the steady customer may open in a second.
const STEADY_MAX_NEW: u32 = 100;
/// Time that a flow of the steady customer stays open.
const STEADY_OPEN: Duration = Duration::from_secs(5);
/// Open flows that the steady customer may have: its 400 are less than nine tenths.
const STEADY_MAX_OPEN: u32 = 500;
/// What other customers may have: more than they will use.
const PLENTY: u32 = 1_000_000;
/// Time at the beginning in which saved allowances may be used up.
const SAVED: Duration = Duration::from_secs(2);

/// What is counted about a burst.
#[derive(Debug, Default)]
pub struct Burst {
    began: Option<Duration>,
    /// Flows of the bursting customer that were let in, by second since it began.
    admitted: Vec<u32>,
    /// Most open flows of the bursting customer.
    most_open: usize,
    /// Flows of all other customers.
    others: u64,
    /// Refused flows of all other customers.
    others_refused: u64,
}

impl Burst {
    /// Tells whether the burst has begun.
    pub fn began(&self) -> bool {
        self.began.is_some()
    }

    /// Notes a flow that was opened or refused.
    pub fn note(&mut self, now: Duration, kind: Kind, end: Option<End>) {
        let Some(began) = self.began else { return };
        let refused = end == Some(End::Refused);
        match (kind, end) {
            (Kind::Burst, None) => {
                let second = now.saturating_sub(began).as_secs() as usize;
                self.admitted.resize(self.admitted.len().max(second + 1), 0);
                self.admitted[second] += 1;
            }
            (Kind::Burst, Some(_)) => {}
            (_, None) => self.others += 1,
            (_, Some(_)) => {
                self.others += u64::from(refused);
                self.others_refused += u64::from(refused);
            }
        }
    }

    /// Notes how many flows of the bursting customer are open.
    pub fn note_open(&mut self, open: usize) {
        self.most_open = self.most_open.max(open);
    }

    /// Gives the results to the figures.
    pub fn finish(&self, f: &mut Figures) {
        if self.began.is_none() {
            return;
        }
        let steady = self.admitted.iter().skip(SAVED.as_secs() as usize);
        let fastest = steady.max().copied().unwrap_or(0);
        let open = self.most_open as f64 / f64::from(MAX_OPEN) - 1.0;
        let rate = f64::from(fastest) / f64::from(MAX_NEW) - 1.0;
        f.overshoot = Some(open.max(rate).max(0.0));
        f.wrong_refusals = Some(self.others_refused as f64 / self.others.max(1) as f64);
    }
}

/// Writes the lists that the burst is held against.
pub fn write_lists(world: &mut World) {
    let plan = |name: &str, service: &str, max_open_flows, max_new_flows_per_s| RawPlan {
        name: name.to_owned(),
        services: service
            .split(' ')
            .map(|service| RawAllowance {
                service: service.to_owned(),
                max_open_flows,
                max_new_flows_per_s,
            })
            .collect(),
    };
    let customer = |name: &str, octet: u8| RawCustomer {
        name: name.to_owned(),
        plan: name.to_owned(),
        prefixes: vec![format!("{octet}.0.0.0/8")],
    };
    let all = world.service_names();
    let first = all.split(' ').next().unwrap_or_default().to_owned();
    let allowances = RawAllowances {
        plans: vec![
            plan("feeds", &all, PLENTY, PLENTY),
            plan("sales", &all, PLENTY, PLENTY),
            plan("bursting", &first, MAX_OPEN, MAX_NEW),
            plan("steady", &first, STEADY_MAX_OPEN, STEADY_MAX_NEW),
        ],
    };
    let kinds = [Kind::Feed, Kind::Sale, Kind::Burst, Kind::Steady];
    let names = ["feeds", "sales", "bursting", "steady"];
    let customers = names.into_iter().zip(kinds);
    let customers = customers.map(|(name, kind)| customer(name, kind.octet())).collect();
    let lists = [
        (ALLOWANCES, serde_json::to_value(allowances)),
        (PLANS, serde_json::to_value(RawPlans { customers })),
    ];
    for (name, value) in lists {
        // The store has no such object yet, so the write cannot conflict.
        let _ = world.platform.store.put(name, None, value.unwrap_or_default());
    }
}

/// Begins the burst and the steady customer's flows.
pub fn begin(world: &mut World) {
    let Some(service) = world.first_service() else { return };
    world.burst.began = Some(world.now);
    for i in 0..TRIES * LASTS.as_secs() as u32 {
        let after = Duration::from_secs(1).mul_f64(f64::from(i) / f64::from(TRIES));
        world.later(after, move |world| {
            world.open_at(Kind::Burst, service);
        });
    }
    for i in 0..STEADY_NEW * LASTS.as_secs() as u32 {
        let after = Duration::from_secs(1).mul_f64(f64::from(i) / f64::from(STEADY_NEW));
        world.later(after, move |world| open_for_a_while(world, service));
    }
}

fn open_for_a_while(world: &mut World, service: SocketAddrV4) {
    let index = world.open_at(Kind::Steady, service);
    world.later(STEADY_OPEN, move |world| world.close(index));
}

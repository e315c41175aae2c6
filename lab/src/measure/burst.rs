//! A customer that opens far more flows than its plan allows, beside one that keeps to it.

use std::net::SocketAddrV4;
use std::time::Duration;

use limpetdeck::lists::rules::{
    ALLOWANCES, PLANS, RawAllowance, RawAllowances, RawCustomer, RawPlan, RawPlans,
};

use super::burst_count::{MAX_NEW, MAX_OPEN};
use super::traffic::Kind;
use super::world::World;

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
    world.burst.begin(world.now);
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

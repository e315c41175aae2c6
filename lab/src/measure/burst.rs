//! A customer that opens far more flows than its plan allows, beside one within its plan.

use std::net::SocketAddrV4;
use std::time::Duration;

use limpetdeck::lists::rules::{
    ALLOWANCES_OBJECT_NAME, PLANS_OBJECT_NAME, RawAllowance, RawAllowances, RawCustomer, RawPlan,
    RawPlans,
};

use super::burst_stats::{MAX_NEW_FLOWS_PER_S, MAX_OPEN_FLOWS};
use super::simulation::Simulation;
use super::traffic::FlowKind;

/// Flows per second that the bursting customer tries to open.
const ATTEMPTS_PER_S: u32 = 300;
/// Duration of the burst.
const BURST_DURATION: Duration = Duration::from_secs(16);
/// Flows per second that the steady customer opens: four fifths of its allowance.
const STEADY_NEW_FLOWS_PER_S: u32 = 80;
/// New flows per second that the steady customer's plan allows.
const STEADY_MAX_NEW_FLOWS_PER_S: u32 = 100;
/// Time for which a flow of the steady customer stays open.
const STEADY_FLOW_DURATION: Duration = Duration::from_secs(5);
/// Open flows that the steady customer's plan allows; it has 400, under nine tenths.
const STEADY_MAX_OPEN_FLOWS: u32 = 500;
/// Allowance of the other customers: more than they use.
const UNLIMITED: u32 = 1_000_000;

/// Writes the plans and allowances that limit the burst.
pub fn write_lists(sim: &mut Simulation) {
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
    let customer = |name: &str, first_octet: u8| RawCustomer {
        name: name.to_owned(),
        plan: name.to_owned(),
        prefixes: vec![format!("{first_octet}.0.0.0/8")],
    };
    let all_services = sim.service_names();
    let first_service = all_services.split(' ').next().unwrap_or_default().to_owned();
    let allowances = RawAllowances {
        plans: vec![
            plan("feeds", &all_services, UNLIMITED, UNLIMITED),
            plan("sales", &all_services, UNLIMITED, UNLIMITED),
            plan("bursting", &first_service, MAX_OPEN_FLOWS, MAX_NEW_FLOWS_PER_S),
            plan("steady", &first_service, STEADY_MAX_OPEN_FLOWS, STEADY_MAX_NEW_FLOWS_PER_S),
        ],
    };
    let kinds = [FlowKind::Feed, FlowKind::Sale, FlowKind::Burst, FlowKind::Steady];
    let names = ["feeds", "sales", "bursting", "steady"];
    let customers = names.into_iter().zip(kinds);
    let customers = customers.map(|(name, kind)| customer(name, kind.first_octet())).collect();
    let lists = [
        (ALLOWANCES_OBJECT_NAME, serde_json::to_value(allowances)),
        (PLANS_OBJECT_NAME, serde_json::to_value(RawPlans { customers })),
    ];
    for (name, value) in lists {
        // The store has no such object yet, so the write cannot conflict.
        let _ = sim.platform.store.put(name, None, value.unwrap_or_default());
    }
}

/// Starts the burst and the steady customer's flows.
pub fn inject(sim: &mut Simulation) {
    let Some(service) = sim.first_service() else { return };
    sim.burst.start(sim.now);
    for i in 0..ATTEMPTS_PER_S * BURST_DURATION.as_secs() as u32 {
        let after = Duration::from_secs(1).mul_f64(f64::from(i) / f64::from(ATTEMPTS_PER_S));
        sim.call_later(after, move |sim| {
            sim.open_flow_to(FlowKind::Burst, service);
        });
    }
    for i in 0..STEADY_NEW_FLOWS_PER_S * BURST_DURATION.as_secs() as u32 {
        let after =
            Duration::from_secs(1).mul_f64(f64::from(i) / f64::from(STEADY_NEW_FLOWS_PER_S));
        sim.call_later(after, move |sim| open_steady_flow(sim, service));
    }
}

fn open_steady_flow(sim: &mut Simulation, service: SocketAddrV4) {
    let index = sim.open_flow_to(FlowKind::Steady, service);
    sim.call_later(STEADY_FLOW_DURATION, move |sim| sim.close_flow(index));
}

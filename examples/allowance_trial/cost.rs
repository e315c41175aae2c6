//! What a flood of refused first packets costs the placer.

use std::time::{Duration, Instant};

use limpetdeck::admission::{Admission, RuleAdmission};
use limpetdeck::flow::{Classified, FlowKey};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::placer::{rules, services};
use crate::policy::{CUSTOMERS, Flow, allowance};

/// First packets in the flood.
const FLOOD: u32 = 1_000_000;

/// Prints processor time for each refusal, and what the admission holds afterwards.
pub fn measure(seed: u64) {
    let services = services();
    let service = &services.list()[0];
    let mut admission = RuleAdmission::new(SmallRng::seed_from_u64(seed));
    admission.set_rules(Duration::ZERO, rules(allowance(200, 500), &services));
    let flood = (0..FLOOD).map(|number| {
        let customer = number as usize % CUSTOMERS;
        let caller = Flow { number, customer, smaller_side: false }.caller();
        let flow = FlowKey { caller, service: service.address }.id();
        Classified { flow, caller, service, from: None }
    });
    let flood: Vec<_> = flood.collect();
    let started = Instant::now();
    let refused = flood.iter().filter(|class| admission.admit(Duration::ZERO, class).is_err());
    let refused = refused.count();
    let each = started.elapsed().as_nanos() / u128::from(FLOOD);
    let (flows, accounts) = admission.held();
    println!(
        "case=Flood refused={refused} ns_each={each} held_flows={flows} held_accounts={accounts}"
    );
}

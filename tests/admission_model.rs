//! Admission compared with simple reference models on random inputs.

#[path = "support/admission.rs"]
mod admission;
mod support;

use std::time::Duration;

use admission::{new_flow, rules, services};
use limpetdeck::admission::{Admission, RuleAdmission};
use limpetdeck::placement::RefuseReason;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Burst size at a low rate, in flows.
const BURST: f64 = 20.0;

fn new_admission(open: u32, per_second: u32) -> RuleAdmission {
    let mut admission = RuleAdmission::new(SmallRng::seed_from_u64(1));
    admission.set_rules(Duration::ZERO, rules(open, per_second));
    admission
}

/// The limit of open flows holds as in a model that lists the open flows.
#[test]
fn open_flow_model() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let services = services();
        let (mut admission, mut allowed) = (new_admission(5, 1_000), 5);
        let mut open: Vec<(u8, u8)> = Vec::new();
        steps.into_iter().enumerate().all(|(i, (kind, customer, port))| {
            let now = Duration::from_secs(i as u64);
            let (customer, port) = (customer % 2, port % 16);
            let class = new_flow(&services, 0, customer, u16::from(port) + 1);
            match kind % 8 {
                0 => {
                    allowed = usize::from(port) + 1;
                    admission.set_rules(now, rules(u32::from(port) + 1, 1_000));
                }
                1 | 2 => {
                    admission.flow_ended(now, class.service.id, class.flow);
                    open.retain(|&flow| flow != (customer, port));
                }
                _ => {
                    let known = open.contains(&(customer, port));
                    let count = open.iter().filter(|flow| flow.0 == customer).count();
                    let expected = known || count < allowed;
                    if expected && !known {
                        open.push((customer, port));
                    }
                    if admission.admit(now, &class).is_ok() != expected {
                        return false;
                    }
                }
            }
            let count = |c| open.iter().filter(|flow| flow.0 == c).count() as u32;
            admission.open_flows(1, "a") == count(0) && admission.open_flows(1, "b") == count(1)
        })
    }
    support::checker(500).quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// A flow is refused for its rate if and only if some time interval would otherwise contain
/// more flows than the burst and the rate allow.
#[test]
fn flow_rate_model() {
    fn property(gaps: Vec<u8>) -> bool {
        let services = services();
        let mut admission = new_admission(10_000, 8);
        let (mut now, mut admitted) = (0.0, Vec::new());
        gaps.into_iter().enumerate().all(|(i, gap)| {
            // Eighths of a second at eight flows a second are exact in binary.
            now += f64::from(gap.saturating_sub(200) % 8) / 8.0;
            let fits = |(i, &start): (usize, &f64)| {
                let count = (admitted.len() - i + 1) as f64;
                count <= BURST + 8.0 * (now - start)
            };
            let expected = admitted.iter().enumerate().all(fits);
            if expected {
                admitted.push(now);
            }
            let class = new_flow(&services, 0, 0, i as u16 + 1);
            let result = admission.admit(Duration::from_secs_f64(now), &class);
            match result {
                Ok(()) => expected,
                Err(refusal) => !expected && refusal.reason == RefuseReason::FlowRate,
            }
        })
    }
    support::checker(500).quickcheck(property as fn(Vec<u8>) -> bool);
}

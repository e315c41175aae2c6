//! Scripted admission scenarios in virtual time.

#[path = "support/admission.rs"]
mod admission;

use std::fmt::Write;
use std::time::Duration;

use admission::{new_flow, rules, services};
use limpetdeck::admission::{Admission, RuleAdmission};
use limpetdeck::placement::FlowTable;
use limpetdeck::services::Services;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Returns the number with the given name from a line such as `open=3 rate=5`.
fn number(line: &str, name: &str) -> Option<u64> {
    let words = line.split_whitespace().filter_map(|word| word.split_once('='));
    words.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// Opens `count` flows from consecutive ports and formats the results.
fn open_flows(
    admission: &mut RuleAdmission,
    now: Duration,
    services: &Services,
    line: &str,
) -> String {
    let get = |name, other| number(line, name).unwrap_or(other);
    let index = get("service", 1) as usize - 1;
    let (mut out, mut admitted) = (String::new(), 0);
    for port in get("port", 1000)..get("port", 1000) + get("count", 1) {
        let class = new_flow(services, index, get("customer", 0) as u8, port as u16);
        match admission.admit(now, &class) {
            Ok(()) => admitted += 1,
            Err(refusal) => {
                let wait = refusal.retry_after.as_millis();
                writeln!(out, "{port}: {} retry_after_ms={wait}", refusal.reason).expect("memory");
            }
        }
    }
    format!("admitted {admitted}\n{out}")
}

fn run(line: &str, now: Duration, admission: &mut RuleAdmission, services: &Services) -> String {
    let get = |name, other| number(line, name).unwrap_or(other);
    match line.split_whitespace().next() {
        Some("open") => return open_flows(admission, now, services, line),
        Some("rules") => {
            admission.set_rules(now, rules(get("open", 1) as u32, get("rate", 1) as u32));
        }
        Some("end") => {
            for port in get("port", 1000)..get("port", 1000) + get("count", 1) {
                let class = new_flow(services, 0, get("customer", 0) as u8, port as u16);
                admission.flow_ended(now, class.service.id, class.flow);
            }
        }
        Some("sweep") => (0..64).for_each(|_| admission.tick(now, &FlowTable::new(1))),
        Some("lose") => admission.retain_services(&|_| false),
        Some("count") => {
            let (flows, accounts) = admission.table_sizes();
            let (a, b) = (admission.open_flows(1, "a"), admission.open_flows(1, "b"));
            return format!("a={a} b={b} flows={flows} accounts={accounts}\n");
        }
        other => panic!("unknown command {other:?}"),
    }
    String::new()
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios/admission", |f| {
        let services = services();
        let mut admission = RuleAdmission::new(SmallRng::seed_from_u64(1));
        f.run(|case| {
            let at = case.args["t"][0].parse().expect("seconds");
            let now = Duration::from_secs_f64(at);
            let lines = case.input.lines();
            lines.map(|line| run(line, now, &mut admission, &services)).collect::<String>()
        });
    });
}

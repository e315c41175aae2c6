//! Fault injection: each fault is a function that schedules its steps.

use std::time::Duration;

use limpetdeck::placement::TargetState;
use limpetdeck::targets::Report;
use rand::Rng;

use super::fault::Fault;
use super::instance_model::accepts_new_flows;
use super::platform::Mode;
use super::settings::Settings;
use super::simulation::{Partition, Simulation, WARM_UP};
use super::{burst, operators};

/// Minimum duration of a run if none is given.
const DEFAULT_LENGTH: Duration = Duration::from_secs(40);
/// Start of the first fault.
const FIRST_FAULT_AT: Duration = Duration::from_secs(12);
/// Time between the starts of two faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(4);
/// Duration of temporary faults.
const DURATION: Duration = Duration::from_secs(10);
/// Time from the start of one instance to the stop of the next.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Time between checks whether an instance has stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of list changes, one per second.
const LIST_CHANGES: u32 = 16;
/// Number of concurrent writes by two operators.
const CONCURRENT_WRITES: u32 = 5;
/// Time between an operator's read and its stale write.
const STALE_WRITE_DELAY: Duration = Duration::from_secs(6);
/// Faults that change lists.
const LIST_FAULTS: [&str; 3] = ["list-change", "two-operators", "lapsed-lease"];
/// Time after the start of a fault from which the balance is sampled.
const SETTLING_TIME: Duration = Duration::from_secs(10);

/// Function that starts a fault.
type InjectFn = fn(&mut Simulation);

/// Functions that start the faults, by name.
const INJECT_FNS: &[(&str, InjectFn)] = &[
    ("instance-killed", instance_killed),
    ("instance-paused", instance_paused),
    ("instance-leaves", instance_leaves),
    ("instance-joins", instance_joins),
    ("rolling-restart", rolling_restart),
    ("target-leaves", target_leaves),
    ("target-killed", target_killed),
    ("target-returns", target_returns),
    ("target-cold", target_cold),
    ("target-sheds", target_sheds),
    ("load-report-frozen", load_frozen),
    ("load-report-false", load_false),
    ("platform-down", platform_down),
    ("platform-slow", platform_slow),
    ("answer-lost", answer_lost),
    ("platform-stale", platform_stale),
    ("domain-cut", domain_cut),
    ("domain-and-platform-cut", domain_and_platform_cut),
    ("uneven-updates", uneven_updates),
    ("port-reused", port_reused),
    ("list-change", list_change),
    ("burst", burst::inject),
    ("two-operators", two_operators),
    ("lapsed-lease", lapsed_lease),
];

fn inject(sim: &mut Simulation, name: &str) {
    match INJECT_FNS.iter().find(|(known, _)| *known == name) {
        Some((_, inject)) => inject(sim),
        None => log::error!(name = name; "fault_without_steps"),
    }
}

/// Returns the default duration of a run with the given faults.
pub fn length(settings: &Settings) -> Duration {
    let last = FAULT_INTERVAL * settings.faults.0.len() as u32;
    (FIRST_FAULT_AT + last + SETTLING_TIME * 2).max(DEFAULT_LENGTH)
}

/// Schedules all faults of a run.
pub fn schedule(sim: &mut Simulation) {
    let faults = sim.settings.faults.0.clone();
    sim.any_planned = faults.iter().any(|fault| fault.planned);
    if faults.iter().any(|fault| fault.name == "burst") {
        burst::write_lists(sim);
    }
    sim.has_list_changes = faults.iter().any(|fault| LIST_FAULTS.contains(&fault.name));
    let holds_from_start =
        |fault: &&Fault| matches!(fault.name, "uneven-updates" | "port-reused" | "target-cold");
    // These conditions must already hold when the first event occurs.
    faults.iter().filter(holds_from_start).for_each(|fault| inject(sim, fault.name));
    if faults.iter().any(|fault| holds_from_start(&fault)) {
        sim.balance_from = FIRST_FAULT_AT + SETTLING_TIME;
    }
    let events = faults.iter().filter(|fault| !holds_from_start(fault));
    for (i, fault) in events.enumerate() {
        let (at, name) = (FIRST_FAULT_AT + FAULT_INTERVAL * i as u32, fault.name);
        sim.balance_from = WARM_UP.max(at + SETTLING_TIME);
        sim.call_later(at, move |sim| inject(sim, name));
    }
}

fn random_item<T: Copy>(sim: &mut Simulation, items: &[T]) -> Option<T> {
    (!items.is_empty()).then(|| items[sim.rng.random_range(0..items.len())])
}

fn random_instance(sim: &mut Simulation) -> Option<usize> {
    let instances = sim.running_instances();
    random_item(sim, &instances)
}

/// Returns a random target of the first service that accepts new flows.
fn random_target(sim: &mut Simulation) -> Option<usize> {
    let service = sim.targets.first()?.service;
    let is_eligible = |&i: &usize| {
        let target = &sim.targets[i];
        target.service == service && accepts_new_flows(target.state)
    };
    let targets: Vec<_> = (0..sim.targets.len()).filter(is_eligible).collect();
    random_item(sim, &targets)
}

fn instance_killed(sim: &mut Simulation) {
    if let Some(index) = random_instance(sim) {
        sim.kill_instance(index);
    }
}

fn instance_paused(sim: &mut Simulation) {
    if let Some(index) = random_instance(sim) {
        sim.instances[index].paused = true;
        sim.call_later(DURATION, move |sim| sim.resume_instance(index));
    }
}

fn instance_leaves(sim: &mut Simulation) {
    if let Some(index) = random_instance(sim) {
        sim.stop_instance(index);
    }
}

fn instance_joins(sim: &mut Simulation) {
    sim.add_instance();
}

fn rolling_restart(sim: &mut Simulation) {
    let instances = sim.running_instances();
    restart_next(sim, instances);
}

fn restart_next(sim: &mut Simulation, mut remaining: Vec<usize>) {
    sim.faults_active_until = sim.now + SETTLING_TIME * 2;
    sim.balance_from = sim.now + SETTLING_TIME;
    let Some(index) = remaining.pop() else { return };
    sim.stop_instance(index);
    sim.call_later(STOP_CHECK_INTERVAL, move |sim| start_stopped(sim, index, remaining));
}

fn start_stopped(sim: &mut Simulation, index: usize, remaining: Vec<usize>) {
    sim.faults_active_until = sim.now + SETTLING_TIME * 2;
    if sim.instances[index].model.is_some() {
        return sim
            .call_later(STOP_CHECK_INTERVAL, move |sim| start_stopped(sim, index, remaining));
    }
    sim.start_instance(index);
    sim.call_later(RESTART_DELAY, move |sim| restart_next(sim, remaining));
}

fn target_leaves(sim: &mut Simulation) {
    if let Some(index) = random_target(sim) {
        sim.set_target_state(index, TargetState::Draining);
    }
}

fn target_killed(sim: &mut Simulation) {
    if let Some(index) = random_target(sim) {
        sim.set_target_state(index, TargetState::Dead);
    }
}

fn target_returns(sim: &mut Simulation) {
    if let Some(index) = random_target(sim) {
        sim.set_operator_state(index, TargetState::Draining);
        sim.call_later(DURATION, move |sim| sim.set_operator_state(index, TargetState::Serving));
    }
}

fn target_cold(sim: &mut Simulation) {
    let Some(index) = random_target(sim) else { return };
    sim.set_target_state(index, TargetState::Dead);
    sim.call_later(FIRST_FAULT_AT, move |sim| sim.set_target_state(index, TargetState::Cold));
}

fn target_sheds(sim: &mut Simulation) {
    if let Some(index) = random_target(sim) {
        sim.set_target_state(index, TargetState::Shedding);
        sim.call_later(DURATION, move |sim| sim.set_target_state(index, TargetState::Serving));
    }
}

fn load_frozen(sim: &mut Simulation) {
    if let Some(index) = random_target(sim) {
        sim.targets[index].load_override = sim.targets[index].load_report();
    }
}

fn load_false(sim: &mut Simulation) {
    if let Some(index) = random_target(sim) {
        sim.targets[index].load_override = Some(Report::default());
    }
}

fn change_platform_mode(sim: &mut Simulation, mode: Mode) {
    let now = sim.now;
    if sim.has_list_changes {
        // A change just before the platform fails is the hardest to propagate.
        operators::change_service(sim, 0);
    }
    let responses = sim.platform.set_mode(now, mode);
    sim.schedule_responses(responses);
    sim.call_later(DURATION, |sim| {
        let now = sim.now;
        let responses = sim.platform.set_mode(now, Mode::Up);
        sim.schedule_responses(responses);
    });
}

fn platform_down(sim: &mut Simulation) {
    change_platform_mode(sim, Mode::Down);
}

fn platform_slow(sim: &mut Simulation) {
    change_platform_mode(sim, Mode::Slow);
}

fn answer_lost(sim: &mut Simulation) {
    change_platform_mode(sim, Mode::LoseAnswer);
}

fn platform_stale(sim: &mut Simulation) {
    let snapshot = Box::new(sim.platform.store.clone());
    change_platform_mode(sim, Mode::Stale(snapshot));
}

fn partition_domain(sim: &mut Simulation, includes_platform: bool) {
    let domain = random_item(sim, &[0, 1, 2]).map(|i| sim.targets[i].failure_domain.clone());
    sim.partition = domain.map(|domain| Partition { domain, includes_platform });
    sim.call_later(DURATION, Simulation::heal);
}

fn domain_cut(sim: &mut Simulation) {
    partition_domain(sim, false);
}

fn domain_and_platform_cut(sim: &mut Simulation) {
    partition_domain(sim, true);
}

fn uneven_updates(sim: &mut Simulation) {
    sim.uneven_updates = true;
}

fn port_reused(sim: &mut Simulation) {
    sim.reuse_ports = true;
}

fn list_change(sim: &mut Simulation) {
    for i in 0..LIST_CHANGES {
        sim.call_later(Duration::from_secs(1) * i, |sim| operators::change_service(sim, 0));
    }
}

fn two_operators(sim: &mut Simulation) {
    for i in 0..CONCURRENT_WRITES {
        sim.call_later(Duration::from_secs(2) * i, operators::write_concurrently);
    }
}

fn lapsed_lease(sim: &mut Simulation) {
    operators::write_after_delay(sim, STALE_WRITE_DELAY);
    for i in 1..4 {
        sim.call_later(Duration::from_secs(1) * i, |sim| operators::change_service(sim, 0));
    }
}

//! What goes wrong in a run: each fault is a small function that schedules its steps.

use std::time::Duration;

use limpetdeck::placement::TargetState;
use limpetdeck::targets::Report;
use rand::Rng;

use super::fault::Fault;
use super::node::takes_new;
use super::platform::Mode;
use super::settings::Settings;
use super::world::{Cut, WARM, World};
use super::{burst, operators};

/// Length of a run that is not given one.
const LENGTH: Duration = Duration::from_secs(40);
/// When the first fault begins.
const FIRST: Duration = Duration::from_secs(12);
/// Time between the beginnings of two faults.
const GAP: Duration = Duration::from_secs(4);
/// Time for which passing faults last.
const LASTS: Duration = Duration::from_secs(10);
/// Time from the start of one instance to the stop of the next.
const RESTART_GAP: Duration = Duration::from_secs(2);
/// Time between two looks whether an instance has stopped.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Changes of a list, one a second.
const CHANGES: u32 = 16;
/// Times that two operators collide.
const COLLISIONS: u32 = 5;
/// Time that an operator sleeps between read and write.
const OVERSLEEP: Duration = Duration::from_secs(6);
/// Faults that change lists.
const LIST_FAULTS: [&str; 3] = ["list-change", "two-operators", "lapsed-lease"];
/// Time after a fault from which the balance counts.
const SETTLE: Duration = Duration::from_secs(10);

/// What begins a fault.
type Begin = fn(&mut World);

/// The faults by name.
const BEGINS: &[(&str, Begin)] = &[
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
    ("burst", burst::begin),
    ("two-operators", two_operators),
    ("lapsed-lease", lapsed_lease),
];

fn begin(world: &mut World, name: &str) {
    match BEGINS.iter().find(|(known, _)| *known == name) {
        Some((_, begin)) => begin(world),
        None => log::error!(name = name; "fault_without_steps"),
    }
}

/// Returns how long a run has to be for its faults.
pub fn length(settings: &Settings) -> Duration {
    let last = GAP * settings.faults.0.len() as u32;
    (FIRST + last + SETTLE * 2).max(LENGTH)
}

/// Schedules all faults of a run.
pub fn schedule(world: &mut World) {
    let faults = world.settings.faults.0.clone();
    world.planned = faults.iter().any(|fault| fault.planned);
    if faults.iter().any(|fault| fault.name == "burst") {
        burst::write_lists(world);
    }
    world.lists_change = faults.iter().any(|fault| LIST_FAULTS.contains(&fault.name));
    let conditions =
        |fault: &&Fault| matches!(fault.name, "uneven-updates" | "port-reused" | "target-cold");
    // What holds from the start has to meet the first change.
    faults.iter().filter(conditions).for_each(|fault| begin(world, fault.name));
    if faults.iter().any(|fault| conditions(&fault)) {
        world.balance_from = FIRST + SETTLE;
    }
    let events = faults.iter().filter(|fault| !conditions(fault));
    for (i, fault) in events.enumerate() {
        let (at, name) = (FIRST + GAP * i as u32, fault.name);
        world.balance_from = WARM.max(at + SETTLE);
        world.later(at, move |world| begin(world, name));
    }
}

fn any<T: Copy>(world: &mut World, all: &[T]) -> Option<T> {
    (!all.is_empty()).then(|| all[world.rng.random_range(0..all.len())])
}

fn any_instance(world: &mut World) -> Option<usize> {
    let running = world.running();
    any(world, &running)
}

/// A target of the first service that serves.
fn any_host(world: &mut World) -> Option<usize> {
    let service = world.hosts.first()?.service;
    let fits = |&i: &usize| {
        let host = &world.hosts[i];
        host.service == service && takes_new(host.state)
    };
    let hosts: Vec<_> = (0..world.hosts.len()).filter(fits).collect();
    any(world, &hosts)
}

fn instance_killed(world: &mut World) {
    if let Some(index) = any_instance(world) {
        world.kill_member(index);
    }
}

fn instance_paused(world: &mut World) {
    if let Some(index) = any_instance(world) {
        world.members[index].paused = true;
        world.later(LASTS, move |world| world.resume_member(index));
    }
}

fn instance_leaves(world: &mut World) {
    if let Some(index) = any_instance(world) {
        world.stop_member(index);
    }
}

fn instance_joins(world: &mut World) {
    world.add_member();
}

fn rolling_restart(world: &mut World) {
    let running = world.running();
    restart_next(world, running);
}

fn restart_next(world: &mut World, mut rest: Vec<usize>) {
    world.busy_until = world.now + SETTLE * 2;
    world.balance_from = world.now + SETTLE;
    let Some(index) = rest.pop() else { return };
    world.stop_member(index);
    world.later(LOOK_EVERY, move |world| start_stopped(world, index, rest));
}

fn start_stopped(world: &mut World, index: usize, rest: Vec<usize>) {
    world.busy_until = world.now + SETTLE * 2;
    if world.members[index].node.is_some() {
        return world.later(LOOK_EVERY, move |world| start_stopped(world, index, rest));
    }
    world.start_member(index);
    world.later(RESTART_GAP, move |world| restart_next(world, rest));
}

fn target_leaves(world: &mut World) {
    if let Some(index) = any_host(world) {
        world.set_host(index, TargetState::Draining);
    }
}

fn target_killed(world: &mut World) {
    if let Some(index) = any_host(world) {
        world.set_host(index, TargetState::Dead);
    }
}

fn target_returns(world: &mut World) {
    if let Some(index) = any_host(world) {
        world.operate_host(index, TargetState::Draining);
        world.later(LASTS, move |world| world.operate_host(index, TargetState::Serving));
    }
}

fn target_cold(world: &mut World) {
    let Some(index) = any_host(world) else { return };
    world.set_host(index, TargetState::Dead);
    world.later(FIRST, move |world| world.set_host(index, TargetState::Cold));
}

fn target_sheds(world: &mut World) {
    if let Some(index) = any_host(world) {
        world.set_host(index, TargetState::Shedding);
        world.later(LASTS, move |world| world.set_host(index, TargetState::Serving));
    }
}

fn load_frozen(world: &mut World) {
    if let Some(index) = any_host(world) {
        world.hosts[index].claims = world.hosts[index].report();
    }
}

fn load_false(world: &mut World) {
    if let Some(index) = any_host(world) {
        world.hosts[index].claims = Some(Report::default());
    }
}

fn platform_mode(world: &mut World, mode: Mode) {
    let now = world.now;
    if world.lists_change {
        // The hardest change is the last one before the platform fails.
        operators::change(world, 0);
    }
    let answers = world.platform.set_mode(now, mode);
    world.deliver(answers);
    world.later(LASTS, |world| {
        let now = world.now;
        let answers = world.platform.set_mode(now, Mode::Up);
        world.deliver(answers);
    });
}

fn platform_down(world: &mut World) {
    platform_mode(world, Mode::Down);
}

fn platform_slow(world: &mut World) {
    platform_mode(world, Mode::Slow);
}

fn answer_lost(world: &mut World) {
    platform_mode(world, Mode::LoseAnswer);
}

fn platform_stale(world: &mut World) {
    let then = Box::new(world.platform.store.clone());
    platform_mode(world, Mode::Stale(then));
}

fn cut(world: &mut World, platform: bool) {
    let domain = any(world, &[0, 1, 2]).map(|i| world.hosts[i].failure_domain.clone());
    world.cut = domain.map(|domain| Cut { domain, platform });
    world.later(LASTS, World::heal);
}

fn domain_cut(world: &mut World) {
    cut(world, false);
}

fn domain_and_platform_cut(world: &mut World) {
    cut(world, true);
}

fn uneven_updates(world: &mut World) {
    world.uneven = true;
}

fn port_reused(world: &mut World) {
    world.reuse_ports = true;
}

fn list_change(world: &mut World) {
    for i in 0..CHANGES {
        world.later(Duration::from_secs(1) * i, |world| operators::change(world, 0));
    }
}

fn two_operators(world: &mut World) {
    for i in 0..COLLISIONS {
        world.later(Duration::from_secs(2) * i, operators::collide);
    }
}

fn lapsed_lease(world: &mut World) {
    operators::oversleep(world, OVERSLEEP);
    for i in 1..4 {
        world.later(Duration::from_secs(1) * i, |world| operators::change(world, 0));
    }
}

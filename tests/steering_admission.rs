//! Overload: urgent requests go first, and the slots serve requests that are answered in time.

#[path = "support/overload.rs"]
#[allow(dead_code)]
mod overload;
#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;

use limpetdeck::instance::Event;
use overload::*;
use support::*;

const SECOND: Duration = Duration::from_secs(1);
const BURST: Duration = Duration::from_secs(4);
/// Part of the slots' limit that answers in time have to reach.
const SHARE: f64 = 0.95;

fn count<'a>(requests: impl Iterator<Item = &'a Request>, class: usize, outcome: Outcome) -> usize {
    requests.filter(|r| r.class == class && r.outcome == outcome).count()
}

/// Returns the part of the slots' limit that went to answers in time, for each second of a burst
/// after its first half second, in which the load of the targets rises.
fn shares(model: &Overload, begin: Duration) -> Vec<f64> {
    let share = |second: u64| {
        let from = begin + ms(500 + 1_000 * second);
        let of = model.requests.iter().filter(|r| r.outcome == Outcome::InTime);
        let in_window = of.filter(|r| r.end >= from && r.end < from + SECOND);
        let work: f64 = in_window.map(|r| r.work.as_secs_f64()).sum();
        let offered: f64 = model.begun(from, SECOND).map(|r| r.work.as_secs_f64()).sum();
        work / offered.min(f64::from(SLOTS))
    };
    (0..3).map(share).collect()
}

/// Replays a burst and prints its figures. Returns the model and the begin of the burst.
fn burst(instances: usize, admission: Admission, factor: f64) -> (Overload, Duration) {
    let mut model = Overload::new(instances, admission, 7);
    model.run(2 * SECOND, [1.0; 2]);
    let begin = model.run(BURST, [factor; 2]);
    model.run(2 * SECOND, [1.0; 2]);
    print(&format!("{instances} instances, {factor} x, {admission:?}"), &model, begin);
    (model, begin)
}

fn print(name: &str, model: &Overload, begin: Duration) {
    println!("{name}: shares={:.3?} shed={}", shares(model, begin), model.shed);
    for class in 0..2 {
        let of = |outcome| count(model.begun(begin, BURST), class, outcome);
        let [in_time, late, failed] = [Outcome::InTime, Outcome::Late, Outcome::Failed].map(of);
        let all = || model.begun(begin, BURST).filter(|r| r.class == class);
        let refusals: u32 = all().map(|r| r.refusals).sum();
        let held = all().filter(|r| r.held).count();
        println!(
            "  class={class} in_time={in_time} late={late} failed={failed} refusals={refusals} held={held}"
        );
    }
}

/// Normal load, then bursts of four and three times the load.
fn bursts(instances: usize) {
    let mut model = Overload::new(instances, Admission::ByPriority, 7);
    model.run(3 * SECOND, [1.0; 2]);
    let all = model.requests.len();
    let touched = model.requests.iter().filter(|r| r.held || r.refusals > 0).count();
    println!("{instances} instances, normal load: {touched} of {all} held or refused");
    assert!(touched * 1_000 <= all, "{touched} of {all} held or refused under normal load");
    for factor in [4.0, 3.0] {
        let begin = model.run(BURST, [factor; 2]);
        model.run(2 * SECOND, [1.0; 2]);
        print(&format!("{instances} instances, {factor} x"), &model, begin);
        let urgent = || model.begun(begin, BURST).filter(|r| r.class == 0);
        assert!(urgent().all(|r| r.refusals == 0), "an urgent request was refused");
        let in_time = count(urgent(), 0, Outcome::InTime);
        assert!(in_time * 100 >= urgent().count() * 99, "{in_time} urgent requests in time");
        let after = || model.begun(begin + BURST + ms(500), SECOND);
        let in_time = after().filter(|r| r.outcome == Outcome::InTime).count();
        let touched = after().filter(|r| r.held || r.refusals > 0).count();
        assert!(in_time * 100 >= after().count() * 99, "{in_time} in time after the burst");
        assert!(touched * 100 <= after().count(), "{touched} held or refused after the burst");
    }
}

#[test]
fn bursts_24() {
    bursts(24);
}

#[test]
fn bursts_112() {
    bursts(112);
}

#[test]
fn bursts_300() {
    bursts(300);
}

/// Answers in time use the slots in each second of a burst. Listed in KNOWN-RED.txt.
#[test]
fn slots_limit() {
    let runs = [(24, 3.0), (24, 4.0), (112, 3.0), (112, 4.0)].map(|(instances, factor)| {
        let (model, begin) = burst(instances, Admission::ByPriority, factor);
        shares(&model, begin)
    });
    assert!(runs.iter().flatten().all(|&share| share >= SHARE), "{runs:.3?}");
}

/// One failure domain at three times its demand, as much as its slots, while two thirds of the others
/// are free: its instances exceed an equal share, but neither refuse nor hold for long.
#[test]
fn busy_domain() {
    for instances in [24, 112] {
        let mut model = Overload::new(instances, Admission::ByPriority, 7);
        model.run(3 * SECOND, [1.0; 2]);
        model.local_share = 0.75;
        let begin = model.run(BURST, [2.0; 2]);
        model.run(2 * SECOND, [1.0; 2]);
        print(&format!("busy domain, {instances} instances"), &model, begin);
        let begun = || model.begun(begin, BURST);
        assert!(begun().all(|r| r.refusals == 0), "refused while slots are free");
        let in_time = begun().filter(|r| r.outcome == Outcome::InTime).count();
        assert!(in_time * 1_000 >= begun().count() * 995, "{in_time} in time");
    }
}

/// Without admission, or with refusals at random, urgent requests fail like the others.
#[test]
fn other_policies() {
    let failed = |admission| {
        let (model, begin) = burst(24, admission, 4.0);
        count(model.begun(begin, BURST), 0, Outcome::Failed)
    };
    let by_priority = failed(Admission::ByPriority);
    for other in [Admission::Always, Admission::AtRandom] {
        assert!(by_priority * 20 < failed(other), "{by_priority} urgent failed");
    }
}

/// Urgent requests alone exceed the slots: others are still served, one for seven urgent ones, and
/// not more.
#[test]
fn none_starves() {
    let mut model = Overload::new(24, Admission::ByPriority, 7);
    model.run(2 * SECOND, [1.0; 2]);
    let begin = model.run(BURST, [13.0, 1.0]);
    model.run(2 * SECOND, [1.0; 2]);
    print("urgent overload", &model, begin);
    let served = |class| {
        let of = model.begun(begin + SECOND, 2 * SECOND).filter(|r| r.class == class);
        of.filter(|r| matches!(r.outcome, Outcome::InTime | Outcome::Late)).count()
    };
    let (urgent, others) = (served(0), served(1));
    assert!(others * 12 >= urgent, "{others} others and {urgent} urgent served");
}

/// An instance that restarts in overload knows no load. It admits until it does, refuses nothing
/// urgent, and the others go on.
#[test]
fn restart_in_overload() {
    let mut model = Overload::new(24, Admission::ByPriority, 7);
    model.run(2 * SECOND, [1.0; 2]);
    let begin = model.run(2 * SECOND, [4.0; 2]);
    model.world.kill(3);
    model.world.start(3);
    model.run(2 * SECOND, [4.0; 2]);
    model.run(2 * SECOND, [1.0; 2]);
    print("restart", &model, begin);
    let urgent = || model.begun(begin, BURST).filter(|r| r.class == 0);
    assert!(urgent().all(|r| r.refusals == 0), "an urgent request was refused");
    let in_time = count(urgent(), 0, Outcome::InTime);
    assert!(in_time * 100 >= urgent().count() * 98, "{in_time} urgent requests in time");
}

/// An instance that is full alone, as far as it knows, refuses nothing: reports of its peers may be
/// lost, or its own view wrong.
#[test]
fn full_alone() {
    let mut model = Overload::new(6, Admission::ByPriority, 7);
    let world = &mut model.world;
    for port in 1..600 {
        world.handle(0, Event::Packet(text(&opening(port, 2))));
        if port % 40 == 0 {
            world.run(ms(100));
        }
    }
    assert!(world.datagrams[0].len() < 599, "openings are held back");
    world.run(2 * SECOND);
    assert_eq!(world.datagrams[0].len(), 599, "held openings are forwarded");
    assert!(world.datagrams[0].iter().all(|(_, buf)| buf != b"reset"));
}

//! Load reports that lag or mislead.

mod support;
#[path = "support/target_fleet.rs"]
mod target_fleet;

use std::collections::VecDeque;
use std::time::Duration;

use limpetdeck::placement::{Load, TargetState};
use limpetdeck::services::{RawServices, Services};
use limpetdeck::targets::{Report, ReportFilter, Seen};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use target_fleet::Fleet;

const SLOTS: u32 = 2;
const TARGETS: usize = 14;
const LIAR: usize = 3;
const SECOND: Duration = Duration::from_secs(1);

fn seen(open: u32, young: u32) -> Seen {
    Seen { load: Load { open, young }, slots: SLOTS }
}

fn report(slots_used: u32, open: u32) -> Report {
    Report { state: TargetState::Serving, slots_used, waiting: 0, open }
}

/// Reads a report each second and returns whether it was believed after each.
fn trust(reports: impl Iterator<Item = (Report, Seen)>) -> Vec<bool> {
    let mut filter = ReportFilter::default();
    let mut now = Duration::ZERO;
    let trusted = reports.map(|(report, seen)| {
        now += SECOND;
        filter.report(now, 1, report, seen);
        filter.hint(now, 1, seen).trusted
    });
    trusted.collect()
}

#[test]
fn report_address() {
    let services = |report: &str| {
        let raw: RawServices = serde_json::from_value(json!({"services": [{
            "id": 1, "name": "till", "address": "10.0.0.1:7000", "weighs": "imbalance",
            "idle_timeout_s": 3600,
            "targets": [{
                "id": 2, "address": "10.0.1.1:7000", "failure_domain": "a", "slots": 2,
                "report": report,
            }],
        }]}))
        .expect("raw services");
        Services::try_from(raw)
    };
    let good = services("10.0.1.1:8080/report?target=2").expect("valid");
    let (_, target) = good.target(2).expect("the target");
    let report = target.report.as_ref().expect("an address");
    assert_eq!(report.to_string(), "10.0.1.1:8080/report?target=2");
    for bad in ["", "10.0.1.1:8080", "10.0.1.1/report", "host:80/report", "10.0.1.1:0/r", "1:1/ "] {
        let findings = services(bad).expect_err(bad);
        assert_eq!(findings.list.len(), 1, "{findings}");
        assert_eq!(findings.list[0].place, "services.1.targets.2.report");
    }
}

#[test]
fn honest_report() {
    let believed = trust((0..60).map(|i| (report(i % 3, 20 + i % 5), seen(21 + i % 4, 1))));
    assert!(believed.iter().all(|trusted| *trusted));
}

#[test]
fn lagging_report() {
    // The report shows the flows of two seconds ago while they rise fast.
    let believed = trust((2..40).map(|i| (report(1, (i - 2) * 5), seen(i * 5, 1))));
    assert!(believed.iter().all(|trusted| *trusted));
}

#[test]
fn frozen_report() {
    let believed = trust((0..20).map(|i| (report(1, 20), seen(20 + i, 1))));
    assert!(believed[..4].iter().all(|trusted| *trusted));
    assert!(believed[9..].iter().all(|trusted| !trusted), "{believed:?}");
}

#[test]
fn quiet_target() {
    let believed = trust((0..600).map(|_| (report(0, 20), seen(20, 0))));
    assert!(believed.iter().all(|trusted| *trusted), "nothing changes, so nothing is frozen");
}

#[test]
fn idle_report() {
    let believed = trust((0..20).map(|_| (report(0, 0), seen(20, 2))));
    assert!(believed[4..].iter().all(|trusted| !trusted), "{believed:?}");
}

#[test]
fn trust_regained() {
    let lying = (0..10).map(|_| (report(0, 0), seen(20, 2)));
    let honest = (0..60).map(|i| (report(1, 20 + i % 2), seen(20 + i % 2, 1)));
    let believed = trust(lying.chain(honest));
    assert!(!believed[20]);
    assert!(believed[69]);
}

#[test]
fn old_report() {
    let mut filter = ReportFilter::default();
    for i in 1..=10 {
        filter.report(SECOND * i, 1, report(2, 22 + i % 2), seen(20, 0));
    }
    assert!(filter.hint(SECOND * 10, 1, seen(20, 0)).busy > 1.5);
    let later = filter.hint(SECOND * 25, 1, seen(20, 0));
    assert_eq!((later.busy, later.open, later.trusted), (0.0, 20.0, false));
}

#[test]
fn bounded_hint() {
    fn property(steps: Vec<(u8, u8, u8, u8, u8)>) -> bool {
        let mut filter = ReportFilter::default();
        let mut now = Duration::ZERO;
        steps.into_iter().all(|(wait, used, reported, open, young)| {
            now += Duration::from_millis(u64::from(wait) * 50);
            let seen = seen(u32::from(open), u32::from(young));
            filter.report(now, 1, report(u32::from(used), u32::from(reported)), seen);
            let hint = filter.hint(now, 1, seen);
            let (young, open) = (f64::from(young), f64::from(open));
            (young / 2.0..=young + f64::from(SLOTS)).contains(&hint.busy)
                && (open / 2.0..=open * 2.0).contains(&hint.open)
        })
    }
    support::checker(500).quickcheck(property as fn(Vec<(u8, u8, u8, u8, u8)>) -> bool);
}

#[test]
fn slow_moves() {
    /// A report moves a target by all of its slots, or by all of its flows, in 5 s.
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut filter = ReportFilter::default();
        let mut now = Duration::ZERO;
        let seen = seen(20, 2);
        let mut last = filter.hint(now, 1, seen);
        steps.into_iter().all(|(wait, used, reported)| {
            let wait = Duration::from_millis(u64::from(wait) * 8);
            now += wait;
            filter.report(now, 1, report(u32::from(used), u32::from(reported)), seen);
            let hint = filter.hint(now, 1, seen);
            let most = wait.as_secs_f64() / 5.0 + 1e-9;
            let slow = (hint.busy - last.busy).abs() <= f64::from(SLOTS) * most
                && (hint.open - last.open).abs() <= 20.0 * most;
            last = hint;
            slow
        })
    }
    support::checker(500).quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Places short work on the least busy target for two minutes, while one target always
/// reports that it is idle. Returns the part of the work that this target got, relative to
/// its fair share.
fn share_of_liar(seed: u64, load: impl Fn(&ReportFilter, Duration, usize, Seen) -> f64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut filter = ReportFilter::default();
    let mut open: Vec<VecDeque<Duration>> = vec![VecDeque::new(); TARGETS];
    let (mut placed, mut on_liar) = (0u32, 0u32);
    for step in 0..12_000u32 {
        let now = Duration::from_millis(10) * step;
        for ends in &mut open {
            ends.retain(|end| *end > now);
        }
        let counts: Vec<_> = open.iter().map(|ends| ends.len() as u32).collect();
        if step % 100 == 0 {
            for (i, &count) in counts.iter().enumerate() {
                let said = if i == LIAR { 0 } else { count };
                filter.report(now, i as u32, report(said, said), seen(count, count));
            }
        }
        let load_of = |i: usize| load(&filter, now, i, seen(counts[i], counts[i]));
        let first = rng.random_range(0..TARGETS);
        let order = (0..TARGETS).map(|i| (first + i) % TARGETS);
        let best = order.min_by(|&a, &b| load_of(a).total_cmp(&load_of(b)));
        let best = best.expect("there are targets");
        // Work takes 1.4 s on average, so that 70% of the slots are busy with 14 a second.
        if rng.random_bool(0.14) {
            let time = Duration::from_millis(rng.random_range(400..2_400));
            open[best].push_back(now + time);
            placed += 1;
            on_liar += u32::from(best == LIAR);
        }
    }
    f64::from(on_liar) / (f64::from(placed) / TARGETS as f64)
}

#[test]
fn idle_liar() {
    for seed in 1..=5 {
        let believed =
            share_of_liar(
                seed,
                |_, _, i, seen| {
                    if i == LIAR { 0.0 } else { f64::from(seen.load.young) }
                },
            );
        let filtered =
            share_of_liar(seed, |filter, now, i, seen| filter.hint(now, i as u32, seen).busy);
        println!("seed={seed} believed={believed:.2} filtered={filtered:.2}");
        assert!(believed > 4.0, "reports that are believed must do harm: {believed}");
        assert!(filtered <= 2.0, "{filtered} of the fair share");
    }
}

#[test]
fn reports_reach_placer() {
    let mut fleet = Fleet::new(18, 18, 1);
    fleet.placer = Some(7);
    fleet.run(Duration::from_secs(5));
    fleet.nodes[6].targets.take_reports();
    fleet.reports.insert(4, Some(report(2, 30)));
    fleet.run(Duration::from_secs(5));
    let reports = fleet.nodes[6].targets.take_reports();
    assert_eq!(reports.len(), 18);
    assert_eq!(reports[&4], report(2, 30));
    assert!(fleet.nodes[0].targets.take_reports().is_empty());
}

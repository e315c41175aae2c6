//! Load reports that lag or are wrong.

mod support;
#[path = "support/target_fleet.rs"]
mod target_fleet;

use std::collections::VecDeque;
use std::time::Duration;

use limpetdeck::placement::{Load, TargetState};
use limpetdeck::services::{RawServices, Services};
use limpetdeck::targets::{CountedLoad, Report, ReportFilter};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use target_fleet::Fleet;

const SLOTS: u32 = 2;
const TARGETS: usize = 14;
const UNDERREPORTER: usize = 3;
const SECOND: Duration = Duration::from_secs(1);

fn counted(open: u32, short_lived: u32) -> CountedLoad {
    CountedLoad { load: Load { open, short_lived }, slots: SLOTS }
}

fn report(slots_used: u32, open: u32) -> Report {
    Report { state: TargetState::Serving, slots_used, waiting: 0, open }
}

/// Passes one report per second to a filter, and returns after each whether reports are trusted.
fn trust_history(reports: impl Iterator<Item = (Report, CountedLoad)>) -> Vec<bool> {
    let mut filter = ReportFilter::default();
    let mut now = Duration::ZERO;
    let trusted = reports.map(|(report, counted)| {
        now += SECOND;
        filter.report(now, 1, report, counted);
        filter.hint(now, 1, counted).trusted
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
        assert_eq!(findings.list[0].location, "services.1.targets.2.report");
    }
}

#[test]
fn accurate_report() {
    let history =
        trust_history((0..60).map(|i| (report(i % 3, 20 + i % 5), counted(21 + i % 4, 1))));
    assert!(history.iter().all(|trusted| *trusted));
}

#[test]
fn lagging_report() {
    // The report shows the flows of 2 s ago while they rise fast.
    let history = trust_history((2..40).map(|i| (report(1, (i - 2) * 5), counted(i * 5, 1))));
    assert!(history.iter().all(|trusted| *trusted));
}

#[test]
fn frozen_report() {
    let history = trust_history((0..20).map(|i| (report(1, 20), counted(20 + i, 1))));
    assert!(history[..4].iter().all(|trusted| *trusted));
    assert!(history[9..].iter().all(|trusted| !trusted), "{history:?}");
}

#[test]
fn constant_load() {
    let history = trust_history((0..600).map(|_| (report(0, 20), counted(20, 0))));
    assert!(
        history.iter().all(|trusted| *trusted),
        "a constant report of a constant load is not frozen"
    );
}

#[test]
fn understated_report() {
    let history = trust_history((0..20).map(|_| (report(0, 0), counted(20, 2))));
    assert!(history[4..].iter().all(|trusted| !trusted), "{history:?}");
}

#[test]
fn trust_regained() {
    let understated = (0..10).map(|_| (report(0, 0), counted(20, 2)));
    let accurate = (0..60).map(|i| (report(1, 20 + i % 2), counted(20 + i % 2, 1)));
    let history = trust_history(understated.chain(accurate));
    assert!(!history[20]);
    assert!(history[69]);
}

#[test]
fn outdated_report() {
    let mut filter = ReportFilter::default();
    for i in 1..=10 {
        filter.report(SECOND * i, 1, report(2, 22 + i % 2), counted(20, 0));
    }
    assert!(filter.hint(SECOND * 10, 1, counted(20, 0)).busy > 1.5);
    let later = filter.hint(SECOND * 25, 1, counted(20, 0));
    assert_eq!((later.busy, later.open, later.trusted), (0.0, 20.0, false));
}

#[test]
fn bounded_hint() {
    fn property(steps: Vec<(u8, u8, u8, u8, u8)>) -> bool {
        let mut filter = ReportFilter::default();
        let mut now = Duration::ZERO;
        steps.into_iter().all(|(wait, used, reported, open, short_lived)| {
            now += Duration::from_millis(u64::from(wait) * 50);
            let counted = counted(u32::from(open), u32::from(short_lived));
            filter.report(now, 1, report(u32::from(used), u32::from(reported)), counted);
            let hint = filter.hint(now, 1, counted);
            let (short_lived, open) = (f64::from(short_lived), f64::from(open));
            (short_lived / 2.0..=short_lived + f64::from(SLOTS)).contains(&hint.busy)
                && (open / 2.0..=open * 2.0).contains(&hint.open)
        })
    }
    support::checker(500).quickcheck(property as fn(Vec<(u8, u8, u8, u8, u8)>) -> bool);
}

#[test]
fn gradual_correction() {
    /// A report changes the load of a target by all of its slots, or all of its flows, in 5 s.
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut filter = ReportFilter::default();
        let mut now = Duration::ZERO;
        let counted = counted(20, 2);
        let mut last = filter.hint(now, 1, counted);
        steps.into_iter().all(|(wait, used, reported)| {
            let wait = Duration::from_millis(u64::from(wait) * 8);
            now += wait;
            filter.report(now, 1, report(u32::from(used), u32::from(reported)), counted);
            let hint = filter.hint(now, 1, counted);
            let max_step = wait.as_secs_f64() / 5.0 + 1e-9;
            let gradual = (hint.busy - last.busy).abs() <= f64::from(SLOTS) * max_step
                && (hint.open - last.open).abs() <= 20.0 * max_step;
            last = hint;
            gradual
        })
    }
    support::checker(500).quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Places short requests on the least busy target for two minutes, while one target always
/// reports that it is idle. Returns the share of the requests that this target got, relative to
/// its fair share.
fn underreporter_share(
    seed: u64,
    load: impl Fn(&ReportFilter, Duration, usize, CountedLoad) -> f64,
) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut filter = ReportFilter::default();
    let mut open: Vec<VecDeque<Duration>> = vec![VecDeque::new(); TARGETS];
    let (mut placed, mut on_underreporter) = (0u32, 0u32);
    for step in 0..12_000u32 {
        let now = Duration::from_millis(10) * step;
        for end_times in &mut open {
            end_times.retain(|end| *end > now);
        }
        let counts: Vec<_> = open.iter().map(|end_times| end_times.len() as u32).collect();
        if step % 100 == 0 {
            for (i, &count) in counts.iter().enumerate() {
                let reported = if i == UNDERREPORTER { 0 } else { count };
                filter.report(now, i as u32, report(reported, reported), counted(count, count));
            }
        }
        let load_of = |i: usize| load(&filter, now, i, counted(counts[i], counts[i]));
        let first = rng.random_range(0..TARGETS);
        let order = (0..TARGETS).map(|i| (first + i) % TARGETS);
        let best = order.min_by(|&a, &b| load_of(a).total_cmp(&load_of(b)));
        let best = best.expect("there are targets");
        // Requests take 1.4 s on average, so that 14 a second keep 70% of the slots busy.
        if rng.random_bool(0.14) {
            let time = Duration::from_millis(rng.random_range(400..2_400));
            open[best].push_back(now + time);
            placed += 1;
            on_underreporter += u32::from(best == UNDERREPORTER);
        }
    }
    f64::from(on_underreporter) / (f64::from(placed) / TARGETS as f64)
}

#[test]
fn underreporting_target() {
    for seed in 1..=5 {
        let unfiltered = underreporter_share(seed, |_, _, i, counted| {
            if i == UNDERREPORTER { 0.0 } else { f64::from(counted.load.short_lived) }
        });
        let filtered = underreporter_share(seed, |filter, now, i, counted| {
            filter.hint(now, i as u32, counted).busy
        });
        println!("seed={seed} unfiltered={unfiltered:.2} filtered={filtered:.2}");
        assert!(
            unfiltered > 4.0,
            "unfiltered reports must attract more than their share: {unfiltered}"
        );
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

//! Verdicts on the requirements. The bounds are the specified ones; they are never relaxed to
//! fit a measurement.

use super::Row;
use super::cases::PLANNED_CHANGES;
use crate::measure::{Deployment, Histogram, Policy, RunResult};

/// Upper bound of the propagation time of a change.
const MAX_PROPAGATION_MS: f64 = 5_000.0;
/// Upper bound of the control bytes that an instance sends per second.
const MAX_CONTROL_BYTES_PER_S: u64 = 3_000;
/// Upper bound of the time of one decision about a known flow.
const MAX_DECISION_NS: u64 = 300;
/// Upper bound of the decision time if one core is to make a million decisions per second.
const MAX_DECISION_NS_AT_1M_PER_S: u64 = 1_000;
/// Upper bound of the state for each open flow.
const MAX_STATE_BYTES_PER_FLOW: f64 = 64.0;

/// Requirement, and whether the measured values meet it.
#[derive(Debug)]
pub struct Verdict {
    /// Text of the requirement.
    pub requirement: String,
    /// Measured values, the number of runs, or the runs that miss the requirement.
    pub measured: String,
    /// Whether the requirement is met.
    pub met: bool,
}

impl Verdict {
    fn new(requirement: impl Into<String>, met: bool, measured: impl Into<String>) -> Self {
        Self { requirement: requirement.into(), measured: measured.into(), met }
    }
}

/// Checks the rows against all requirements. Decision times are taken from `timing_rows`.
pub fn verdicts(rows: &[Row], timing_rows: &[Row]) -> Vec<Verdict> {
    let mut all = vec![
        no_planned_breaks(rows),
        naive_breaks(rows),
        no_wrong_execution(rows),
        no_late_work(rows),
        no_breaks_after_kill(rows),
    ];
    all.extend([
        steady_imbalance(rows, Deployment::Serrana, 1.1),
        steady_imbalance(rows, Deployment::Recarga, 1.25),
        imbalance_under_faults(rows),
        slot_wait_against_naive(rows, Deployment::Serrana, 3.0),
        slot_wait_against_naive(rows, Deployment::Recarga, 2.0),
        slot_wait_against_ideal(rows),
        control_traffic(rows),
        decision_time(
            timing_rows,
            MAX_DECISION_NS,
            "one decision about a known flow <= 300 ns (p50)",
        ),
        decision_time(
            timing_rows,
            MAX_DECISION_NS_AT_1M_PER_S,
            "one core >= 1 million decisions a second (p50)",
        ),
        flow_state(rows),
        propagation_time(rows),
        no_lost_changes(rows),
        overshoot(rows),
        wrong_refusals(rows),
    ]);
    all
}

fn with_policy(rows: &[Row], policy: Policy) -> impl Iterator<Item = &Row> {
    rows.iter().filter(move |row| row.case.policy == policy && !row.case.is_busy())
}

fn has_planned_change(row: &&Row) -> bool {
    PLANNED_CHANGES.iter().any(|fault| row.case.fault.split('+').any(|part| part == *fault))
}

fn run_name(row: &Row) -> String {
    format!("{} {}", row.case.deployment.name(), row.case.fault)
}

/// Returns the verdict on a requirement that each of the rows has to meet. `miss` returns the
/// value of a run that does not meet it.
fn check_rows<'a>(
    requirement: &str,
    rows: impl Iterator<Item = &'a Row>,
    miss: impl Fn(&RunResult) -> Option<String>,
) -> Verdict {
    let rows: Vec<_> = rows.collect();
    let missed =
        rows.iter().filter_map(|row| Some(format!("{}: {}", run_name(row), miss(&row.result)?)));
    let missed: Vec<_> = missed.collect();
    let measured = if missed.is_empty() {
        format!("{} runs", rows.len())
    } else {
        format!("{} of {} runs miss: {}", missed.len(), rows.len(), missed.join("; "))
    };
    Verdict::new(requirement, missed.is_empty() && !rows.is_empty(), measured)
}

fn exceeding<T: PartialOrd + ToString>(value: T, bound: T) -> Option<String> {
    (value > bound).then(|| value.to_string())
}

fn no_planned_breaks(rows: &[Row]) -> Verdict {
    let rows = with_policy(rows, Policy::Epochs).filter(has_planned_change);
    check_rows("no open flow broken by a planned change", rows, |f| exceeding(f.broken_planned, 0))
}

fn naive_breaks(rows: &[Row]) -> Verdict {
    let rows = with_policy(rows, Policy::Naive).filter(has_planned_change);
    check_rows("the naive policy breaks flows under each planned change", rows, |f| {
        (f.broken_planned == 0).then(|| "none".to_owned())
    })
}

fn no_wrong_execution(rows: &[Row]) -> Verdict {
    check_rows(
        "executed_twice, refused_but_ran and wrong_service are 0",
        with_policy(rows, Policy::Epochs),
        |f| exceeding(f.executed_twice() as u64 + f.refused_but_ran() as u64 + f.wrong_service, 0),
    )
}

fn no_late_work(rows: &[Row]) -> Verdict {
    let rows = with_policy(rows, Policy::Epochs);
    check_rows("no new work past 3 s after a leaving is known", rows, |f| {
        exceeding(f.late_new_work, 0)
    })
}

fn no_breaks_after_kill(rows: &[Row]) -> Verdict {
    let rows = with_policy(rows, Policy::Epochs).filter(|row| row.case.fault == "instance-killed");
    check_rows("instance-killed breaks no flow", rows, |f| exceeding(f.broken_unplanned, 0))
}

fn p99(values: &Histogram, unit: f64) -> f64 {
    values.quantile(0.99) as f64 / unit
}

fn steady_imbalance(rows: &[Row], deployment: Deployment, bound: f64) -> Verdict {
    let rows = with_policy(rows, Policy::Epochs)
        .filter(|row| row.case.deployment == deployment && row.case.fault == "none");
    let requirement = format!("{} imbalance_p99 <= {bound} in steady state", deployment.name());
    check_rows(&requirement, rows, |f| exceeding(p99(&f.imbalance, 1_000.0), bound))
}

fn imbalance_under_faults(rows: &[Row]) -> Verdict {
    let rows = with_policy(rows, Policy::Epochs)
        .filter(|row| row.case.deployment == Deployment::Serrana && !row.case.fault.contains('+'));
    check_rows("serrana imbalance_p99 <= 1.5 from 10 s after any single fault", rows, |f| {
        exceeding(p99(&f.imbalance, 1_000.0), 1.5)
    })
}

/// Returns the p99 of the waits for a slot under a policy in steady state, in milliseconds.
fn slot_wait_p99_ms(rows: &[Row], deployment: Deployment, policy: Policy) -> f64 {
    let mut steady = with_policy(rows, policy)
        .filter(|row| row.case.deployment == deployment && row.case.fault == "none");
    steady.next().map_or(f64::NAN, |row| p99(&row.result.slot_wait, 1_000.0))
}

fn slot_wait_against_naive(rows: &[Row], deployment: Deployment, divisor: f64) -> Verdict {
    let (naive, epochs) = (
        slot_wait_p99_ms(rows, deployment, Policy::Naive),
        slot_wait_p99_ms(rows, deployment, Policy::Epochs),
    );
    let requirement = format!("{} slot_wait_ms_p99 <= naive's / {divisor}", deployment.name());
    let measured = format!("{epochs:.1} ms against {naive:.1} ms");
    Verdict::new(requirement, epochs <= naive / divisor, measured)
}

fn slot_wait_against_ideal(rows: &[Row]) -> Verdict {
    let ideal = slot_wait_p99_ms(rows, Deployment::Serrana, Policy::Ideal);
    let epochs = slot_wait_p99_ms(rows, Deployment::Serrana, Policy::Epochs);
    let measured = format!("{epochs:.1} ms against {ideal:.1} ms");
    Verdict::new("serrana slot_wait_ms_p99 <= 2 x ideal's", epochs <= ideal * 2.0, measured)
}

fn control_traffic(rows: &[Row]) -> Verdict {
    let rows = rows.iter().filter(|row| row.case.is_busy() && row.case.policy == Policy::Epochs);
    check_rows("control <= 3,000 bytes a second at 2,000 new flows a second", rows, |f| {
        exceeding(f.control_bytes(), MAX_CONTROL_BYTES_PER_S)
    })
}

fn decision_time(timing_rows: &[Row], bound: u64, requirement: &str) -> Verdict {
    check_rows(requirement, timing_rows.iter(), |f| exceeding(f.decision_time.quantile(0.5), bound))
}

fn flow_state(rows: &[Row]) -> Verdict {
    let rows = with_policy(rows, Policy::Epochs).filter(|row| row.case.fault == "none");
    check_rows("state <= 64 bytes for each open flow", rows, |f| {
        exceeding(
            f.max_state_bytes as f64 / f.max_open_flows.max(1) as f64,
            MAX_STATE_BYTES_PER_FLOW,
        )
    })
}

fn propagation_time(rows: &[Row]) -> Verdict {
    check_rows(
        "a change is in force on reachable instances <= 5 s (p99)",
        with_policy(rows, Policy::Epochs),
        |f| exceeding(p99(f.list_change_time.as_ref()?, 1_000.0), MAX_PROPAGATION_MS),
    )
}

fn no_lost_changes(rows: &[Row]) -> Verdict {
    let rows = with_policy(rows, Policy::Epochs);
    check_rows("no change reverts or is lost", rows, |f| exceeding(f.reverts + f.lost_changes, 0))
}

fn overshoot(rows: &[Row]) -> Verdict {
    let rows = with_policy(rows, Policy::Epochs).filter(|row| row.case.fault == "burst");
    check_rows("overshoot of an allowance <= 5% in steady state", rows, |f| {
        exceeding(f.overshoot?, 0.05)
    })
}

fn wrong_refusals(rows: &[Row]) -> Verdict {
    let rows = with_policy(rows, Policy::Epochs).filter(|row| row.result.wrong_refusals.is_some());
    check_rows("wrong refusals <= 1% below 90% of the allowance", rows, |f| {
        exceeding(f.wrong_refusals?, 0.01)
    })
}

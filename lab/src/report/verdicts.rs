//! Whether each target is met. The bounds are the stated ones, never eased to what is
//! measured.

use super::Row;
use super::cases::PLANNED;
use crate::measure::{Deployment, Figures, Policy, Values};

/// Longest time in which a change has to be in force, in milliseconds.
const IN_FORCE_MS: f64 = 5_000.0;
/// Control bytes that an instance may send in a second.
const CONTROL: u64 = 3_000;
/// Longest decision about a known flow, in nanoseconds.
const DECISION_NS: u64 = 300;
/// Longest decision with which one core makes a million a second, in nanoseconds.
const MILLION_NS: u64 = 1_000;
/// Bytes of state for each open flow.
const STATE: f64 = 64.0;

/// One target and what was measured for it.
#[derive(Debug)]
pub struct Verdict {
    /// The target.
    pub target: String,
    /// What was measured: the worst value, or the cases that miss it.
    pub measured: String,
    /// Whether it is met.
    pub met: bool,
}

impl Verdict {
    fn new(target: impl Into<String>, met: bool, measured: impl Into<String>) -> Self {
        Self { target: target.into(), measured: measured.into(), met }
    }
}

/// Holds the rows against all targets. `alone` are the rows whose decision times count.
pub fn verdicts(rows: &[Row], alone: &[Row]) -> Vec<Verdict> {
    let mut all = vec![planned(rows), naive_breaks(rows), zeros(rows), late(rows), killed(rows)];
    all.extend([
        balance(rows, Deployment::Serrana, 1.1),
        balance(rows, Deployment::Recarga, 1.25),
        balance_under_faults(rows),
        waits(rows, Deployment::Serrana, 3.0),
        waits(rows, Deployment::Recarga, 2.0),
        waits_near_ideal(rows),
        control(rows),
        decision(alone, DECISION_NS, "one decision about a known flow <= 300 ns (p50)"),
        decision(alone, MILLION_NS, "one core >= 1 million decisions a second (p50)"),
        state(rows),
        in_force(rows),
        versions(rows),
        overshoot(rows),
        wrong_refusals(rows),
    ]);
    all
}

fn of(rows: &[Row], policy: Policy) -> impl Iterator<Item = &Row> {
    rows.iter().filter(move |row| row.case.policy == policy && !row.case.busy())
}

fn is_planned(row: &&Row) -> bool {
    PLANNED.iter().any(|fault| row.case.fault.split('+').any(|part| part == *fault))
}

fn name(row: &Row) -> String {
    format!("{} {}", row.case.deployment.name(), row.case.fault)
}

/// A target that the given rows all have to meet.
fn each<'a>(
    target: &str,
    rows: impl Iterator<Item = &'a Row>,
    bound: impl Fn(&Figures) -> Option<String>,
) -> Verdict {
    let rows: Vec<_> = rows.collect();
    let missed =
        rows.iter().filter_map(|row| Some(format!("{}: {}", name(row), bound(&row.figures)?)));
    let missed: Vec<_> = missed.collect();
    let measured = if missed.is_empty() {
        format!("{} runs", rows.len())
    } else {
        format!("{} of {} runs miss: {}", missed.len(), rows.len(), missed.join("; "))
    };
    Verdict::new(target, missed.is_empty() && !rows.is_empty(), measured)
}

fn over<T: PartialOrd + ToString>(value: T, bound: T) -> Option<String> {
    (value > bound).then(|| value.to_string())
}

fn planned(rows: &[Row]) -> Verdict {
    let rows = of(rows, Policy::Epochs).filter(is_planned);
    each("no open flow broken by a planned change", rows, |f| over(f.broken_planned, 0))
}

fn naive_breaks(rows: &[Row]) -> Verdict {
    let rows = of(rows, Policy::Naive).filter(is_planned);
    each("the naive policy breaks flows under each planned change", rows, |f| {
        (f.broken_planned == 0).then(|| "none".to_owned())
    })
}

fn zeros(rows: &[Row]) -> Verdict {
    each("executed_twice, refused_but_ran and wrong_service are 0", of(rows, Policy::Epochs), |f| {
        over(f.executed_twice() as u64 + f.refused_but_ran() as u64 + f.wrong_service, 0)
    })
}

fn late(rows: &[Row]) -> Verdict {
    let rows = of(rows, Policy::Epochs);
    each("no new work past 3 s after a leaving is known", rows, |f| over(f.late_new_work, 0))
}

fn killed(rows: &[Row]) -> Verdict {
    let rows = of(rows, Policy::Epochs).filter(|row| row.case.fault == "instance-killed");
    each("instance-killed breaks no flow", rows, |f| over(f.broken_unplanned, 0))
}

fn p99(values: &Values, unit: f64) -> f64 {
    values.quantile(0.99) as f64 / unit
}

fn balance(rows: &[Row], deployment: Deployment, bound: f64) -> Verdict {
    let rows = of(rows, Policy::Epochs)
        .filter(|row| row.case.deployment == deployment && row.case.fault == "none");
    let target = format!("{} imbalance_p99 <= {bound} in steady state", deployment.name());
    each(&target, rows, |f| over(p99(&f.imbalance, 1_000.0), bound))
}

fn balance_under_faults(rows: &[Row]) -> Verdict {
    let rows = of(rows, Policy::Epochs)
        .filter(|row| row.case.deployment == Deployment::Serrana && !row.case.fault.contains('+'));
    each("serrana imbalance_p99 <= 1.5 from 10 s after any single fault", rows, |f| {
        over(p99(&f.imbalance, 1_000.0), 1.5)
    })
}

/// The p99 of the waits under a policy in steady state, in milliseconds.
fn wait(rows: &[Row], deployment: Deployment, policy: Policy) -> f64 {
    let mut steady = of(rows, policy)
        .filter(|row| row.case.deployment == deployment && row.case.fault == "none");
    steady.next().map_or(f64::NAN, |row| p99(&row.figures.slot_wait, 1_000.0))
}

fn waits(rows: &[Row], deployment: Deployment, part: f64) -> Verdict {
    let (naive, epochs) =
        (wait(rows, deployment, Policy::Naive), wait(rows, deployment, Policy::Epochs));
    let target = format!("{} slot_wait_ms_p99 <= naive's / {part}", deployment.name());
    let measured = format!("{epochs:.1} ms against {naive:.1} ms");
    Verdict::new(target, epochs <= naive / part, measured)
}

fn waits_near_ideal(rows: &[Row]) -> Verdict {
    let ideal = wait(rows, Deployment::Serrana, Policy::Ideal);
    let epochs = wait(rows, Deployment::Serrana, Policy::Epochs);
    let measured = format!("{epochs:.1} ms against {ideal:.1} ms");
    Verdict::new("serrana slot_wait_ms_p99 <= 2 x ideal's", epochs <= ideal * 2.0, measured)
}

fn control(rows: &[Row]) -> Verdict {
    let rows = rows.iter().filter(|row| row.case.busy() && row.case.policy == Policy::Epochs);
    each("control <= 3,000 bytes a second at 2,000 new flows a second", rows, |f| {
        over(f.control_bytes(), CONTROL)
    })
}

fn decision(alone: &[Row], bound: u64, target: &str) -> Verdict {
    each(target, alone.iter(), |f| over(f.decide.quantile(0.5), bound))
}

fn state(rows: &[Row]) -> Verdict {
    let rows = of(rows, Policy::Epochs).filter(|row| row.case.fault == "none");
    each("state <= 64 bytes for each open flow", rows, |f| {
        over(f.state_bytes as f64 / f.open_flows.max(1) as f64, STATE)
    })
}

fn in_force(rows: &[Row]) -> Verdict {
    each(
        "a change is in force on reachable instances <= 5 s (p99)",
        of(rows, Policy::Epochs),
        |f| over(p99(f.list_change.as_ref()?, 1_000.0), IN_FORCE_MS),
    )
}

fn versions(rows: &[Row]) -> Verdict {
    let rows = of(rows, Policy::Epochs);
    each("no change reverts or is lost", rows, |f| over(f.reverts + f.lost_changes, 0))
}

fn overshoot(rows: &[Row]) -> Verdict {
    let rows = of(rows, Policy::Epochs).filter(|row| row.case.fault == "burst");
    each("overshoot of an allowance <= 5% in steady state", rows, |f| over(f.overshoot?, 0.05))
}

fn wrong_refusals(rows: &[Row]) -> Verdict {
    let rows = of(rows, Policy::Epochs).filter(|row| row.figures.wrong_refusals.is_some());
    each("wrong refusals <= 1% below 90% of the allowance", rows, |f| over(f.wrong_refusals?, 0.01))
}

//! Runs of the report.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use crate::arguments::{Args, CommandError};
use crate::measure::{Deployment, FAULTS, Policy, RunResult, Settings, run};

/// Faults that are combined with each planned change.
const COMBINED_FAULTS: [&str; 3] = ["uneven-updates", "platform-down", "instance-killed"];
/// Faults that are combined with a change of a list.
const LIST_CHANGE_FAULTS: [&str; 6] = [
    "platform-slow",
    "platform-down",
    "platform-stale",
    "answer-lost",
    "domain-and-platform-cut",
    "instance-paused",
];
/// Planned changes for which no open flow may break.
pub const PLANNED_CHANGES: [&str; 5] =
    ["instance-leaves", "instance-joins", "rolling-restart", "target-leaves", "target-returns"];
/// Mean time that a sale uses a slot; with 1 ms, each of 18 instances gets 2,000 new flows/s.
const BUSY_SERVICE_MS: &str = "1";
/// Length of a busy run in seconds.
const BUSY_SECONDS: &str = "16";

/// Arguments of one run.
#[derive(Debug, Clone)]
pub struct Case {
    /// Deployment whose services and network delays are simulated.
    pub deployment: Deployment,
    /// Placement policy.
    pub policy: Policy,
    /// Names of the faults, joined with `+`.
    pub fault: String,
    /// Further arguments of `measure`.
    pub extra_args: Vec<String>,
}

/// One finished run.
#[derive(Debug)]
pub struct Row {
    /// Arguments of the run.
    pub case: Case,
    /// Result of the run.
    pub result: RunResult,
}

impl Case {
    fn new(deployment: Deployment, policy: Policy, fault: &str, extra_args: &[&str]) -> Self {
        let extra_args = extra_args.iter().map(|&word| word.to_owned()).collect();
        Self { deployment, policy, fault: fault.to_owned(), extra_args }
    }

    /// Returns whether this is the run with many new flows, in which the bound on control
    /// traffic is checked.
    pub fn is_busy(&self) -> bool {
        self.extra_args.iter().any(|word| word == "--service-ms")
    }

    /// Returns the arguments of the run, as `measure` takes them.
    pub fn arguments(&self) -> String {
        let (deployment, policy) = (self.deployment.name(), self.policy.name());
        let fault = &self.fault;
        let extra_args = self.extra_args.join(" ");
        format!("--deployment {deployment} --policy {policy} --fault {fault} {extra_args}")
    }

    fn run(&self) -> Result<Row, CommandError> {
        let words = self.arguments();
        let mut args = Args::from_words(words.split(' '));
        let result = run(Settings::from_args(&mut args)?)?;
        Ok(Row { case: self.clone(), result })
    }
}

/// Returns the cases of the page's tables.
pub fn table_cases(seed: u64, flows: usize) -> Vec<Case> {
    let (seed, flows) = (seed.to_string(), flows.to_string());
    let extra_args = ["--seed", &seed, "--flows", &flows];
    let mut cases = Vec::new();
    for deployment in [Deployment::Recarga, Deployment::Serrana] {
        for fault in ["none"].into_iter().chain(FAULTS.iter().map(|fault| fault.name)) {
            cases.extend(
                Policy::ALL.map(|policy| Case::new(deployment, policy, fault, &extra_args)),
            );
        }
        for fault in fault_pairs() {
            let policies = [Policy::Naive, Policy::Epochs];
            cases.extend(policies.map(|policy| Case::new(deployment, policy, &fault, &extra_args)));
        }
        let busy_args =
            [&extra_args[..], &["--service-ms", BUSY_SERVICE_MS, "--seconds", BUSY_SECONDS]];
        let busy_args = busy_args.concat();
        let policies = [Policy::Owner, Policy::Epochs];
        cases.extend(
            policies.map(|policy| Case::new(deployment, policy, "target-leaves", &busy_args)),
        );
    }
    cases
}

/// Returns the cases in which decision times are measured.
pub fn timing_cases(seed: u64, flows: usize) -> Vec<Case> {
    let (seed, flows) = (seed.to_string(), flows.to_string());
    let extra_args = ["--seed", &seed, "--flows", &flows];
    let deployments = [Deployment::Recarga, Deployment::Serrana];
    deployments
        .map(|deployment| Case::new(deployment, Policy::Epochs, "none", &extra_args))
        .to_vec()
}

fn fault_pairs() -> Vec<String> {
    let repeated = PLANNED_CHANGES.iter().map(|fault| format!("{fault}+{fault}"));
    let combined = PLANNED_CHANGES.iter().flat_map(|a| COMBINED_FAULTS.map(|b| format!("{a}+{b}")));
    let lists = LIST_CHANGE_FAULTS.map(|b| format!("list-change+{b}"));
    let others = ["two-operators+lapsed-lease", "burst+instance-killed", "burst+domain-cut"];
    repeated.chain(combined).chain(lists).chain(others.map(str::to_owned)).collect()
}

/// Runs all cases on `threads` threads, and returns their rows in the order of the cases.
///
/// # Errors
///
/// Fails if the arguments of a case are invalid.
pub fn run_all(cases: Vec<Case>, threads: usize) -> Result<Vec<Row>, CommandError> {
    let (next, rows) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((i, case)) = next_case(&next, &cases) {
                    eprintln!("{}", case.arguments());
                    let row = case.run();
                    rows.lock().unwrap_or_else(PoisonError::into_inner).push((i, row));
                }
            });
        }
    });
    let mut rows = rows.into_inner().unwrap_or_else(PoisonError::into_inner);
    rows.sort_by_key(|(i, _)| *i);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn next_case<'a>(next: &AtomicUsize, cases: &'a [Case]) -> Option<(usize, &'a Case)> {
    let i = next.fetch_add(1, Ordering::Relaxed);
    cases.get(i).map(|case| (i, case))
}

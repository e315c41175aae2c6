//! The runs of a report.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use crate::arguments::{Args, Usage};
use crate::measure::{Deployment, FAULTS, Figures, Policy, Settings, run};

/// What a planned change is put together with.
const BESIDE: [&str; 3] = ["uneven-updates", "platform-down", "instance-killed"];
/// What a change of a list is put together with.
const BESIDE_LISTS: [&str; 6] = [
    "platform-slow",
    "platform-down",
    "platform-stale",
    "answer-lost",
    "domain-and-platform-cut",
    "instance-paused",
];
/// Planned changes for which no open flow may break.
pub const PLANNED: [&str; 5] =
    ["instance-leaves", "instance-joins", "rolling-restart", "target-leaves", "target-returns"];
/// Mean slot time that makes 2,000 new flows a second for each of 18 instances.
const BUSY_SERVICE_MS: &str = "1";
/// Length of a busy run in seconds.
const BUSY_SECONDS: &str = "16";

/// One run to do.
#[derive(Debug, Clone)]
pub struct Case {
    /// Which users' services and distances the run has.
    pub deployment: Deployment,
    /// How targets are chosen.
    pub policy: Policy,
    /// Names of the faults, joined.
    pub fault: String,
    /// Arguments after these.
    pub more: Vec<String>,
}

/// One run that was done.
#[derive(Debug)]
pub struct Row {
    /// What was run.
    pub case: Case,
    /// What was counted.
    pub figures: Figures,
}

impl Case {
    fn new(deployment: Deployment, policy: Policy, fault: &str, more: &[&str]) -> Self {
        let more = more.iter().map(|&word| word.to_owned()).collect();
        Self { deployment, policy, fault: fault.to_owned(), more }
    }

    /// Tells whether this is the busy run that control traffic is held against.
    pub fn busy(&self) -> bool {
        self.more.iter().any(|word| word == "--service-ms")
    }

    /// Returns the arguments of `measure`.
    pub fn arguments(&self) -> String {
        let (deployment, policy) = (self.deployment.name(), self.policy.name());
        let fault = &self.fault;
        let more = self.more.join(" ");
        format!("--deployment {deployment} --policy {policy} --fault {fault} {more}")
    }

    fn run(&self) -> Result<Row, Usage> {
        let words = self.arguments();
        let mut args = Args::from_words(words.split(' '));
        let figures = run(Settings::from_args(&mut args)?)?;
        Ok(Row { case: self.clone(), figures })
    }
}

/// Returns the runs of the tables.
pub fn all(seed: u64, flows: usize) -> Vec<Case> {
    let (seed, flows) = (seed.to_string(), flows.to_string());
    let more = ["--seed", &seed, "--flows", &flows];
    let mut cases = Vec::new();
    for deployment in [Deployment::Recarga, Deployment::Serrana] {
        for fault in ["none"].into_iter().chain(FAULTS.iter().map(|fault| fault.name)) {
            cases.extend(Policy::ALL.map(|policy| Case::new(deployment, policy, fault, &more)));
        }
        for fault in pairs() {
            let both = [Policy::Naive, Policy::Epochs];
            cases.extend(both.map(|policy| Case::new(deployment, policy, &fault, &more)));
        }
        let busy = [&more[..], &["--service-ms", BUSY_SERVICE_MS, "--seconds", BUSY_SECONDS]];
        let busy = busy.concat();
        let both = [Policy::Owner, Policy::Epochs];
        cases.extend(both.map(|policy| Case::new(deployment, policy, "target-leaves", &busy)));
    }
    cases
}

/// Returns the runs whose decision times count.
pub fn alone(seed: u64, flows: usize) -> Vec<Case> {
    let (seed, flows) = (seed.to_string(), flows.to_string());
    let more = ["--seed", &seed, "--flows", &flows];
    let both = [Deployment::Recarga, Deployment::Serrana];
    both.map(|deployment| Case::new(deployment, Policy::Epochs, "none", &more)).to_vec()
}

fn pairs() -> Vec<String> {
    let twice = PLANNED.iter().map(|fault| format!("{fault}+{fault}"));
    let beside = PLANNED.iter().flat_map(|a| BESIDE.map(|b| format!("{a}+{b}")));
    let lists = BESIDE_LISTS.map(|b| format!("list-change+{b}"));
    let others = ["two-operators+lapsed-lease", "burst+instance-killed", "burst+domain-cut"];
    twice.chain(beside).chain(lists).chain(others.map(str::to_owned)).collect()
}

/// Runs all cases, some at once, and returns them in their order.
///
/// # Errors
///
/// Fails if a case's arguments are wrong.
pub fn run_all(cases: Vec<Case>, threads: usize) -> Result<Vec<Row>, Usage> {
    let (next, rows) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((i, case)) = take(&next, &cases) {
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

fn take<'a>(next: &AtomicUsize, cases: &'a [Case]) -> Option<(usize, &'a Case)> {
    let i = next.fetch_add(1, Ordering::Relaxed);
    cases.get(i).map(|case| (i, case))
}

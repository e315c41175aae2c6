//! Faults that a run can inject, by name.

use std::str::FromStr;

/// One fault.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// Name on the command line.
    pub name: &'static str,
    /// Description for the help text.
    pub description: &'static str,
    /// Whether it is a planned change, which must not break flows.
    pub planned: bool,
}

/// All faults.
pub const FAULTS: &[Fault] = &[
    fault("instance-killed", "an instance is killed without notice"),
    fault("instance-paused", "an instance is paused for 10 s, then receives its queued input"),
    planned("instance-leaves", "an instance stops gracefully"),
    planned("instance-joins", "an instance starts"),
    planned("rolling-restart", "instances are restarted one by one, the next 2 s after the last"),
    planned("target-leaves", "a target drains and reports it when probed"),
    fault("target-killed", "a target is killed without notice"),
    planned("target-returns", "operators drain a target and return it 10 s later"),
    planned("target-cold", "a target that was dead from the start comes up cold"),
    fault("target-sheds", "a target refuses new work for 10 s"),
    fault("load-report-frozen", "a target keeps reporting the load at the start of the fault"),
    fault("load-report-false", "a target always reports zero load"),
    fault("platform-down", "the platform closes all calls for 10 s"),
    fault("platform-slow", "the platform takes 2 s per call for 10 s"),
    fault("answer-lost", "writes take effect but get no response for 10 s"),
    fault("platform-stale", "reads return the state at the start of the fault for 10 s"),
    fault("domain-cut", "a failure domain is partitioned from the others for 10 s"),
    fault("domain-and-platform-cut", "like domain-cut, and from the platform too"),
    fault("uneven-updates", "updates reach instances up to 4 s apart"),
    fault("port-reused", "callers reuse the ports of ended flows"),
    fault("list-change", "a list is changed once per second for 16 s"),
    fault("burst", "a customer opens 3 times what its plan allows for 16 s"),
    fault("two-operators", "two operators change a list concurrently, 5 times"),
    fault("lapsed-lease", "an operator waits 6 s between read and write"),
];

const fn fault(name: &'static str, description: &'static str) -> Fault {
    Fault { name, description, planned: false }
}

const fn planned(name: &'static str, description: &'static str) -> Fault {
    Fault { name, description, planned: true }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = FAULTS.iter().find(|fault| fault.name == text);
        found.copied().ok_or_else(|| format!("unknown fault {text:?}"))
    }
}

//! What can go wrong in a run, by name.

use std::str::FromStr;

/// One fault.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// Name on the command line.
    pub name: &'static str,
    /// What it does, for the help.
    pub about: &'static str,
    /// Whether it is a planned change, which breaks no flow.
    pub planned: bool,
}

/// All faults.
pub const FAULTS: &[Fault] = &[
    fault("instance-killed", "an instance ends without notice"),
    fault("instance-paused", "an instance stops for 10 s and gets what waited"),
    planned("instance-leaves", "an instance stops gracefully"),
    planned("instance-joins", "an instance starts"),
    planned("rolling-restart", "instances are restarted, the next 2 s after the last"),
    planned("target-leaves", "a target drains, and says so when it is probed"),
    fault("target-killed", "a target ends without notice"),
    planned("target-returns", "operators drain a target and return it 10 s later"),
    planned("target-cold", "a target that was away from the start comes cold"),
    fault("target-sheds", "a target refuses new work for 10 s"),
    fault("load-report-frozen", "a target reports the load of that time for ever"),
    fault("load-report-false", "a target reports that it has no load"),
    fault("platform-down", "the platform closes all calls for 10 s"),
    fault("platform-slow", "the platform answers after 2 s for 10 s"),
    fault("answer-lost", "writes take effect unanswered for 10 s"),
    fault("platform-stale", "reads give the state of when it began for 10 s"),
    fault("domain-cut", "a failure domain is cut off for 10 s"),
    fault("domain-and-platform-cut", "the same, from the platform too"),
    fault("uneven-updates", "news reaches instances up to 4 s apart"),
    fault("port-reused", "callers use the ports of ended flows"),
    fault("list-change", "a list is changed each second for 16 s"),
    fault("burst", "a customer opens 3 times what its plan allows for 16 s"),
    fault("two-operators", "two operators change a list at once, 5 times"),
    fault("lapsed-lease", "an operator sleeps for 6 s between read and write"),
];

const fn fault(name: &'static str, about: &'static str) -> Fault {
    Fault { name, about, planned: false }
}

const fn planned(name: &'static str, about: &'static str) -> Fault {
    Fault { name, about, planned: true }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = FAULTS.iter().find(|fault| fault.name == text);
        found.copied().ok_or_else(|| format!("no fault {text:?}"))
    }
}

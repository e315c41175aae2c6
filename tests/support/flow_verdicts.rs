//! Verdicts about open flows without excuses: which resets by instances hit flows that their targets
//! still hold, and how the callers of lost flows learn of the loss.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::instance::CheckOutcome;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::flow_callers::{DEADLINE, Sender};
use super::flow_targets::Process;
use super::flow_world::{CHECK_TIMEOUT, FlowWorld, REPORTED, Scheduled};
use super::support::*;
use super::world::DOMAINS;

/// Share of the connections to a sound target whose packets are lost.
const LOST_CHECKS: f64 = 0.01;
/// Share of the failing checks that are refused on the way, instead of getting no answer.
const REFUSED_CHECKS: f64 = 0.3;
/// Share of the results that are late for the time of a stall.
const LATE_CHECKS: f64 = 0.05;

/// How a caller learned that its flow was lost.
#[derive(Debug, Clone, Copy)]
pub struct Notice {
    /// Time since the loss.
    pub after: Duration,
    /// Time left until the caller would have given up its request, if it waits for an answer.
    pub saved: Option<Duration>,
}

/// Verdicts about the flows of a run.
#[derive(Debug)]
pub struct Verdicts {
    rng: SmallRng,
    /// Number of held flows that were reset or led astray, by what happened.
    pub held: BTreeMap<String, u32>,
    /// The same for flows whose routes a configuration has removed, and resets of open flows that their
    /// callers did not take.
    pub dropped: BTreeMap<String, u32>,
    /// The first one of each, with what happened before.
    pub first: BTreeMap<String, String>,
    /// How the callers of lost flows learned of the loss.
    pub notices: BTreeMap<String, Vec<Notice>>,
}

impl Verdicts {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed ^ 0x7e57),
            held: BTreeMap::new(),
            dropped: BTreeMap::new(),
            first: BTreeMap::new(),
            notices: BTreeMap::new(),
        }
    }
}

impl FlowWorld {
    /// Returns whether a process is in a failure domain that an instance does not reach.
    pub fn is_split(&self, i: usize, process: &Process) -> bool {
        self.world.split && process.entry.failure_domain != DOMAINS[i % 2]
    }

    /// Returns why a connection of an instance to an address fails, if it does.
    fn why_failing(&mut self, i: usize, address: SocketAddr) -> Option<&'static str> {
        let now = self.world.now;
        let process = self.processes.iter().find(|process| process.runs_at(address));
        let Some(process) = process else { return Some("ended") };
        match () {
            () if now < process.cut_until => Some("cut"),
            () if self.is_split(i, process) => Some("split"),
            () if now < process.halted_until => Some("halted"),
            () if now < process.full_until => Some("full"),
            () if self.verdicts.rng.random_bool(LOST_CHECKS) => Some("packets lost"),
            () => None,
        }
    }

    /// Checks a connection, with a result that may be wrong or late.
    pub(super) fn check_misleadingly(&mut self, i: usize, address: SocketAddr) {
        let why = self.why_failing(i, address);
        let rng = &mut self.verdicts.rng;
        let is_refused = match why {
            Some("ended") => rng.random_bool(0.7),
            Some("cut" | "split") => rng.random_bool(REFUSED_CHECKS),
            _ => false,
        };
        let outcome = match why {
            None => CheckOutcome::Accepted,
            Some(_) if is_refused => CheckOutcome::Refused,
            Some(_) => CheckOutcome::NoAnswer,
        };
        let is_prompt = outcome != CheckOutcome::NoAnswer;
        let mut delay = if is_prompt { ms(1) } else { CHECK_TIMEOUT };
        if rng.random_bool(0.2) {
            delay += ms(rng.random_range(0..400));
        }
        if rng.random_bool(LATE_CHECKS) {
            delay += ms(rng.random_range(500..4_000));
        }
        self.schedule(delay, Scheduled::Checked(i, address, outcome));
    }

    /// Returns whether a check has failed because its instance stands still.
    pub(super) fn is_stalled(&mut self, i: usize) -> bool {
        self.misleading && self.world.paused.contains_key(&i) && self.verdicts.rng.random_bool(0.5)
    }

    /// Ends a process, which loses its flows.
    pub fn crash(&mut self, p: usize) {
        let now = self.world.now;
        let process = &self.processes[p];
        for (&port, flow) in &mut self.flows {
            let is_own = flow.accepted.is_some_and(|(owner, _)| owner == p);
            if flow.open && !flow.ended && is_own && process.holds(port) {
                flow.lost = Some(now);
            }
        }
        self.processes[p].crash();
    }

    /// Counts a reset of an open flow by another sender than its target, if that holds the flow.
    pub(super) fn count_reset(&mut self, port: u16, from: Sender, via: usize, reason: &str) {
        let flow = &self.flows[&port];
        let Some((p, _)) = flow.accepted else { return };
        if !flow.open || flow.ended || flow.counted || !self.processes[p].holds(port) {
            return;
        }
        let name = match from {
            Sender::Instance(_) => reason.to_owned(),
            Sender::Process(_) => "another target's word".to_owned(),
        };
        self.count_held(port, name, &format!("by {from:?} via i{via}"));
    }

    /// Counts a flow whose packets go to another process only.
    pub(super) fn count_stray(&mut self, port: u16, to: usize) {
        let flow = &self.flows[&port];
        let Some((p, _)) = flow.accepted else { return };
        if flow.open && !flow.ended && !flow.counted && self.processes[p].holds(port) {
            let (own, other) = (&self.processes[p].entry, &self.processes[to].entry);
            let name = if own.address == other.address {
                "strays to its address".to_owned()
            } else if own.key == other.key {
                "strays to its key".to_owned()
            } else {
                "strays".to_owned()
            };
            self.count_held(port, name, &format!("to p{to}"));
        }
    }

    fn count_held(&mut self, port: u16, name: String, what: &str) {
        let now = self.world.now;
        let flow = self.flows.get_mut(&port).expect("a flow");
        flow.counted = true;
        // A configuration may end the flows of a route that it removes.
        if flow.dropped {
            *self.verdicts.dropped.entry(name).or_default() += 1;
            return;
        }
        let (p, _) = flow.accepted.expect("accepted");
        *self.verdicts.held.entry(name.clone()).or_default() += 1;
        let events = self.events.iter().filter(|(at, _)| now < *at + REPORTED);
        let events: Vec<_> = events.map(|(at, event)| format!("  {at:?} {event}")).collect();
        let trace = flow.trace.join("\n    ");
        let own = format!("p{p} {:?}", self.processes[p].entry);
        self.verdicts.first.entry(name).or_insert_with(|| {
            format!("port {port} {what} at {now:?}; own {own}\n{}\n    {trace}", events.join("\n"))
        });
    }

    /// Records how the caller of a lost flow learns of the loss.
    pub(super) fn count_notice(&mut self, port: u16, by: &str) {
        let now = self.world.now;
        let flow = &self.flows[&port];
        let Some(lost) = flow.lost else { return };
        let left = |requested: Duration| (requested + DEADLINE).saturating_sub(now);
        let notice = Notice { after: now - lost, saved: flow.requested.map(left) };
        self.verdicts.notices.entry(by.to_owned()).or_default().push(notice);
    }

    /// Records the lost flows whose callers have not noticed, and returns all verdicts.
    pub fn end(&mut self) -> &Verdicts {
        let unnoticed = self.flows.iter().filter(|(_, flow)| flow.lost.is_some() && !flow.ended);
        let unnoticed: Vec<_> = unnoticed.map(|(&port, _)| port).collect();
        for port in unnoticed {
            self.count_notice(port, "not noticed at the end");
        }
        &self.verdicts
    }
}

/// Verdicts of all runs.
#[derive(Debug, Default)]
pub struct Totals {
    held: BTreeMap<String, (u32, u32)>,
    dropped: BTreeMap<String, u32>,
    notices: BTreeMap<String, Vec<Notice>>,
}

impl Totals {
    pub fn add(&mut self, verdicts: &Verdicts) {
        for (name, n) in &verdicts.held {
            let (flows, seeds) = self.held.entry(name.clone()).or_default();
            *flows += n;
            *seeds += 1;
        }
        for (name, n) in &verdicts.dropped {
            *self.dropped.entry(name.clone()).or_default() += n;
        }
        for (name, notices) in &verdicts.notices {
            self.notices.entry(name.clone()).or_default().extend(notices);
        }
    }
}

impl fmt::Display for Totals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "held flows: flows, seeds")?;
        for (name, (flows, seeds)) in &self.held {
            writeln!(f, "  {name}: {flows}, {seeds}")?;
        }
        let allowed = "the same on removed routes, and resets that callers did not take";
        writeln!(f, "{allowed}: {:?}", self.dropped)?;
        writeln!(
            f,
            "lost flows: noticed by, flows, median s after the loss, waiting, median s saved"
        )?;
        for (name, notices) in &self.notices {
            let after = median(notices.iter().map(|notice| notice.after).collect());
            let saved: Vec<_> = notices.iter().filter_map(|notice| notice.saved).collect();
            let (n, waiting) = (notices.len(), saved.len());
            writeln!(f, "  {name}: {n}, {after:.2}, {waiting}, {:.2}", median(saved))?;
        }
        let saved = self.notices.values().flatten().filter_map(|notice| notice.saved);
        let waited: Vec<_> = saved.map(|saved| (DEADLINE - saved).as_secs_f64()).collect();
        writeln!(f, "callers of lost flows waited {:.0} s in all", waited.iter().sum::<f64>())?;
        Ok(())
    }
}

/// Returns the median in seconds, or 0 without values.
fn median(mut values: Vec<Duration>) -> f64 {
    values.sort_unstable();
    values.get(values.len() / 2).map_or(0.0, Duration::as_secs_f64)
}

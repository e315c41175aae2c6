//! Results of a run and the line that it prints.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use limpetdeck::hash::HashMap;

use super::traffic::FlowUid;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Scale of ratios in histograms.
const RATIO_SCALE: f64 = 1_000.0;

/// Histogram without an upper bound.
#[derive(Debug)]
pub struct Histogram(hdrhistogram::Histogram<u64>);

impl Default for Histogram {
    fn default() -> Self {
        // The library accepts this constant.
        Self(hdrhistogram::Histogram::new(SIGNIFICANT_DIGITS).expect("digits are from 0 to 5"))
    }
}

impl Histogram {
    /// Records a value.
    pub fn add(&mut self, value: u64) {
        // The histogram resizes itself, so recording cannot fail.
        let _ = self.0.record(value);
    }

    /// Returns the value at quantile `q` (0 to 1), or 0 if there are no values.
    pub fn quantile(&self, q: f64) -> u64 {
        self.0.value_at_quantile(q)
    }
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct RunResult {
    /// Flows that callers tried to open.
    pub flows: u64,
    /// Flows broken in a run with a planned change, except those of killed targets.
    pub broken_planned: u64,
    /// All other broken flows.
    pub broken_unplanned: u64,
    /// Flows refused before their work was executed.
    pub refused: u64,
    /// Refused flows, to be compared with the executed ones.
    pub refused_flows: Vec<FlowUid>,
    /// Number of executions of each flow's work.
    pub executions: HashMap<FlowUid, u32>,
    /// Packets that reached a target of another service.
    pub wrong_service: u64,
    /// New connections on a draining target after the allowed time.
    pub late_new_work: u64,
    /// Longest time after a drain was first known at which the target got a new connection.
    pub max_new_work_delay: Duration,
    /// Open flows of the busiest target divided by its fair share, in thousandths.
    pub imbalance: Histogram,
    /// Work of the busiest target divided by its fair share, in thousandths.
    pub slot_imbalance: Histogram,
    /// Waiting times for a slot, in microseconds.
    pub slot_wait: Histogram,
    /// Packets received from the fabric.
    pub packets: u64,
    /// Packets redirected from one instance to another.
    pub redirects: u64,
    /// Control bytes by instance and second.
    pub control_bytes_per_s: HashMap<(u32, u64), u64>,
    /// Largest flow state of an instance, in bytes.
    pub max_state_bytes: usize,
    /// Highest number of open flows.
    pub max_open_flows: usize,
    /// Wall-clock time of decisions about known flows, in nanoseconds.
    pub decision_time: Histogram,
    /// Times until a change was active on an instance, in microseconds.
    pub list_change_time: Option<Histogram>,
    /// Number of times that an instance reverted to an older version.
    pub reverts: u64,
    /// Excess of a customer over its allowance, as a fraction of the allowance.
    pub overshoot: Option<f64>,
    /// Fraction of the flows of customers within their allowances that were refused.
    pub wrong_refusals: Option<f64>,
    /// Accepted changes that are missing on some running instance at the end.
    pub lost_changes: u64,
}

impl RunResult {
    /// Returns the number of flows whose work was executed more than once.
    pub fn executed_twice(&self) -> usize {
        self.executions.values().filter(|&&executions| executions > 1).count()
    }

    /// Returns the number of refused flows whose work was executed.
    pub fn refused_but_ran(&self) -> usize {
        self.refused_flows.iter().filter(|flow| self.executions.contains_key(*flow)).count()
    }

    /// Returns the 99th percentile of control bytes per instance and second.
    pub fn control_bytes(&self) -> u64 {
        let mut values = Histogram::default();
        self.control_bytes_per_s.values().for_each(|&bytes| values.add(bytes));
        values.quantile(0.99)
    }

    /// Returns the mean number of redirects per packet.
    pub fn redirects_per_packet(&self) -> f64 {
        self.redirects as f64 / self.packets.max(1) as f64
    }
}

/// Records a ratio in a histogram, in thousandths.
pub fn record_ratio(values: &mut Histogram, ratio: f64) {
    values.add((ratio * RATIO_SCALE) as u64);
}

impl Display for RunResult {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let ratio = |values: &Histogram| values.quantile(0.99) as f64 / RATIO_SCALE;
        let millis = |values: &Histogram| values.quantile(0.99) as f64 / 1_000.0;
        write!(f, "flows={} broken_planned={}", self.flows, self.broken_planned)?;
        write!(f, " broken_unplanned={}", self.broken_unplanned)?;
        write!(f, " executed_twice={}", self.executed_twice())?;
        write!(f, " refused_but_ran={}", self.refused_but_ran())?;
        write!(f, " wrong_service={}", self.wrong_service)?;
        write!(f, " late_new_work={}", self.late_new_work)?;
        write!(f, " new_work_max_delay_ms={}", self.max_new_work_delay.as_millis())?;
        write!(f, " imbalance_p99={:.3}", ratio(&self.imbalance))?;
        write!(f, " slot_imbalance_p99={:.3}", ratio(&self.slot_imbalance))?;
        write!(f, " slot_wait_ms_p99={:.3}", millis(&self.slot_wait))?;
        write!(f, " extra_hops_per_packet={:.3}", self.redirects_per_packet())?;
        write!(f, " control_bytes_per_s_p99={}", self.control_bytes())?;
        write!(f, " state_bytes_per_instance={}", self.max_state_bytes)?;
        write!(f, " decide_ns_p50={}", self.decision_time.quantile(0.5))?;
        write!(f, " decide_ns_p99={}", self.decision_time.quantile(0.99))?;
        write!(f, " refused={}", self.refused)?;
        if let Some(list_change) = &self.list_change_time {
            write!(f, " list_change_ms_p99={:.3}", millis(list_change))?;
            write!(f, " reverts={} lost_changes={}", self.reverts, self.lost_changes)?;
        }
        if let (Some(overshoot), Some(wrong)) = (self.overshoot, self.wrong_refusals) {
            write!(f, " overshoot={overshoot:.4} wrong_refusals={wrong:.4}")?;
        }
        Ok(())
    }
}

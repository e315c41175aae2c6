//! What a run counts, and the line that it prints.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use hdrhistogram::Histogram;
use limpetdeck::hash::HashMap;

use super::traffic::FlowStart;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;
/// Factor by which ratios are kept in histograms.
const RATIO: f64 = 1_000.0;

/// A histogram that takes every value.
#[derive(Debug)]
pub struct Values(Histogram<u64>);

impl Default for Values {
    fn default() -> Self {
        // The number of digits is a constant that the library takes.
        Self(Histogram::new(DIGITS).expect("digits are from 0 to 5"))
    }
}

impl Values {
    /// Takes a value.
    pub fn add(&mut self, value: u64) {
        // The histogram grows with its values, so only memory could fail it.
        let _ = self.0.record(value);
    }

    /// Returns a quantile, 0 without values.
    pub fn quantile(&self, q: f64) -> u64 {
        self.0.value_at_quantile(q)
    }
}

/// What a run counts.
#[derive(Debug, Default)]
pub struct Figures {
    /// Flows that were opened.
    pub flows: u64,
    /// Flows that a planned change has broken.
    pub broken_planned: u64,
    /// Flows broken otherwise, those of killed targets among them.
    pub broken_unplanned: u64,
    /// Flows refused as not run.
    pub refused: u64,
    /// Refused flows, to be compared with what has run.
    pub refused_flows: Vec<FlowStart>,
    /// How often the work of each flow has run.
    pub runs: HashMap<FlowStart, u32>,
    /// Packets that reached a target of another service.
    pub wrong_service: u64,
    /// New connections on a leaving target after the bound.
    pub late_new_work: u64,
    /// Longest time after a leaving was known at which its target got new work.
    pub new_work_delay: Duration,
    /// Busiest target's open flows over its fair share, in thousandths.
    pub imbalance: Values,
    /// Busiest target's work over its fair share, in thousandths.
    pub slot_imbalance: Values,
    /// Waits for a slot, in microseconds.
    pub slot_wait: Values,
    /// Packets that came from the fabric.
    pub packets: u64,
    /// Times that packets were passed between instances.
    pub hops: u64,
    /// Control bytes by instance and second.
    pub control: HashMap<(u32, u64), u64>,
    /// Bytes of state of each instance, the largest seen.
    pub state_bytes: usize,
    /// Open flows, the most that were seen at once.
    pub open_flows: usize,
    /// Wall time of decisions about known flows, in nanoseconds.
    pub decide: Values,
    /// Times until a change was in force on an instance, in microseconds.
    pub list_change: Option<Values>,
    /// Times that an instance went back to an older version.
    pub reverts: u64,
    /// How far a customer came over its allowance, as a part of it.
    pub overshoot: Option<f64>,
    /// Part of the flows of customers within their allowances that were refused.
    pub wrong_refusals: Option<f64>,
    /// Accepted changes that some instance lacks in the end.
    pub lost_changes: u64,
}

impl Figures {
    /// Returns the flows whose work has run more than once.
    pub fn executed_twice(&self) -> usize {
        self.runs.values().filter(|&&runs| runs > 1).count()
    }

    /// Returns the flows that were refused as not run and have run.
    pub fn refused_but_ran(&self) -> usize {
        self.refused_flows.iter().filter(|flow| self.runs.contains_key(*flow)).count()
    }

    /// Returns the 99th percentile of the control bytes over instances and seconds.
    pub fn control_bytes(&self) -> u64 {
        let mut values = Values::default();
        self.control.values().for_each(|&bytes| values.add(bytes));
        values.quantile(0.99)
    }

    /// Returns the times that a packet was passed between instances on average.
    pub fn extra_hops(&self) -> f64 {
        self.hops as f64 / self.packets.max(1) as f64
    }
}

/// Takes a ratio into a histogram.
pub fn add_ratio(values: &mut Values, ratio: f64) {
    values.add((ratio * RATIO) as u64);
}

impl Display for Figures {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let ratio = |values: &Values| values.quantile(0.99) as f64 / RATIO;
        let millis = |values: &Values| values.quantile(0.99) as f64 / 1_000.0;
        write!(f, "flows={} broken_planned={}", self.flows, self.broken_planned)?;
        write!(f, " broken_unplanned={}", self.broken_unplanned)?;
        write!(f, " executed_twice={}", self.executed_twice())?;
        write!(f, " refused_but_ran={}", self.refused_but_ran())?;
        write!(f, " wrong_service={}", self.wrong_service)?;
        write!(f, " late_new_work={}", self.late_new_work)?;
        write!(f, " new_work_max_delay_ms={}", self.new_work_delay.as_millis())?;
        write!(f, " imbalance_p99={:.3}", ratio(&self.imbalance))?;
        write!(f, " slot_imbalance_p99={:.3}", ratio(&self.slot_imbalance))?;
        write!(f, " slot_wait_ms_p99={:.3}", millis(&self.slot_wait))?;
        write!(f, " extra_hops_per_packet={:.3}", self.extra_hops())?;
        write!(f, " control_bytes_per_s_p99={}", self.control_bytes())?;
        write!(f, " state_bytes_per_instance={}", self.state_bytes)?;
        write!(f, " decide_ns_p50={}", self.decide.quantile(0.5))?;
        write!(f, " decide_ns_p99={}", self.decide.quantile(0.99))?;
        write!(f, " refused={}", self.refused)?;
        if let Some(list_change) = &self.list_change {
            write!(f, " list_change_ms_p99={:.3}", millis(list_change))?;
            write!(f, " reverts={} lost_changes={}", self.reverts, self.lost_changes)?;
        }
        if let (Some(overshoot), Some(wrong)) = (self.overshoot, self.wrong_refusals) {
            write!(f, " overshoot={overshoot:.4} wrong_refusals={wrong:.4}")?;
        }
        Ok(())
    }
}

//! Bounds the influence of the load that targets report.
//!
//! A report lags and may be wrong. It corrects the placer's own count gradually and within
//! bounds, and is ignored once it contradicts that count.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Report;
use crate::ids::TargetId;
use crate::placement::Load;

/// Time in which a correction grows from 0 to its bound.
const FULL_CORRECTION_TIME: Duration = Duration::from_secs(5);
/// Age from which the weight of a report decreases.
const FADE_DELAY: Duration = Duration::from_secs(5);
/// Time in which the weight of an old report decreases to 0.
const FADE_TIME: Duration = Duration::from_secs(5);
/// Time for which a target may repeat the same report while the counts change.
const MAX_REPEAT_TIME: Duration = Duration::from_secs(4);
/// Change of the counts, in flows, that makes a repeated report untrusted.
const MIN_FROZEN_CHANGE: u32 = 8;
/// Time for which a report may show less than half of the counted flows, as reports lag.
const MAX_LAG: Duration = Duration::from_secs(3);
/// Minimum number of counted flows at which a report of less than half of them is checked.
const MIN_COMPARED_FLOWS: u32 = 4;
/// Time without a contradiction after which a report is trusted again.
const DISTRUST_TIME: Duration = Duration::from_secs(30);

/// Load of a target as its placer counts it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CountedLoad {
    /// The counted flows.
    pub load: Load,
    /// Slots of the target.
    pub slots: u32,
}

/// Corrected load of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadHint {
    /// Flows in slots or waiting for one: at least half of the counted ones, at most the
    /// counted ones plus the slots.
    pub busy: f64,
    /// Open flows: between half and twice the counted ones.
    pub open: f64,
    /// Whether the reports are trusted.
    pub trusted: bool,
}

/// Corrects the counted load of targets by their reports.
#[derive(Debug, Default)]
pub struct ReportFilter {
    histories: BTreeMap<TargetId, ReportHistory>,
}

/// Range of the counts while a report repeated itself.
#[derive(Debug, Clone, Copy)]
struct LoadRange {
    since: Duration,
    min: Load,
    max: Load,
}

#[derive(Debug)]
struct ReportHistory {
    report: Report,
    received: Duration,
    repeated: LoadRange,
    /// Time from which the report has shown less than half of the counted flows.
    understated_since: Option<Duration>,
    distrusted_until: Option<Duration>,
    /// Corrections of the counts, in flows.
    busy: f64,
    open: f64,
}

impl ReportFilter {
    /// Records a report of a target and the load counted at the same time.
    pub fn report(
        &mut self,
        now: Duration,
        target: TargetId,
        report: Report,
        counted: CountedLoad,
    ) {
        let history = self
            .histories
            .entry(target)
            .or_insert_with(|| ReportHistory::new(now, report, counted));
        history.check_frozen(now, report, counted);
        history.check_understated(now, report, counted);
        history.update_corrections(now, report, counted);
        history.report = report;
        history.received = now;
    }

    /// Returns the corrected load of a target.
    pub fn hint(&self, now: Duration, target: TargetId, counted: CountedLoad) -> LoadHint {
        let (short_lived, open) =
            (f64::from(counted.load.short_lived), f64::from(counted.load.open));
        let Some(history) = self.histories.get(&target) else {
            return LoadHint { busy: short_lived, open, trusted: false };
        };
        let weight = history.weight(now);
        let busy = short_lived + history.busy * weight;
        LoadHint {
            busy: busy.clamp(short_lived / 2.0, short_lived + f64::from(counted.slots)),
            open: (open + history.open * weight).clamp(open / 2.0, open * 2.0),
            trusted: history.trusted(now) && weight > 0.0,
        }
    }

    /// Removes the targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(TargetId) -> bool) {
        self.histories.retain(|&target, _| keep(target));
    }
}

impl ReportHistory {
    fn new(now: Duration, report: Report, counted: CountedLoad) -> Self {
        Self {
            report,
            received: now,
            repeated: LoadRange::new(now, counted.load),
            understated_since: None,
            distrusted_until: None,
            busy: 0.0,
            open: 0.0,
        }
    }

    /// Distrusts a report that repeats itself although the counts change.
    fn check_frozen(&mut self, now: Duration, report: Report, counted: CountedLoad) {
        if report != self.report {
            self.repeated = LoadRange::new(now, counted.load);
            return;
        }
        self.repeated.extend(counted.load);
        let long = now.saturating_sub(self.repeated.since) >= MAX_REPEAT_TIME;
        if long && self.repeated.width() >= MIN_FROZEN_CHANGE {
            self.distrust(now);
        }
    }

    /// Distrusts a report that shows less than half of the counted flows for longer than lag
    /// explains.
    fn check_understated(&mut self, now: Duration, report: Report, counted: CountedLoad) {
        let open = counted.load.open;
        if open < MIN_COMPARED_FLOWS || report.open >= open / 2 {
            self.understated_since = None;
            return;
        }
        let since = *self.understated_since.get_or_insert(now);
        if now.saturating_sub(since) >= MAX_LAG {
            self.distrust(now);
        }
    }

    fn distrust(&mut self, now: Duration) {
        self.distrusted_until = Some(now + DISTRUST_TIME);
    }

    fn trusted(&self, now: Duration) -> bool {
        self.distrusted_until.is_none_or(|until| now >= until)
    }

    /// Moves the corrections towards the report, or towards 0 if it is not trusted.
    fn update_corrections(&mut self, now: Duration, report: Report, counted: CountedLoad) {
        let trusted = self.trusted(now);
        let share =
            now.saturating_sub(self.received).as_secs_f64() / FULL_CORRECTION_TIME.as_secs_f64();
        let correction = |reported: u32, counted: u32| {
            if trusted { f64::from(reported) - f64::from(counted) } else { 0.0 }
        };
        let Load { open, short_lived } = counted.load;
        let busy = correction(report.slots_used.saturating_add(report.waiting), short_lived);
        let slots = f64::from(counted.slots.max(1));
        self.busy = move_towards(self.busy, busy.min(slots), slots * share);
        let open_bound = f64::from(open.max(1));
        self.open = move_towards(
            self.open,
            correction(report.open, open).min(open_bound),
            open_bound * share,
        );
    }

    /// Returns the weight of the corrections, which decreases from 1 to 0 with the age of the
    /// report.
    fn weight(&self, now: Duration) -> f64 {
        let past_delay = now.saturating_sub(self.received).saturating_sub(FADE_DELAY);
        (1.0 - past_delay.as_secs_f64() / FADE_TIME.as_secs_f64()).max(0.0)
    }
}

impl LoadRange {
    fn new(since: Duration, load: Load) -> Self {
        Self { since, min: load, max: load }
    }

    fn extend(&mut self, load: Load) {
        self.min.open = self.min.open.min(load.open);
        self.min.short_lived = self.min.short_lived.min(load.short_lived);
        self.max.open = self.max.open.max(load.open);
        self.max.short_lived = self.max.short_lived.max(load.short_lived);
    }

    fn width(&self) -> u32 {
        (self.max.open - self.min.open) + (self.max.short_lived - self.min.short_lived)
    }
}

fn move_towards(from: f64, to: f64, max_step: f64) -> f64 {
    from + (to - from).clamp(-max_step, max_step)
}

//! How far the load that a target reports is believed.
//!
//! A report lags and may mislead. It corrects what the placer of a service counts itself,
//! within bounds and step by step, and not at all once it contradicts those counts.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Report;
use crate::ids::TargetId;
use crate::placement::Load;

/// Time in which a correction may grow from nothing to its bound.
const FULL_MOVE: Duration = Duration::from_secs(5);
/// Age from which a report fades.
const FADES_FROM: Duration = Duration::from_secs(5);
/// Time in which an old report fades to nothing.
const FADE_TIME: Duration = Duration::from_secs(5);
/// Time for which a report may repeat itself while the counts change.
const FROZEN_AFTER: Duration = Duration::from_secs(4);
/// Change of the counts while a report repeats itself, in flows.
const FROZEN_CHANGE: u32 = 8;
/// Time for which a report may show less than half of the counted flows.
const LAG: Duration = Duration::from_secs(3);
/// Counted flows from which a report of less than half is held against it.
const LAG_FLOWS: u32 = 4;
/// Time without a contradiction after which a report is believed again.
const DISTRUST: Duration = Duration::from_secs(30);

/// What the placer counts itself about a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Seen {
    /// The counted flows.
    pub load: Load,
    /// Slots of the target.
    pub slots: u32,
}

/// The load of a target as it should be weighed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadHint {
    /// Work in slots or waiting for one: from half of what is counted to a full target more.
    pub busy: f64,
    /// Open flows: from half of what is counted to twice as much.
    pub open: f64,
    /// Whether the reports are believed.
    pub trusted: bool,
}

/// Weighs the load reports of targets.
#[derive(Debug, Default)]
pub struct ReportFilter {
    tracks: BTreeMap<TargetId, Track>,
}

/// Values that the counts had while a report repeated itself.
#[derive(Debug, Clone, Copy)]
struct Span {
    since: Duration,
    least: Load,
    most: Load,
}

#[derive(Debug)]
struct Track {
    report: Report,
    at: Duration,
    repeated: Span,
    /// Since when the report shows less than half of the counted flows.
    short_since: Option<Duration>,
    distrusted_until: Option<Duration>,
    /// Corrections of the counts, in flows.
    busy: f64,
    open: f64,
}

impl ReportFilter {
    /// Takes a report of a target, with what is counted at the same time.
    pub fn report(&mut self, now: Duration, target: TargetId, report: Report, seen: Seen) {
        let track = self.tracks.entry(target).or_insert_with(|| Track::new(now, report, seen));
        track.repeat(now, report, seen);
        track.compare(now, report, seen);
        track.correct(now, report, seen);
        track.report = report;
        track.at = now;
    }

    /// Returns how the load of a target should be weighed now.
    pub fn hint(&self, now: Duration, target: TargetId, seen: Seen) -> LoadHint {
        let (young, open) = (f64::from(seen.load.young), f64::from(seen.load.open));
        let Some(track) = self.tracks.get(&target) else {
            return LoadHint { busy: young, open, trusted: false };
        };
        let part = track.part(now);
        let busy = young + track.busy * part;
        LoadHint {
            busy: busy.clamp(young / 2.0, young + f64::from(seen.slots)),
            open: (open + track.open * part).clamp(open / 2.0, open * 2.0),
            trusted: track.trusted(now) && part > 0.0,
        }
    }

    /// Forgets the targets that are not among the given ones.
    pub fn retain(&mut self, keep: impl Fn(TargetId) -> bool) {
        self.tracks.retain(|&target, _| keep(target));
    }
}

impl Track {
    fn new(now: Duration, report: Report, seen: Seen) -> Self {
        Self {
            report,
            at: now,
            repeated: Span::new(now, seen.load),
            short_since: None,
            distrusted_until: None,
            busy: 0.0,
            open: 0.0,
        }
    }

    /// Distrusts a report that repeats itself although the counts change.
    fn repeat(&mut self, now: Duration, report: Report, seen: Seen) {
        if report != self.report {
            self.repeated = Span::new(now, seen.load);
            return;
        }
        self.repeated.add(seen.load);
        let long = now.saturating_sub(self.repeated.since) >= FROZEN_AFTER;
        if long && self.repeated.change() >= FROZEN_CHANGE {
            self.distrust(now);
        }
    }

    /// Distrusts a report that shows far less than what is counted, and not for lag.
    fn compare(&mut self, now: Duration, report: Report, seen: Seen) {
        let open = seen.load.open;
        if open < LAG_FLOWS || report.open >= open / 2 {
            self.short_since = None;
            return;
        }
        let since = *self.short_since.get_or_insert(now);
        if now.saturating_sub(since) >= LAG {
            self.distrust(now);
        }
    }

    fn distrust(&mut self, now: Duration) {
        self.distrusted_until = Some(now + DISTRUST);
    }

    fn trusted(&self, now: Duration) -> bool {
        self.distrusted_until.is_none_or(|until| now >= until)
    }

    /// Moves the corrections towards what the report says, or back to nothing.
    fn correct(&mut self, now: Duration, report: Report, seen: Seen) {
        let trusted = self.trusted(now);
        let moved = now.saturating_sub(self.at).as_secs_f64() / FULL_MOVE.as_secs_f64();
        let wanted = |said: u32, counted: u32| {
            if trusted { f64::from(said) - f64::from(counted) } else { 0.0 }
        };
        let Load { open, young } = seen.load;
        let busy = wanted(report.slots_used.saturating_add(report.waiting), young);
        let slots = f64::from(seen.slots.max(1));
        self.busy = step(self.busy, busy.min(slots), slots * moved);
        let most = f64::from(open.max(1));
        self.open = step(self.open, wanted(report.open, open).min(most), most * moved);
    }

    /// Returns the part of the corrections that counts: an old report fades.
    fn part(&self, now: Duration) -> f64 {
        let over = now.saturating_sub(self.at).saturating_sub(FADES_FROM);
        (1.0 - over.as_secs_f64() / FADE_TIME.as_secs_f64()).max(0.0)
    }
}

impl Span {
    fn new(since: Duration, load: Load) -> Self {
        Self { since, least: load, most: load }
    }

    fn add(&mut self, load: Load) {
        self.least.open = self.least.open.min(load.open);
        self.least.young = self.least.young.min(load.young);
        self.most.open = self.most.open.max(load.open);
        self.most.young = self.most.young.max(load.young);
    }

    fn change(&self) -> u32 {
        (self.most.open - self.least.open) + (self.most.young - self.least.young)
    }
}

fn step(from: f64, to: f64, most: f64) -> f64 {
    from + (to - from).clamp(-most, most)
}

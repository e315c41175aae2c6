//! Whether it is the target or the path to it that is broken.

use std::time::Duration;

use super::watch::Watch;

/// Targets of a failure domain whose probes say whether the path to it is broken.
pub(super) const ENOUGH: usize = 3;
/// Time after which targets may be dead although most of their failure domain fails, as
/// long as not all of it does.
const DOUBT_TIME: Duration = Duration::from_secs(10);

/// What is known of the path to a target that does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Path {
    Works,
    Broken,
    /// Too few other probes have ended since.
    Unknown,
}

/// Judges the path to a target that does not answer, by targets that were probed since it
/// began to fail, this one among them. If most of those in its failure domain fail, it is
/// rather the path, or this instance, that is broken. `expected` counts the targets of the
/// failure domain that should answer.
pub(super) fn judge(
    now: Duration,
    watch: &Watch,
    probed: &[&Watch],
    expected: impl Fn() -> usize,
) -> Path {
    let near = Sample::of(probed.iter().filter(|other| other.domain == watch.domain));
    if near.all < ENOUGH && near.all < expected() {
        return Path::Unknown;
    }
    let sample = if near.all > 1 { near } else { Sample::of(probed.iter()) };
    let broken = match sample.all {
        // There is nothing to compare with, but the other prober has to agree.
        0 | 1 => watch.probers.len() < 2,
        _ if watch.failing_for(now) < DOUBT_TIME => sample.most_fail(),
        _ => sample.all_fail(),
    };
    if broken { Path::Broken } else { Path::Works }
}

/// How many of some targets fail.
#[derive(Debug, Clone, Copy)]
struct Sample {
    fails: usize,
    all: usize,
}

impl Sample {
    fn of<'a>(watches: impl Iterator<Item = &'a &'a Watch>) -> Self {
        let (fails, all) = watches
            .fold((0, 0), |(fails, all), watch| (fails + usize::from(watch.fails()), all + 1));
        Self { fails, all }
    }

    fn most_fail(self) -> bool {
        self.fails * 2 > self.all
    }

    fn all_fail(self) -> bool {
        self.fails == self.all
    }
}

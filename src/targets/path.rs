//! Decides whether a target or the path to it has failed.

use std::time::Duration;

use super::probe_state::ProbeState;

/// Number of probed targets of a failure domain that suffices to decide whether the path to it is
/// broken.
pub(super) const MIN_SAMPLE: usize = 3;
/// Time for which a majority of failing targets means a broken path; after that all have to
/// fail.
const MAJORITY_PERIOD: Duration = Duration::from_secs(10);

/// State of the path to a target that does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PathStatus {
    Works,
    Broken,
    /// Too few other probes have finished since the target began to fail.
    Unknown,
}

/// Determines the state of the path to a target that does not answer from the targets that were
/// probed since it began to fail, including itself. If most of those in its failure domain
/// fail, the likely cause is the path or this instance. `expected` returns the number of
/// targets of the failure domain that should answer.
pub(super) fn path_status(
    now: Duration,
    probe: &ProbeState,
    probed: &[&ProbeState],
    expected: impl Fn() -> usize,
) -> PathStatus {
    let same_domain = Sample::of(probed.iter().filter(|other| other.domain == probe.domain));
    if same_domain.total < MIN_SAMPLE && same_domain.total < expected() {
        return PathStatus::Unknown;
    }
    let sample = if same_domain.total > 1 { same_domain } else { Sample::of(probed.iter()) };
    let broken = match sample.total {
        // There is no other target to compare with, so another prober has to agree.
        0 | 1 => probe.probers.len() < 2,
        _ if probe.failing_for(now) < MAJORITY_PERIOD => sample.most_failing(),
        _ => sample.all_failing(),
    };
    if broken { PathStatus::Broken } else { PathStatus::Works }
}

/// Number of probed and of failing targets.
#[derive(Debug, Clone, Copy)]
struct Sample {
    failing: usize,
    total: usize,
}

impl Sample {
    fn of<'a>(probes: impl Iterator<Item = &'a &'a ProbeState>) -> Self {
        let (failing, total) = probes.fold((0, 0), |(failing, total), probe| {
            (failing + usize::from(probe.is_failing()), total + 1)
        });
        Self { failing, total }
    }

    fn most_failing(self) -> bool {
        self.failing * 2 > self.total
    }

    fn all_failing(self) -> bool {
        self.failing == self.total
    }
}

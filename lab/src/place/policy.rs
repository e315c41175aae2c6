//! The target selection policies.

use limpetdeck::steering::{Candidate, select_target};
use rand::Rng;
use rand::rngs::SmallRng;

/// A target selection policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// A random target.
    Random,
    /// The next target in turn; each instance has its own turn.
    RoundRobin,
    /// The less busy of two random targets, by the load that the instance sees.
    TwoChoices,
    /// The least busy target, by the load that the instance sees.
    LeastLocal,
    /// The least busy target, by the load that the domain's other instances saw up to half a
    /// second ago and the load that the instance sees now.
    LeastShared,
    /// The product's policy: targets in the local failure domain, and remote ones once the local
    /// ones are busy, by the load that the instance sees.
    HomeFirst,
    /// The least busy target, by the load that all instances see now.
    Ideal,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 7] = [
        Self::Random,
        Self::RoundRobin,
        Self::TwoChoices,
        Self::LeastLocal,
        Self::LeastShared,
        Self::HomeFirst,
        Self::Ideal,
    ];

    /// Returns the name on the command line and in the output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::TwoChoices => "two-choices",
            Self::LeastLocal => "least-local",
            Self::LeastShared => "least-shared",
            Self::HomeFirst => "home-first",
            Self::Ideal => "ideal",
        }
    }

    /// Returns the index of the selected candidate. The candidates hold the loads that this
    /// policy considers, `turn` counts the flows that the instance has opened, and
    /// `domain_load` is its estimate of the waiting requests per slot in the local domain.
    pub fn select(
        self,
        candidates: &[Candidate],
        turn: usize,
        domain_load: f64,
        rng: &mut SmallRng,
    ) -> usize {
        let count = candidates.len();
        match self {
            Self::Random => rng.random_range(0..count),
            Self::RoundRobin => turn % count,
            Self::TwoChoices => {
                let two = [rng.random_range(0..count), rng.random_range(0..count)];
                two[least_busy(&two.map(|i| candidates[i]), rng)]
            }
            Self::HomeFirst => select_target(candidates, domain_load, rng).unwrap_or_default(),
            Self::LeastLocal | Self::LeastShared | Self::Ideal => least_busy(candidates, rng),
        }
    }
}

/// Returns the least busy candidate in the product's order, without its preference for the
/// local domain.
fn least_busy(candidates: &[Candidate], rng: &mut SmallRng) -> usize {
    let all_local: Vec<_> = candidates.iter().map(|c| Candidate { local: true, ..*c }).collect();
    select_target(&all_local, 0.0, rng).unwrap_or_default()
}

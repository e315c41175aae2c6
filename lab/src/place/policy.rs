//! The ways to choose a target.

use limpetdeck::steering::{Candidate, choose};
use rand::Rng;
use rand::rngs::SmallRng;

/// A way to choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Any target.
    Random,
    /// One target after the other, each instance by itself.
    RoundRobin,
    /// The less busy one of two, by what the instance sees.
    TwoChoices,
    /// The least busy one, by what the instance sees.
    LeastLocal,
    /// The least busy one, by what the domain's instances saw half a second ago and the
    /// instance sees now.
    LeastShared,
    /// The product's: own domain first, others once it is busy, by what the instance sees.
    HomeFirst,
    /// The least busy one, by what all see now.
    Ideal,
}

impl Policy {
    /// All ways.
    pub const ALL: [Self; 7] = [
        Self::Random,
        Self::RoundRobin,
        Self::TwoChoices,
        Self::LeastLocal,
        Self::LeastShared,
        Self::HomeFirst,
        Self::Ideal,
    ];

    /// Returns the name.
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

    /// Chooses among candidates, whose loads are those that this way goes by. `turn` counts
    /// the flows of the instance, and `crowding` is its estimate for the own domain.
    pub fn choose(
        self,
        candidates: &[Candidate],
        turn: usize,
        crowding: f64,
        rng: &mut SmallRng,
    ) -> usize {
        let count = candidates.len();
        match self {
            Self::Random => rng.random_range(0..count),
            Self::RoundRobin => turn % count,
            Self::TwoChoices => {
                let two = [rng.random_range(0..count), rng.random_range(0..count)];
                two[least(&two.map(|i| candidates[i]), rng)]
            }
            Self::HomeFirst => choose(candidates, crowding, rng).unwrap_or_default(),
            Self::LeastLocal | Self::LeastShared | Self::Ideal => least(candidates, rng),
        }
    }
}

/// The product's order without its preference for the own domain.
fn least(candidates: &[Candidate], rng: &mut SmallRng) -> usize {
    let alike: Vec<_> = candidates.iter().map(|c| Candidate { home: true, ..*c }).collect();
    choose(&alike, 0.0, rng).unwrap_or_default()
}

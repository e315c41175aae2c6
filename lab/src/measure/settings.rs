//! What a run is made of.

use std::str::FromStr;
use std::time::Duration;

use limpetdeck::services::{RawServices, Services};

use super::fault::Fault;
use crate::arguments::{Args, Usage};

/// Services of the deployments, as the samples have them.
const RECARGA: &str = include_str!("../../../sample_configs/recarga/services.toml");
/// See [`RECARGA`].
const SERRANA: &str = include_str!("../../../sample_configs/serrana/services.toml");

/// Which users' services and distances a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Three failure domains half a millisecond apart; broken flows weigh more.
    Recarga,
    /// Three failure domains one and a half milliseconds apart; imbalance weighs more.
    Serrana,
}

impl Deployment {
    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Recarga => "recarga",
            Self::Serrana => "serrana",
        }
    }

    /// Returns the services as operators write them.
    ///
    /// # Errors
    ///
    /// Fails if the sample does not parse.
    pub fn raw_services(self) -> Result<RawServices, Usage> {
        let text = if self == Self::Recarga { RECARGA } else { SERRANA };
        toml::from_str(text).map_err(Usage::new)
    }

    /// Returns the checked services.
    ///
    /// # Errors
    ///
    /// Fails if the sample is not valid.
    pub fn services(self) -> Result<Services, Usage> {
        Services::try_from(self.raw_services()?).map_err(Usage::new)
    }

    /// Returns the time one way between failure domains.
    pub fn between_domains(self) -> Duration {
        match self {
            Self::Recarga => Duration::from_micros(500),
            Self::Serrana => Duration::from_micros(1_500),
        }
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let all = [Self::Recarga, Self::Serrana];
        all.into_iter().find(|d| d.name() == text).ok_or_else(|| format!("no deployment {text:?}"))
    }
}

/// How targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Each instance hashes over its own current list; no state, no owner.
    Naive,
    /// Every record is replicated, every packet goes through the flow's owner.
    Owner,
    /// The policy that the daemon uses.
    Epochs,
    /// A central placer with perfect, instant knowledge: the limit.
    Ideal,
}

impl Policy {
    /// All policies, the baseline first.
    pub const ALL: [Self; 4] = [Self::Naive, Self::Owner, Self::Epochs, Self::Ideal];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Naive => "naive",
            Self::Owner => "owner",
            Self::Epochs => "epochs",
            Self::Ideal => "ideal",
        }
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|policy| policy.name() == text);
        found.ok_or_else(|| format!("no policy {text:?}"))
    }
}

/// The faults of a run, in the order in which they begin.
#[derive(Debug, Clone, Default)]
pub struct Faults(pub Vec<Fault>);

impl FromStr for Faults {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let named = text.split('+').filter(|name| *name != "none");
        named.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Which users' services and distances the run has.
    pub deployment: Deployment,
    /// How targets are chosen.
    pub policy: Policy,
    /// What goes wrong.
    pub faults: Faults,
    /// Seed of all randomness.
    pub seed: u64,
    /// Number of instances.
    pub instances: u32,
    /// Feeds that are open all the time.
    pub flows: usize,
    /// Virtual length of the run.
    pub length: Duration,
    /// Mean time that a sale or session uses a slot.
    pub service_time: Duration,
}

impl Settings {
    /// Reads the arguments of a run.
    ///
    /// # Errors
    ///
    /// Fails on a missing or wrong argument.
    pub fn from_args(args: &mut Args) -> Result<Self, Usage> {
        let settings = Self {
            deployment: args.value("--deployment")?,
            policy: args.value("--policy")?,
            faults: args.value_or("--fault", Faults::default())?,
            seed: args.value("--seed")?,
            instances: args.value_or("--instances", 18)?,
            flows: args.value_or("--flows", 20_000)?,
            length: Duration::from_secs(args.value_or("--seconds", 0)?),
            service_time: Duration::from_micros(
                (args.value_or("--service-ms", 100.0)? * 1_000.0) as u64,
            ),
        };
        settings.checked()
    }

    fn checked(mut self) -> Result<Self, Usage> {
        if self.instances == 0 || self.instances > 250 || self.service_time.is_zero() {
            return Err(Usage::new("--instances must be from 1 to 250, --service-ms over 0"));
        }
        if self.length.is_zero() {
            self.length = super::faults::length(&self);
        }
        Ok(self)
    }
}

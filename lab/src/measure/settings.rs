//! Settings of a run.

use std::str::FromStr;
use std::time::Duration;

use limpetdeck::services::{RawServices, Services};

use super::fault::Fault;
use crate::arguments::{Args, CommandError};

/// Sample services of [`Deployment::Recarga`], in TOML.
const RECARGA: &str = include_str!("../../../sample_configs/recarga/services.toml");
/// Sample services of [`Deployment::Serrana`], in TOML.
const SERRANA: &str = include_str!("../../../sample_configs/serrana/services.toml");

/// Sample services and network delays of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Three failure domains 0.5 ms apart; avoiding broken flows matters more.
    Recarga,
    /// Three failure domains 1.5 ms apart; balance matters more.
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

    /// Returns the services as written by operators, unchecked.
    ///
    /// # Errors
    ///
    /// Fails if the sample does not parse.
    pub fn raw_services(self) -> Result<RawServices, CommandError> {
        let text = if self == Self::Recarga { RECARGA } else { SERRANA };
        toml::from_str(text).map_err(CommandError::new)
    }

    /// Returns the validated services.
    ///
    /// # Errors
    ///
    /// Fails if the sample is invalid.
    pub fn services(self) -> Result<Services, CommandError> {
        Services::try_from(self.raw_services()?).map_err(CommandError::new)
    }

    /// Returns the one-way delay between failure domains.
    pub fn inter_domain_delay(self) -> Duration {
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
        all.into_iter()
            .find(|d| d.name() == text)
            .ok_or_else(|| format!("unknown deployment {text:?}"))
    }
}

/// Placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Each instance hashes over its own current list, without flow state or owners.
    Naive,
    /// Every record is replicated and every packet passes through the flow's owner.
    Owner,
    /// Policy of the daemon.
    Epochs,
    /// A central placer with perfect, instant knowledge, as the theoretical limit.
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
        found.ok_or_else(|| format!("unknown policy {text:?}"))
    }
}

/// Faults of a run in order of their start.
#[derive(Debug, Clone, Default)]
pub struct Faults(pub Vec<Fault>);

impl FromStr for Faults {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let named = text.split('+').filter(|name| *name != "none");
        named.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Sample services and network delays.
    pub deployment: Deployment,
    /// Placement policy.
    pub policy: Policy,
    /// Faults to inject.
    pub faults: Faults,
    /// Seed of all randomness.
    pub seed: u64,
    /// Number of instances.
    pub instances: u32,
    /// Number of feeds kept open during the run.
    pub flows: usize,
    /// Virtual duration of the run.
    pub length: Duration,
    /// Mean time for which a sale or session occupies a slot.
    pub service_time: Duration,
}

impl Settings {
    /// Reads the arguments of a run.
    ///
    /// # Errors
    ///
    /// Fails on a missing or invalid argument.
    pub fn from_args(args: &mut Args) -> Result<Self, CommandError> {
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
        settings.validated()
    }

    fn validated(mut self) -> Result<Self, CommandError> {
        if self.instances == 0 || self.instances > 250 || self.service_time.is_zero() {
            return Err(CommandError::new(
                "--instances must be from 1 to 250, --service-ms over 0",
            ));
        }
        if self.length.is_zero() {
            self.length = super::injection::length(&self);
        }
        Ok(self)
    }
}

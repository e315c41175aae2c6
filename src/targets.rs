//! In which state the targets are: probing, spread of states, and what a state changes.

mod message;

pub use message::{Message, StateChange};

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;

use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::platform::Object;
use crate::services::Services;

/// The states of targets as this instance knows and spreads them.
#[derive(Debug)]
pub struct Targets {
    me: InstanceId,
    services: Arc<Services>,
    news: Vec<StateChange>,
}

impl Targets {
    /// Makes states of which nothing is known yet.
    pub fn new(me: InstanceId, _rng: SmallRng) -> Self {
        Self { me, services: Arc::default(), news: Vec::new() }
    }

    /// Takes the services that are in force.
    pub fn set_services(&mut self, services: Arc<Services>) {
        self.services = services;
    }

    /// Takes an object that the platform gave; one that is no state is passed over.
    pub fn on_object(&mut self, _now: Duration, _object: &Object, _out: &mut Outbox<'_>) {}

    /// Takes a message of another instance.
    pub fn on_message(
        &mut self,
        _now: Duration,
        _from: InstanceId,
        message: Message,
        _out: &mut Outbox<'_>,
    ) {
        match message {
            Message::States(changes) => self.news.extend(changes),
        }
    }

    /// Advances time; due about ten times a second. `live` are all live instances.
    pub fn tick(&mut self, _now: Duration, live: &[InstanceId], _out: &mut Outbox<'_>) {
        log::trace!(instance = self.me, live = live.len(); "targets");
    }

    /// Returns the states that this instance has heard or found since the last call.
    pub fn take_news(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.news)
    }
}

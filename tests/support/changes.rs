//! Changes of the platform's objects, and whether an instance knows them.

use std::time::Duration;

use limpetdeck::steering::{Node, Target, TargetKey, TargetState};

use super::support::*;
use super::world::*;

/// Number of routes whose addition does not fit one message.
const MANY_ROUTES: usize = 200;

#[derive(Debug, Clone, Copy)]
pub enum Change {
    Drains(TargetKey),
    Leaves(TargetKey),
    Starts(TargetKey),
    Restarts(TargetKey),
    /// One route, with a version.
    Routes(u64),
    /// Many routes, with a version.
    ManyRoutes(u64),
    OrderToDrain(&'static str),
}

impl Change {
    pub fn make(self, store: &mut Store) {
        match self {
            Self::Drains(key) => {
                let state = TargetState::Draining;
                store.put_target(&Target { state, ..target(key, STATION) });
            }
            Self::Leaves(key) => store.remove_target(key),
            Self::Starts(key) => store.put_target(&target(key, STATION)),
            Self::Restarts(key) => {
                store.put_target(&Target { incarnation: 2_000, ..target(key, STATION) });
            }
            Self::Routes(version) => store.put_routes(&routes(version, &[STATION])),
            Self::ManyRoutes(version) => {
                store.put_routes(&routes(version, &[STATION; MANY_ROUTES]));
            }
            Self::OrderToDrain(domain) => store.drain(domain),
        }
    }

    pub fn is_known(self, now: Duration, node: &Node) -> bool {
        let forwarder = node.forwarder();
        let incarnation = |key| {
            let mut eligible = forwarder.targets.eligible(now, STATION);
            eligible.find(|(target, _)| target.key == key).map(|(target, _)| target.incarnation)
        };
        match self {
            Self::Drains(key) | Self::Leaves(key) => incarnation(key).is_none(),
            Self::Starts(key) => incarnation(key).is_some(),
            Self::Restarts(key) => incarnation(key) == Some(2_000),
            Self::Routes(version) | Self::ManyRoutes(version) => {
                forwarder.routes.version() >= version
            }
            Self::OrderToDrain(domain) => forwarder.drains.is_drained(domain),
        }
    }
}

//! Picks the service of a new flow among those of its route.
//!
//! Load pattern: a route splits its flows by weight over two services, and one of them has no target
//! left, or too few slots for its share. Its flows then go to the other one as far as that can take
//! them. A route with a single service, and one whose services all have capacity, follows the weights.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::steering::WeightedService;

/// Estimated requests in flight per slot at which a service is full: all slots are in use, and as
/// many requests are queued.
pub const FULL: f64 = 2.0;

/// Whether a service can take new flows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServiceState {
    /// No target of the service responds.
    Down,
    /// The service has targets; holds the estimated requests in flight per slot, 0 if other failure
    /// domains have free targets.
    Up(f64),
}

/// Picks a service at random by weight among those that can take new flows, or `None` if all weights
/// are 0. If none can, all of them share the flows by weight. `state` is not called for a single
/// service, and for others only if the first pick needs it.
pub fn pick_service<'a>(
    services: &'a [WeightedService],
    state: impl Fn(&'a str) -> ServiceState,
    rng: &mut SmallRng,
) -> Option<&'a str> {
    let first = pick_by_weight(services, |_| true, rng)?;
    if services.len() == 1 {
        return Some(first);
    }
    // A full service gives away only what it cannot take. With its whole share, a small service
    // would be flooded before its own load estimate, an average over a second, rises.
    let gives_away = match state(first) {
        ServiceState::Down => true,
        ServiceState::Up(load) if load > FULL => rng.random_bool(1.0 - FULL / load),
        ServiceState::Up(_) => false,
    };
    if !gives_away {
        return Some(first);
    }
    let has_capacity = |service: &'a str| {
        service != first && matches!(state(service), ServiceState::Up(load) if load < FULL)
    };
    let is_up = |service: &'a str| state(service) != ServiceState::Down;
    let other = pick_by_weight(services, has_capacity, rng);
    let other = other.or_else(|| (!is_up(first)).then(|| pick_by_weight(services, is_up, rng))?);
    other.or(Some(first))
}

/// Picks one of the services that meet a condition at random by weight.
fn pick_by_weight<'a>(
    services: &'a [WeightedService],
    condition: impl Fn(&'a str) -> bool,
    rng: &mut SmallRng,
) -> Option<&'a str> {
    let usable = || services.iter().filter(|service| condition(&service.service));
    let total: u32 = usable().map(|service| service.weight).sum();
    let mut drawn = if total == 0 { return None } else { rng.random_range(0..total) };
    for service in usable() {
        if drawn < service.weight {
            return Some(&service.service);
        }
        drawn -= service.weight;
    }
    None
}

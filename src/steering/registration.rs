//! Registration of instances with the platform, where an instance that knows no peer finds some.
//!
//! Instances that watch the platform register. Periodically each of them checks all
//! registrations: it restores its own if another instance has removed it, and removes those of
//! instances that died.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;

use super::list_watch::INSTANCES_PREFIX;
use crate::hash::HashSet;
use crate::ids::InstanceId;
use crate::peer::MemberInfo;
use crate::platform::{Call, Object, PlatformError, Reply, object_value};

/// Time after the start before an instance registers, so that an instance that watches only while
/// it joins does not register.
const REGISTER_DELAY: Duration = Duration::from_secs(5);
/// Mean time between two checks: an instance that died stays registered for two of them, and
/// 15 watchers make one call in 20 seconds.
const CHECK_INTERVAL: Duration = Duration::from_secs(300);
/// Longest delay before an instance registers again in a new era of the platform.
const MAX_ERA_DELAY: Duration = Duration::from_secs(2);

/// State of the registration of this instance and of its checks of the others.
#[derive(Debug)]
pub struct Registration {
    register_at: Duration,
    /// Whether the registration of this instance is written or being written.
    registered: bool,
    /// Whether the platform may hold a registration of this instance: one was written, or the outcome
    /// is not known.
    may_be_held: bool,
    next_check: Duration,
    /// Whether the list call of a check is in flight.
    checking: bool,
    /// Registered instances that were not alive at the last check.
    absent: HashSet<InstanceId>,
    rng: SmallRng,
}

impl Registration {
    /// Creates the state of an instance that starts now.
    pub fn new(now: Duration, rng: SmallRng) -> Self {
        Self {
            register_at: now + REGISTER_DELAY,
            registered: false,
            may_be_held: false,
            next_check: now + CHECK_INTERVAL,
            checking: false,
            absent: HashSet::default(),
            rng,
        }
    }

    /// Registers the instance again after the platform came back from a copy, which may lack the
    /// registration.
    pub fn register_again(&mut self, now: Duration) {
        self.registered = false;
        let delay = MAX_ERA_DELAY.mul_f64(self.rng.random());
        self.register_at = self.register_at.max(now + delay);
    }

    /// Returns the calls that are due for an instance that watches the platform.
    pub fn due(&mut self, now: Duration, me: &MemberInfo) -> Vec<Call> {
        let mut calls = Vec::new();
        if !self.registered
            && now >= self.register_at
            && let Some(value) = object_value(me)
        {
            self.registered = true;
            self.may_be_held = true;
            calls.push(Call::Put { name: object_name(me.id), if_version: None, value });
        }
        if now >= self.next_check {
            self.next_check = now + CHECK_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
            self.checking = true;
            calls.push(Call::List { prefix: INSTANCES_PREFIX.to_owned() });
        }
        calls
    }

    /// Handles the result of a call. Returns the calls that deregister instances that were alive
    /// neither at this check nor at the one before.
    pub fn on_result(
        &mut self,
        call: &Call,
        result: &Result<Reply, PlatformError>,
        me: InstanceId,
        live: &[InstanceId],
    ) -> Vec<Call> {
        match (call, result) {
            (Call::Put { .. }, Err(_)) => {
                self.registered = false;
                Vec::new()
            }
            (Call::List { prefix }, Ok(Reply::Changes(changes))) if prefix == INSTANCES_PREFIX => {
                if std::mem::take(&mut self.checking) {
                    self.check(&changes.objects, me, live)
                } else {
                    Vec::new()
                }
            }
            _ => Vec::new(),
        }
    }

    /// Returns the call that deregisters this instance, if the platform may hold its registration.
    pub fn deregister(&self, me: InstanceId) -> Option<Call> {
        self.may_be_held.then(|| Call::Delete { name: object_name(me) })
    }

    /// Compares the registrations with the live instances. Returns the calls that deregister
    /// instances that have been absent at two checks.
    fn check(&mut self, objects: &[Object], me: InstanceId, live: &[InstanceId]) -> Vec<Call> {
        let present = objects.iter().filter(|object| !object.value.is_null());
        // Invalid objects are logged where the node handles the same reply.
        let listed: HashSet<_> =
            present.filter_map(|o| Some(MemberInfo::deserialize(&o.value).ok()?.id)).collect();
        self.registered &= listed.contains(&me);
        let absent: HashSet<_> = listed.into_iter().filter(|id| !live.contains(id)).collect();
        let (expired, new): (HashSet<_>, HashSet<_>) =
            absent.into_iter().partition(|id| self.absent.contains(id));
        self.absent = new;
        let mut expired: Vec<_> = expired.into_iter().collect();
        expired.sort_unstable();
        let deregister = |id| {
            log::info!(instance = id; "registration_ended");
            Call::Delete { name: object_name(id) }
        };
        expired.into_iter().map(deregister).collect()
    }
}

fn object_name(id: InstanceId) -> String {
    format!("{INSTANCES_PREFIX}{id}")
}

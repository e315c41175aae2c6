//! Instances registered with the platform, so that one that knows no other finds some.
//!
//! Those that watch the platform register. Now and then each of them looks at all
//! registrations: it restores its own if another instance has taken it off, and takes off
//! those of instances that died.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;

use super::list_watch::INSTANCES;
use crate::hash::HashSet;
use crate::ids::InstanceId;
use crate::peer::MemberInfo;
use crate::platform::{Call, Object, PlatformError, Reply, object_value};

/// Time after the start until an instance registers, so that those that only watch while
/// they join do not.
const REGISTER_AFTER: Duration = Duration::from_secs(5);
/// Mean time between two looks: an instance that died stays registered for two of them, and
/// 15 watchers make one call in 20 seconds.
const LOOK_EVERY: Duration = Duration::from_secs(300);

/// The own registration, and those of others.
#[derive(Debug)]
pub struct Registration {
    due_from: Duration,
    written: bool,
    next_look: Duration,
    looks: bool,
    /// Registered instances that were not alive at the last look.
    absent: HashSet<InstanceId>,
    rng: SmallRng,
}

impl Registration {
    /// Makes one of an instance that starts now.
    pub fn new(now: Duration, rng: SmallRng) -> Self {
        Self {
            due_from: now + REGISTER_AFTER,
            written: false,
            next_look: now + LOOK_EVERY,
            looks: false,
            absent: HashSet::default(),
            rng,
        }
    }

    /// Returns the calls that are due for an instance that watches the platform.
    pub fn due(&mut self, now: Duration, me: &MemberInfo) -> Vec<Call> {
        let mut calls = Vec::new();
        if !self.written
            && now >= self.due_from
            && let Some(value) = object_value(me)
        {
            self.written = true;
            calls.push(Call::Put { name: name(me.id), if_version: None, value });
        }
        if now >= self.next_look {
            self.next_look = now + LOOK_EVERY.mul_f64(self.rng.random_range(0.5..1.5));
            self.looks = true;
            calls.push(Call::List { prefix: INSTANCES.to_owned() });
        }
        calls
    }

    /// Takes the result of a call. Returns the calls that take off the registrations of
    /// instances that were not alive at this look nor the one before.
    pub fn done(
        &mut self,
        call: &Call,
        result: &Result<Reply, PlatformError>,
        me: InstanceId,
        live: &[InstanceId],
    ) -> Vec<Call> {
        match (call, result) {
            (Call::Put { .. }, Err(_)) => {
                self.written = false;
                Vec::new()
            }
            (Call::List { prefix }, Ok(Reply::Changes(changes))) if prefix == INSTANCES => {
                if std::mem::take(&mut self.looks) {
                    self.compare(&changes.objects, me, live)
                } else {
                    Vec::new()
                }
            }
            _ => Vec::new(),
        }
    }

    /// Returns the call that takes the own registration off, if there is one.
    pub fn end(&self, me: InstanceId) -> Option<Call> {
        self.written.then(|| Call::Delete { name: name(me) })
    }

    fn compare(&mut self, objects: &[Object], me: InstanceId, live: &[InstanceId]) -> Vec<Call> {
        let held = objects.iter().filter(|object| !object.value.is_null());
        // One that cannot be read is reported where all instances are taken in.
        let registered: HashSet<_> =
            held.filter_map(|o| Some(MemberInfo::deserialize(&o.value).ok()?.id)).collect();
        self.written &= registered.contains(&me);
        let absent: HashSet<_> = registered.into_iter().filter(|id| !live.contains(id)).collect();
        let (over, new): (HashSet<_>, HashSet<_>) =
            absent.into_iter().partition(|id| self.absent.contains(id));
        self.absent = new;
        let mut over: Vec<_> = over.into_iter().collect();
        over.sort_unstable();
        let take_off = |id| {
            log::info!(instance = id; "registration_ended");
            Call::Delete { name: name(id) }
        };
        over.into_iter().map(take_off).collect()
    }
}

fn name(id: InstanceId) -> String {
    format!("{INSTANCES}{id}")
}

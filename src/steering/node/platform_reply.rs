//! Handling of replies from the platform: routes, targets and registered instances.

use std::time::Duration;

use metrics::counter;
use serde::Deserialize;

use super::Node;
use crate::instance::Action;
use crate::peer::MemberInfo;
use crate::platform::{Call, Object, PlatformError, Reply, Revision};
use crate::steering::list_watch::{ROUTES_PREFIX, TARGETS_PREFIX};
use crate::steering::{RawRoutes, RawTarget, Target, TargetRecord};

impl Node {
    pub(super) fn handle_platform_reply(
        &mut self,
        now: Duration,
        call: &Call,
        result: &Result<Reply, PlatformError>,
        out: &mut Vec<Action>,
    ) {
        self.list_watches.on_result(now, call, result);
        let (me, live) = (self.membership.me().id, self.membership.live());
        let calls = self.registration.on_result(call, result, me, &live);
        out.extend(calls.into_iter().map(Action::Platform));
        if self.list_watches.take_outage_ended() {
            self.forwarder.targets.start_removal_grace(now);
        }
        match (call, result) {
            (_, Err(e)) => self.record_call_failure(call, e),
            (Call::List { prefix } | Call::Watch { prefix, .. }, Ok(Reply::Changes(changes))) => {
                self.platform_answered = Some(now);
                let since = self.forwarder.targets.complete_up_to();
                let changed = match prefix.as_str() {
                    ROUTES_PREFIX => self.apply_routes(&changes.objects),
                    TARGETS_PREFIX => {
                        let is_list = matches!(call, Call::List { .. });
                        self.apply_targets(now, is_list, changes.revision, &changes.objects)
                    }
                    _ => self.apply_instances(now, &changes.objects),
                };
                if changed {
                    let mut outbox = self.link.outbox(now, out);
                    self.gossip.note_changes(now, &self.forwarder, since, &mut outbox);
                }
                self.release_pending(now, out);
            }
            (_, Ok(_)) => self.platform_answered = Some(now),
        }
    }

    pub(super) fn record_call_failure(&mut self, call: &Call, e: &PlatformError) {
        counter!("limpetdeck_platform_errors_total").increment(1);
        log::warn!(call = describe(call).as_str(), error = e.to_string().as_str(); "platform_call_failed");
    }

    /// Adopts newer routes. Returns whether there were any.
    pub(super) fn apply_routes(&mut self, objects: &[Object]) -> bool {
        let mut adopted = false;
        for object in objects.iter().filter(|object| !object.value.is_null()) {
            let raw = match RawRoutes::deserialize(&object.value) {
                Ok(raw) => raw,
                Err(e) => {
                    record_refused_object(&object.name, &e.to_string());
                    continue;
                }
            };
            let version = raw.version;
            match self.forwarder.routes.adopt(raw) {
                Ok(true) => {
                    log::info!(version = version, source = "platform"; "routes_adopted");
                    adopted = true;
                }
                Ok(false) => {}
                Err(findings) => record_refused_object(&object.name, &findings.to_string()),
            }
        }
        adopted
    }

    /// Merges target records, which are `all` targets of the platform or those that changed.
    /// Returns whether anything changed.
    pub(super) fn apply_targets(
        &mut self,
        now: Duration,
        all: bool,
        revision: Revision,
        objects: &[Object],
    ) -> bool {
        let records: Vec<_> = objects.iter().filter_map(parse_target_record).collect();
        let targets = &mut self.forwarder.targets;
        let changed = if all {
            targets.replace_all(now, revision, records)
        } else {
            let changed = records.into_iter().filter(|r| targets.merge(now, r.clone())).count();
            targets.advance_complete_up_to(revision);
            changed
        };
        if changed > 0 {
            let source = if all { "list" } else { "watch" };
            counter!("limpetdeck_target_changes_total", "source" => source)
                .increment(changed as u64);
            log::info!(source = source, changes = changed, revision = revision, targets = targets.len(); "targets_changed");
        }
        changed > 0
    }

    /// Passes registered instances on to the membership. Returns false: nothing that peers need
    /// to hear about has changed.
    pub(super) fn apply_instances(&mut self, now: Duration, objects: &[Object]) -> bool {
        for object in objects.iter().filter(|object| !object.value.is_null()) {
            match MemberInfo::deserialize(&object.value) {
                Ok(info) => self.membership.on_listed(now, info),
                Err(e) => record_refused_object(&object.name, &e.to_string()),
            }
        }
        false
    }
}

/// Parses the object of a target. If it is invalid, the record has no target, as if the target
/// had been removed.
fn parse_target_record(object: &Object) -> Option<TargetRecord> {
    let hex = object.name.strip_prefix(TARGETS_PREFIX)?;
    let key = u64::from_str_radix(hex, 16).ok()?;
    let revision = object.version;
    if object.value.is_null() {
        return Some(TargetRecord { key, revision, target: None });
    }
    let raw = RawTarget::deserialize(&object.value);
    let target = raw.map_err(|e| e.to_string()).and_then(Target::try_from);
    match target {
        Ok(target) => Some(TargetRecord { key, revision, target: Some(target) }),
        Err(problem) => {
            record_refused_object(&object.name, &problem);
            Some(TargetRecord { key, revision, target: None })
        }
    }
}

fn record_refused_object(object: &str, problem: &str) {
    counter!("limpetdeck_objects_refused_total").increment(1);
    log::warn!(object = object, problem = problem; "object_refused");
}

fn describe(call: &Call) -> String {
    match call {
        Call::Get { name } => format!("get {name}"),
        Call::Put { name, .. } => format!("put {name}"),
        Call::Delete { name } => format!("delete {name}"),
        Call::List { prefix } => format!("list {prefix}"),
        Call::Watch { prefix, after, .. } => format!("watch {prefix} after {after}"),
    }
}

//! Handling of replies from the platform: routes, targets and registered instances.

use std::time::Duration;

use metrics::counter;
use serde::Deserialize;

use super::Node;
use super::last_resort::is_question;
use crate::instance::Action;
use crate::peer::MemberInfo;
use crate::platform::{Call, Changes, Era, Object, PlatformError, Position, Reply};
use crate::steering::list_watch::{DOMAIN_DRAINS_PREFIX, ROUTES_PREFIX, TARGETS_PREFIX};
use crate::steering::{RawRoutes, RawTarget, Target, TargetRecord};

impl Node {
    pub(super) fn handle_platform_reply(
        &mut self,
        now: Duration,
        call: &Call,
        result: &Result<Reply, PlatformError>,
        out: &mut Vec<Action>,
    ) {
        let usable = self.list_watches.on_result(now, call, result);
        if let Ok(Reply::Changes(changes)) = result {
            self.enter_era(now, changes.era, "platform");
        }
        let (me, live) = (self.membership.me().id, self.membership.live());
        let calls = self.registration.on_result(call, result, me, &live);
        out.extend(calls.into_iter().map(Action::Platform));
        // Targets do not lose their entries while only some instances lose the platform.
        if self.list_watches.take_ended_outage() && self.contact.may_lack_entries(now) {
            self.forwarder.targets.start_removal_grace(now);
        }
        match (call, result) {
            // Nobody has ordered what is not found.
            (call, Err(PlatformError::NotFound)) if is_question(call) => {}
            (_, Err(e)) => self.record_call_failure(call, e),
            _ if !usable => {
                log::info!(call = describe(call).as_str(); "outdated_reply");
            }
            (Call::List { prefix } | Call::Watch { prefix, .. }, Ok(Reply::Changes(changes))) => {
                self.platform_answered = Some(now);
                match prefix.as_str() {
                    ROUTES_PREFIX => self.apply_routes(now, &changes.objects, out),
                    TARGETS_PREFIX => {
                        let is_list = matches!(call, Call::List { .. });
                        self.apply_targets(now, is_list, changes, out);
                    }
                    DOMAIN_DRAINS_PREFIX => {
                        let is_list = matches!(call, Call::List { .. });
                        self.apply_domain_drains(now, is_list, changes, out);
                    }
                    _ => self.apply_instances(now, &changes.objects),
                }
                self.release_queued(now, out);
            }
            (_, Ok(_)) => self.platform_answered = Some(now),
        }
        self.update_contact(now, call, result, usable, out);
    }

    pub(super) fn record_call_failure(&mut self, call: &Call, e: &PlatformError) {
        counter!("limpetdeck_platform_errors_total").increment(1);
        log::warn!(call = describe(call).as_str(), error = e.to_string().as_str(); "platform_call_failed");
    }

    /// Uses the routes that have arrived while the rest of a list is on its way.
    pub(super) fn handle_platform_part(
        &mut self,
        now: Duration,
        call: &Call,
        part: &Changes,
        out: &mut Vec<Action>,
    ) {
        let is_outdated = part.era < self.era;
        if is_outdated || !matches!(call, Call::List { prefix } if prefix == ROUTES_PREFIX) {
            return;
        }
        for object in &part.objects {
            let raw = match RawRoutes::deserialize(&object.value) {
                Ok(raw) => raw,
                Err(e) => {
                    record_refused_object(&object.name, &e.to_string());
                    continue;
                }
            };
            match self.forwarder.routes.adopt_partial(&raw) {
                Ok(true) => {
                    log::info!(version = raw.version, routes = raw.routes.len(); "routes_arriving");
                    self.release_queued(now, out);
                }
                Ok(false) => {}
                Err(findings) => record_refused_object(&object.name, &findings.to_string()),
            }
        }
    }

    /// Adopts newer routes, and tells peers.
    pub(super) fn apply_routes(
        &mut self,
        now: Duration,
        objects: &[Object],
        out: &mut Vec<Action>,
    ) {
        let before = self.forwarder.routes.version();
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
                Ok(true) => log::info!(version = version, source = "platform"; "routes_adopted"),
                Ok(false) => {}
                Err(findings) => record_refused_object(&object.name, &findings.to_string()),
            }
        }
        if self.forwarder.routes.version() > before {
            let mut outbox = self.link.outbox(now, out);
            self.gossip.note_routes(now, &self.forwarder, before, &mut outbox);
        }
    }

    /// Enters a new era of the platform: lists objects again, and registers again.
    pub(super) fn enter_era(&mut self, now: Duration, era: Era, source: &str) {
        self.list_watches.enter_era(now, era);
        if era <= self.era {
            return;
        }
        let was_running = self.forwarder.ready();
        self.era = era;
        if was_running {
            counter!("limpetdeck_platform_restores_total").increment(1);
            log::warn!(era = era, source = source, targets = self.forwarder.targets.len(); "platform_restored");
            self.registration.register_again(now);
        }
    }

    /// Merges target records, which are `all` targets of the platform or those that changed. Tells
    /// peers if anything changed or a new era began, which they may not know either.
    pub(super) fn apply_targets(
        &mut self,
        now: Duration,
        all: bool,
        changes: &Changes,
        out: &mut Vec<Action>,
    ) {
        let position = changes.position();
        let parse = |object| parse_target_record(position.era, object);
        let records: Vec<_> = changes.objects.iter().filter_map(parse).collect();
        let targets = &mut self.forwarder.targets;
        let known = targets.complete_up_to();
        let changed = if all {
            targets.replace_all(now, position, records)
        } else {
            let changed = records.into_iter().filter(|r| targets.merge(now, r.clone())).count();
            targets.advance_complete_up_to(position);
            changed
        };
        let entered_era = known.is_known() && position.era > known.era;
        if entered_era {
            log::info!(era = position.era, changes = changed, unconfirmed = targets.unconfirmed(), targets = targets.len(); "era_listed");
        }
        if changed > 0 {
            let source = if all { "list" } else { "watch" };
            counter!("limpetdeck_target_changes_total", "source" => source)
                .increment(changed as u64);
            log::info!(source = source, changes = changed, revision = position.revision, era = position.era, targets = targets.len(); "targets_changed");
        }
        if changed > 0 || entered_era {
            let mut outbox = self.link.outbox(now, out);
            self.gossip.note_changes(now, &self.forwarder, known, &mut outbox);
        }
    }

    /// Passes registered instances on to the membership.
    pub(super) fn apply_instances(&mut self, now: Duration, objects: &[Object]) {
        for object in objects.iter().filter(|object| !object.value.is_null()) {
            match MemberInfo::deserialize(&object.value) {
                Ok(info) => self.membership.on_listed(now, info),
                Err(e) => record_refused_object(&object.name, &e.to_string()),
            }
        }
    }
}

/// Parses the object of a target. If it is invalid, the record has no target, as if the target
/// had been removed.
fn parse_target_record(era: Era, object: &Object) -> Option<TargetRecord> {
    let hex = object.name.strip_prefix(TARGETS_PREFIX)?;
    let key = u64::from_str_radix(hex, 16).ok()?;
    let position = Position::new(era, object.version);
    if object.value.is_null() {
        return Some(TargetRecord { key, position, target: None });
    }
    let raw = RawTarget::deserialize(&object.value);
    let target = raw.map_err(|e| e.to_string()).and_then(Target::try_from);
    match target {
        Ok(target) => Some(TargetRecord { key, position, target: Some(target) }),
        Err(problem) => {
            record_refused_object(&object.name, &problem);
            Some(TargetRecord { key, position, target: None })
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

//! What the platform answers: routes, targets and registered instances.

use std::time::Duration;

use metrics::counter;
use serde::Deserialize;

use super::Node;
use crate::instance::Action;
use crate::peer::MemberInfo;
use crate::platform::{Call, Object, PlatformError, Reply, Revision};
use crate::steering::list_watch::{ROUTES, TARGETS};
use crate::steering::{RawRoutes, RawTarget, Target, TargetRecord};

impl Node {
    pub(super) fn platform(
        &mut self,
        now: Duration,
        call: &Call,
        result: &Result<Reply, PlatformError>,
        out: &mut Vec<Action>,
    ) {
        self.feeds.done(now, call, result);
        let (me, live) = (self.membership.me().id, self.membership.live());
        let calls = self.registration.done(call, result, me, &live);
        out.extend(calls.into_iter().map(Action::Platform));
        if self.feeds.take_regained() {
            self.steer.directory.platform_regained(now);
        }
        match (call, result) {
            (_, Err(e)) => self.failed(call, e),
            (Call::List { prefix } | Call::Watch { prefix, .. }, Ok(Reply::Changes(changes))) => {
                self.platform_answered = Some(now);
                let since = self.steer.directory.complete_to();
                let news = match prefix.as_str() {
                    ROUTES => self.take_routes(&changes.objects),
                    TARGETS => {
                        let is_list = matches!(call, Call::List { .. });
                        self.take_targets(now, is_list, changes.revision, &changes.objects)
                    }
                    _ => self.take_instances(now, &changes.objects),
                };
                if news {
                    let mut outbox = self.link.outbox(now, out);
                    self.sharing.note_news(now, &self.steer, since, &mut outbox);
                }
                self.release(now, out);
            }
            (_, Ok(_)) => self.platform_answered = Some(now),
        }
    }

    pub(super) fn failed(&mut self, call: &Call, e: &PlatformError) {
        counter!("limpetdeck_platform_errors_total").increment(1);
        log::warn!(call = describe(call).as_str(), error = e.to_string().as_str(); "platform_call_failed");
    }

    pub(super) fn take_routes(&mut self, objects: &[Object]) -> bool {
        let mut news = false;
        for object in objects.iter().filter(|object| !object.value.is_null()) {
            let raw = match RawRoutes::deserialize(&object.value) {
                Ok(raw) => raw,
                Err(e) => {
                    refused(&object.name, &e.to_string());
                    continue;
                }
            };
            let version = raw.version;
            match self.steer.routes.adopt(raw) {
                Ok(true) => {
                    log::info!(version = version, source = "platform"; "routes_adopted");
                    news = true;
                }
                Ok(false) => {}
                Err(findings) => refused(&object.name, &findings.to_string()),
            }
        }
        news
    }

    pub(super) fn take_targets(
        &mut self,
        now: Duration,
        all: bool,
        revision: Revision,
        objects: &[Object],
    ) -> bool {
        let records: Vec<_> = objects.iter().filter_map(record).collect();
        let directory = &mut self.steer.directory;
        let news = if all {
            directory.replace_all(now, revision, records)
        } else {
            let news = records.into_iter().filter(|r| directory.merge(now, r.clone())).count();
            directory.complete(revision);
            news
        };
        if news > 0 {
            let source = if all { "list" } else { "watch" };
            counter!("limpetdeck_target_changes_total", "source" => source).increment(news as u64);
            log::info!(source = source, changes = news, revision = revision, targets = directory.len(); "targets_changed");
        }
        news > 0
    }

    pub(super) fn take_instances(&mut self, now: Duration, objects: &[Object]) -> bool {
        for object in objects.iter().filter(|object| !object.value.is_null()) {
            match MemberInfo::deserialize(&object.value) {
                Ok(info) => self.membership.listed(now, info),
                Err(e) => refused(&object.name, &e.to_string()),
            }
        }
        false
    }
}

/// Reads a target's object; one that cannot be read names no target to use.
fn record(object: &Object) -> Option<TargetRecord> {
    let hex = object.name.strip_prefix(TARGETS)?;
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
            refused(&object.name, &problem);
            Some(TargetRecord { key, revision, target: None })
        }
    }
}

fn refused(object: &str, problem: &str) {
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

//! The instance: wiring of membership, lists, targets, placement and admission.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics::{counter, gauge, histogram};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::drop_log::DropLog;
use super::platform_calls::{INSTANCES_PREFIX, PlatformCalls};
use super::{Action, Core, Event, Status};
use crate::admission::{RuleAdmission, Takeovers};
use crate::link::Link;
use crate::lists::Lists;
use crate::membership::Membership;
use crate::pause::PauseDetector;
use crate::peer::{Body, KeyRing, MemberInfo, RedirectedPacket};
use crate::pipeline::{Discard, Outcome, Pipeline};
use crate::placement::{Placement, PlacementConfig, Policy, Route, TargetView};
use crate::platform::{Call, Object, PlatformError, Reply, object_value};
use crate::targets::Targets;
use crate::telemetry::Tracer;

/// Shortest time for which a leaving instance keeps forwarding packets that still reach it.
const MIN_LINGER: Duration = Duration::from_secs(4);
/// Longest time for which a leaving instance waits until its records are handed over.
const MAX_LINGER: Duration = Duration::from_secs(15);
/// Shortest time for which an instance is stale after a pause: it may have missed changes.
const MIN_REFRESH: Duration = Duration::from_secs(2);

/// Configuration of an instance.
#[derive(Debug)]
pub struct InstanceConfig {
    /// Membership information that the instance announces.
    pub me: MemberInfo,
    /// Peer addresses at which other instances may run; pinged most often while none is known.
    pub seeds: Vec<SocketAddr>,
    /// Keys that authenticate the messages between instances.
    pub peer_keys: KeyRing,
    /// Limit of the control traffic that the instance sends, in bytes per second.
    pub control_budget: u32,
    /// Maximum number of flows in the flow table.
    pub flow_capacity: usize,
    /// One in this many flows is traced; 0 traces none.
    pub trace_one_in: u32,
    /// Which records are replicated, and who may forward a packet.
    pub policy: Policy,
}

/// One instance: makes all decisions, does no I/O.
#[derive(Debug)]
pub struct Instance {
    pipeline: Pipeline,
    membership: Membership,
    platform_calls: PlatformCalls,
    lists: Lists,
    targets: Targets,
    takeovers: Takeovers,
    drop_log: DropLog,
    link: Link,
    pause_detector: PauseDetector,
    stale_until: Option<Duration>,
    leaving_since: Option<Duration>,
    exited: bool,
    last_platform_reply: Option<Duration>,
    refusals: BTreeMap<String, u64>,
}

impl Instance {
    /// Creates an instance that starts at `now`; all its random numbers come from `rng`.
    pub fn new(now: Duration, cfg: InstanceConfig, mut rng: SmallRng) -> Self {
        let id = cfg.me.id;
        let placement_cfg = PlacementConfig {
            instance_id: id,
            flow_capacity: cfg.flow_capacity,
            policy: cfg.policy,
        };
        let placement = Placement::new(&placement_cfg);
        let tracer = Tracer::new(id, cfg.trace_one_in);
        let link = Link::new(cfg.peer_keys, id, cfg.me.incarnation, cfg.control_budget, now);
        let admission = RuleAdmission::new(SmallRng::from_rng(&mut rng));
        Self {
            pipeline: Pipeline::new(placement, Box::new(admission), tracer),
            link,
            membership: Membership::new(now, cfg.me, cfg.seeds, SmallRng::from_rng(&mut rng)),
            lists: Lists::new(id, SmallRng::from_rng(&mut rng)),
            targets: Targets::new(id, SmallRng::from_rng(&mut rng)),
            platform_calls: PlatformCalls::new(id, rng),
            takeovers: Takeovers::default(),
            drop_log: DropLog::default(),
            pause_detector: PauseDetector::new(now),
            stale_until: None,
            leaving_since: None,
            exited: false,
            last_platform_reply: None,
            refusals: BTreeMap::new(),
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.detect_pause(now);
        match event {
            Event::Packet(packet) => self.on_packet(now, packet, Route::ENTRY, 0, out),
            Event::Peer(buf) => self.on_peer_message(now, &buf, out),
            Event::Platform(call, result) => self.on_platform_result(now, &call, &result, out),
            Event::ProbeFinished(target, result) => {
                self.targets.on_probe_result(now, target, result, &mut self.link.outbox(now, out));
                self.propagate_changes(now);
            }
            // Only steering requests connection checks and uses partial replies.
            Event::ConnectionChecked(..) | Event::PlatformPart(..) => {}
            // Only steering refuses opening packets by their age.
            Event::PacketsRead(_) | Event::TimeLost => {}
            Event::Tick => self.tick(now, out),
            Event::Stop => self.stop(now),
            Event::SettingsChanged(settings) => self.membership.set_seeds(settings.seeds),
        }
    }

    /// Returns whether the fabric should send packets to this instance.
    pub fn healthy(&self) -> bool {
        self.leaving_since.is_none() && self.lists.is_ready()
    }

    /// Returns the status that operators query.
    pub fn status(&self, now: Duration) -> Status {
        let me = self.membership.me();
        let millis_since = |answered| now.saturating_sub(answered).as_millis() as u64;
        Status {
            instance: me.id,
            incarnation: me.incarnation,
            failure_domain: me.failure_domain.clone(),
            state: me.state,
            healthy: self.healthy(),
            stale: self.stale_until.is_some(),
            isolated: self.membership.is_isolated(now),
            versions: self.lists.versions(),
            refused_versions: self.lists.refused_versions(),
            platform_answered_ms_ago: self.last_platform_reply.map(millis_since),
            live_instances: self.membership.live().len(),
            open_flows: self.pipeline.placement.flows().len(),
            refusals: self.refusals.clone(),
            drained_domains: Vec::new(),
        }
    }

    /// Returns the packet pipeline, for inspection.
    pub fn pipeline(&self) -> &Pipeline {
        &self.pipeline
    }

    /// Returns the membership, for inspection.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    fn on_packet(
        &mut self,
        now: Duration,
        packet: Vec<u8>,
        route: Route,
        parent: u64,
        out: &mut Vec<Action>,
    ) {
        let (outcome, span) = self.pipeline.run(now, packet, route, parent);
        match outcome {
            Outcome::Fabric(packet) => {
                counter!("limpetdeck_packets_forwarded_total").increment(1);
                out.push(Action::Fabric(packet));
            }
            Outcome::Instance(to, route, packet) => {
                counter!("limpetdeck_packets_passed_total").increment(1);
                let redirected = Body::Packet(RedirectedPacket { route, span, packet });
                if !self.link.outbox(now, out).redirect(to, &redirected) {
                    counter!("limpetdeck_packets_dropped_total", "reason" => "no_address")
                        .increment(1);
                }
            }
            Outcome::Refused(service, refusal, reset) => {
                let reason = refusal.reason.to_string();
                counter!("limpetdeck_flows_refused_total", "reason" => reason.clone()).increment(1);
                histogram!("limpetdeck_retry_after_seconds", "reason" => reason.clone())
                    .record(refusal.retry_after);
                *self.refusals.entry(reason.clone()).or_default() += 1;
                log::info!(
                    service = service,
                    reason = reason.as_str(),
                    retry_after_ms = refusal.retry_after.as_millis() as u64;
                    "flow_refused"
                );
                out.push(Action::Fabric(reset));
            }
            Outcome::Discarded(reason) => {
                count_dropped(reason);
                self.drop_log.record(now, reason);
            }
        }
    }

    fn on_peer_message(&mut self, now: Duration, buf: &[u8], out: &mut Vec<Action>) {
        let Some((from, body)) = self.link.open(buf) else { return };
        if let Body::Packet(redirected) = body {
            return self.on_packet(now, redirected.packet, redirected.route, redirected.span, out);
        }
        let mut outbox = self.link.outbox(now, out);
        match body {
            // Packets are handled above, and steering messages only by steering nodes.
            Body::Packet(_) | Body::Steering(_) => {}
            Body::Membership(message) => {
                self.membership.on_message(now, from, message, &mut outbox);
            }
            Body::Lists(message) => self.lists.on_message(now, from, message, &mut outbox),
            Body::Targets(message) => self.targets.on_message(now, from, message, &mut outbox),
            Body::Flows(message) => {
                self.pipeline.placement.on_message(now, from, message, &mut outbox);
            }
            Body::Admission(message) => {
                let Pipeline { placement, admission, .. } = &mut self.pipeline;
                self.takeovers.on_message(now, from, message, placement, admission.as_mut());
            }
        }
        self.propagate_changes(now);
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut outbox = self.link.outbox(now, out);
        self.membership.tick(now, &mut outbox);
        self.pause_detector.tick(now);
        self.update_stale(now);
        if self.membership.is_superseded() {
            self.stop(now);
        }
        let mut outbox = self.link.outbox(now, out);
        let live = self.membership.live();
        self.lists.tick(now, &live, &mut outbox);
        self.targets.tick(now, &live, &mut outbox);
        self.pipeline.placement.tick(now, &mut outbox);
        self.propagate_changes(now);
        let Pipeline { placement, admission, .. } = &mut self.pipeline;
        admission.tick(now, placement.flows());
        let mut outbox = self.link.outbox(now, out);
        self.takeovers.send(placement, admission.as_mut(), &mut outbox);
        self.call_platform(now, out);
        gauge!("limpetdeck_replicas_waiting")
            .set(self.pipeline.placement.replicas_waiting() as f64);
        gauge!("limpetdeck_flows_known").set(self.pipeline.placement.flows().len() as f64);
        if !self.exited && self.leaving_since.is_some_and(|since| self.may_exit(now, since)) {
            self.exited = true;
            if !self.membership.is_superseded() {
                out.push(Action::Platform(self.platform_calls.deregister()));
            }
            out.push(Action::Exit);
        }
    }

    /// Returns whether a leaving instance may exit: after [`MIN_LINGER`] once its records are
    /// handed over, and after [`MAX_LINGER`] in any case.
    fn may_exit(&self, now: Duration, since: Duration) -> bool {
        let handover_complete =
            self.pipeline.placement.handover_complete() && self.takeovers.is_empty();
        now >= since + MAX_LINGER || (now >= since + MIN_LINGER && handover_complete)
    }

    /// Marks the instance as stale after a gap between ticks: the process was paused and may
    /// have missed changes. Runs before each event, so that the first one after the gap is
    /// already handled as stale.
    fn detect_pause(&mut self, now: Duration) {
        if self.pause_detector.detect(now) {
            self.stale_until = Some(now + MIN_REFRESH);
            self.pipeline.placement.set_stale(now, true);
        }
    }

    /// Ends the stale state once the instance has compared its membership table with a peer, or
    /// the time for that is up.
    fn update_stale(&mut self, now: Duration) {
        let isolated = self.membership.is_isolated(now);
        gauge!("limpetdeck_isolated").set(f64::from(u8::from(isolated)));
        let refreshing = self.membership.is_refreshing(now);
        if !refreshing && self.stale_until.is_some_and(|until| now >= until) {
            self.stale_until = None;
            self.pipeline.placement.set_stale(now, false);
        }
    }

    /// Passes changes of members, lists and targets to the components that use them.
    fn propagate_changes(&mut self, now: Duration) {
        let mut placers_may_change = false;
        if self.membership.take_changed() {
            placers_may_change = true;
            let (owners, live) = (self.membership.owners(), self.membership.live());
            log::info!(live = live.len(), owners = owners.len(); "members");
            gauge!("limpetdeck_instances_live").set(live.len() as f64);
            self.link.set_addresses(self.membership.peer_addresses());
            self.link.set_incarnation(self.membership.me().incarnation);
            let domains =
                self.membership.live_infos().map(|info| (info.id, info.failure_domain.clone()));
            self.targets.set_members(domains);
            self.pipeline.placement.set_members(now, owners, live);
        }
        if let Some((version, services)) = self.lists.take_services() {
            self.targets.set_services(Arc::clone(&services));
            self.pipeline.placement.set_services(now, version, services);
            placers_may_change = true;
        }
        self.update_admission(now, placers_may_change);
        for change in self.targets.take_state_changes() {
            let view = TargetView { state: change.state, version: change.version, since: now };
            self.pipeline.placement.set_target_state(change.target, view);
        }
    }

    fn update_admission(&mut self, now: Duration, placers_may_change: bool) {
        let Pipeline { placement, admission, .. } = &mut self.pipeline;
        if let Some(rules) = self.lists.take_rules() {
            admission.set_rules(now, rules);
            self.takeovers.on_rules(now, placement, admission.as_mut());
        }
        if placers_may_change {
            self.takeovers.on_placement_change(now, placement, admission.as_mut());
        }
    }

    /// Makes the calls to the platform that are due. An instance that stops goes on reading, as
    /// packets reach it until it exits, but does not register.
    fn call_platform(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.exited {
            return;
        }
        let me = self.membership.me();
        let registration = self.leaving_since.is_none().then(|| object_value(me)).flatten();
        let is_watcher = self.membership.is_watcher(now);
        let calls = self.platform_calls.due_calls(now, registration.as_ref(), is_watcher);
        out.extend(calls.into_iter().map(Action::Platform));
    }

    fn stop(&mut self, now: Duration) {
        if self.leaving_since.is_none() {
            log::info!(instance = self.membership.me().id; "leaving");
            self.leaving_since = Some(now);
            self.membership.leave();
            self.propagate_changes(now);
        }
    }

    fn on_platform_result(
        &mut self,
        now: Duration,
        call: &Call,
        result: &Result<Reply, PlatformError>,
        out: &mut Vec<Action>,
    ) {
        self.platform_calls.on_result(now, call, result);
        if result.is_ok() {
            self.last_platform_reply = Some(now);
        }
        match result {
            Ok(Reply::Changes(changes)) => {
                for object in &changes.objects {
                    self.on_object(now, object, out);
                }
                self.propagate_changes(now);
            }
            Ok(_) => {}
            Err(e) => {
                counter!("limpetdeck_platform_errors_total").increment(1);
                log::warn!(error = e.to_string().as_str(); "platform_call_failed");
            }
        }
    }

    fn on_object(&mut self, now: Duration, object: &Object, out: &mut Vec<Action>) {
        let mut outbox = self.link.outbox(now, out);
        self.lists.on_object(now, object, &mut outbox);
        self.targets.on_object(now, object, &mut outbox);
        if object.name.starts_with(INSTANCES_PREFIX) && !object.value.is_null() {
            match serde_json::from_value::<MemberInfo>(object.value.clone()) {
                Ok(info) => self.membership.on_listed(now, info),
                Err(e) => {
                    log::warn!(
                        object = object.name.as_str(),
                        problem = e.to_string().as_str();
                        "object_refused"
                    );
                }
            }
        }
    }
}

impl Core for Instance {
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        Self::handle(self, now, event, out);
    }

    fn healthy(&self) -> bool {
        Self::healthy(self)
    }

    fn status(&self, now: Duration) -> Status {
        Self::status(self, now)
    }
}

fn count_dropped(reason: Discard) {
    counter!("limpetdeck_packets_dropped_total", "reason" => reason.to_string()).increment(1);
}

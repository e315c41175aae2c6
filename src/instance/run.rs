//! The wiring of the decision parts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics::{counter, gauge, histogram};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::drop_log::DropLog;
use super::registry::{INSTANCES, Registry};
use super::{Action, Core, Event, Status};
use crate::admission::{RuleAdmission, TakeOvers};
use crate::link::Link;
use crate::lists::Lists;
use crate::membership::Membership;
use crate::pause::PauseWatch;
use crate::peer::{Body, Hop, MemberInfo};
use crate::pipeline::{Discard, Outcome, Pipeline};
use crate::placement::{Placement, PlacementConfig, Policy, Route, TargetView};
use crate::platform::{Call, Object, PlatformError, Reply, object_value};
use crate::targets::Targets;
use crate::telemetry::Tracer;

/// Time for which a leaving instance keeps forwarding what still reaches it.
const LINGER: Duration = Duration::from_secs(4);
/// Longest time that a leaving instance takes to hand over its records.
const LONGEST_LINGER: Duration = Duration::from_secs(15);
/// Least time after a pause until the instance has heard of all changes again.
const REFRESH: Duration = Duration::from_secs(2);

/// What an instance is made of.
#[derive(Debug)]
pub struct InstanceConfig {
    /// The instance as others see it.
    pub me: MemberInfo,
    /// Peer addresses that are tried when the platform names none.
    pub seeds: Vec<SocketAddr>,
    /// Key of the messages between instances.
    pub peer_key: [u8; 32],
    /// Control traffic that the instance may send, in bytes a second.
    pub control_budget: u32,
    /// Flows that the table holds at most.
    pub flow_capacity: usize,
    /// One flow in this many is traced; 0 traces none.
    pub trace_one_in: u32,
    /// Which records are replicated, and who may forward a packet.
    pub policy: Policy,
}

/// One instance: all decisions, no sockets.
#[derive(Debug)]
pub struct Instance {
    pipeline: Pipeline,
    membership: Membership,
    registry: Registry,
    lists: Lists,
    targets: Targets,
    take_overs: TakeOvers,
    drop_log: DropLog,
    link: Link,
    pauses: PauseWatch,
    stale_until: Option<Duration>,
    leaving_since: Option<Duration>,
    gone: bool,
    platform_answered: Option<Duration>,
    refusals: BTreeMap<String, u64>,
}

impl Instance {
    /// Makes an instance that starts now; all its randomness comes from `rng`.
    pub fn new(now: Duration, cfg: InstanceConfig, mut rng: SmallRng) -> Self {
        let id = cfg.me.id;
        let placement_cfg =
            PlacementConfig { me: id, flow_capacity: cfg.flow_capacity, policy: cfg.policy };
        let placement = Placement::new(&placement_cfg);
        let tracer = Tracer::new(id, cfg.trace_one_in);
        let link = Link::new(cfg.peer_key, id, cfg.me.incarnation, cfg.control_budget, now);
        let admission = RuleAdmission::new(SmallRng::from_rng(&mut rng));
        Self {
            pipeline: Pipeline::new(placement, Box::new(admission), tracer),
            link,
            membership: Membership::new(now, cfg.me, cfg.seeds, SmallRng::from_rng(&mut rng)),
            lists: Lists::new(id, SmallRng::from_rng(&mut rng)),
            targets: Targets::new(id, SmallRng::from_rng(&mut rng)),
            registry: Registry::new(id, rng),
            take_overs: TakeOvers::default(),
            drop_log: DropLog::default(),
            pauses: PauseWatch::new(now),
            stale_until: None,
            leaving_since: None,
            gone: false,
            platform_answered: None,
            refusals: BTreeMap::new(),
        }
    }

    /// Takes an event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.notice_pause(now);
        match event {
            Event::Packet(packet) => self.packet(now, packet, Route::ENTRY, 0, out),
            Event::Peer(buf) => self.peer(now, &buf, out),
            Event::Platform(call, result) => self.platform(now, &call, &result, out),
            Event::Probed(target, result) => {
                self.targets.on_probed(now, target, result, &mut self.link.outbox(now, out));
                self.join_parts(now);
            }
            // Only steering asks for this.
            Event::Reached(..) => {}
            Event::Tick => self.tick(now, out),
            Event::Stop => self.stop(now),
            Event::Changed(settings) => self.membership.set_seeds(settings.seeds),
        }
    }

    /// Tells whether the fabric should send packets here.
    pub fn healthy(&self) -> bool {
        self.leaving_since.is_none() && self.lists.ready()
    }

    /// Returns the state that operators ask for.
    pub fn status(&self, now: Duration) -> Status {
        let me = self.membership.me();
        let since = |answered| now.saturating_sub(answered).as_millis() as u64;
        Status {
            instance: me.id,
            incarnation: me.incarnation,
            failure_domain: me.failure_domain.clone(),
            state: me.state,
            healthy: self.healthy(),
            stale: self.stale_until.is_some(),
            isolated: self.membership.isolated(now),
            versions: self.lists.versions(),
            refused_versions: self.lists.refused(),
            platform_answered_ms_ago: self.platform_answered.map(since),
            live_instances: self.membership.live().len(),
            open_flows: self.pipeline.placement.flows().len(),
            refusals: self.refusals.clone(),
        }
    }

    /// Returns the filters, for their state.
    pub fn pipeline(&self) -> &Pipeline {
        &self.pipeline
    }

    /// Returns the membership, for its state.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    fn packet(
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
                let hop = Body::Hop(Hop { route, span, packet });
                if !self.link.outbox(now, out).pass_on(to, &hop) {
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
            Outcome::Reset(service, reset) => {
                counter!("limpetdeck_flows_reset_total").increment(1);
                log::info!(service = service; "flow_reset");
                out.push(Action::Fabric(reset));
            }
            Outcome::Discarded(reason) => {
                dropped(reason);
                self.drop_log.note(now, reason);
            }
        }
    }

    fn peer(&mut self, now: Duration, buf: &[u8], out: &mut Vec<Action>) {
        let Some((from, body)) = self.link.open(buf) else { return };
        if let Body::Hop(hop) = body {
            return self.packet(now, hop.packet, hop.route, hop.span, out);
        }
        let mut outbox = self.link.outbox(now, out);
        match body {
            // Packets were dealt with above; steering has instances of its own.
            Body::Hop(_) | Body::Steering(_) => {}
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
                self.take_overs.on_message(now, from, message, placement, admission.as_mut());
            }
        }
        self.join_parts(now);
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut outbox = self.link.outbox(now, out);
        self.membership.tick(now, &mut outbox);
        self.pauses.tick(now);
        self.end_refresh(now);
        if self.membership.superseded() {
            self.stop(now);
        }
        let mut outbox = self.link.outbox(now, out);
        let live = self.membership.live();
        self.lists.tick(now, &live, &mut outbox);
        self.targets.tick(now, &live, &mut outbox);
        self.pipeline.placement.tick(now, &mut outbox);
        self.join_parts(now);
        let Pipeline { placement, admission, .. } = &mut self.pipeline;
        admission.tick(now, placement.flows());
        let mut outbox = self.link.outbox(now, out);
        self.take_overs.send(placement, admission.as_mut(), &mut outbox);
        self.call_platform(now, out);
        gauge!("limpetdeck_replicas_waiting")
            .set(self.pipeline.placement.replicas_waiting() as f64);
        gauge!("limpetdeck_flows_known").set(self.pipeline.placement.flows().len() as f64);
        if !self.gone && self.leaving_since.is_some_and(|since| self.may_exit(now, since)) {
            self.gone = true;
            if !self.membership.superseded() {
                out.push(Action::Platform(self.registry.deregister()));
            }
            out.push(Action::Exit);
        }
    }

    /// A leaving instance goes when nothing reaches it any more and its records are handed
    /// over, or when the longest time for that is up.
    fn may_exit(&self, now: Duration, since: Duration) -> bool {
        let handed_over = self.pipeline.placement.handed_over() && self.take_overs.all_sent();
        now >= since + LONGEST_LINGER || (now >= since + LINGER && handed_over)
    }

    /// A gap between ticks means that this instance was paused and may have missed changes.
    /// Whatever comes first after the gap meets an instance that knows it.
    fn notice_pause(&mut self, now: Duration) {
        if self.pauses.paused(now) {
            self.stale_until = Some(now + REFRESH);
            self.pipeline.placement.set_stale(true);
        }
    }

    /// The instance is stale until it has compared with a peer, or nobody is there.
    fn end_refresh(&mut self, now: Duration) {
        let isolated = self.membership.isolated(now);
        gauge!("limpetdeck_isolated").set(f64::from(u8::from(isolated)));
        let waits = self.membership.refreshing(now);
        if !waits && self.stale_until.is_some_and(|until| now >= until) {
            self.stale_until = None;
            self.pipeline.placement.set_stale(false);
        }
    }

    /// Hands what one part has found to the parts that need it.
    fn join_parts(&mut self, now: Duration) {
        let mut may_place_others = false;
        if self.membership.take_changed() {
            may_place_others = true;
            let (owners, live) = (self.membership.owners(), self.membership.live());
            log::info!(live = live.len(), owners = owners.len(); "members");
            gauge!("limpetdeck_instances_live").set(live.len() as f64);
            self.link.set_addresses(self.membership.addresses());
            self.link.set_incarnation(self.membership.me().incarnation);
            let domains =
                self.membership.infos().map(|info| (info.id, info.failure_domain.clone()));
            self.targets.set_members(domains);
            self.pipeline.placement.set_members(now, owners, live);
        }
        if let Some((version, services)) = self.lists.take_services() {
            self.targets.set_services(Arc::clone(&services));
            self.pipeline.placement.set_services(now, version, services);
            may_place_others = true;
        }
        self.join_admission(now, may_place_others);
        for change in self.targets.take_news() {
            let view = TargetView { state: change.state, version: change.version, since: now };
            self.pipeline.placement.set_target(change.target, view);
        }
    }

    fn join_admission(&mut self, now: Duration, may_place_others: bool) {
        let Pipeline { placement, admission, .. } = &mut self.pipeline;
        if let Some(rules) = self.lists.take_rules() {
            admission.set_rules(now, rules);
            self.take_overs.on_rules(now, placement, admission.as_mut());
        }
        if may_place_others {
            self.take_overs.compare(now, placement, admission.as_mut());
        }
    }

    fn call_platform(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.leaving_since.is_none() {
            let Some(me) = object_value(self.membership.me()) else { return };
            let calls = self.registry.due(now, &me, self.membership.watches(now));
            out.extend(calls.into_iter().map(Action::Platform));
        }
    }

    fn stop(&mut self, now: Duration) {
        if self.leaving_since.is_none() {
            log::info!(instance = self.membership.me().id; "leaving");
            self.leaving_since = Some(now);
            self.membership.leave();
            self.join_parts(now);
        }
    }

    fn platform(
        &mut self,
        now: Duration,
        call: &Call,
        result: &Result<Reply, PlatformError>,
        out: &mut Vec<Action>,
    ) {
        self.registry.done(now, call, result);
        if result.is_ok() {
            self.platform_answered = Some(now);
        }
        match result {
            Ok(Reply::Changes(changes)) => {
                for object in &changes.objects {
                    self.object(now, object, out);
                }
                self.join_parts(now);
            }
            Ok(_) => {}
            Err(e) => {
                counter!("limpetdeck_platform_errors_total").increment(1);
                log::warn!(error = e.to_string().as_str(); "platform_call_failed");
            }
        }
    }

    fn object(&mut self, now: Duration, object: &Object, out: &mut Vec<Action>) {
        let mut outbox = self.link.outbox(now, out);
        self.lists.on_object(now, object, &mut outbox);
        self.targets.on_object(now, object, &mut outbox);
        if object.name.starts_with(INSTANCES) && !object.value.is_null() {
            match serde_json::from_value::<MemberInfo>(object.value.clone()) {
                Ok(info) => self.membership.listed(now, info),
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

fn dropped(reason: Discard) {
    counter!("limpetdeck_packets_dropped_total", "reason" => reason.to_string()).increment(1);
}

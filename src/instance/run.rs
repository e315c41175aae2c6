//! The wiring of the decision parts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics::{counter, gauge};
use rand::rngs::SmallRng;

use super::registry::{INSTANCES, Registry};
use super::{Action, Event};
use crate::budget::{Budget, Class};
use crate::ids::Version;
use crate::membership::Membership;
use crate::peer::{Body, Hop, MemberInfo, Sealer};
use crate::pipeline::{AdmitAll, Discard, Outcome, Pipeline};
use crate::placement::{Placement, PlacementConfig, Route};
use crate::platform::{Call, Object, PlatformError, Reply};
use crate::services::{self, RawServices, Services};
use crate::telemetry::Tracer;

/// Time for which a leaving instance keeps forwarding what still reaches it.
const LINGER: Duration = Duration::from_secs(4);
/// Gap between two ticks after which the instance was paused.
const PAUSED_AFTER: Duration = Duration::from_secs(1);
/// Time after a pause until the instance has heard of all changes again.
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
}

/// One instance: all decisions, no sockets.
#[derive(Debug)]
pub struct Instance {
    pipeline: Pipeline,
    membership: Membership,
    registry: Registry,
    sealer: Sealer,
    budget: Budget,
    services_version: Version,
    last_tick: Duration,
    stale_until: Option<Duration>,
    leaving_since: Option<Duration>,
}

impl Instance {
    /// Makes an instance that starts now; all its randomness comes from `rng`.
    pub fn new(now: Duration, cfg: InstanceConfig, rng: SmallRng) -> Self {
        let id = cfg.me.id;
        let placement_cfg = PlacementConfig { me: id, flow_capacity: cfg.flow_capacity };
        let placement = Placement::new(&placement_cfg);
        let tracer = Tracer::new(id, cfg.trace_one_in);
        Self {
            pipeline: Pipeline::new(placement, Box::new(AdmitAll), tracer),
            sealer: Sealer::new(cfg.peer_key, id, cfg.me.incarnation),
            membership: Membership::new(now, cfg.me, cfg.seeds),
            registry: Registry::new(id, rng),
            budget: Budget::new(cfg.control_budget, now),
            services_version: 0,
            last_tick: now,
            stale_until: None,
            leaving_since: None,
        }
    }

    /// Takes an event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Packet(packet) => self.packet(now, packet, Route::ENTRY, 0, out),
            Event::Peer(buf) => self.peer(now, &buf, out),
            Event::Platform(call, result) => self.platform(now, &call, &result),
            Event::Tick => self.tick(now, out),
            Event::Stop => self.stop(now),
        }
    }

    /// Tells whether the fabric should send packets here.
    pub fn healthy(&self) -> bool {
        self.leaving_since.is_none() && self.services_version > 0
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
                let Some(address) = self.membership.address(to) else {
                    counter!("limpetdeck_packets_dropped_total", "reason" => "no_address")
                        .increment(1);
                    return;
                };
                let hop = Body::Hop(Hop { route, span, packet });
                out.push(Action::Peer(address, self.sealer.seal(&hop)));
            }
            Outcome::Refused(service, refusal, reset) => {
                let reason = refusal.reason.to_string();
                counter!("limpetdeck_flows_refused_total", "reason" => reason.clone()).increment(1);
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
            Outcome::Discarded(reason) => dropped(reason),
        }
    }

    fn peer(&mut self, now: Duration, buf: &[u8], out: &mut Vec<Action>) {
        match self.sealer.open(buf) {
            Ok((_, Body::Hop(hop))) => self.packet(now, hop.packet, hop.route, hop.span, out),
            Ok((_, Body::Heartbeat(info))) => {
                if self.membership.heard(now, info) {
                    self.members_changed(now);
                }
            }
            Err(reason) => {
                let reason = reason.to_string();
                counter!("limpetdeck_peer_messages_dropped_total", "reason" => reason).increment(1);
            }
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.notice_pause(now);
        if self.membership.tick(now) {
            self.members_changed(now);
        }
        for flow in self.pipeline.placement.tick(now) {
            self.pipeline.admission.closed(now, flow);
        }
        self.send_heartbeats(now, out);
        let me = serde_json::to_value(self.membership.me()).unwrap_or_default();
        if self.leaving_since.is_none() {
            out.extend(self.registry.due(now, &me).into_iter().map(Action::Platform));
        }
        gauge!("limpetdeck_flows_known").set(self.pipeline.placement.flows().len() as f64);
        if self.leaving_since.is_some_and(|since| now >= since + LINGER) {
            out.push(Action::Platform(self.registry.deregister()));
            out.push(Action::Exit);
        }
    }

    /// A gap between ticks means that this instance was paused and may have missed changes.
    fn notice_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > PAUSED_AFTER {
            log::warn!(gap_ms = gap.as_millis() as u64; "paused");
            self.stale_until = Some(now + REFRESH);
            self.pipeline.placement.set_stale(true);
        }
        if self.stale_until.is_some_and(|until| now >= until) {
            self.stale_until = None;
            self.pipeline.placement.set_stale(false);
        }
    }

    fn send_heartbeats(&mut self, now: Duration, out: &mut Vec<Action>) {
        for to in self.membership.heartbeats(now) {
            let body = Body::Heartbeat(self.membership.me().clone());
            let buf = self.sealer.seal(&body);
            self.budget.spend(now, Class::Liveness, buf.len());
            counter!("limpetdeck_control_bytes_total", "class" => "liveness")
                .increment(buf.len() as u64);
            out.push(Action::Peer(to, buf));
        }
    }

    fn members_changed(&mut self, now: Duration) {
        let live = self.membership.live();
        log::info!(live = live.len(), owners = self.membership.owners().len(); "members");
        gauge!("limpetdeck_instances_live").set(live.len() as f64);
        self.pipeline.placement.set_members(now, self.membership.owners(), live);
    }

    fn stop(&mut self, now: Duration) {
        if self.leaving_since.is_none() {
            log::info!(instance = self.membership.me().id; "leaving");
            self.leaving_since = Some(now);
            self.membership.leave();
            self.registry.renew_now();
            self.members_changed(now);
        }
    }

    fn platform(&mut self, now: Duration, call: &Call, result: &Result<Reply, PlatformError>) {
        self.registry.done(now, call, result);
        match result {
            Ok(Reply::Changes(changes)) => {
                for object in &changes.objects {
                    self.object(now, object);
                }
            }
            Ok(_) => {}
            Err(e) => {
                counter!("limpetdeck_platform_errors_total").increment(1);
                log::warn!(error = e.to_string().as_str(); "platform_call_failed");
            }
        }
    }

    fn object(&mut self, now: Duration, object: &Object) {
        if object.name == services::OBJECT_NAME {
            self.adopt_services(object);
        } else if object.name.starts_with(INSTANCES) && !object.value.is_null() {
            match serde_json::from_value::<MemberInfo>(object.value.clone()) {
                Ok(info) => {
                    if self.membership.listed(now, info) {
                        self.members_changed(now);
                    }
                }
                Err(e) => refuse_object(object, &e.to_string()),
            }
        }
    }

    /// Takes the services if they are newer and valid; else the last good ones stay.
    fn adopt_services(&mut self, object: &Object) {
        if object.version <= self.services_version {
            return;
        }
        let checked = match serde_json::from_value::<RawServices>(object.value.clone()) {
            Ok(raw) => Services::try_from(raw),
            Err(e) => return refuse_object(object, &e.to_string()),
        };
        match checked {
            Ok(services) => {
                self.services_version = object.version;
                log::info!(version = object.version, services = services.list().len(); "services");
                self.pipeline.placement.set_services(Arc::new(services));
            }
            Err(findings) => refuse_object(object, &findings.to_string()),
        }
    }
}

fn refuse_object(object: &Object, problem: &str) {
    counter!("limpetdeck_objects_refused_total").increment(1);
    log::warn!(
        object = object.name.as_str(),
        version = object.version,
        problem = problem;
        "object_refused"
    );
}

fn dropped(reason: Discard) {
    counter!("limpetdeck_packets_dropped_total", "reason" => reason.to_string()).increment(1);
}

//! The core of an instance that forwards packets by token. It does no I/O: it takes events and
//! returns actions.

mod cold_targets;
mod domain_drains;
mod held_openings;
mod inquiries;
mod last_packets;
mod last_resort;
mod logging;
mod members_log;
mod platform_contact;
mod platform_reply;
mod shutdown;
mod startup_queue;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use metrics::{counter, gauge};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::cold_targets::ColdTargetsLog;
use self::inquiries::inquire;
use self::last_packets::LastPackets;
use self::members_log::MembersLog;
use self::platform_contact::{Poll, limit_removal_grace};
use self::startup_queue::StartupQueue;
use super::gossip::{Gossip, Peers};
use super::list_watch::ListWatches;
use super::log_rate_limit::LogRateLimit;
use super::policy::late_openings::LateOpenings;
use super::policy::opening_copies::OpeningCopies;
use super::policy::platform_contact::PlatformContact;
use super::registration::Registration;
use super::{
    DomainDrains, DropReason, FlowPacket, Forwarder, Message, PacketFormat, PacketKind,
    ResetReason, TargetIncarnation, Verdict,
};
use crate::instance::{Action, CheckOutcome, Core, Event, Status};
use crate::link::{Link, count_dropped_message};
use crate::lists::ListVersions;
use crate::membership::Membership;
use crate::pause::PauseDetector;
use crate::peer::{Body, KeyRing, MemberInfo};
use crate::platform::Era;

/// Time between two expiry runs over flows and targets.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks for overdue responses, each of which scans all flows.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the start before an instance may watch the platform. Before that it does not know
/// all peers yet and would take itself for one of the few watchers.
const WATCH_DELAY: Duration = Duration::from_millis(2_500);
/// Time after the start before an instance that knows no peer looks up the registered ones.
const DISCOVERY_DELAY: Duration = Duration::from_millis(1_200);

/// Configuration of a [`Node`].
#[derive(Debug)]
pub struct NodeConfig {
    /// The instance as others see it.
    pub me: MemberInfo,
    /// Peer addresses that are contacted while no other instance is known.
    pub seeds: Vec<SocketAddr>,
    /// Keys that protect messages between instances; the token keys are derived from them.
    pub peer_keys: KeyRing,
    /// Limit of the control traffic that the instance sends, in bytes per second.
    pub control_budget: u32,
    /// Traces one flow in this many; 0 disables tracing.
    pub trace_one_in: u32,
    /// Time within which a graceful shutdown has to complete.
    pub grace: Duration,
    /// Whether the deployment has orders to drain failure domains.
    pub domain_drains: bool,
    /// Reads and writes the packet format.
    pub format: Box<dyn PacketFormat>,
}

/// How an instance shares the watches of the platform; changes only with the live instances.
#[derive(Debug, Clone, Copy)]
struct WatchRole {
    /// Whether it knows no other instance.
    alone: bool,
    /// Whether it ranks among the watchers of its failure domain.
    ranked: bool,
    /// Number of watchers in its failure domain.
    watchers: u32,
    /// Number of the other instances there, which depend on the watchers.
    dependents: u32,
}

/// An instance that forwards packets by token.
#[derive(Debug)]
pub struct Node {
    format: Box<dyn PacketFormat>,
    forwarder: Forwarder,
    list_watches: ListWatches,
    gossip: Gossip,
    membership: Membership,
    link: Link,
    trace_one_in: u64,
    log: LogRateLimit,
    last_packets: LastPackets,
    startup_queue: StartupQueue,
    late_openings: LateOpenings,
    opening_copies: OpeningCopies,
    /// When no packet was waiting to be read, the last time.
    packets_read: Duration,
    next_release: Duration,
    started: Duration,
    pauses: PauseDetector,
    last_packet: Duration,
    next_expiry: Duration,
    next_overdue_check: Duration,
    platform_answered: Option<Duration>,
    /// The latest era of the platform that is known.
    era: Era,
    registration: Registration,
    members_log: MembersLog,
    cold_targets_log: ColdTargetsLog,
    watch_role: WatchRole,
    contact: PlatformContact,
    poll: Option<Poll>,
    grace: Duration,
    leaving_since: Option<Duration>,
    exited: bool,
    refusals: BTreeMap<String, u64>,
}

impl Node {
    /// Creates an instance that starts now and draws all its randomness from `rng`.
    pub fn new(now: Duration, cfg: NodeConfig, mut rng: SmallRng) -> Self {
        let id = cfg.me.id;
        let token_keys = cfg.peer_keys.derive("limpetdeck flow tokens");
        let local_domain = cfg.me.failure_domain.clone();
        let mut fork = || SmallRng::from_rng(&mut rng);
        let mut forwarder = Forwarder::new(local_domain, token_keys, fork());
        if cfg.domain_drains {
            forwarder.drains = DomainDrains::enabled();
        }
        Self {
            format: cfg.format,
            forwarder,
            list_watches: ListWatches::new(fork()),
            gossip: Gossip::new(fork()),
            link: Link::new(cfg.peer_keys, id, cfg.me.incarnation, cfg.control_budget, now),
            trace_one_in: u64::from(cfg.trace_one_in),
            membership: Membership::new(now, cfg.me, cfg.seeds, fork()),
            log: LogRateLimit::new(now),
            last_packets: LastPackets::default(),
            startup_queue: StartupQueue::default(),
            late_openings: LateOpenings::default(),
            opening_copies: OpeningCopies::default(),
            packets_read: now,
            next_release: now,
            started: now,
            pauses: PauseDetector::new(now),
            last_packet: now,
            next_expiry: now,
            next_overdue_check: now,
            platform_answered: None,
            era: 0,
            registration: Registration::new(now, fork()),
            members_log: MembersLog::default(),
            cold_targets_log: ColdTargetsLog::default(),
            watch_role: WatchRole { alone: true, ranked: true, watchers: 1, dependents: 0 },
            // Nobody is expected to watch before the delay is over.
            contact: PlatformContact::new(now + WATCH_DELAY, fork()),
            poll: None,
            grace: cfg.grace,
            leaving_since: None,
            exited: false,
            refusals: BTreeMap::new(),
        }
    }

    /// Returns the packet steering state.
    pub fn forwarder(&self) -> &Forwarder {
        &self.forwarder
    }

    /// Returns the membership state.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Requests a connection check of a target that may be dead.
    pub fn suspect_target(&mut self, now: Duration, target: TargetIncarnation) {
        self.forwarder.suspect_target(now, target);
    }

    /// Handles a packet that arrived at a time.
    fn handle_packet(
        &mut self,
        now: Duration,
        arrived: Duration,
        buf: Vec<u8>,
        out: &mut Vec<Action>,
    ) {
        self.last_packet = now;
        let packet = match self.format.read(&buf) {
            Ok(packet) => packet,
            Err(e) => return self.record_drop(now, None, &e.to_string()),
        };
        if self.trace_one_in > 0 && packet.flow.id().is_multiple_of(self.trace_one_in) {
            out.push(Action::TraceSpan(packet.flow.id()));
        }
        log::debug!(
            caller = packet.flow.caller.to_string().as_str(),
            service = packet.flow.service.to_string().as_str(),
            kind = format!("{:?}", packet.kind).as_str(),
            token = format!("{:08x}", packet.token).as_str(),
            sequence = packet.sequence,
            acknowledged = packet.ack,
            data = packet.data_len;
            "packet"
        );
        if let PacketKind::Opening { repeats } = packet.kind {
            let age = self.format.opening_age(repeats);
            let (first_sent, id) = (arrived.saturating_sub(age), packet.attempt());
            let since = self.packets_read.min(arrived);
            self.opening_copies.read(now, since, id, repeats, age);
            if self.yields(now, &packet, first_sent) {
                return self.hold_opening(now, &packet, first_sent, buf, out);
            }
        }
        self.forward(now, arrived, &packet, buf, out);
        if matches!(packet.kind, PacketKind::Opening { repeats: 1.. }) {
            self.update_reach(now, out);
        }
    }

    fn forward(
        &mut self,
        now: Duration,
        arrived: Duration,
        packet: &FlowPacket,
        buf: Vec<u8>,
        out: &mut Vec<Action>,
    ) {
        match self.forwarder.decide(now, packet) {
            Verdict::Forward(target, token) => {
                counter!("limpetdeck_packets_forwarded_total").increment(1);
                let datagram = self.format.forward(&buf, token, target.key);
                out.push(Action::Datagram(SocketAddr::V4(target.address), datagram));
                let incarnation = (target.key, target.incarnation);
                if matches!(packet.kind, PacketKind::Opening { .. }) {
                    self.opening_copies.forwarded(packet.attempt());
                }
                if let (Some(token), PacketKind::Opening { repeats }) = (token, packet.kind) {
                    let target = target.clone();
                    self.record_placement(now, packet, &target, token, repeats);
                }
                self.keep_last(now, packet, incarnation, buf);
            }
            Verdict::Inquire(inquiry, token) => {
                counter!("limpetdeck_packets_forwarded_total").increment(1);
                inquire(self.format.as_ref(), &inquiry, token, &buf, out);
                let target = (inquiry.target.key, inquiry.target.incarnation);
                self.keep_last(now, packet, target, buf);
            }
            Verdict::Reset(reason) => match self.reset_objection(now, packet) {
                None => self.send_reset(now, arrived, packet, reason, out),
                Some(objection) => self.record_drop(now, Some(packet), &objection.to_string()),
            },
            Verdict::Drop(DropReason::NotReady | DropReason::Undecided) => {
                self.startup_queue.push(arrived, buf);
            }
            Verdict::Drop(reason) => self.record_drop(now, Some(packet), &reason.to_string()),
        }
    }

    /// Returns why a packet that cannot be served is not answered with a reset: the reset might end a flow
    /// that the packet does not belong to, or that another copy of it has opened.
    fn reset_objection(&self, now: Duration, packet: &FlowPacket) -> Option<DropReason> {
        let age = |copy| self.format.opening_age(copy);
        let is_opening = matches!(packet.kind, PacketKind::Opening { .. });
        if is_opening && !self.opening_copies.may_refuse(now, packet.attempt(), age) {
            return Some(DropReason::MayBeOpen);
        }
        let is_earlier = !is_opening && self.forwarder.flows.knows_other(packet);
        is_earlier.then_some(DropReason::EarlierFlow)
    }

    /// Forwards the queued packets whose routes and targets are known by now.
    fn release_queued(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.startup_queue.is_empty() || !self.forwarder.targets.complete_up_to().is_known() {
            return;
        }
        let packets = self.startup_queue.take(now, self.format.as_ref());
        let taken = packets.len();
        for (arrived, buf) in packets {
            self.handle_packet(now, arrived, buf, out);
        }
        let released = taken - self.startup_queue.len();
        if released > 0 {
            log::info!(packets = released; "waiting_released");
        }
    }

    fn handle_peer_message(&mut self, now: Duration, buf: &[u8], out: &mut Vec<Action>) {
        let Some((from, body)) = self.link.open(buf) else { return };
        let since = self.forwarder.targets.complete_up_to();
        let routes_before = self.forwarder.routes.version();
        let decision = self.last_resort_decision();
        let mut outbox = self.link.outbox(now, out);
        match body {
            Body::Membership(message) => {
                self.membership.on_message(now, from, message, &mut outbox);
                self.update_peers(now);
            }
            Body::Steering(Message::PlatformContact(report)) => {
                self.handle_contact_report(now, report, out);
            }
            Body::Steering(mut message) => {
                limit_removal_grace(now, &self.contact, &mut message);
                let drains_ready = self.forwarder.drains.ready();
                let changed =
                    self.gossip.on_message(now, from, message, &mut self.forwarder, &mut outbox);
                if self.forwarder.routes.version() > routes_before {
                    self.gossip.note_routes(now, &self.forwarder, routes_before, &mut outbox);
                } else if changed {
                    self.gossip.note_changes(now, &self.forwarder, since, &mut outbox);
                }
                self.enter_era(now, self.forwarder.targets.era(), "peer");
                self.forwarder.start_warm_ups();
                if changed || self.forwarder.drains.ready() != drains_ready {
                    self.release_queued(now, out);
                }
                if self.forwarder.has_reach_changes() {
                    self.update_reach(now, out);
                }
                self.apply_last_resort(now, decision, out);
            }
            // Sent only by instances that forward by flow records instead of tokens.
            Body::Packet(_)
            | Body::Lists(_)
            | Body::Targets(_)
            | Body::Flows(_)
            | Body::Admission(_) => count_dropped_message("not_steering"),
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.pauses.detect(now) {
            self.list_watches.relist(now);
            self.forwarder.reset_reach();
        }
        self.pauses.tick(now);
        let mut outbox = self.link.outbox(now, out);
        self.membership.tick(now, &mut outbox);
        let routes_failing = self.list_watches.routes_failing();
        self.gossip.tick(now, &self.forwarder, routes_failing, &mut outbox);
        self.update_peers(now);
        self.update_instance_view(now);
        self.members_log.write(now, self.gossip.peers());
        if self.membership.is_superseded() {
            self.begin_shutdown(now);
        }
        self.call_platform(now, out);
        self.stop_waiting_for_drains(now, out);
        self.update_reach(now, out);
        self.forwarder.sample_load(now);
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.forwarder.expire(now);
            self.last_packets.expire(now, self.forwarder.idle_timeout());
            self.report_cold_targets(now);
            gauge!("limpetdeck_flows_known").set(self.forwarder.flows.len() as f64);
            gauge!("limpetdeck_targets_unsteady").set(self.forwarder.unsteady_targets(now) as f64);
            gauge!("limpetdeck_targets_known").set(self.forwarder.targets.len() as f64);
            gauge!("limpetdeck_routes_version").set(self.forwarder.routes.version() as f64);
        }
        self.forwarder.check_flow_targets(now);
        self.resend_last_packets(now, out);
        if now >= self.next_overdue_check {
            self.next_overdue_check = now + OVERDUE_CHECK_INTERVAL;
            self.announce_overdue(now, out);
        }
        self.log_health_changes();
        self.log_unsteady(now);
        self.release_held(now, out);
        self.finish_shutdown(now, out);
    }

    fn handle_connection_check(
        &mut self,
        now: Duration,
        address: SocketAddr,
        outcome: CheckOutcome,
        out: &mut Vec<Action>,
    ) {
        let (name, result) = (address.to_string(), outcome.to_string());
        log::info!(address = name.as_str(), outcome = result.as_str(); "target_connect");
        let dead = self.forwarder.record_connection_check(now, address, outcome);
        self.log_health_changes();
        self.gossip.announce_suspects(now, &dead, &mut self.link.outbox(now, out));
        if self.forwarder.has_reach_changes() {
            self.update_reach(now, out);
        }
    }

    /// Announces targets with overdue responses to peers.
    fn announce_overdue(&mut self, now: Duration, out: &mut Vec<Action>) {
        let targets = self.forwarder.take_overdue(now);
        if targets.is_empty() {
            return;
        }
        self.log_overdue(now, &targets);
        self.gossip.announce_overdue(now, &targets, &mut self.link.outbox(now, out));
    }

    /// Resets a flow at its caller because of a packet that arrived at a time.
    fn send_reset(
        &mut self,
        now: Duration,
        arrived: Duration,
        packet: &FlowPacket,
        reason: ResetReason,
        out: &mut Vec<Action>,
    ) {
        self.last_packets.remove(packet.flow.id());
        let (to, reset) = self.format.reset(packet);
        let sequence = self.format.read(&reset).map_or(0, |reset| reset.sequence);
        out.push(Action::Datagram(SocketAddr::V4(to), reset));
        self.log_reset(now, now.saturating_sub(arrived), packet, sequence, reason);
        let reason = reason.to_string();
        counter!("limpetdeck_flows_refused_total", "reason" => reason.clone()).increment(1);
        *self.refusals.entry(reason).or_default() += 1;
    }

    fn update_peers(&mut self, now: Duration) {
        if !self.membership.take_changed() {
            return;
        }
        let me = self.membership.me();
        let others = self.membership.live_infos().filter(|info| info.id != me.id);
        let (local, remote): (Vec<&MemberInfo>, Vec<_>) =
            others.partition(|info| info.failure_domain == me.failure_domain);
        let ids = |infos: Vec<&MemberInfo>| infos.into_iter().map(|info| info.id).collect();
        let counts = (local.len(), remote.len());
        let watchers = self.membership.local_watchers();
        self.watch_role = WatchRole {
            alone: counts == (0, 0),
            ranked: self.membership.ranks_as_watcher(),
            watchers: watchers as u32,
            dependents: (counts.0 + 1).saturating_sub(watchers) as u32,
        };
        gauge!("limpetdeck_instances_live").set((local.len() + remote.len() + 1) as f64);
        self.forwarder.set_local_instances(counts.0 + 1);
        self.forwarder.set_local_ids(now, local.iter().map(|info| info.id).chain([me.id]));
        self.forwarder.set_instances(counts.0 + counts.1 + 1);
        self.gossip.set_peers(Peers::new(me.id, ids(local), ids(remote)));
        self.link.set_addresses(self.membership.peer_addresses());
        self.link.set_incarnation(self.membership.me().incarnation);
    }
}

impl Core for Node {
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Packet(buf) => {
                self.handle_packet(now, now, buf, out);
                self.release_held(now, out);
            }
            Event::Peer(buf) => self.handle_peer_message(now, &buf, out),
            Event::Platform(call, result) => {
                self.note_platform_reply(now, &call, &result, out);
                self.handle_platform_reply(now, &call, &result, out);
            }
            Event::PlatformPart(call, part) => self.handle_platform_part(now, &call, &part, out),
            // This core never probes targets: their flows show whether they respond.
            Event::ProbeFinished(..) => {}
            Event::ConnectionChecked(address, outcome) => {
                self.handle_connection_check(now, address, outcome, out);
            }
            Event::PacketsRead(at) => self.packets_read = at,
            Event::TimeLost => {
                log::info!("time_lost");
                self.opening_copies.lose_time(now);
            }
            Event::Tick => self.tick(now, out),
            Event::Stop => {
                self.begin_shutdown(now);
                self.release_held(now, out);
            }
            Event::SettingsChanged(settings) => self.apply_settings(settings),
        }
        out.extend(
            self.forwarder.take_connection_checks().into_iter().map(Action::CheckConnection),
        );
    }

    fn healthy(&self) -> bool {
        self.leaving_since.is_none() && self.forwarder.ready()
    }

    fn status(&self, now: Duration) -> Status {
        let me = self.membership.me();
        let since = |answered| now.saturating_sub(answered).as_millis() as u64;
        let services = self.forwarder.routes.version();
        Status {
            instance: me.id,
            incarnation: me.incarnation,
            failure_domain: me.failure_domain.clone(),
            state: me.state,
            healthy: self.healthy(),
            stale: false,
            isolated: self.membership.is_isolated(now),
            versions: ListVersions { services, ..ListVersions::default() },
            refused_versions: ListVersions::default(),
            platform_answered_ms_ago: self.platform_answered.map(since),
            live_instances: self.membership.live_count(),
            open_flows: self.forwarder.flows.len(),
            refusals: self.refusals.clone(),
            drained_domains: self.forwarder.drains.drained(now),
        }
    }
}

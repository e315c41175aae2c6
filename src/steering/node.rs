//! One instance that steers by tokens, without its sockets: events in, actions out.

mod logging;
mod platform_reply;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use metrics::{counter, gauge};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::decision_log::DecisionLog;
use super::gossip::{Peers, Sharing};
use super::list_watch::{Feeds, Wants};
use super::registration::Registration;
use super::{
    FlowPacket, PacketFormat, PacketKind, Refusal, Steer, TargetStart, Unforwarded, Verdict,
};
use crate::hash::HashMap;
use crate::instance::{Action, Changeable, Core, Event, Status};
use crate::link::{Link, drop_message};
use crate::lists::Versions;
use crate::membership::Membership;
use crate::pause::PauseWatch;
use crate::peer::{Body, MemberInfo};

/// Shortest time for which a leaving instance keeps forwarding: callers' packets come until
/// health checks that fail have taken it out of the rotation.
const LINGER: Duration = Duration::from_millis(1_500);
/// Time without packets after which a leaving instance goes.
const QUIET: Duration = Duration::from_millis(600);
/// Part of the time for a graceful stop that is kept for ending the process.
const EXIT_RESERVE: Duration = Duration::from_millis(700);
/// Time between two rounds of forgetting.
const EXPIRE_EVERY: Duration = Duration::from_secs(1);
/// Time between two looks for overdue answers, which go over all flows.
const OVERDUE_EVERY: Duration = Duration::from_millis(250);
/// Time after the start until an instance watches the platform: until then it seems alone
/// with those that it has not met yet.
const WATCH_AFTER: Duration = Duration::from_millis(2_500);
/// Time after the start until one that knows no other looks for registered ones.
const LOOK_AFTER: Duration = Duration::from_millis(1_200);
/// Packets that wait for routes and targets at most.
const MOST_WAITING: usize = 256;
/// Longest time that a packet waits; by then its sender has sent it again.
const LONGEST_WAIT: Duration = Duration::from_millis(600);

/// What an instance is made of.
#[derive(Debug)]
pub struct NodeConfig {
    /// The instance as others see it.
    pub me: MemberInfo,
    /// Peer addresses that are tried when no instance is known.
    pub seeds: Vec<SocketAddr>,
    /// Key of the messages between instances, from which that of the tokens is derived.
    pub peer_key: [u8; 32],
    /// Control traffic that the instance may send, in bytes a second.
    pub control_budget: u32,
    /// One flow in this many is traced; 0 traces none.
    pub trace_one_in: u32,
    /// Time within which a graceful stop has to be complete.
    pub grace: Duration,
    /// The format of packets.
    pub format: Box<dyn PacketFormat>,
}

/// One instance that steers by tokens.
#[derive(Debug)]
pub struct Node {
    format: Box<dyn PacketFormat>,
    steer: Steer,
    feeds: Feeds,
    sharing: Sharing,
    membership: Membership,
    link: Link,
    trace_one_in: u64,
    log: DecisionLog,
    waiting: VecDeque<(Duration, Vec<u8>)>,
    started: Duration,
    pauses: PauseWatch,
    last_packet: Duration,
    next_expiry: Duration,
    next_overdue: Duration,
    platform_answered: Option<Duration>,
    registration: Registration,
    /// Peers of the own failure domain and of others, as last logged.
    members: (usize, usize),
    grace: Duration,
    leaving_since: Option<Duration>,
    gone: bool,
    refusals: BTreeMap<String, u64>,
}

impl Node {
    /// Makes an instance that starts now; all its randomness comes from `rng`.
    pub fn new(now: Duration, cfg: NodeConfig, mut rng: SmallRng) -> Self {
        let id = cfg.me.id;
        let token_key = blake3::derive_key("limpetdeck flow tokens", &cfg.peer_key);
        let home = cfg.me.failure_domain.clone();
        let mut fork = || SmallRng::from_rng(&mut rng);
        Self {
            format: cfg.format,
            steer: Steer::new(home, token_key, fork()),
            feeds: Feeds::new(fork()),
            sharing: Sharing::new(fork()),
            link: Link::new(cfg.peer_key, id, cfg.me.incarnation, cfg.control_budget, now),
            trace_one_in: u64::from(cfg.trace_one_in),
            membership: Membership::new(now, cfg.me, cfg.seeds, fork()),
            log: DecisionLog::new(now),
            waiting: VecDeque::new(),
            started: now,
            pauses: PauseWatch::new(now),
            last_packet: now,
            next_expiry: now,
            next_overdue: now,
            platform_answered: None,
            registration: Registration::new(now, fork()),
            members: (0, 0),
            grace: cfg.grace,
            leaving_since: None,
            gone: false,
            refusals: BTreeMap::new(),
        }
    }

    /// Returns the decisions about packets, for their state.
    pub fn steer(&self) -> &Steer {
        &self.steer
    }

    /// Returns the membership, for its state.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Has it found out whether a target has stopped.
    pub fn doubt(&mut self, now: Duration, target: TargetStart) {
        self.steer.doubt(now, target);
    }

    fn packet(&mut self, now: Duration, buf: Vec<u8>, out: &mut Vec<Action>) {
        self.last_packet = now;
        let packet = match self.format.read(&buf) {
            Ok(packet) => packet,
            Err(e) => return self.dropped(now, None, &e.to_string()),
        };
        if self.trace_one_in > 0 && packet.flow.id().is_multiple_of(self.trace_one_in) {
            out.push(Action::Traced(packet.flow.id()));
        }
        log::debug!(
            caller = packet.flow.caller.to_string().as_str(),
            service = packet.flow.service.to_string().as_str(),
            kind = format!("{:?}", packet.kind).as_str(),
            token = format!("{:08x}", packet.token).as_str(),
            sequence = packet.sequence,
            acknowledged = packet.acknowledged,
            data = packet.data_len;
            "packet"
        );
        match self.steer.decide(now, &packet) {
            Verdict::Forward(target, token) => {
                counter!("limpetdeck_packets_forwarded_total").increment(1);
                let datagram = self.format.forward(&buf, token, target);
                out.push(Action::Datagram(SocketAddr::V4(target.address), datagram));
                if let (Some(token), PacketKind::Opening { repeats }) = (token, packet.kind) {
                    let target = target.clone();
                    self.placed(now, &packet, &target, token, repeats);
                }
            }
            Verdict::Reset(refusal) => self.reset(now, &packet, refusal, out),
            Verdict::Drop(Unforwarded::NotReady) => self.hold(now, buf),
            Verdict::Drop(reason) => self.dropped(now, Some(&packet), &reason.to_string()),
        }
    }

    /// Keeps a packet until the routes and targets are known.
    fn hold(&mut self, now: Duration, buf: Vec<u8>) {
        if self.waiting.len() >= MOST_WAITING {
            self.waiting.pop_front();
            counter!("limpetdeck_packets_dropped_total", "reason" => "not_ready").increment(1);
        }
        self.waiting.push_back((now, buf));
    }

    /// Decides about the packets that waited.
    fn release(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.waiting.is_empty() || !self.steer.ready() {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting);
        log::info!(packets = waiting.len(); "waiting_released");
        let held = waiting.len();
        // Of a packet and its repeats one is enough; the last one tells how often it was sent.
        let mut last = HashMap::default();
        for (at, buf) in waiting.into_iter().filter(|(since, _)| now < *since + LONGEST_WAIT) {
            if let Ok(packet) = self.format.read(&buf) {
                last.insert((packet.flow.id(), packet.sequence, packet.data_len), (at, buf));
            }
        }
        let dropped = held - last.len();
        counter!("limpetdeck_packets_dropped_total", "reason" => "not_ready")
            .increment(dropped as u64);
        let mut last: Vec<_> = last.into_values().collect();
        last.sort();
        for (_, buf) in last {
            self.packet(now, buf, out);
        }
    }

    fn peer(&mut self, now: Duration, buf: &[u8], out: &mut Vec<Action>) {
        let Some((from, body)) = self.link.open(buf) else { return };
        let since = self.steer.directory.complete_to();
        let mut outbox = self.link.outbox(now, out);
        match body {
            Body::Membership(message) => {
                self.membership.on_message(now, from, message, &mut outbox);
                self.join_members();
            }
            Body::Steering(message) => {
                if self.sharing.on_message(now, from, message, &mut self.steer, &mut outbox) {
                    self.sharing.note_news(now, &self.steer, since, &mut outbox);
                    self.release(now, out);
                }
            }
            // These belong to instances that place by records.
            Body::Hop(_)
            | Body::Lists(_)
            | Body::Targets(_)
            | Body::Flows(_)
            | Body::Admission(_) => drop_message("not_steering"),
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.pauses.paused(now) {
            self.feeds.refresh(now);
        }
        self.pauses.tick(now);
        let mut outbox = self.link.outbox(now, out);
        self.membership.tick(now, &mut outbox);
        let fails = self.feeds.routes_fail();
        self.sharing.tick(now, &self.steer, fails, &mut outbox);
        self.join_members();
        if self.membership.superseded() {
            self.stop(now);
        }
        self.call_platform(now, out);
        self.steer.sample(now);
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRE_EVERY;
            self.steer.expire(now);
            gauge!("limpetdeck_flows_known").set(self.steer.flows.len() as f64);
            gauge!("limpetdeck_targets_known").set(self.steer.directory.len() as f64);
            gauge!("limpetdeck_routes_version").set(self.steer.routes.version() as f64);
        }
        self.end_flows(now, out);
        if now >= self.next_overdue {
            self.next_overdue = now + OVERDUE_EVERY;
            self.tell_overdue(now, out);
        }
        self.log_beliefs();
        self.end_stop(now, out);
    }

    fn reached(
        &mut self,
        now: Duration,
        address: SocketAddr,
        accepted: bool,
        out: &mut Vec<Action>,
    ) {
        let name = address.to_string();
        log::info!(address = name.as_str(), accepted = accepted; "target_connect");
        let dead = self.steer.reached(now, address, accepted);
        self.log_beliefs();
        self.sharing.tell_doubts(now, &dead, &mut self.link.outbox(now, out));
        self.end_flows(now, out);
    }

    /// Tells peers of targets that keep callers waiting.
    fn tell_overdue(&mut self, now: Duration, out: &mut Vec<Action>) {
        let targets = self.steer.take_overdue(now);
        if targets.is_empty() {
            return;
        }
        self.log_overdue(now, &targets);
        self.sharing.tell_overdue(now, &targets, &mut self.link.outbox(now, out));
    }

    /// Resets the flows whose targets have certainly stopped.
    fn end_flows(&mut self, now: Duration, out: &mut Vec<Action>) {
        for (packet, refusal) in self.steer.take_ended(now) {
            self.reset(now, &packet, refusal, out);
        }
    }

    fn reset(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        let reason = refusal.to_string();
        let (to, reset) = self.format.reset(packet);
        out.push(Action::Datagram(SocketAddr::V4(to), reset));
        counter!("limpetdeck_flows_refused_total", "reason" => reason.clone()).increment(1);
        self.log_refusal(now, packet, &reason);
        *self.refusals.entry(reason).or_default() += 1;
    }

    fn call_platform(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.leaving_since.is_some() {
            return;
        }
        let age = now.saturating_sub(self.started);
        let alone = self.membership.live().len() < 2;
        let watches = age >= WATCH_AFTER && self.membership.watches(now);
        let wants = Wants {
            watches,
            routes: self.sharing.routes_behind(&self.steer),
            instances: alone && age >= LOOK_AFTER,
        };
        out.extend(self.feeds.due(now, wants).into_iter().map(Action::Platform));
        if watches && !alone && !self.feeds.lost() {
            let calls = self.registration.due(now, self.membership.me());
            out.extend(calls.into_iter().map(Action::Platform));
        }
    }

    fn join_members(&mut self) {
        if !self.membership.take_changed() {
            return;
        }
        let me = self.membership.me();
        let others = self.membership.infos().filter(|info| info.id != me.id);
        let (home, away): (Vec<&MemberInfo>, Vec<_>) =
            others.partition(|info| info.failure_domain == me.failure_domain);
        let ids = |infos: Vec<&MemberInfo>| infos.into_iter().map(|info| info.id).collect();
        let sizes = (home.len(), away.len());
        if sizes != self.members {
            self.members = sizes;
            log::info!(home = home.len(), away = away.len(); "members");
        }
        gauge!("limpetdeck_instances_live").set((home.len() + away.len() + 1) as f64);
        self.steer.set_home_instances(sizes.0 + 1);
        self.sharing.set_peers(Peers { home: ids(home), away: ids(away) });
        let addresses: HashMap<_, _> = self.membership.addresses();
        self.link.set_addresses(addresses);
        self.link.set_incarnation(self.membership.me().incarnation);
    }

    fn change(&mut self, settings: Changeable) {
        self.grace = settings.grace;
        self.membership.set_seeds(settings.seeds);
    }

    fn stop(&mut self, now: Duration) {
        if self.leaving_since.is_none() {
            log::info!(instance = self.membership.me().id; "leaving");
            self.leaving_since = Some(now);
            self.membership.leave();
        }
    }

    /// Ends a graceful stop once nothing reaches this instance any more, or its time is up.
    fn end_stop(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(since) = self.leaving_since.filter(|_| !self.gone) else { return };
        let latest = since + self.grace.saturating_sub(EXIT_RESERVE);
        let quiet = now >= since + LINGER && now >= self.last_packet + QUIET;
        if quiet || now >= latest {
            self.gone = true;
            let registered = self.registration.end(self.membership.me().id);
            let ends = registered.filter(|_| !self.membership.superseded());
            out.extend(ends.map(Action::Platform));
            out.push(Action::Exit);
        }
    }
}

impl Core for Node {
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Packet(buf) => self.packet(now, buf, out),
            Event::Peer(buf) => self.peer(now, &buf, out),
            Event::Platform(call, result) => self.platform(now, &call, &result, out),
            // Targets are never probed: their flows show whether they answer.
            Event::Probed(..) => {}
            Event::Reached(address, accepted) => {
                self.reached(now, address, accepted, out);
            }
            Event::Tick => self.tick(now, out),
            Event::Stop => self.stop(now),
            Event::Changed(settings) => self.change(settings),
        }
        out.extend(self.steer.take_doubts().into_iter().map(Action::Reach));
    }

    fn healthy(&self) -> bool {
        self.leaving_since.is_none() && self.steer.ready()
    }

    fn status(&self, now: Duration) -> Status {
        let me = self.membership.me();
        let since = |answered| now.saturating_sub(answered).as_millis() as u64;
        let services = self.steer.routes.version();
        Status {
            instance: me.id,
            incarnation: me.incarnation,
            failure_domain: me.failure_domain.clone(),
            state: me.state,
            healthy: self.healthy(),
            stale: false,
            isolated: self.membership.isolated(now),
            versions: Versions { services, ..Versions::default() },
            refused_versions: Versions::default(),
            platform_answered_ms_ago: self.platform_answered.map(since),
            live_instances: self.membership.live().len(),
            open_flows: self.steer.flows.len(),
            refusals: self.refusals.clone(),
        }
    }
}

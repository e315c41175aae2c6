//! The instances of a run: starts, stops, pauses, and what they want done.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use limpetdeck::ids::TargetId;
use limpetdeck::instance::{Action, Event};
use limpetdeck::placement::TargetState;
use limpetdeck::platform::{Call, PlatformError, Reply};
use limpetdeck::targets::{ProbeError, ProbeResult, StateChange};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{WARM, What, World};
use crate::measure::node::{Node, NodeConfig, make};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Datagrams that wait for a paused instance at most.
const BACKLOG: usize = 2_000;
/// Bytes that IPv4 and UDP add to a message.
const DATAGRAM_OVERHEAD: usize = 28;
/// Longest time between news at one instance and at another.
const UNEVEN: Duration = Duration::from_secs(4);
/// Time after which a probe has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time in which the fabric notices a live or dead instance.
const FABRIC_LAG: Duration = Duration::from_millis(1_000);
/// Shortest time in which it does.
const LEAST_FABRIC_LAG: Duration = Duration::from_millis(300);

/// One instance.
pub struct Member {
    /// Number of the instance.
    pub id: u32,
    /// Failure domain that the instance stands in.
    pub domain: String,
    /// The instance, unless it is dead.
    pub node: Option<Box<dyn Node>>,
    /// Whether the process is stopped for now.
    pub paused: bool,
    start: u64,
    backlog: VecDeque<Event>,
    in_fabric: bool,
    differs_until: Option<Duration>,
    lag: Duration,
}

impl World {
    /// Starts one more instance and returns its index.
    pub fn add_member(&mut self) -> usize {
        let index = self.members.len();
        let domains: Vec<_> =
            self.hosts.iter().take(3).map(|host| host.failure_domain.clone()).collect();
        let domain = domains[index % domains.len()].clone();
        let lag = UNEVEN.mul_f64(self.rng.random());
        self.members.push(Member {
            id: index as u32 + 1,
            domain,
            node: None,
            paused: false,
            start: 0,
            backlog: VecDeque::new(),
            in_fabric: false,
            differs_until: None,
            lag,
        });
        self.start_member(index);
        index
    }

    /// Starts an instance anew, with nothing but its settings.
    pub fn start_member(&mut self, index: usize) {
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let member = &mut self.members[index];
        member.start += 1;
        let start = member.start;
        let failure_domain = member.domain.clone();
        let cfg = NodeConfig { id: member.id, incarnation: start, failure_domain, rng };
        let node = make(self.now, self.settings.policy, cfg, &self.services, &self.central);
        member.node = Some(node);
        let after = TICK.mul_f64(self.rng.random());
        self.schedule(after, What::Tick(index, start));
        let states: Vec<_> = self.told.values().copied().collect();
        for change in states {
            self.schedule(after, What::Told(index, change));
        }
    }

    /// Ends an instance at once.
    pub fn kill_member(&mut self, index: usize) {
        self.members[index].node = None;
        self.members[index].backlog.clear();
    }

    /// Asks an instance to stop gracefully.
    pub fn stop_member(&mut self, index: usize) {
        self.give(index, Event::Stop);
    }

    /// Lets a paused instance run again, with all that has waited for it.
    pub fn resume_member(&mut self, index: usize) {
        self.members[index].paused = false;
        self.changes.reachable(self.now, index);
        let backlog = std::mem::take(&mut self.members[index].backlog);
        for event in backlog {
            self.give(index, event);
        }
    }

    /// Ends a cut.
    pub fn heal(&mut self) {
        let Some(cut) = self.cut.take() else { return };
        for (index, member) in self.members.iter().enumerate() {
            if member.domain == cut.domain {
                self.changes.reachable(self.now, index);
            }
        }
    }

    /// Returns the instances that run.
    pub fn running(&self) -> Vec<usize> {
        let runs = |&index: &usize| self.members[index].node.is_some();
        (0..self.members.len()).filter(runs).collect()
    }

    /// How much later than others an instance gets news.
    pub(super) fn lag(&self, member: usize) -> Duration {
        if self.uneven { self.members[member].lag } else { Duration::ZERO }
    }

    pub(super) fn packet(&mut self, index: usize, packet: Vec<u8>) {
        if self.now >= WARM {
            self.figures.packets += 1;
        }
        self.give(index, Event::Packet(packet));
    }

    pub(super) fn peer(&mut self, index: usize, buf: Vec<u8>) {
        self.give(index, Event::Peer(buf));
    }

    pub(super) fn answer(
        &mut self,
        index: usize,
        start: u64,
        call: Call,
        result: Result<Reply, PlatformError>,
    ) {
        if self.members[index].start == start {
            self.note_drained(&result);
            self.give(index, Event::Platform(call, result));
        }
    }

    pub(super) fn tell(&mut self, index: usize, change: StateChange) {
        if let Some(node) = &mut self.members[index].node {
            node.told(change);
        }
    }

    pub(super) fn probed(&mut self, index: usize, start: u64, host: usize, result: ProbeResult) {
        if self.members[index].start != start || self.members[index].node.is_none() {
            return;
        }
        if result.as_ref().is_ok_and(|report| report.state == TargetState::Draining) {
            self.note_leaving(host);
        }
        self.give(index, Event::Probed(self.hosts[host].id, result));
    }

    /// Reads a target's report; one that is dead or cut off lets the probe run out of time.
    fn probe(&mut self, index: usize, target: TargetId) {
        let Some(host) = self.hosts.iter().position(|host| host.id == target) else { return };
        let domain = self.members[index].domain.clone();
        let far = self.hosts[host].failure_domain.clone();
        let report = self.hosts[host].report().filter(|_| self.joined(&domain, &far));
        let after = match report {
            Some(_) => self.between(&domain, &far) * 4,
            None => PROBE_TIMEOUT,
        };
        let after = after + self.lag(index);
        let result = report.ok_or_else(|| ProbeError::NoAnswer("timeout".to_owned()));
        let start = self.members[index].start;
        self.schedule(after, What::Probed(index, start, host, result));
    }

    pub(super) fn tick(&mut self, index: usize, start: u64) {
        let member = &self.members[index];
        if member.start != start || member.node.is_none() {
            return;
        }
        if !member.paused {
            self.give(index, Event::Tick);
        }
        self.schedule(TICK, What::Tick(index, start));
    }

    /// The fabric notices instances that have come or gone, each after a while.
    pub(super) fn watch_members(&mut self) {
        for index in 0..self.members.len() {
            let lag = self.rng.random_range(LEAST_FABRIC_LAG..FABRIC_LAG);
            let member = &mut self.members[index];
            let healthy = member.node.as_ref().is_some_and(|node| node.healthy());
            if (healthy && !member.paused) == member.in_fabric {
                member.differs_until = None;
            } else if self.now >= *member.differs_until.get_or_insert(self.now + lag) {
                member.in_fabric = !member.in_fabric;
                member.differs_until = None;
            }
        }
        let known = |&index: &usize| self.members[index].in_fabric;
        self.live = (0..self.members.len()).filter(known).collect();
    }

    /// Gives an event to an instance, or to the queue of its sockets.
    fn give(&mut self, index: usize, event: Event) {
        let now = self.now;
        let member = &mut self.members[index];
        let Some(node) = &mut member.node else { return };
        if member.paused {
            if member.backlog.len() < BACKLOG {
                member.backlog.push_back(event);
            }
            return;
        }
        let entered = matches!(event, Event::Packet(_));
        let start = member.start;
        let mut out = Vec::new();
        let began = Instant::now();
        node.handle(now, event, &mut out);
        if entered && now >= WARM && matches!(out[..], [Action::Fabric(_)]) {
            self.figures.decide.add(began.elapsed().as_nanos() as u64);
        }
        if self.lists_change && !entered {
            let marks = node.marks();
            self.changes.note(now, (index, start), marks, &mut self.figures);
        }
        self.act(index, out);
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Fabric(packet) => self.route(index, &packet),
                Action::Peer(to, buf) => {
                    self.count_control(index, buf.len());
                    self.send_peer(index, to, buf);
                }
                Action::PassOn(to, buf) => {
                    self.figures.hops += u64::from(self.now >= WARM);
                    self.send_peer(index, to, buf);
                }
                Action::Platform(call) => self.call(index, call),
                Action::Probe(target, _) => self.probe(index, target),
                // Only instances that steer by tokens want these; none runs here.
                Action::Datagram(..) | Action::Reach(_) | Action::Traced(_) => {}
                Action::Exit => self.kill_member(index),
            }
        }
    }

    fn count_control(&mut self, index: usize, len: usize) {
        if self.now >= WARM {
            let key = (index as u32, self.now.as_secs());
            *self.figures.control.entry(key).or_default() += (len + DATAGRAM_OVERHEAD) as u64;
        }
    }

    fn send_peer(&mut self, from: usize, to: SocketAddr, buf: Vec<u8>) {
        let IpAddr::V4(ip) = to.ip() else { return };
        let to = usize::from(ip.octets()[3]).wrapping_sub(1);
        if to >= self.members.len() {
            return;
        }
        let (one, other) = (self.members[from].domain.clone(), self.members[to].domain.clone());
        if self.joined(&one, &other) {
            let after = self.between(&one, &other);
            self.schedule(after, What::Peer(to, buf));
        }
    }

    fn call(&mut self, index: usize, call: Call) {
        let member = &self.members[index];
        let cut = self.cut.as_ref().is_some_and(|cut| cut.platform && cut.domain == member.domain);
        let from = (index, member.start);
        let answers = self.platform.call(self.now, from, call, !cut);
        self.deliver(answers);
    }
}

//! Cold targets get no more openings than they bear, from all instances together.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use limpetdeck::instance::Event;
use limpetdeck::steering::{
    FlowPacket, Forwarder, InstanceView, PacketKind, RawRoutes, ResetReason, ServiceWarmUp, Target,
    TargetKey, Verdict,
};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use support::*;
use world::*;

const COLD_TARGETS: u64 = 40;
const WARM_TARGETS: u64 = 10;
const STEP: Duration = Duration::from_millis(10);
/// Openings in each step, from all instances together.
const OPENINGS: usize = 15;
/// When the cold targets come up.
const RETURN: Duration = Duration::from_secs(100);
const COLD_MS: u64 = 8_000;

fn limited_routes(flows_per_s: u64) -> RawRoutes {
    let service = STATION.to_owned();
    let warm_up =
        ServiceWarmUp { service, duration_ms: COLD_MS, flows_per_1000_s: flows_per_s * 1_000 };
    RawRoutes { warm_ups: vec![warm_up], ..routes(1, &[STATION]) }
}

/// Checks that in no second a cold target got more openings than it bears.
fn check_budget(openings: &BTreeMap<TargetKey, Vec<Duration>>, flows_per_s: u64) {
    for (key, times) in openings {
        let mut times = times.clone();
        times.sort_unstable();
        for (first, last) in times.iter().zip(times.iter().skip(flows_per_s as usize)) {
            assert!(*last - *first >= ms(1_000), "target {key}: too many from {first:?} on");
        }
    }
}

/// Openings of many instances, a third of them in the failure domain of the cold targets.
struct Fleet {
    forwarders: Vec<Forwarder>,
    flows_per_s: u64,
    now: Duration,
    openings: BTreeMap<TargetKey, Vec<Duration>>,
    rng: SmallRng,
}

impl Fleet {
    fn new(instances: usize, flows_per_s: u64) -> Self {
        let mut fleet = Self {
            forwarders: Vec::new(),
            flows_per_s,
            now: Duration::ZERO,
            openings: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(5),
        };
        fleet.forwarders = (0..instances).map(|i| fleet.start(i)).collect();
        for i in 0..instances {
            fleet.show(i, |_| true);
        }
        fleet.now = RETURN;
        fleet
    }

    fn domain(i: usize) -> &'static str {
        if i.is_multiple_of(3) { LOCAL } else { REMOTE }
    }

    /// Returns an instance that starts now. It knows the targets, but no other instance.
    fn start(&self, i: usize) -> Forwarder {
        let rng = SmallRng::seed_from_u64(i as u64);
        let mut forwarder = Forwarder::new(Self::domain(i).to_owned(), KEY, rng);
        forwarder.routes.adopt(limited_routes(self.flows_per_s)).expect("valid routes");
        let cold_ms = (RETURN + ms(COLD_MS)).saturating_sub(self.now.max(RETURN));
        let cold =
            (1..=COLD_TARGETS).map(|key| Target { warm_up_left: cold_ms, ..target(key, STATION) });
        let warm = (1..=WARM_TARGETS).map(|key| remote_target(COLD_TARGETS + key, STATION));
        let records = cold.chain(warm).map(|target| record(5, target)).collect();
        forwarder.targets.replace_all(self.now.max(RETURN), at(10), records);
        let view = InstanceView { me: i as u32, started: self.now, is_complete: true };
        forwarder.set_instance_view(view);
        forwarder
    }

    /// Shows an instance those of its failure domain that the filter admits.
    fn show(&mut self, i: usize, admits: impl Fn(usize) -> bool) {
        let all = 0..self.forwarders.len();
        let ids = all.filter(|&other| Self::domain(other) == Self::domain(i));
        let ids: Vec<_> = ids.filter(|&other| other == i || admits(other)).collect();
        self.forwarders[i].set_local_ids(self.now, ids.into_iter().map(|id| id as u32));
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            if self.now.subsec_millis() == 0 {
                self.forwarders.iter_mut().for_each(|forwarder| forwarder.expire(self.now));
            }
            for _ in 0..OPENINGS {
                let i = self.rng.random_range(0..self.forwarders.len());
                let packet = opening(self.rng.random(), 1);
                let verdict = self.forwarders[i].decide(self.now, &packet);
                let Verdict::Forward(&Target { key, .. }, _) = verdict else { continue };
                self.forwarders[i].flows.remove(packet.flow.id());
                if key <= COLD_TARGETS {
                    assert_eq!(Self::domain(i), LOCAL, "opened from another failure domain");
                    let delay = ms(self.rng.random_range(0..90));
                    self.openings.entry(key).or_default().push(self.now + delay);
                }
            }
            self.now += STEP;
        }
    }

    fn count(&self) -> usize {
        self.openings.values().map(Vec::len).sum()
    }
}

/// Every size of fleet keeps to the budget, and uses at least half of it.
#[test]
fn return_of_targets() {
    for (instances, flows_per_s) in [(15, 2), (15, 5), (100, 2), (100, 5), (300, 2), (300, 5)] {
        let mut fleet = Fleet::new(instances, flows_per_s);
        fleet.run(Duration::from_secs(4));
        check_budget(&fleet.openings, flows_per_s);
        let budget = (COLD_TARGETS * flows_per_s * 4) as usize;
        let count = fleet.count();
        println!("{instances} instances, {flows_per_s}/s: {count} openings of {budget}");
        assert!(2 * count >= budget);
        let now = fleet.now;
        let reports = fleet.forwarders.iter_mut().map(|forwarder| forwarder.cold_targets(now));
        let (shares, openings) = reports.fold((0.0, 0), |(shares, openings), cold| {
            (shares + cold.budget_per_s, openings + cold.openings)
        });
        assert!(shares > 0.0 && shares <= (COLD_TARGETS * flows_per_s) as f64);
        assert_eq!(openings, count as u64);
    }
}

/// Half of the instances know others that stopped a minute ago, the other half has forgotten them: the
/// instances of both views together would own too much if a stopped one passed its share on.
#[test]
fn two_views() {
    let mut fleet = Fleet::new(90, 2);
    let stopped = |other: usize| other.is_multiple_of(4);
    for i in 0..90 {
        if i % 2 == 1 {
            fleet.forwarders[i] = fleet.start(i);
            fleet.show(i, |other| !stopped(other));
            let view = InstanceView { me: i as u32, started: ms(0), is_complete: true };
            fleet.forwarders[i].set_instance_view(view);
        }
    }
    fleet.now += Duration::from_secs(1);
    for i in 0..90 {
        fleet.show(i, |other| !stopped(other));
    }
    for i in (0..90).filter(|&i| stopped(i)) {
        let view = InstanceView { me: i as u32, started: ms(0), is_complete: false };
        fleet.forwarders[i].set_instance_view(view);
    }
    fleet.run(Duration::from_secs(4));
    check_budget(&fleet.openings, 2);
    assert!(fleet.count() > 0);
}

/// A network partition divides the failure domain for a minute. Its halves do not see each other, but
/// both go on: neither may take over the shares of the other one.
#[test]
fn partition() {
    let mut fleet = Fleet::new(90, 2);
    fleet.now = RETURN - Duration::from_secs(60);
    for i in 0..90 {
        fleet.show(i, |other| other % 2 == i % 2);
    }
    fleet.now = RETURN;
    fleet.run(Duration::from_secs(4));
    check_budget(&fleet.openings, 2);
    assert!(fleet.count() > 0);
}

/// All instances restart while the targets are cold, and learn of each other over four seconds, in any
/// order: none may use a share again, or one that belongs to an instance that it does not know yet.
#[test]
fn restart_of_fleet() {
    let mut fleet = Fleet::new(100, 2);
    fleet.run(Duration::from_secs(1));
    fleet.forwarders = (0..100).map(|i| fleet.start(i)).collect();
    let mut order: Vec<usize> = (0..100).collect();
    for known in 1..=20 {
        for i in 0..100 {
            order.sort_unstable();
            order.shuffle(&mut SmallRng::seed_from_u64(i as u64));
            fleet.show(i, |other| order[..known * 5].contains(&other));
        }
        fleet.run(ms(200));
    }
    let before = fleet.count();
    fleet.run(Duration::from_secs(3));
    check_budget(&fleet.openings, 2);
    assert!(fleet.count() > before, "the budget is used again");
}

/// Instances are added, and the others learn of each of them within two seconds: a new one does not use
/// a share that the instance before it still uses.
#[test]
fn added_instances() {
    let mut fleet = Fleet::new(45, 2);
    let mut known: Vec<usize> = (0..30).collect();
    for i in 0..30 {
        fleet.forwarders[i] = fleet.start(i);
        let view = InstanceView { me: i as u32, started: ms(0), is_complete: true };
        fleet.forwarders[i].set_instance_view(view);
        fleet.show(i, |other| other < 30);
    }
    fleet.now += Duration::from_secs(1);
    for i in 30..45 {
        fleet.forwarders[i] = fleet.start(i);
        fleet.show(i, |_| true);
    }
    for _ in 0..20 {
        known.shuffle(&mut fleet.rng);
        for i in known.split_off(known.len().saturating_sub(2)) {
            fleet.show(i, |_| true);
        }
        fleet.run(ms(100));
    }
    fleet.run(Duration::from_secs(4));
    check_budget(&fleet.openings, 2);
    let owned: Vec<_> =
        (30..45).map(|i| fleet.forwarders[i].cold_targets(fleet.now).owned).collect();
    assert!(owned.iter().any(|&owned| owned > 0), "new instances get shares");
}

/// An instance that starts and is not told of the others does not take the whole budget.
#[test]
fn incomplete_view() {
    let mut fleet = Fleet::new(30, 2);
    fleet.forwarders[0] = fleet.start(0);
    let view = InstanceView { me: 0, started: ms(0), is_complete: false };
    fleet.forwarders[0].set_instance_view(view);
    fleet.show(0, |_| false);
    fleet.run(Duration::from_secs(5));
    check_budget(&fleet.openings, 2);
    assert_eq!(fleet.forwarders[0].cold_targets(fleet.now).owned, 0);
}

/// Returns an instance that is alone in its failure domain and owns the shares of one target.
fn only_owner(target: Target) -> Forwarder {
    let mut forwarder = forwarder(&[STATION], &[]);
    forwarder.routes.adopt(RawRoutes { version: 2, ..limited_routes(1) }).expect("valid routes");
    forwarder.set_instance_view(InstanceView { me: 1, started: ms(0), is_complete: true });
    forwarder.set_local_ids(ms(0), [1].into_iter());
    forwarder.targets.merge(RETURN, record(11, target));
    forwarder
}

fn reason(forwarder: &mut Forwarder, now: Duration, packet: &FlowPacket) -> Option<ResetReason> {
    match forwarder.decide(now, packet) {
        Verdict::Reset(reason) => Some(reason),
        _ => None,
    }
}

/// Copies of an opening packet follow the first one and are not counted; other callers are refused.
#[test]
fn copies() {
    let mut forwarder = only_owner(Target { warm_up_left: ms(COLD_MS), ..target(1, STATION) });
    assert_eq!(place(&mut forwarder, RETURN, &opening(1, 1)).0, 1);
    let refused = Some(ResetReason::ColdTargets);
    assert_eq!(reason(&mut forwarder, RETURN, &opening(2, 1)), refused);
    let copy = retransmitted_opening(1, 1, 1);
    assert_eq!(place(&mut forwarder, RETURN + ms(200), &copy).0, 1);
    assert_eq!(reason(&mut forwarder, RETURN + ms(1_099), &opening(3, 1)), refused);
    assert_eq!(place(&mut forwarder, RETURN + ms(1_100), &opening(3, 1)).0, 1);
}

/// A target restarts: a copy for its earlier incarnation would be an opening that is not counted.
#[test]
fn copy_after_restart() {
    let cold = Target { warm_up_left: ms(COLD_MS), ..target(1, STATION) };
    let mut forwarder = only_owner(cold.clone());
    assert_eq!(place(&mut forwarder, RETURN, &opening(1, 1)).0, 1);
    forwarder.targets.merge(RETURN + ms(100), record(12, Target { incarnation: 2_000, ..cold }));
    assert_eq!(place(&mut forwarder, RETURN + ms(100), &opening(2, 1)).0, 1);
    let copy = retransmitted_opening(1, 1, 1);
    let refused = Some(ResetReason::ColdTargets);
    assert_eq!(reason(&mut forwarder, RETURN + ms(200), &copy), refused);
}

/// The order to drain a failure domain is withdrawn: its targets count as cold before their own entries
/// say so, for all instances and only for the announced time.
#[test]
fn presumed_cold() {
    let mut forwarder = only_owner(target(1, STATION));
    forwarder.targets.merge(RETURN, record(12, remote_target(2, STATION)));
    assert_eq!(place(&mut forwarder, RETURN, &opening(1, 1)).0, 1);
    forwarder.presume_cold(RETURN, LOCAL);
    forwarder.presume_cold(RETURN, REMOTE);
    // The first copy was not counted, as the target was warm.
    assert_eq!(place(&mut forwarder, RETURN, &retransmitted_opening(1, 1, 1)).0, 1);
    let refused = Some(ResetReason::ColdTargets);
    assert_eq!(reason(&mut forwarder, RETURN, &opening(2, 1)), refused);
    forwarder.expire(RETURN + ms(500));
    assert_eq!(reason(&mut forwarder, RETURN + ms(600), &opening(3, 1)), refused);
    let warm = RETURN + ms(COLD_MS);
    forwarder.expire(warm);
    for port in 4..20 {
        place(&mut forwarder, warm, &opening(port, 1));
    }
}

/// Whole instances with their membership: all restart while the targets are cold, one of them cut off
/// from its peers.
#[test]
fn restart_of_instances() {
    let mut world = World::new(40);
    world.store.put_routes(&RawRoutes { version: 2, ..limited_routes(2) });
    for key in 1..=WARM_TARGETS {
        world.store.put_target(&remote_target(COLD_TARGETS + key, STATION));
    }
    world.run(Duration::from_secs(10));
    for key in 1..=20 {
        let cold = Target { incarnation: 2_000, ..target(key, STATION) };
        world.store.put_target(&Target { warm_up_left: Duration::from_secs(60), ..cold });
    }
    world.run(Duration::from_secs(2));
    let mut openings = BTreeMap::<TargetKey, Vec<Duration>>::new();
    let mut port = 0;
    let mut counts = [0; 3];
    for step in 0..120 {
        if step == 20 {
            world.partitioned = vec![4];
            (0..40).for_each(|i| world.start(i));
        }
        for i in 0..40 {
            port += 1;
            let packet = opening(port, 1);
            world.datagrams[i].clear();
            world.handle(i, Event::Packet(text(&packet)));
            world.handle(
                i,
                Event::Packet(text(&FlowPacket { kind: PacketKind::Closing, ..packet })),
            );
            for (_, datagram) in &world.datagrams[i] {
                let key = datagram.split(|&byte| byte == b'>').next().unwrap_or_default();
                let key =
                    std::str::from_utf8(key).ok().and_then(|hex| u64::from_str_radix(hex, 16).ok());
                if let Some(key) = key.filter(|&key| key <= 20) {
                    assert!(step < 20 || i != 4, "opened by the instance that is cut off");
                    openings.entry(key).or_default().push(world.now);
                    counts[step / 40] += 1;
                }
            }
        }
        world.run(TICK);
    }
    println!("openings in 4 s each: {counts:?}");
    check_budget(&openings, 2);
    assert!(counts[0] > 0 && counts[2] > 0, "the budget is used before and after the restart");
}

//! Cold targets get no more openings than they accept, from all instances together.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use limpetdeck::instance::Event;
use limpetdeck::platform::{Call, Reply};
use limpetdeck::steering::{
    DropReason, FlowPacket, Forwarder, InstanceView, PacketKind, ROUTES_PREFIX, RawRoutes,
    ResetReason, ServiceWarmUp, Target, TargetKey, Verdict, WeightedService,
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

/// Checks that in no second a cold target got more openings than it accepts.
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
        fleet.forwarders = (0..instances).map(|i| fleet.start(i, fleet.now)).collect();
        for i in 0..instances {
            fleet.show(i, |_| true);
        }
        fleet.now = RETURN;
        fleet
    }

    fn domain(i: usize) -> &'static str {
        if i.is_multiple_of(3) { LOCAL } else { REMOTE }
    }

    /// Returns an instance that has started at a time. It knows the targets, but no other instance.
    fn start(&self, i: usize, started: Duration) -> Forwarder {
        let rng = SmallRng::seed_from_u64(i as u64);
        let mut forwarder = Forwarder::new(Self::domain(i).to_owned(), KEY, rng);
        forwarder.routes.adopt(limited_routes(self.flows_per_s)).expect("valid routes");
        let cold_ms = (RETURN + ms(COLD_MS)).saturating_sub(self.now.max(RETURN));
        let cold =
            (1..=COLD_TARGETS).map(|key| Target { warm_up_left: cold_ms, ..target(key, STATION) });
        let warm = (1..=WARM_TARGETS).map(|key| remote_target(COLD_TARGETS + key, STATION));
        let records = cold.chain(warm).map(|target| record(5, target)).collect();
        forwarder.targets.replace_all(self.now.max(RETURN), at(10), records);
        let view = InstanceView { me: i as u32, is_complete: true };
        forwarder.set_instance_view(started, view);
        forwarder
    }

    /// Records that the membership view of an instance became complete or incomplete.
    fn set_view(&mut self, i: usize, at: Duration, is_complete: bool) {
        self.forwarders[i].set_instance_view(at, InstanceView { me: i as u32, is_complete });
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

/// Every size of fleet keeps to the budget, and uses it: a limit that admits nothing would keep to it
/// as well.
#[test]
fn return_of_targets() {
    for (instances, flows_per_s) in [(15, 2), (15, 5), (100, 2), (100, 5), (300, 2), (300, 5)] {
        let mut fleet = Fleet::new(instances, flows_per_s);
        fleet.run(Duration::from_secs(4));
        check_budget(&fleet.openings, flows_per_s);
        let count = fleet.count();
        println!("{instances} instances, {flows_per_s}/s: {count} openings in 4 s");
        assert!(count > 0);
        let now = fleet.now;
        let reports = fleet.forwarders.iter_mut().map(|forwarder| forwarder.cold_targets(now));
        let (shares, openings) = reports.fold((0.0, 0), |(shares, openings), cold| {
            (shares + cold.budget_per_s, openings + cold.openings)
        });
        assert!(shares > 0.0 && shares <= (COLD_TARGETS * flows_per_s) as f64);
        assert_eq!(openings, count as u64);
    }
}

/// Each instance takes some live ones for stopped, about half of them, and no two instances the same
/// ones. If the rank counted only those that an instance takes for live, too many would own a target.
#[test]
fn two_views() {
    let mut fleet = Fleet::new(90, 2);
    fleet.now = RETURN - Duration::from_secs(60);
    for i in 0..90 {
        fleet.show(i, |other| (i ^ other).count_ones().is_multiple_of(2));
    }
    fleet.now = RETURN;
    fleet.run(Duration::from_secs(4));
    check_budget(&fleet.openings, 2);
    assert!(fleet.count() > 0);
}

/// A network partition divides the failure domain for a minute. Its halves do not see each other, but
/// both go on: neither may take over the shares of the other one.
#[test]
fn domain_partition() {
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

/// All instances restart while the targets are cold, and learn of each other in any order: none may use
/// a share again, or one that belongs to an instance that it does not know yet. They learn within 3 s
/// with a pause of more than a second, or steadily over 4 s.
#[test]
fn restart_of_fleet() {
    let (steady, paused) = ((20, 200, 200), (10, 150, 1_400));
    for (instances, schedule) in
        [(15, paused), (100, paused), (300, paused), (100, steady), (300, steady)]
    {
        let (steps, step, middle_step) = schedule;
        let mut fleet = Fleet::new(instances, 2);
        fleet.run(Duration::from_secs(1));
        fleet.forwarders = (0..instances).map(|i| fleet.start(i, fleet.now)).collect();
        for nth in 1..=steps {
            for i in 0..instances {
                let mut order: Vec<usize> = (0..instances).collect();
                order.shuffle(&mut SmallRng::seed_from_u64(i as u64));
                order.truncate((instances * nth).div_ceil(steps));
                let known: HashSet<_> = order.into_iter().collect();
                fleet.show(i, |other| known.contains(&other));
            }
            fleet.run(ms(if 2 * nth == steps { middle_step } else { step }));
        }
        let before = fleet.count();
        fleet.run(Duration::from_secs(3));
        check_budget(&fleet.openings, 2);
        assert!(fleet.count() > before, "the budget is used again");
    }
}

/// Instances are added, and the others learn of each of them within two seconds: one that starts, joins
/// late or was cut off for long does not use a share that the instance before it still uses.
#[test]
fn added_instances() {
    let mut fleet = Fleet::new(45, 2);
    let mut known: Vec<usize> = (0..30).collect();
    for i in 0..30 {
        fleet.forwarders[i] = fleet.start(i, ms(0));
        fleet.show(i, |other| other < 30);
    }
    fleet.now += Duration::from_secs(1);
    for i in 30..45 {
        fleet.forwarders[i] = fleet.start(i, if i < 38 { ms(0) } else { fleet.now });
        fleet.show(i, |_| true);
        fleet.set_view(i, fleet.now, false);
        fleet.set_view(i, fleet.now, true);
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

/// An instance whose membership view is incomplete knows only itself: it would rank first for every
/// target, and owns nothing instead, however long it has run.
#[test]
fn incomplete_view() {
    let mut fleet = Fleet::new(30, 2);
    fleet.forwarders[0] = fleet.start(0, ms(0));
    fleet.set_view(0, ms(0), false);
    fleet.show(0, |_| false);
    fleet.run(Duration::from_secs(5));
    check_budget(&fleet.openings, 2);
    assert_eq!(fleet.forwarders[0].cold_targets(fleet.now).owned, 0);
}

/// Returns an instance that is alone in its failure domain and owns the shares of one target.
fn only_owner(target: Target) -> Forwarder {
    let mut forwarder = forwarder(&[STATION], &[]);
    forwarder.routes.adopt(RawRoutes { version: 2, ..limited_routes(1) }).expect("valid routes");
    forwarder.set_instance_view(ms(0), InstanceView { me: 1, is_complete: true });
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
fn repeated_openings() {
    let mut forwarder = only_owner(Target { warm_up_left: ms(COLD_MS), ..target(1, STATION) });
    assert_eq!(place(&mut forwarder, RETURN, &opening(1, 1)).0, 1);
    let refused = Some(ResetReason::ColdTargets);
    assert_eq!(reason(&mut forwarder, RETURN, &opening(2, 1)), refused);
    let copy = retransmitted_opening(1, 1, 1);
    assert_eq!(place(&mut forwarder, RETURN + ms(200), &copy).0, 1);
    assert_eq!(reason(&mut forwarder, RETURN + ms(1_099), &opening(3, 1)), refused);
    assert_eq!(place(&mut forwarder, RETURN + ms(1_100), &opening(3, 1)).0, 1);
}

/// A target restarts: a copy for its earlier incarnation would be an opening that is not counted. It is not
/// refused either, as the first copy may have opened the flow.
#[test]
fn copy_after_restart() {
    let cold = Target { warm_up_left: ms(COLD_MS), ..target(1, STATION) };
    let mut forwarder = only_owner(cold.clone());
    assert_eq!(place(&mut forwarder, RETURN, &opening(1, 1)).0, 1);
    let restart = RETURN + ms(100);
    forwarder.targets.merge(restart, record(12, Target { incarnation: 2_000, ..cold.clone() }));
    let refused = Some(ResetReason::ColdTargets);
    assert_eq!(reason(&mut forwarder, restart, &opening(2, 1)), refused);
    let copy = retransmitted_opening(1, 1, 1);
    let verdict = forwarder.decide(restart + ms(100), &copy);
    assert_eq!(verdict, Verdict::Drop(DropReason::AlreadyPlaced));
    assert_eq!(reason(&mut forwarder, restart + ms(1_099), &opening(3, 1)), refused);
    assert_eq!(place(&mut forwarder, restart + ms(1_100), &opening(3, 1)).0, 1);

    let mut forwarder = only_owner(target(1, STATION));
    assert_eq!(place(&mut forwarder, RETURN, &opening(1, 1)).0, 1);
    forwarder.targets.merge(RETURN, record(12, cold));
    assert_eq!(reason(&mut forwarder, RETURN + ms(1_099), &opening(2, 1)), refused);
    assert_eq!(place(&mut forwarder, RETURN + ms(1_100), &opening(2, 1)).0, 1);
}

/// Routes arrive in parts, so limits are not known yet: an opening to a cold target could exceed the
/// budget, and a reset would refuse callers of deployments without limits.
#[test]
fn partial_routes() {
    let cold = |key| Target { warm_up_left: ms(COLD_MS), ..target(key, STATION) };
    let targets = vec![record(5, cold(1)), record(5, remote_target(2, STATION))];
    let mut forwarder = Forwarder::new(LOCAL.to_owned(), KEY, SmallRng::seed_from_u64(1));
    forwarder.routes.adopt_partial(&routes(2, &[STATION])).expect("valid routes");
    forwarder.targets.replace_all(RETURN, at(10), targets);
    for port in 0..20 {
        assert_eq!(place(&mut forwarder, RETURN, &opening(port, 1)).0, 2);
    }
    forwarder.targets.merge(RETURN, removal(11, 2));
    let not_ready = Verdict::Drop(DropReason::NotReady);
    assert_eq!(forwarder.decide(RETURN, &opening(30, 1)), not_ready);
    // A copy of an opening whose target has become cold since.
    forwarder.targets.merge(RETURN, record(12, Target { warm_up_left: ms(0), ..cold(3) }));
    assert_eq!(place(&mut forwarder, RETURN, &opening(31, 1)).0, 3);
    forwarder.targets.merge(RETURN, record(13, cold(3)));
    assert_eq!(forwarder.decide(RETURN, &retransmitted_opening(31, 1, 1)), not_ready);
    forwarder.routes.adopt(routes(2, &[STATION])).expect("valid routes");
    place(&mut forwarder, RETURN, &opening(30, 1));
}

/// The opening that waits for the limits is forwarded as soon as the complete routes are known.
#[test]
fn queued_opening() {
    let mut world = World::new(1);
    world.store.silent_prefixes = vec![ROUTES_PREFIX.to_owned()];
    for key in 1..=4 {
        world.store.put_target(&Target { warm_up_left: ms(COLD_MS), ..target(key, STATION) });
    }
    world.run(Duration::from_secs(2));
    let call = Call::List { prefix: ROUTES_PREFIX.to_owned() };
    let changes = world.store.changes(ROUTES_PREFIX, 0);
    world.handle(0, Event::PlatformPart(call.clone(), changes.clone()));
    world.handle(0, Event::Packet(text(&opening(1, 1))));
    assert_eq!(world.datagrams[0], []);
    world.handle(0, Event::Platform(call, Ok(Reply::Changes(changes))));
    assert_eq!(world.datagrams[0].len(), 1);
    assert_ne!(world.datagrams[0][0].1, b"reset");
}

/// A peer sends a limit of 0: that means no limit, rather than no openings.
#[test]
fn zero_limit() {
    let mut forwarder = only_owner(Target { warm_up_left: ms(COLD_MS), ..target(1, STATION) });
    forwarder.routes.adopt(RawRoutes { version: 3, ..limited_routes(0) }).expect("valid routes");
    for port in 0..20 {
        place(&mut forwarder, RETURN, &opening(port, 1));
    }
}

/// A route has two services, of which one has no targets and the other one only cold ones: operators
/// would look for missing targets if the reason did not name the budget, whichever service is picked.
#[test]
fn reason_of_route() {
    let mut forwarder = only_owner(remote_target(1, FARES));
    let mut raw = RawRoutes { version: 3, ..limited_routes(1) };
    raw.routes[0].services.push(WeightedService { service: FARES.to_owned(), weight: 1 });
    forwarder.routes.adopt(raw).expect("valid routes");
    forwarder.targets.merge(RETURN, removal(12, 1));
    let cold = Target { warm_up_left: ms(COLD_MS), ..remote_target(2, STATION) };
    forwarder.targets.merge(RETURN, record(13, cold));
    for expected in [ResetReason::ColdTargets, ResetReason::NoTarget] {
        for port in 0..20 {
            assert_eq!(reason(&mut forwarder, RETURN, &opening(port, 1)), Some(expected));
        }
        forwarder.targets.merge(RETURN, removal(14, 2));
    }
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
            let Some((_, datagram)) = world.datagrams[i].pop().filter(|(_, d)| d != b"reset")
            else {
                continue;
            };
            let datagram = String::from_utf8(datagram).expect("text");
            let key = datagram.split('>').next().and_then(|hex| u64::from_str_radix(hex, 16).ok());
            let token = datagram.split(' ').next_back().and_then(|token| token.parse::<u32>().ok());
            let (key, token) = (key.expect("a key"), token.expect("a token"));
            let closing = FlowPacket { kind: PacketKind::Closing, token, ..packet };
            world.handle(i, Event::Packet(text(&closing)));
            if key <= 20 {
                let load = world.node(i).forwarder().flows.load((key, 2_000));
                assert_eq!(load.flows, 0, "the flow has been closed");
                assert!(step < 20 || i != 4, "opened by the instance that is cut off");
                openings.entry(key).or_default().push(world.now);
                counts[step / 40] += 1;
            }
        }
        world.run(TICK);
    }
    println!("openings in 4 s each: {counts:?}");
    check_budget(&openings, 2);
    assert!(counts[0] > 0 && counts[2] > 0, "the budget is used before and after the restart");
}

//! Callers of a failure domain that is drained and partitioned off.

#[path = "support/partition.rs"]
mod partition;
#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;

use limpetdeck::steering::{LastResort, Node, OtherDomains};
use partition::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::*;

/// Time between two callers of an instance: at 126 instances, each gets about two per second.
const PERIOD: Duration = Duration::from_millis(500);

/// Returns a world whose local failure domain is drained, with callers.
fn drained(instances: usize) -> Partition {
    let mut partition = Partition::new(instances);
    partition.world.store.drain(LOCAL);
    partition.run(Duration::from_secs(2), PERIOD);
    partition
}

fn is_last_resort(node: &Node) -> bool {
    node.forwarder().last_resort.is_active()
}

/// Asserts that all callers were served by targets of a failure domain.
fn assert_served(callers: &[&Caller], domains: &[&str]) {
    assert!(!callers.is_empty());
    for caller in callers {
        let Some((_, Outcome::Served(domain))) = caller.outcome else { panic!("{caller:?}") };
        assert!(domains.contains(&domain), "{caller:?}");
    }
}

/// Asserts that all callers were refused as soon as they came.
fn assert_refused_at_once(callers: &[&Caller]) {
    assert!(!callers.is_empty());
    for caller in callers {
        assert_eq!(caller.outcome, Some((caller.sent, Outcome::Refused)), "{caller:?}");
    }
}

/// A drained failure domain that reaches nothing sends no callers elsewhere after 500 ms, and serves
/// them with its own targets.
#[test]
fn served_at_home() {
    for instances in [24, 112, 300] {
        let mut partition = drained(instances);
        let cut = partition.world.now;
        partition.cut();
        partition.silence_store();
        partition.run(Duration::from_secs(6), PERIOD);
        let late = partition.callers.values().flat_map(|caller| &caller.forwarded);
        let late = late.filter(|(at, domain)| *at >= cut + ms(500) && *domain != LOCAL);
        let late: Vec<_> = late.map(|(at, domain)| (*at - cut, *domain)).collect();
        assert_eq!(late, [], "{instances} instances");
        assert_served(&partition.callers_in(cut, 700..5_500), &[LOCAL]);
        // Nobody is refused while it is still being found out who can serve.
        let refused = |caller: &&Caller| matches!(caller.outcome, Some((_, Outcome::Refused)));
        let refused: Vec<_> = partition.callers.values().filter(refused).collect();
        assert!(refused.is_empty(), "{refused:?}");
    }
}

/// The order binds as soon as the platform answers again, and other failure domains are used as soon
/// as one of their targets answers.
#[test]
fn either_comes_back() {
    let mut partition = drained(24);
    partition.cut();
    partition.silence_store();
    partition.run(Duration::from_secs(3), PERIOD);
    partition.world.store.silent_instances.clear();
    let answered = partition.world.now;
    partition.run(Duration::from_secs(3), PERIOD);
    assert_refused_at_once(&partition.callers_in(answered, 1_300..3_000));
    partition.silence_store();
    partition.run(Duration::from_secs(3), PERIOD);
    assert!(partition.local().all(|i| is_last_resort(partition.world.node(i))));
    partition.heal();
    let healed = partition.world.now;
    partition.run(Duration::from_secs(3), PERIOD);
    assert_served(&partition.callers_in(healed, 1_200..3_000), &[REMOTE, THIRD]);
}

/// While the platform answers, the order binds: callers are refused at once, and few instances ask.
#[test]
fn platform_reachable() {
    for instances in [24, 112, 300] {
        let mut partition = drained(instances);
        let cut = partition.world.now;
        partition.cut();
        partition.run(Duration::from_secs(2), PERIOD);
        let (start, calls) = (partition.world.now, partition.world.store.gets);
        partition.run(Duration::from_secs(4), PERIOD);
        assert_refused_at_once(&partition.callers_in(start, 0..4_000));
        let mut forwarded = partition.callers.values().flat_map(|caller| &caller.forwarded);
        assert!(!forwarded.any(|(at, to)| *at >= cut && *to == LOCAL));
        let calls = partition.world.store.gets - calls;
        // Three watchers ask, each second.
        assert!(calls <= 3 * 4, "{calls} calls, {instances} instances");
    }
}

/// As long as one other failure domain is reachable, its targets serve, though the platform is not.
#[test]
fn one_domain_left() {
    let mut partition = drained(24);
    let cut = partition.world.now;
    partition.unreachable = vec![THIRD];
    partition.silence_store();
    partition.run(Duration::from_secs(5), PERIOD);
    assert_served(&partition.callers_in(cut, 700..4_500), &[REMOTE]);
}

/// Without an order, a partition changes nothing for the callers.
#[test]
fn not_drained() {
    let mut partition = Partition::new(24);
    partition.cut();
    partition.silence_store();
    let cut = partition.world.now;
    partition.run(Duration::from_secs(5), PERIOD);
    assert_served(&partition.callers_in(cut, 0..4_500), &[LOCAL]);
}

/// An order that arrives during the partition, as the platform is reachable, is obeyed.
#[test]
fn order_during_cut() {
    let mut partition = Partition::new(24);
    partition.cut();
    partition.run(Duration::from_secs(1), PERIOD);
    partition.world.store.drain(LOCAL);
    partition.run(Duration::from_secs(3), PERIOD);
    let start = partition.world.now;
    partition.run(Duration::from_secs(2), PERIOD);
    assert_refused_at_once(&partition.callers_in(start, 0..2_000));
}

/// A question that is answered late ends the last resort, and one that was sent in an earlier
/// partition says nothing about this one.
#[test]
fn late_answers() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut last_resort = LastResort::default();
    let update = |last_resort: &mut LastResort, at: u64, rng: &mut SmallRng| {
        last_resort.update(ms(at), OtherDomains::Unreachable, false, rng)
    };
    update(&mut last_resort, 0, &mut rng);
    assert!(update(&mut last_resort, 200, &mut rng));
    assert!(last_resort.is_undecided() && !last_resort.is_active());
    update(&mut last_resort, 700, &mut rng);
    assert!(last_resort.is_active());
    last_resort.record_outcome(true);
    assert!(!last_resort.is_active() && !last_resort.is_undecided());
    last_resort.update(ms(900), OtherDomains::Reachable, false, &mut rng);
    last_resort.record_outcome(false);
    update(&mut last_resort, 1_000, &mut rng);
    assert!(!last_resort.is_active());
}

/// All sequences of four events, each followed by a restart: never does an instance that has a path to
/// the platform open a flow to the drained failure domain, after the time in which the order spreads
/// and a question about it is answered.
#[test]
fn all_sequences() {
    let events: [fn(&mut Partition); 6] = [
        |p| p.world.store.drain(LOCAL),
        |p| p.world.store.withdraw(LOCAL),
        Partition::cut,
        Partition::heal,
        Partition::silence_store,
        |p| p.world.store.silent_instances.clear(),
    ];
    let settling_time = ms(1_300);
    for sequence in 0..events.len().pow(4) {
        let mut partition = Partition::new(4);
        for step in 0..4 {
            let start = partition.world.now;
            events[sequence / events.len().pow(step) % events.len()](&mut partition);
            partition.world.kill(2);
            partition.world.start(2);
            partition.run(ms(2_500), PERIOD);
            let has_path = partition.world.store.silent_instances.is_empty();
            let order = partition.world.store.objects.get(&format!("domain-drains/{LOCAL}"));
            let is_drained = order.is_some_and(|order| !order.value.is_null());
            let mut forwarded = partition.callers.values().flat_map(|caller| &caller.forwarded);
            let disobeyed = forwarded.any(|(at, to)| *at >= start + settling_time && *to == LOCAL);
            assert!(!(has_path && is_drained && disobeyed), "sequence {sequence}, step {step}");
        }
    }
}

//! What the other instances see when one dies, pauses, leaves, joins or is partitioned.

use std::time::Duration;

use limpetdeck::membership::{MemberUpdate, Message, Revision};
use members::{Net, address, info};

#[allow(dead_code)]
#[path = "support/members.rs"]
mod members;

const INSTANCES: u16 = 18;
const SEEDS: std::ops::Range<u64> = 1..6;
/// Incarnation of the instances that [`Net::settled`] starts.
const INCARNATION: u64 = 1_000_000_000_000;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

#[test]
fn killed_instance() {
    let mut times: Vec<_> = SEEDS
        .map(|seed| {
            let mut net = Net::settled(seed, INSTANCES);
            net.kill(5);
            net.run_until(secs(10), Net::agree).expect("all instances see the death")
        })
        .collect();
    times.sort_unstable();
    println!("seeds={SEEDS:?} noticed_everywhere_after={times:?}");
    assert!(times[times.len() / 2] <= secs(3), "{times:?}");
    assert!(times[times.len() - 1] <= secs(5), "{times:?}");
}

#[test]
fn paused_instance() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, INSTANCES);
        net.pause(5);
        net.run(secs(10));
        assert!(net.is_gone(5));
        net.resume(5);
        assert!(net.nodes[5].members.is_refreshing(net.now));
        assert_eq!(
            net.nodes[5].members.live().len(),
            usize::from(INSTANCES),
            "declares nobody dead"
        );
        let back = net.run_until(secs(4), Net::agree);
        let fresh = net.run_until(secs(2), |net| !net.nodes[5].members.is_refreshing(net.now));
        println!("seed={seed} back_after={back:?} refreshed_after={fresh:?}");
        assert!(back.is_some() && fresh.is_some());
    }
}

#[test]
fn suspected_but_alive() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, INSTANCES);
        let revision = Revision { incarnation: INCARNATION, announcement: 9 };
        net.inject(2, 99, Message::Gossip(vec![MemberUpdate::Suspect(5, revision)]));
        for _ in 0..100 {
            net.run(Duration::from_millis(100));
            assert!(net.agree(), "seed {seed}: declared dead in spite of its refutation");
        }
    }
}

#[test]
fn false_death_report() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, INSTANCES);
        let revision = Revision { incarnation: INCARNATION, announcement: 9 };
        net.inject(2, 99, Message::Gossip(vec![MemberUpdate::Dead(5, revision)]));
        for _ in 0..100 {
            net.run(Duration::from_millis(100));
            assert!(net.agree(), "seed {seed}: declared dead before it could refute");
        }
    }
}

#[test]
fn paused_while_suspecting() {
    let mut net = Net::settled(1, INSTANCES);
    net.partitions = [(address(5), 1)].into();
    let revision = Revision { incarnation: INCARNATION, announcement: 9 };
    net.inject(5, 99, Message::Gossip(vec![MemberUpdate::Suspect(7, revision)]));
    net.pause(5);
    net.run(secs(10));
    net.partitions.clear();
    net.resume(5);
    for _ in 0..50 {
        net.run(Duration::from_millis(20));
        assert!(net.nodes[5].members.live().contains(&7), "the suspicion expired during the pause");
    }
}

#[test]
fn planned_leave() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, INSTANCES);
        net.nodes[5].members.leave();
        let owners = |net: &Net| net.running().all(|n| !n.members.owners().contains(&5));
        let noticed = net.run_until(secs(2), owners);
        println!("seed={seed} told_everywhere_after={noticed:?}");
        assert!(noticed.is_some());
        assert!(
            net.running().all(|n| n.members.live().contains(&5)),
            "a leaving instance still forwards"
        );
        net.kill(5);
        assert!(net.run_until(secs(6), |net| net.is_gone(5)).is_some());
    }
}

#[test]
fn joins_without_platform() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, INSTANCES);
        net.start(50, INCARNATION, 50, &[3, 4]);
        let known = net.run_until(secs(2), Net::agree);
        let owner = |net: &Net| net.running().all(|n| n.members.owners().contains(&50));
        let owns = net.run_until(secs(5), owner);
        println!("seed={seed} known_after={known:?} owns_after={owns:?}");
        assert!(known.is_some() && owns.is_some());
    }
}

#[test]
fn joins_by_listing() {
    let mut net = Net::settled(1, INSTANCES);
    net.start(50, INCARNATION, 50, &[]);
    let now = net.now;
    net.nodes[usize::from(INSTANCES)].members.on_listed(now, info(7, INCARNATION, 7));
    assert!(net.run_until(secs(2), Net::agree).is_some());
}

#[test]
fn listed_but_dead() {
    let mut net = Net::settled(1, INSTANCES);
    net.kill(5);
    net.run(secs(10));
    for round in 0..300 {
        let now = net.now;
        for node in &mut net.nodes {
            node.members.on_listed(now, info(5, INCARNATION, 5));
            node.members.on_listed(now, info(60, INCARNATION, 60));
        }
        net.run(Duration::from_millis(100));
        assert!(net.is_gone(5) && net.is_gone(60), "round {round}");
    }
}

#[test]
fn partition_heals() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, INSTANCES);
        net.partitions = (0..9).map(|port| (address(port), 1)).collect();
        let is_split = |net: &Net| net.views().iter().all(|view| view.len() == 9);
        let split = net.run_until(secs(20), is_split);
        net.run(secs(60));
        net.partitions.clear();
        let healed = net.run_until(secs(15), Net::agree);
        println!("seed={seed} split_after={split:?} healed_after={healed:?}");
        assert!(split.is_some() && healed.is_some(), "seed {seed}");
    }
}

#[test]
fn heals_without_seeds() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, INSTANCES);
        net.kill(0);
        net.partitions = (0..9).map(|port| (address(port), 1)).collect();
        net.run(secs(60));
        assert!(!net.agree());
        net.partitions.clear();
        let healed = net.run_until(secs(15), Net::agree);
        println!("seed={seed} healed_without_seeds_after={healed:?}");
        assert!(healed.is_some(), "seed {seed}");
    }
}

#[test]
fn healing_without_deaths() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, INSTANCES);
        net.partitions = (0..9).map(|port| (address(port), 1)).collect();
        net.run(secs(30));
        net.partitions.clear();
        for _ in 0..200 {
            net.run(Duration::from_millis(100));
            let own_partition = |i: usize| if i < 9 { 0..9 } else { 9..18 };
            for (i, node) in net.nodes.iter().enumerate() {
                let live = node.members.live();
                assert!(own_partition(i).all(|id| live.contains(&id)), "seed {seed} instance {i}");
            }
        }
    }
}

#[test]
fn isolated_instance() {
    let mut net = Net::settled(1, INSTANCES);
    assert!(net.nodes.iter().all(|node| !node.members.is_isolated(net.now)));
    net.partitions = [(address(5), 1)].into();
    net.run(secs(4));
    assert!(net.nodes[5].members.is_isolated(net.now));
    net.partitions.clear();
    net.run(secs(10));
    assert!(!net.nodes[5].members.is_isolated(net.now));
    assert!(net.agree());
}

#[test]
fn message_loss() {
    let mut disagreements = 0;
    for seed in SEEDS {
        let mut net = Net::settled(seed, INSTANCES);
        net.loss = 0.1;
        for _ in 0..600 {
            net.run(Duration::from_millis(100));
            disagreements += usize::from(!net.agree());
        }
        net.kill(5);
        assert!(net.run_until(secs(8), |net| net.is_gone(5)).is_some());
    }
    println!("seeds={SEEDS:?} disagreeing_samples={disagreements} of=3000");
    assert_eq!(disagreements, 0, "nobody is declared dead when a tenth of all messages is lost");
}

#[test]
fn duplicate_id() {
    let mut net = Net::settled(1, INSTANCES);
    net.start(5, INCARNATION + 1, 70, &[0]);
    net.run(secs(10));
    assert!(net.nodes[5].members.is_superseded());
    assert!(!net.nodes[usize::from(INSTANCES)].members.is_superseded());
    let address = address(70);
    let others = (0..usize::from(INSTANCES)).filter(|&i| i != 5).map(|i| &net.nodes[i]);
    assert!(others.into_iter().all(|n| n.members.peer_addresses().get(&5) == Some(&address)));
}

#[test]
fn deterministic_runs() {
    let run = |seed| {
        let mut net = Net::settled(seed, INSTANCES);
        net.loss = 0.1;
        net.kill(3);
        net.run(secs(10));
        net.nodes.iter().map(|node| node.bytes).collect::<Vec<_>>()
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

#[test]
fn watchers_per_domain() {
    let net = Net::settled(1, INSTANCES);
    for domain in 0..3 {
        let here = net.nodes.iter().filter(|n| n.members.me().id % 3 == domain);
        assert_eq!(here.filter(|n| n.members.is_watcher(net.now)).count(), 3);
    }
}

/// With many failure domains, each needs fewer watchers: changes reach it from the others too.
#[test]
fn watchers_of_many_domains() {
    for (domains, per_domain) in [(1, 3), (2, 3), (4, 3), (5, 2), (8, 2)] {
        let net = Net::settled_in_domains(1, 24, domains);
        for domain in 0..domains {
            let here = net.nodes.iter().filter(|n| n.members.me().id % domains == domain);
            let watchers = here.filter(|n| n.members.is_watcher(net.now)).count();
            assert_eq!(watchers, per_domain, "domain {domain} of {domains}");
        }
    }
}

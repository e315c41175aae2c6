//! Instances that die, pause, leave, join or are cut off, and what the others see of it.

use std::time::Duration;

use limpetdeck::membership::{Message, News, Revision};
use members::{Net, address, info};

#[allow(dead_code)]
#[path = "support/members.rs"]
mod members;

const N: u16 = 18;
const SEEDS: std::ops::Range<u64> = 1..6;
/// Start number that all settled instances have.
const START: u64 = 1_000_000_000_000;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

#[test]
fn killed_instance() {
    let mut times: Vec<_> = SEEDS
        .map(|seed| {
            let mut net = Net::settled(seed, N);
            net.kill(5);
            net.until(secs(10), Net::agree).expect("all notice")
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
        let mut net = Net::settled(seed, N);
        net.pause(5);
        net.run(secs(10));
        assert!(net.gone(5));
        net.wake(5);
        assert!(net.nodes[5].members.refreshing(net.now));
        assert_eq!(net.nodes[5].members.live().len(), usize::from(N), "it buries nobody");
        let back = net.until(secs(4), Net::agree);
        let fresh = net.until(secs(2), |net| !net.nodes[5].members.refreshing(net.now));
        println!("seed={seed} back_after={back:?} refreshed_after={fresh:?}");
        assert!(back.is_some() && fresh.is_some());
    }
}

#[test]
fn suspected_but_alive() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, N);
        let revision = Revision { incarnation: START, announcement: 9 };
        net.inject(2, 99, Message::Gossip(vec![News::Suspect(5, revision)]));
        for _ in 0..100 {
            net.run(Duration::from_millis(100));
            assert!(net.agree(), "seed {seed}: never dead to anybody");
        }
    }
}

#[test]
fn others_verdict() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, N);
        let revision = Revision { incarnation: START, announcement: 9 };
        net.inject(2, 99, Message::Gossip(vec![News::Dead(5, revision)]));
        for _ in 0..100 {
            net.run(Duration::from_millis(100));
            assert!(net.agree(), "seed {seed}: it may refute first");
        }
    }
}

#[test]
fn paused_in_doubt() {
    let mut net = Net::settled(1, N);
    net.sides = [(address(5), 1)].into();
    let revision = Revision { incarnation: START, announcement: 9 };
    net.inject(5, 99, Message::Gossip(vec![News::Suspect(7, revision)]));
    net.pause(5);
    net.run(secs(10));
    net.sides.clear();
    net.wake(5);
    for _ in 0..50 {
        net.run(Duration::from_millis(20));
        assert!(net.nodes[5].members.live().contains(&7), "the doubt did not run out meanwhile");
    }
}

#[test]
fn planned_leave() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, N);
        net.nodes[5].members.leave();
        let owners = |net: &Net| net.running().all(|n| !n.members.owners().contains(&5));
        let told = net.until(secs(2), owners);
        println!("seed={seed} told_everywhere_after={told:?}");
        assert!(told.is_some());
        assert!(net.running().all(|n| n.members.live().contains(&5)), "still forwards");
        net.kill(5);
        assert!(net.until(secs(6), |net| net.gone(5)).is_some());
    }
}

#[test]
fn joins_without_platform() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, N);
        net.start(50, START, 50, &[3, 4]);
        let known = net.until(secs(2), Net::agree);
        let owner = |net: &Net| net.running().all(|n| n.members.owners().contains(&50));
        let owns = net.until(secs(5), owner);
        println!("seed={seed} known_after={known:?} owns_after={owns:?}");
        assert!(known.is_some() && owns.is_some());
    }
}

#[test]
fn joins_by_list() {
    let mut net = Net::settled(1, N);
    net.start(50, START, 50, &[]);
    let now = net.now;
    net.nodes[usize::from(N)].members.listed(now, info(7, START, 7));
    assert!(net.until(secs(2), Net::agree).is_some());
}

#[test]
fn listed_but_dead() {
    let mut net = Net::settled(1, N);
    net.kill(5);
    net.run(secs(10));
    for round in 0..300 {
        let now = net.now;
        for node in &mut net.nodes {
            node.members.listed(now, info(5, START, 5));
            node.members.listed(now, info(60, START, 60));
        }
        net.run(Duration::from_millis(100));
        assert!(net.gone(5) && net.gone(60), "round {round}");
    }
}

#[test]
fn cut_and_healed() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, N);
        net.sides = (0..9).map(|port| (address(port), 1)).collect();
        let sides = |net: &Net| net.views().iter().all(|view| view.len() == 9);
        let split = net.until(secs(20), sides);
        net.run(secs(60));
        net.sides.clear();
        let healed = net.until(secs(15), Net::agree);
        println!("seed={seed} split_after={split:?} healed_after={healed:?}");
        assert!(split.is_some() && healed.is_some(), "seed {seed}");
    }
}

#[test]
fn healed_without_seeds() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, N);
        net.kill(0);
        net.sides = (0..9).map(|port| (address(port), 1)).collect();
        net.run(secs(60));
        assert!(!net.agree());
        net.sides.clear();
        let healed = net.until(secs(15), Net::agree);
        println!("seed={seed} healed_without_seeds_after={healed:?}");
        assert!(healed.is_some(), "seed {seed}");
    }
}

#[test]
fn healing_buries_nobody() {
    for seed in SEEDS {
        let mut net = Net::settled(seed, N);
        net.sides = (0..9).map(|port| (address(port), 1)).collect();
        net.run(secs(30));
        net.sides.clear();
        for _ in 0..200 {
            net.run(Duration::from_millis(100));
            let own_side = |i: usize| if i < 9 { 0..9 } else { 9..18 };
            for (i, node) in net.nodes.iter().enumerate() {
                let live = node.members.live();
                assert!(own_side(i).all(|id| live.contains(&id)), "seed {seed} instance {i}");
            }
        }
    }
}

#[test]
fn cut_off_alone() {
    let mut net = Net::settled(1, N);
    assert!(net.nodes.iter().all(|node| !node.members.isolated(net.now)));
    net.sides = [(address(5), 1)].into();
    net.run(secs(4));
    assert!(net.nodes[5].members.isolated(net.now));
    net.sides.clear();
    net.run(secs(10));
    assert!(!net.nodes[5].members.isolated(net.now));
    assert!(net.agree());
}

#[test]
fn lost_messages() {
    let mut buried = 0;
    for seed in SEEDS {
        let mut net = Net::settled(seed, N);
        net.loss = 0.1;
        for _ in 0..600 {
            net.run(Duration::from_millis(100));
            buried += usize::from(!net.agree());
        }
        net.kill(5);
        assert!(net.until(secs(8), |net| net.gone(5)).is_some());
    }
    println!("seeds={SEEDS:?} disagreeing_samples={buried} of=3000");
    assert_eq!(buried, 0, "a tenth of all messages lost buries nobody");
}

#[test]
fn two_namesakes() {
    let mut net = Net::settled(1, N);
    net.start(5, START + 1, 70, &[0]);
    net.run(secs(10));
    assert!(net.nodes[5].members.superseded());
    assert!(!net.nodes[usize::from(N)].members.superseded());
    let address = address(70);
    let others = (0..usize::from(N)).filter(|&i| i != 5).map(|i| &net.nodes[i]);
    assert!(others.into_iter().all(|n| n.members.addresses().get(&5) == Some(&address)));
}

#[test]
fn same_seed() {
    let run = |seed| {
        let mut net = Net::settled(seed, N);
        net.loss = 0.1;
        net.kill(3);
        net.run(secs(10));
        net.nodes.iter().map(|node| node.bytes).collect::<Vec<_>>()
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

#[test]
fn few_watchers() {
    let net = Net::settled(1, N);
    for domain in 0..3 {
        let here = net.nodes.iter().filter(|n| n.members.me().id % 3 == domain);
        assert_eq!(here.filter(|n| n.members.watches(net.now)).count(), 3);
    }
}

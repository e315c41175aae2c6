//! Calls that one instance makes to the platform, as a watcher and while others watch.

use std::time::Duration;

use limpetdeck::instance::{Action, Event, Instance, InstanceConfig};
use limpetdeck::membership::{MemberUpdate, Message};
use limpetdeck::peer::{Body, Sealer};
use limpetdeck::placement::Policy;
use limpetdeck::platform::{Call, Changes, PlatformError, Position, Reply};
use members::info;
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[allow(dead_code)]
#[path = "support/members.rs"]
mod members;

const KEY: [u8; 32] = [7; 32];
const ME: u32 = 6;

/// An instance with a scripted platform and simulated live peers.
struct Harness {
    now: Duration,
    instance: Instance,
    peers: u32,
    peer_sealer: Sealer,
    announcement: u32,
    revision: u64,
    platform_up: bool,
    /// The pending watch, and when it is answered.
    pending: Option<(Duration, Call)>,
    calls: Vec<Call>,
}

impl Harness {
    fn new(peers: u32) -> Self {
        let cfg = InstanceConfig {
            me: info(ME, 1, 6),
            seeds: Vec::new(),
            peer_keys: KEY.into(),
            control_budget: 3_000,
            flow_capacity: 100,
            trace_one_in: 0,
            policy: Policy::default(),
        };
        let instance = Instance::new(Duration::ZERO, cfg, SmallRng::seed_from_u64(1));
        Self {
            now: Duration::ZERO,
            instance,
            peers,
            peer_sealer: Sealer::new(KEY, 9_000, 1),
            announcement: 0,
            revision: 10,
            platform_up: true,
            pending: None,
            calls: Vec::new(),
        }
    }

    fn run(&mut self, secs: u64) {
        self.calls.clear();
        for tick in 0..secs * 10 {
            self.now += Duration::from_millis(100);
            if tick % 5 == 0 && self.peers > 0 {
                self.announce_peers();
            }
            if let Some((_, call)) = self.pending.take_if(|(at, _)| *at <= self.now) {
                self.answer(call);
            }
            self.handle(Event::Tick);
        }
    }

    /// Announces all peers, of the same failure domain, so that none is suspected.
    fn announce_peers(&mut self) {
        self.announcement += 1;
        let ids = (1..=self.peers).map(|n| ME + 3 * n);
        let updates = ids.map(|id| MemberUpdate::Alive {
            info: info(id, 1, id as u16),
            announcement: self.announcement,
        });
        let message = Message::Gossip(updates.collect());
        let buf = self.peer_sealer.seal(&Body::Membership(message));
        self.handle(Event::Peer(buf));
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.instance.handle(self.now, event, &mut out);
        for action in out {
            let Action::Platform(call) = action else { continue };
            self.calls.push(call.clone());
            match call {
                Call::Watch { timeout: wait, .. } if self.platform_up && !wait.is_zero() => {
                    self.pending = Some((self.now + wait, call));
                }
                call => self.answer(call),
            }
        }
    }

    fn answer(&mut self, call: Call) {
        let result = match &call {
            _ if !self.platform_up => Err(PlatformError::NoAnswer("down".to_owned())),
            Call::Put { .. } => Ok(Reply::Written(1)),
            _ => Ok(Reply::Changes(Changes { revision: self.revision, ..Changes::default() })),
        };
        self.handle(Event::Platform(call, result));
    }

    fn count(&self, which: impl Fn(&Call) -> bool) -> usize {
        self.calls.iter().filter(|call| which(call)).count()
    }
}

fn is_put(call: &Call) -> bool {
    matches!(call, Call::Put { .. })
}

#[test]
fn single_watcher() {
    let mut harness = Harness::new(0);
    harness.run(600);
    let reads = harness.count(|call| !is_put(call));
    println!("reads={reads} writes={} in_s=600", harness.count(is_put));
    assert!((25..=35).contains(&reads), "one watch at a time");
    assert!((10..=25).contains(&harness.count(is_put)));
}

#[test]
fn not_a_watcher() {
    let mut harness = Harness::new(40);
    harness.run(60);
    assert!(!harness.instance.membership().is_watcher(harness.now), "others rank higher");
    harness.run(1_800);
    let (reads, writes) = (harness.count(|call| !is_put(call)), harness.count(is_put));
    println!("reads={reads} writes={writes} in_s=1800");
    // Calls per second of 800 instances, besides those of the 15 watchers.
    assert!(800 * reads / 1_800 <= 10 && 800 * writes / 1_800 <= 30);
}

#[test]
fn revision_regresses() {
    let mut harness = Harness::new(0);
    harness.run(60);
    harness.revision = 3;
    harness.run(60);
    assert!(
        harness.count(|call| matches!(call, Call::List { .. })) >= 1,
        "lists all objects again"
    );
    let after =
        |call: &Call| matches!(call, Call::Watch { after: Position { revision: 3, .. }, .. });
    assert!(harness.count(after) >= 1, "continues from the new revision");
}

/// An instance that stops goes on watching until it exits, and does not register again. It did not
/// watch any more, so that it forwarded by earlier lists if it was the last of its failure domain.
#[test]
fn stopping_watcher() {
    let mut harness = Harness::new(0);
    harness.run(60);
    harness.handle(Event::Stop);
    let (_, watch) = harness.pending.take().expect("a watch");
    harness.revision += 1;
    harness.answer(watch);
    harness.run(2);
    let revision = harness.revision;
    let continues =
        |call: &Call| matches!(call, Call::Watch { after, .. } if after.revision == revision);
    assert_eq!(harness.count(continues), 1);
    assert_eq!(harness.count(is_put), 0);
    harness.run(4);
    harness.answer(Call::Watch {
        prefix: String::new(),
        after: Position::new(0, revision),
        timeout: Duration::ZERO,
    });
    harness.run(2);
    assert_eq!(harness.calls.len(), 0, "nothing is read after the exit");
}

#[test]
fn platform_down() {
    let mut harness = Harness::new(40);
    harness.run(60);
    harness.platform_up = false;
    harness.run(600);
    println!("calls={} in_s=600", harness.calls.len());
    // Two kinds of calls, each retried every 5 s on average once the backoff is at its limit.
    assert!(harness.calls.len() <= 300, "retries are rare");
    assert_eq!(harness.instance.membership().live().len(), 41, "keeps the last known state");
}

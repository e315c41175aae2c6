//! What one instance asks of the platform, while it watches and while others do.

use std::time::Duration;

use limpetdeck::instance::{Action, Event, Instance, InstanceConfig};
use limpetdeck::membership::{Message, News};
use limpetdeck::peer::{Body, Sealer};
use limpetdeck::placement::Policy;
use limpetdeck::platform::{Call, Changes, PlatformError, Reply};
use members::info;
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[allow(dead_code)]
#[path = "support/members.rs"]
mod members;

const KEY: [u8; 32] = [7; 32];
const ME: u32 = 6;

/// An instance, a platform that answers as told, and peers that show signs of life.
struct Case {
    now: Duration,
    instance: Instance,
    peers: u32,
    voice: Sealer,
    announcement: u32,
    revision: u64,
    up: bool,
    waiting: Option<(Duration, Call)>,
    calls: Vec<Call>,
}

impl Case {
    fn new(peers: u32) -> Self {
        let cfg = InstanceConfig {
            me: info(ME, 1, 6),
            seeds: Vec::new(),
            peer_key: KEY,
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
            voice: Sealer::new(KEY, 9_000, 1),
            announcement: 0,
            revision: 10,
            up: true,
            waiting: None,
            calls: Vec::new(),
        }
    }

    fn run(&mut self, secs: u64) {
        self.calls.clear();
        for tick in 0..secs * 10 {
            self.now += Duration::from_millis(100);
            if tick % 5 == 0 && self.peers > 0 {
                self.speak();
            }
            if let Some((_, call)) = self.waiting.take_if(|(at, _)| *at <= self.now) {
                self.answer(call);
            }
            self.handle(Event::Tick);
        }
    }

    /// Peers of the same failure domain announce themselves, so that none is suspected.
    fn speak(&mut self) {
        self.announcement += 1;
        let ids = (1..=self.peers).map(|n| ME + 3 * n);
        let news = ids.map(|id| News::Alive {
            info: info(id, 1, id as u16),
            announcement: self.announcement,
        });
        let message = Message::Gossip(news.collect());
        let buf = self.voice.seal(&Body::Membership(message));
        self.handle(Event::Peer(buf));
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.instance.handle(self.now, event, &mut out);
        for action in out {
            let Action::Platform(call) = action else { continue };
            self.calls.push(call.clone());
            match call {
                Call::Watch { wait, .. } if self.up && !wait.is_zero() => {
                    self.waiting = Some((self.now + wait, call));
                }
                call => self.answer(call),
            }
        }
    }

    fn answer(&mut self, call: Call) {
        let result = match &call {
            _ if !self.up => Err(PlatformError::NoAnswer("down".to_owned())),
            Call::Put { .. } => Ok(Reply::Written(1)),
            _ => Ok(Reply::Changes(Changes { revision: self.revision, objects: Vec::new() })),
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
fn watches_alone() {
    let mut case = Case::new(0);
    case.run(600);
    let reads = case.count(|call| !is_put(call));
    println!("reads={reads} writes={} in_s=600", case.count(is_put));
    assert!((25..=35).contains(&reads), "one watch at a time");
    assert!((10..=25).contains(&case.count(is_put)));
}

#[test]
fn others_watch() {
    let mut case = Case::new(40);
    case.run(60);
    assert!(!case.instance.membership().watches(case.now), "others rank first");
    case.run(1_800);
    let (reads, writes) = (case.count(|call| !is_put(call)), case.count(is_put));
    println!("reads={reads} writes={writes} in_s=1800");
    // 800 instances make these many a second, besides the watches of 15.
    assert!(800 * reads / 1_800 <= 10 && 800 * writes / 1_800 <= 30);
}

#[test]
fn older_revision() {
    let mut case = Case::new(0);
    case.run(60);
    case.revision = 3;
    case.run(60);
    assert!(case.count(|call| matches!(call, Call::List { .. })) >= 1, "reads all anew");
    let after = |call: &Call| matches!(call, Call::Watch { after: 3, .. });
    assert!(case.count(after) >= 1, "goes on from there");
}

#[test]
fn platform_down() {
    let mut case = Case::new(40);
    case.run(60);
    case.up = false;
    case.run(600);
    println!("calls={} in_s=600", case.calls.len());
    // Two kinds of calls, each tried every 5 s on average in the long run.
    assert!(case.calls.len() <= 300, "retries are rare");
    assert_eq!(case.instance.membership().live().len(), 41, "the last good state stays");
}

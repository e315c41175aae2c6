//! Changes of targets that do not fit one message.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::collections::BTreeSet;

use limpetdeck::ids::InstanceId;
use limpetdeck::instance::Action;
use limpetdeck::link::Link;
use limpetdeck::peer::Body;
use limpetdeck::steering::{Forwarder, Gossip, Message};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::*;

/// Bytes of control traffic per second, more than the messages of these tests.
const BUDGET: u32 = 100_000;

struct Instance {
    forwarder: Forwarder,
    gossip: Gossip,
    link: Link,
}

impl Instance {
    /// Creates an instance that sends to a peer and knows all changes up to position 10.
    fn new(id: InstanceId, peer: InstanceId) -> Self {
        let mut link = Link::new(KEY, id, 1_000, BUDGET, ms(0));
        link.set_addresses([(peer, socket(address(peer as u8)))].into_iter().collect());
        let gossip = Gossip::new(SmallRng::seed_from_u64(u64::from(id)));
        Self { forwarder: forwarder(&[STATION], &[]), gossip, link }
    }

    /// Handles a message, and returns those that it sends.
    fn handle(&mut self, from: InstanceId, message: Message) -> Vec<Vec<u8>> {
        let mut actions = Vec::new();
        let mut out = self.link.outbox(ms(100), &mut actions);
        self.gossip.on_message(ms(100), from, message, &mut self.forwarder, &mut out);
        let sent = actions.into_iter().filter_map(|action| match action {
            Action::Peer(_, buf) => Some(buf),
            _ => None,
        });
        sent.collect()
    }

    fn eligible(&self) -> BTreeSet<u64> {
        let targets = self.forwarder.targets.eligible(ms(100), STATION);
        targets.map(|(target, _)| target.key).collect()
    }
}

/// The sender lacks changes between those that it knows and a few later ones. Its first message ended
/// with one of the later ones, and the receiver never asked for what was between.
#[test]
fn gap_kept() {
    let (mut sender, mut receiver) = (Instance::new(1, 2), Instance::new(2, 1));
    let targets = &mut sender.forwarder.targets;
    for key in 11..=30 {
        targets.merge(ms(0), record(key, target(key, STATION)));
    }
    targets.advance_complete_up_to(at(30));
    for key in 50..=60 {
        targets.merge(ms(0), record(key, target(key, STATION)));
    }
    let mut requests = vec![Message::PullTargets { since: at(10) }];
    while let Some(request) = requests.pop() {
        for buf in sender.handle(2, request) {
            let Some((1, Body::Steering(reply))) = receiver.link.open(&buf) else {
                panic!("a reply")
            };
            for buf in receiver.handle(1, reply) {
                let Some((2, Body::Steering(next))) = sender.link.open(&buf) else { panic!() };
                requests.push(next);
            }
            let known = receiver.forwarder.targets.complete_up_to();
            assert!(known <= at(30), "{known} is more than the sender knows");
        }
    }
    assert_eq!(receiver.forwarder.targets.complete_up_to(), at(30));
    assert!(receiver.eligible().is_superset(&(11..=30).collect()));
}

//! Arbitrary or unusable messages of a peer change no list and cause few requests.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::ids::Version;
use limpetdeck::instance::Action;
use limpetdeck::link::Link;
use limpetdeck::lists::{ListKind, ListVersions, Lists, Message, Piece};
use limpetdeck::peer::{Body, Sealer};
use limpetdeck::platform::Object;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

const KEY: [u8; 32] = [7; 32];

/// The lists of instance 1, which receives messages from instance 2.
struct Receiver {
    lists: Lists,
    link: Link,
    now: Duration,
    peer_sealer: Sealer,
}

impl Receiver {
    fn new() -> Self {
        let address: SocketAddr = ([127, 0, 0, 2], 7_200).into();
        let mut link = Link::new(KEY, 1, 1, 3_000, Duration::ZERO);
        link.set_addresses(HashMap::from_iter([(2, address)]));
        let lists = Lists::new(1, SmallRng::seed_from_u64(1));
        Self { lists, link, now: Duration::ZERO, peer_sealer: Sealer::new(KEY, 2, 1) }
    }

    /// Handles an object from the platform.
    fn on_object(&mut self, name: &str, version: Version, value: Value) {
        let object = Object { name: name.to_owned(), version, value };
        let mut actions = Vec::new();
        self.lists.on_object(self.now, &object, &mut self.link.outbox(self.now, &mut actions));
    }

    /// Handles a message, and returns the messages sent.
    fn on_message(&mut self, message: Message) -> Vec<Message> {
        let mut actions = Vec::new();
        self.lists.on_message(self.now, 2, message, &mut self.link.outbox(self.now, &mut actions));
        self.open_messages(&actions)
    }

    /// Advances time by one tick, and returns the messages sent.
    fn tick(&mut self) -> Vec<Message> {
        self.now += Duration::from_millis(100);
        let mut actions = Vec::new();
        self.lists.tick(self.now, &[1, 2], &mut self.link.outbox(self.now, &mut actions));
        self.open_messages(&actions)
    }

    fn open_messages(&mut self, actions: &[Action]) -> Vec<Message> {
        let messages = actions.iter().filter_map(|action| match action {
            Action::Peer(_, buf) => match self.peer_sealer.open(buf) {
                Ok((_, Body::Lists(message))) => Some(message),
                _ => None,
            },
            _ => None,
        });
        messages.collect()
    }
}

/// A list that cannot be decoded, for example one of another release, is not requested again
/// with each digest and tick.
#[test]
fn unusable_list() {
    let mut receiver = Receiver::new();
    let versions = ListVersions { services: 5, ..ListVersions::default() };
    let (mut pulls, mut sent) = (0, Vec::new());
    for i in 0..100 {
        if i % 10 == 0 {
            sent.extend(receiver.on_message(Message::Digest { versions, wants_reply: false }));
        }
        sent.extend(receiver.tick());
        for message in std::mem::take(&mut sent) {
            let Message::Pull(pull) = message else { continue };
            pulls += 1;
            let (kind, version) = (pull.kind, 5);
            let bytes = b"of another release".to_vec();
            let piece = Piece { kind, version, payload_hash: 9, piece_count: 1, index: 0, bytes };
            sent.extend(receiver.on_message(Message::Piece(piece)));
        }
    }
    println!("pulls_in_10_s={pulls}");
    assert!(pulls <= 2);
    assert!(!receiver.lists.is_ready());
}

#[test]
fn arbitrary_messages() {
    fn property(messages: Vec<(u8, u64, u32, u32, Vec<u8>)>) -> bool {
        let mut receiver = Receiver::new();
        receiver.on_object("plans", u64::MAX, json!({ "customers": [] }));
        let before = receiver.lists.versions();
        for (what, n, piece_count, index, bytes) in messages {
            let kind = ListKind::ALL[usize::from(what) % 3];
            let versions = ListVersions { allowances: n % 3, plans: n % 5, services: n };
            receiver.on_message(match what % 4 {
                0 => Message::Digest { versions, wants_reply: index % 2 == 0 },
                1 => Message::Piece(Piece {
                    kind,
                    version: n,
                    payload_hash: n,
                    piece_count,
                    index,
                    bytes,
                }),
                2 => {
                    let (base, payload_hash) = (n / 2, n);
                    Message::Pull(limpetdeck::lists::Pull {
                        kind,
                        base,
                        payload_hash,
                        first_piece: index,
                        count: piece_count,
                    })
                }
                _ => match postcard::from_bytes(&bytes) {
                    Ok(message) => message,
                    Err(_) => continue,
                },
            });
            receiver.tick();
        }
        receiver.lists.versions() == before
    }
    type Messages = Vec<(u8, u64, u32, u32, Vec<u8>)>;
    support::checker(1_000).quickcheck(property as fn(Messages) -> bool);
}

//! Whatever other instances send about lists, nothing breaks and little is sent.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::ids::Version;
use limpetdeck::instance::Action;
use limpetdeck::link::Link;
use limpetdeck::lists::{ListKind, Lists, Message, Piece, Versions};
use limpetdeck::peer::{Body, Sealer};
use limpetdeck::platform::Object;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

const KEY: [u8; 32] = [7; 32];

/// One instance that hears of another.
struct Listener {
    lists: Lists,
    link: Link,
    now: Duration,
    opener: Sealer,
}

impl Listener {
    fn new() -> Self {
        let address: SocketAddr = ([127, 0, 0, 2], 7_200).into();
        let mut link = Link::new(KEY, 1, 1, 3_000, Duration::ZERO);
        link.set_addresses(HashMap::from_iter([(2, address)]));
        let lists = Lists::new(1, SmallRng::seed_from_u64(1));
        Self { lists, link, now: Duration::ZERO, opener: Sealer::new(KEY, 2, 1) }
    }

    /// Takes an object of the platform.
    fn object(&mut self, name: &str, version: Version, value: Value) {
        let object = Object { name: name.to_owned(), version, value };
        let mut actions = Vec::new();
        self.lists.on_object(self.now, &object, &mut self.link.outbox(self.now, &mut actions));
    }

    /// Takes a message, and returns what is sent.
    fn hear(&mut self, message: Message) -> Vec<Message> {
        let mut actions = Vec::new();
        self.lists.on_message(self.now, 2, message, &mut self.link.outbox(self.now, &mut actions));
        self.opened(&actions)
    }

    /// Lets a tick pass, and returns what is sent.
    fn tick(&mut self) -> Vec<Message> {
        self.now += Duration::from_millis(100);
        let mut actions = Vec::new();
        self.lists.tick(self.now, &[1, 2], &mut self.link.outbox(self.now, &mut actions));
        self.opened(&actions)
    }

    fn opened(&mut self, actions: &[Action]) -> Vec<Message> {
        let messages = actions.iter().filter_map(|action| match action {
            Action::Peer(_, buf) => match self.opener.open(buf) {
                Ok((_, Body::Lists(message))) => Some(message),
                _ => None,
            },
            _ => None,
        });
        messages.collect()
    }
}

/// A list that cannot be read is not asked for again and again.
#[test]
fn unusable_list() {
    let mut listener = Listener::new();
    let versions = Versions { services: 5, ..Versions::default() };
    let (mut pulls, mut last) = (0, Vec::new());
    for i in 0..100 {
        if i % 10 == 0 {
            last.extend(listener.hear(Message::Digest { versions, asks: false }));
        }
        last.extend(listener.tick());
        for message in std::mem::take(&mut last) {
            let Message::Pull(pull) = message else { continue };
            pulls += 1;
            let (kind, version) = (pull.kind, 5);
            let bytes = b"of another release".to_vec();
            let piece = Piece { kind, version, payload: 9, pieces: 1, piece: 0, bytes };
            last.extend(listener.hear(Message::Piece(piece)));
        }
    }
    println!("pulls_in_10_s={pulls}");
    assert!(pulls <= 2);
    assert!(!listener.lists.ready());
}

#[test]
fn any_messages() {
    fn property(all: Vec<(u8, u64, u32, u32, Vec<u8>)>) -> bool {
        let mut listener = Listener::new();
        listener.object("plans", u64::MAX, json!({ "customers": [] }));
        let before = listener.lists.versions();
        for (what, n, pieces, piece, bytes) in all {
            let kind = ListKind::ALL[usize::from(what) % 3];
            let versions = Versions { allowances: n % 3, plans: n % 5, services: n };
            listener.hear(match what % 4 {
                0 => Message::Digest { versions, asks: piece % 2 == 0 },
                1 => Message::Piece(Piece { kind, version: n, payload: n, pieces, piece, bytes }),
                2 => {
                    let (have, payload) = (n / 2, n);
                    Message::Pull(limpetdeck::lists::Pull {
                        kind,
                        have,
                        payload,
                        piece,
                        count: pieces,
                    })
                }
                _ => match postcard::from_bytes(&bytes) {
                    Ok(message) => message,
                    Err(_) => continue,
                },
            });
            listener.tick();
        }
        listener.lists.versions() == before
    }
    type Messages = Vec<(u8, u64, u32, u32, Vec<u8>)>;
    support::checker(1_000).quickcheck(property as fn(Messages) -> bool);
}

//! Damaged input for everything that reads bytes from outside: nothing may panic, and nothing
//! that was changed may pass for whole.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::process::ExitCode;
use std::time::Duration;

use limpetdeck::ids::Incarnation;
use limpetdeck::lists::{Content, ListKind};
use limpetdeck::packet;
use limpetdeck::peer::{Body, Sealer};
use limpetdeck::steering::{
    Message, NO_TOKEN, PacketFormat, RawRoutes, RawTarget, Target, TargetState,
};
use limpetdeck_platform::emulator::{
    Origin, Segment, SegmentKind, addressee, routes_entry, settings_file, target_entry,
};
use limpetdeck_platform::{NodeSettings, TokenPackets, decode_routes, decode_target, parse};
use quickcheck::{Gen, QuickCheck, Testable};
use serde_json::value::RawValue;

use crate::arguments::{Args, Outcome, Usage};

/// Text for `--help`.
const HELP: &str = "\
usage: limpetdeck-lab fuzz --seed N [--cases N]

  --seed N    the cases follow from it
  --cases N   cases for each reader, 2000 if not given

exit codes: 0 nothing was found, 1 or 101 something was, 2 wrong arguments
";

/// Edits of a case: each puts, takes out or changes a byte at a place.
type Edits = Vec<(u16, u8, u8)>;
/// A reader with the name that is printed.
type Reader = (&'static str, fn(Edits) -> bool);

/// Size of the cases: most edits of one.
const MOST_EDITS: usize = 24;
/// Key of the messages.
const KEY: [u8; 32] = [5; 32];

const READERS: [Reader; 7] = [
    ("packets", packets),
    ("datagrams_to_servers", datagrams_to_servers),
    ("ip_packets", ip_packets),
    ("peer_messages", peer_messages),
    ("store_objects", store_objects),
    ("lists", lists),
    ("settings", settings),
];

/// Runs the command.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let (seed, cases) = match parse_arguments(args) {
        Ok(parsed) => parsed,
        Err(usage) => return Ok(usage.report(HELP)),
    };
    println!("seed={seed} cases={cases}");
    run(seed, cases);
    println!("result=ok");
    Ok(ExitCode::SUCCESS)
}

fn parse_arguments(mut args: Args) -> Result<(u64, u64), Usage> {
    let parsed = (args.value("--seed")?, args.value_or("--cases", 2_000)?);
    args.finish()?;
    Ok(parsed)
}

/// Tries all readers.
///
/// # Panics
///
/// Panics with the smallest case that a reader fails on.
pub fn run(seed: u64, cases: u64) {
    for (name, reader) in READERS {
        check(seed, cases, reader);
        println!("reader={name} cases={cases}");
    }
}

fn check(seed: u64, cases: u64, reader: impl Testable) {
    let mut quickcheck = QuickCheck::new().rng(Gen::from_size_and_seed(MOST_EDITS, seed));
    quickcheck = quickcheck.tests(cases).max_tests(cases * 2);
    quickcheck.quickcheck(reader);
}

fn edit(mut bytes: Vec<u8>, edits: &Edits) -> Vec<u8> {
    for &(place, byte, kind) in edits {
        let at = usize::from(place) % (bytes.len() + 1);
        match kind % 4 {
            0 => bytes.insert(at, byte),
            1 if at < bytes.len() => {
                bytes.remove(at);
            }
            2 => bytes.truncate(at.max(bytes.len().saturating_sub(40))),
            _ if at < bytes.len() => bytes[at] = byte,
            _ => {}
        }
    }
    bytes
}

fn edit_text(text: &str, edits: &Edits) -> String {
    String::from_utf8_lossy(&edit(text.as_bytes().to_vec(), edits)).into_owned()
}

fn end(n: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, n), port)
}

fn target() -> RawTarget {
    RawTarget {
        key: 0x1f,
        start: 1_700,
        service: "till".to_owned(),
        address: end(9, 8_080),
        failure_domain: "a".to_owned(),
        slots: 3,
        state: TargetState::Ready,
        cold_ms: 0,
    }
}

fn segment() -> Vec<u8> {
    let segment = Segment {
        from: end(1, 40_001),
        to: end(2, 443),
        kind: SegmentKind::Data,
        token: 7,
        sequence: 1,
        acknowledged: 2,
        data: vec![3; 40],
    };
    segment.write(sum)
}

fn sum(buf: &[u8]) -> u32 {
    xxhash_rust::xxh3::xxh3_64(buf) as u32 | 1
}

/// What a caller sends: whatever is read can be forwarded and reset.
fn packets(edits: Edits) -> bool {
    let format = TokenPackets::new(8_172);
    let buf = edit(segment(), &edits);
    let Ok(packet) = format.read(&buf) else { return true };
    let Ok(target) = Target::try_from(target()) else { return false };
    let forwarded = format.forward(&buf, Some(NO_TOKEN), &target);
    forwarded.len() > buf.len() && !format.reset(&packet).1.is_empty()
}

/// What an instance sends to a server: a changed packet never passes for its sender's.
fn datagrams_to_servers(edits: Edits) -> bool {
    let whole = [&7u64.to_be_bytes()[..], &segment()].concat();
    let buf = edit(whole.clone(), &edits);
    let Some((_, packet)) = addressee(&buf) else { return true };
    match Segment::read(packet, sum) {
        // The token and the byte next to the flags belong to no sum.
        Ok((read, Origin::End)) => read.data == [3; 40] && read.from == end(1, 40_001),
        Ok(_) | Err(_) => true,
    }
}

/// The product's own transport.
fn ip_packets(edits: Edits) -> bool {
    let builder = etherparse::PacketBuilder::ipv4([10, 0, 0, 1], [10, 0, 0, 2], 64);
    let builder = builder.tcp(40_001, 443, 7, 1_024).syn();
    let mut buf = Vec::new();
    if builder.write(&mut buf, &[1, 2, 3]).is_err() {
        return false;
    }
    let _ = packet::decode(&edit(buf, &edits));
    true
}

/// A message between instances opens only if nobody has changed it.
fn peer_messages(edits: Edits) -> bool {
    let start: Incarnation = 1;
    let body = Body::Steering(Message::PullTargets { since: 7 });
    let whole = Sealer::new(KEY, 1, start).seal(&body);
    let buf = edit(whole.clone(), &edits);
    let opened = Sealer::new(KEY, 2, start).open(&buf);
    let _ = postcard::from_bytes::<Body>(&buf);
    opened.is_err() || buf == whole
}

fn store_objects(edits: Edits) -> bool {
    let entry = edit_text(&target_entry(&target(), 1).to_string(), &edits);
    let routes = RawRoutes { version: 3, routes: Vec::new(), idle_timeout_ms: 9 };
    let routes = edit_text(&routes_entry(&routes).to_string(), &edits);
    if let Ok(raw) = RawValue::from_string(entry) {
        // What names no number or address is refused; the rest is checked once more.
        let _ = decode_target("s-1f", &raw).map(Target::try_from);
    }
    if let Ok(raw) = RawValue::from_string(routes) {
        let _ = decode_routes(&raw);
    }
    true
}

fn lists(edits: Edits) -> bool {
    let text = include_str!("../../sample_configs/recarga/services.toml");
    let _ = Content::from_toml(ListKind::Services, &edit_text(text, &edits));
    let _ = limpetdeck::services::from_json(edit_text("{\"services\":[]}", &edits).as_bytes());
    true
}

fn settings(edits: Edits) -> bool {
    let address = SocketAddr::V4(end(3, 8_172));
    let whole = NodeSettings {
        failure_domain: "a".to_owned(),
        packet_address: address,
        peer_address: address,
        ready_address: address,
        store_address: address,
        seeds: vec![address],
        grace: Duration::from_secs(6),
    };
    let _ = parse(&edit_text(&settings_file(&whole), &edits));
    let own = include_str!("../../sample_configs/recarga/entry.toml");
    let _ = limpetdeck::settings::parse(&edit_text(own, &edits));
    true
}

//! Fuzzes all decoders of external input: none may panic, and none may accept modified input as
//! intact.

mod odd_entries;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::process::ExitCode;
use std::time::Duration;

use limpetdeck::ids::Incarnation;
use limpetdeck::lists::{ListKind, RawList};
use limpetdeck::packet;
use limpetdeck::peer::{Body, Sealer};
use limpetdeck::steering::{
    Message, NO_TOKEN, PacketFormat, RawRoutes, RawTarget, Target, TargetState,
};
use limpetdeck_platform::emulator::{
    PacketOrigin, Segment, SegmentKind, routes_entry, settings_file, split_target_key, target_entry,
};
use limpetdeck_platform::{NodeSettings, TokenPackets, decode_routes, decode_target, parse};
use quickcheck::{Gen, QuickCheck, Testable};
use serde_json::value::RawValue;

use self::odd_entries::odd_entries;
use crate::arguments::{Args, CommandError, Outcome};

/// Text for `fuzz --help`.
const HELP: &str = "\
usage: limpetdeck-lab fuzz --seed N [--cases N]

  --seed N    seed of the cases
  --cases N   number of cases per decoder (default 2000)

exit codes: 0 no fault found, 1 or 101 fault found, 2 invalid arguments
";

/// Edits of a case as position, byte and kind: insert, remove, truncate or overwrite.
type Edits = Vec<(u16, u8, u8)>;
/// Printed name and test of a decoder. The test returns whether the decoder passes.
type Decoder = (&'static str, fn(Edits) -> bool);

/// Largest number of edits in a case.
const MAX_EDITS: usize = 24;
/// Key of the messages between instances.
const PEER_KEY: [u8; 32] = [5; 32];

const DECODERS: [Decoder; 8] = [
    ("packets", packets),
    ("datagrams_to_servers", datagrams_to_servers),
    ("ip_packets", ip_packets),
    ("peer_messages", peer_messages),
    ("store_objects", store_objects),
    ("odd_entries", odd_entries),
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
        Err(e) => return Ok(e.print_with_help(HELP)),
    };
    println!("seed={seed} cases={cases}");
    run(seed, cases);
    println!("result=ok");
    Ok(ExitCode::SUCCESS)
}

fn parse_arguments(mut args: Args) -> Result<(u64, u64), CommandError> {
    let parsed = (args.value("--seed")?, args.value_or("--cases", 2_000)?);
    args.finish()?;
    Ok(parsed)
}

/// Tests all decoders with `cases` cases each.
///
/// # Panics
///
/// Panics with the shrunk case on which a decoder fails.
pub fn run(seed: u64, cases: u64) {
    for (name, decoder) in DECODERS {
        check(seed, cases, decoder);
        println!("reader={name} cases={cases}");
    }
}

fn check(seed: u64, cases: u64, decoder: impl Testable) {
    let mut quickcheck = QuickCheck::new().rng(Gen::from_size_and_seed(MAX_EDITS, seed));
    quickcheck = quickcheck.tests(cases).max_tests(cases * 2);
    quickcheck.quickcheck(decoder);
}

fn apply_edits(mut bytes: Vec<u8>, edits: &Edits) -> Vec<u8> {
    for &(position, byte, kind) in edits {
        let at = usize::from(position) % (bytes.len() + 1);
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

fn apply_text_edits(text: &str, edits: &Edits) -> String {
    String::from_utf8_lossy(&apply_edits(text.as_bytes().to_vec(), edits)).into_owned()
}

fn endpoint(n: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, n), port)
}

fn target() -> RawTarget {
    RawTarget {
        key: 0x1f,
        incarnation: 1_700,
        service: "till".to_owned(),
        address: endpoint(9, 8_080),
        failure_domain: "a".to_owned(),
        slots: 3,
        state: TargetState::Ready,
        cold_ms: 0,
    }
}

fn segment() -> Vec<u8> {
    let segment = Segment {
        from: endpoint(1, 40_001),
        to: endpoint(2, 443),
        kind: SegmentKind::Data,
        token: 7,
        sequence: 1,
        acknowledged: 2,
        data: vec![3; 40],
    };
    segment.encode(checksum)
}

fn checksum(buf: &[u8]) -> u32 {
    xxhash_rust::xxh3::xxh3_64(buf) as u32 | 1
}

/// Packets from callers: every packet that is accepted can be forwarded and reset.
fn packets(edits: Edits) -> bool {
    let format = TokenPackets::new(8_172);
    let buf = apply_edits(segment(), &edits);
    let Ok(packet) = format.read(&buf) else { return true };
    let Ok(target) = Target::try_from(target()) else { return false };
    let forwarded = format.forward(&buf, Some(NO_TOKEN), target.key);
    forwarded.len() > buf.len() && !format.reset(&packet).1.is_empty()
}

/// Datagrams from instances to servers: a modified packet is never taken for the caller's.
fn datagrams_to_servers(edits: Edits) -> bool {
    let intact = [&7u64.to_be_bytes()[..], &segment()].concat();
    let buf = apply_edits(intact.clone(), &edits);
    let Some((_, packet)) = split_target_key(&buf) else { return true };
    match Segment::decode(packet, checksum) {
        // The checksum does not cover the token, nor the byte next to the flags.
        Ok((read, PacketOrigin::Endpoint)) => {
            read.data == [3; 40] && read.from == endpoint(1, 40_001)
        }
        Ok(_) | Err(_) => true,
    }
}

/// TCP packets over IP, the product's own transport.
fn ip_packets(edits: Edits) -> bool {
    let builder = etherparse::PacketBuilder::ipv4([10, 0, 0, 1], [10, 0, 0, 2], 64);
    let builder = builder.tcp(40_001, 443, 7, 1_024).syn();
    let mut buf = Vec::new();
    if builder.write(&mut buf, &[1, 2, 3]).is_err() {
        return false;
    }
    let _ = packet::decode(&apply_edits(buf, &edits));
    true
}

/// Messages between instances: only an unmodified message can be opened.
fn peer_messages(edits: Edits) -> bool {
    let incarnation: Incarnation = 1;
    let body = Body::Steering(Message::PullTargets { since: 7.into() });
    let intact = Sealer::new(PEER_KEY, 1, incarnation).seal(&body);
    let buf = apply_edits(intact.clone(), &edits);
    let opened = Sealer::new(PEER_KEY, 2, incarnation).open(&buf);
    let _ = postcard::from_bytes::<Body>(&buf);
    opened.is_err() || buf == intact
}

fn store_objects(edits: Edits) -> bool {
    let entry = apply_text_edits(&target_entry(&target(), 1).to_string(), &edits);
    let routes =
        RawRoutes { version: 3, routes: Vec::new(), idle_timeout_ms: 9, ..RawRoutes::default() };
    let routes = apply_text_edits(&routes_entry(&routes).to_string(), &edits);
    if let Ok(raw) = RawValue::from_string(entry) {
        // The decoder refuses names and addresses that it cannot parse; the conversion checks
        // the rest.
        let _ = decode_target("s-1f", &raw).map(Target::try_from);
    }
    if let Ok(raw) = RawValue::from_string(routes) {
        let _ = decode_routes(&raw);
    }
    true
}

fn lists(edits: Edits) -> bool {
    let text = include_str!("../../sample_configs/recarga/services.toml");
    let _ = RawList::from_toml(ListKind::Services, &apply_text_edits(text, &edits));
    let _ =
        limpetdeck::services::from_json(apply_text_edits("{\"services\":[]}", &edits).as_bytes());
    true
}

fn settings(edits: Edits) -> bool {
    let address = SocketAddr::V4(endpoint(3, 8_172));
    let intact = NodeSettings {
        failure_domain: "a".to_owned(),
        packet_address: address,
        peer_address: address,
        ready_address: address,
        store_address: address,
        seeds: vec![address],
        grace: Duration::from_secs(6),
        domain_drains: false,
    };
    let _ = parse(&apply_text_edits(&settings_file(&intact), &edits));
    let own = include_str!("../../sample_configs/recarga/entry.toml");
    let _ = limpetdeck::settings::parse(&apply_text_edits(own, &edits));
    true
}

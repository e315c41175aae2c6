//! Time of building ranks and of handling messages between instances.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::ids::InstanceId;
use limpetdeck::link::Link;
use limpetdeck::membership::{Digest, MemberUpdate, Membership, Message};
use limpetdeck::peer::{Body, MemberInfo, MemberState, RedirectedPacket, Sealer};
use limpetdeck::placement::{Ranks, Route};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::mean_ns;

/// Numbers of live instances.
const INSTANCES: [InstanceId; 5] = [6, 18, 60, 160, 800];
/// Sizes of a redirected packet in bytes.
const PACKET_LENS: [usize; 2] = [100, 1_400];
/// Number of groups of flows that have one owner each.
const BUCKETS: u64 = 1_024;
/// Number of times that ranks are built.
const RANK_BUILDS: usize = 20;
/// Messages in one timed batch.
const MESSAGES: usize = 50_000;

/// Prints the time of building the ranks, which are rebuilt on each change of membership.
pub(super) fn print_ranks() {
    for instances in INSTANCES {
        let ns = mean_ns(RANK_BUILDS, |_| Ranks::new(1..=instances));
        let ranks = Ranks::new(1..=instances);
        let mut owned: HashMap<InstanceId, usize> = (1..=instances).map(|id| (id, 0)).collect();
        for owner in (0..BUCKETS).filter_map(|bucket| ranks.at_rank(bucket, 0)) {
            *owned.entry(owner).or_default() += 1;
        }
        let most = owned.values().max().copied().unwrap_or(0);
        let none = owned.values().filter(|&&buckets| buckets == 0).count();
        println!(
            "slope=ranks instances={instances} new_ns={ns:.0} buckets={BUCKETS} \
             most_buckets_of_one={most} instances_without={none}"
        );
    }
}

/// Prints the time of sealing and of opening a redirected packet.
pub(super) fn print_messages() {
    for len in PACKET_LENS {
        let body =
            Body::Packet(RedirectedPacket { route: Route::ENTRY, span: 0, packet: vec![7; len] });
        let mut sender = Sealer::new([7; 32], 1, 1);
        let mut receiver = Sealer::new([7; 32], 2, 1);
        let sealed: Vec<_> = (0..MESSAGES).map(|_| sender.seal(&body)).collect();
        let bytes = sealed[0].len();
        let seal_ns = mean_ns(MESSAGES, |_| sender.seal(&body));
        let open_ns = mean_ns(MESSAGES, |i| receiver.open(&sealed[i]).is_ok());
        println!(
            "slope=pass_on packet={len} sealed={bytes} seal_ns={seal_ns:.0} open_ns={open_ns:.0}"
        );
    }
}

/// Prints the time of handling and answering a ping.
pub(super) fn print_pings(seed: u64) {
    for instances in INSTANCES {
        let now = Duration::from_secs(1);
        let rng = SmallRng::seed_from_u64(seed);
        let mut membership = Membership::new(now, member(1), Vec::new(), rng);
        let mut link = Link::new([7; 32], 1, 1, 3_000, now);
        let mut actions = Vec::new();
        let alive = |id| MemberUpdate::Alive { info: member(id), announcement: 0 };
        let known = Message::Gossip((2..=instances).map(alive).collect());
        membership.on_message(now, 2, known, &mut link.outbox(now, &mut actions));
        let live = membership.live().len();
        actions.clear();
        let ns = mean_ns(MESSAGES, |i| {
            let message = ping(i as u32);
            membership.on_message(now, 2, message, &mut link.outbox(now, &mut actions));
        });
        println!(
            "slope=ping instances={instances} live={live} answers={} handle_ns={ns:.0}",
            actions.len()
        );
    }
}

fn member(id: InstanceId) -> MemberInfo {
    let address = SocketAddr::from((Ipv4Addr::from(id), 9_000));
    MemberInfo {
        id,
        incarnation: 1,
        failure_domain: "domain-1".to_owned(),
        peer_address: address,
        metrics_address: address,
        state: MemberState::Live,
    }
}

fn ping(sequence: u32) -> Message {
    let digest = Digest { part: 0, value: 0 };
    Message::Ping { sequence, introduce: false, digest, updates: Vec::new() }
}

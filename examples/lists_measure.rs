//! Measures how the operators' lists spread among many instances, in virtual time.
//!
//! All instances but a few hear of a change from other instances alone, as if the platform
//! went down right after it had accepted the change. With `--busy`, less urgent traffic takes
//! all of the budget that it may take.

#[path = "../tests/support/contents.rs"]
mod contents;
#[path = "../tests/support/net.rs"]
mod net;

use std::time::{Duration, Instant as Clock};

use contents::{plans, services};
use limpetdeck::lists::{Content, ListKind, Lists};
use net::Net;

/// What the budget gives to all control traffic of an instance, in bytes a second.
const BUDGET: u32 = 3_000;
/// Customers in the plans.
const CUSTOMERS: u64 = 200;
/// Time for which bytes are counted while nothing changes.
const QUIET: Duration = Duration::from_secs(30);
/// Longest time that a change or a join may take.
const LONGEST: Duration = Duration::from_secs(1_800);

fn main() -> Result<(), pico_args::Error> {
    let mut args = pico_args::Arguments::from_env();
    let instances: u32 = args.opt_value_from_str("--instances")?.unwrap_or(18);
    let service_count: u32 = args.opt_value_from_str("--services")?.unwrap_or(2);
    let changes: u64 = args.opt_value_from_str("--changes")?.unwrap_or(20);
    let loss: f64 = args.opt_value_from_str("--loss")?.unwrap_or(0.01);
    let busy = args.contains("--busy");
    let seed: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    println!(
        "instances={instances} services={service_count} changes={changes} loss={loss} busy={busy} seed={seed}"
    );
    let list = Content::from_json(ListKind::Services, services(1, service_count));
    let bytes = list.ok().and_then(|list| postcard::to_stdvec(&list.entries()).ok());
    println!("services_bytes={}", bytes.map_or(0, |bytes| bytes.len()));
    let mut net = settled(instances, service_count, loss, seed);
    quiet(&mut net);
    net.busy = busy;
    net.run(Duration::from_secs(5));
    spread(&mut net, instances, service_count, changes);
    join(&mut net, service_count);
    Ok(())
}

fn settled(instances: u32, service_count: u32, loss: f64, seed: u64) -> Net {
    let mut net = Net::new(instances, BUDGET, seed);
    for id in 0..instances {
        net.object(id, "plans", 1, plans(1, CUSTOMERS));
        net.object(id, "services", 1, services(1, service_count));
    }
    net.run(Duration::from_secs(5));
    net.loss = loss;
    net
}

fn quiet(net: &mut Net) {
    let from = net.now;
    let clock = Clock::now();
    net.run(QUIET);
    let share = clock.elapsed().as_secs_f64() / QUIET.as_secs_f64();
    let bytes = net.bytes_per_second(from);
    println!(
        "quiet_bytes_per_s_p50={} quiet_bytes_per_s_p99={} quiet_core_share_of_all_with_network={share:.4}",
        percentile(&bytes, 0.5),
        percentile(&bytes, 0.99)
    );
}

fn spread(net: &mut Net, instances: u32, service_count: u32, changes: u64) {
    let from = net.now;
    let mut times = Vec::new();
    for i in 0..changes {
        let (id, version) = (i as u32 % instances, i / 2 + 2);
        let in_force: fn(&Lists, u64) -> bool = if i % 2 == 0 {
            net.object(id, "plans", version, plans(version, CUSTOMERS));
            |lists, version| lists.versions().plans >= version
        } else {
            net.object(id, "services", version, services(version, service_count));
            |lists, version| lists.versions().services >= version
        };
        let reached = net.run_until(LONGEST, |lists| in_force(lists, version));
        times.extend(reached.into_iter().map(|time| time.map_or(usize::MAX, ms)));
        net.run(Duration::from_secs(5));
    }
    times.sort_unstable();
    let bytes = net.bytes_per_second(from);
    println!(
        "in_force_ms_p50={} in_force_ms_p99={} in_force_ms_max={} bytes_per_s_p50={} bytes_per_s_p99={} bytes_per_s_max={}",
        percentile(&times, 0.5),
        percentile(&times, 0.99),
        percentile(&times, 1.0),
        percentile(&bytes, 0.5),
        percentile(&bytes, 0.99),
        percentile(&bytes, 1.0)
    );
}

/// A new instance joins while the platform is down.
fn join(net: &mut Net, service_count: u32) {
    let (from, id) = (net.now, net.add());
    let times = net.run_until(LONGEST, Lists::ready);
    let joined = times[id as usize].map_or(usize::MAX, ms);
    net.run(Duration::from_secs(1));
    let bytes = net.bytes_per_second(from);
    println!(
        "join_services={service_count} join_ms={joined} join_bytes_per_s_p99={} join_bytes_per_s_max={}",
        percentile(&bytes, 0.99),
        percentile(&bytes, 1.0)
    );
}

fn ms(time: Duration) -> usize {
    time.as_millis() as usize
}

fn percentile(sorted: &[usize], share: f64) -> usize {
    sorted[((sorted.len() - 1) as f64 * share) as usize]
}

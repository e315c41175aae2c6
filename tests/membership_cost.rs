//! The membership traffic of an instance does not depend on the number of instances.

use std::time::Duration;

use members::Net;

#[allow(dead_code)]
#[path = "support/members.rs"]
mod members;

/// Maximum number of bytes per second that one instance may send for membership.
const MAX_BYTES_PER_S: usize = 700;
const DURATION_S: usize = 20;

fn bytes_per_second(instances: u16) -> usize {
    let mut net = Net::settled(1, instances);
    for node in &mut net.nodes {
        node.bytes = 0;
        node.peak_bytes_per_s = 0;
    }
    net.run(Duration::from_secs(DURATION_S as u64));
    let mean =
        net.nodes.iter().map(|node| node.bytes).sum::<usize>() / net.nodes.len() / DURATION_S;
    let peak = net.nodes.iter().map(|node| node.peak_bytes_per_s).max();
    println!("instances={instances} seed=1 mean_bytes_per_s={mean} peak_bytes_per_s={peak:?}");
    mean
}

#[test]
fn steady_cost() {
    let (few, many) = (bytes_per_second(18), bytes_per_second(160));
    assert!(few <= MAX_BYTES_PER_S && many <= MAX_BYTES_PER_S);
    assert!(many <= few + few / 10, "independent of the number of instances");
}

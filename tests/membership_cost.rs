//! The control bytes of membership do not depend on the number of instances.

use std::time::Duration;

use members::Net;

#[allow(dead_code)]
#[path = "support/members.rs"]
mod members;

/// Bytes a second that one instance may spend on liveness.
const MOST: usize = 700;
const SECONDS: usize = 20;

fn bytes_per_second(instances: u16) -> usize {
    let mut net = Net::settled(1, instances);
    for node in &mut net.nodes {
        node.bytes = 0;
        node.most_in_a_second = 0;
    }
    net.run(Duration::from_secs(SECONDS as u64));
    let mean = net.nodes.iter().map(|node| node.bytes).sum::<usize>() / net.nodes.len() / SECONDS;
    let most = net.nodes.iter().map(|node| node.most_in_a_second).max();
    println!("instances={instances} seed=1 mean_bytes_per_s={mean} most_in_a_second={most:?}");
    mean
}

#[test]
fn steady_cost() {
    let (few, many) = (bytes_per_second(18), bytes_per_second(160));
    assert!(few <= MOST && many <= MOST);
    assert!(many <= few + few / 10, "independent of the number of instances");
}

//! Size and decoding time of the services object, and time of target selection.

use std::sync::Arc;
use std::time::Duration;

use limpetdeck::placement::{
    LoadTable, Placement, PlacementConfig, Policy, TargetViews, select_target,
};
use limpetdeck::services::{Services, from_json};

use super::fixtures::services;
use super::mean_ns;

/// Numbers of services' addresses and of targets behind them.
const SIZES: [(u32, u32); 4] = [(2, 18), (100, 600), (500, 2_800), (1_300, 7_400)];
/// Numbers of targets of one service.
const TARGETS_PER_SERVICE: [u32; 3] = [4, 14, 100];
/// Number of times that each step is run on the object.
const REPETITIONS: usize = 10;
/// Selections in one timed batch.
const BATCH: usize = 50_000;
/// Virtual time of all events.
const NOW: Duration = Duration::from_secs(1);

/// Prints the measurements of the services object and of target selection.
pub(super) fn print(seed: u64) {
    for (addresses, targets) in SIZES {
        print_object(addresses, targets);
    }
    for targets in TARGETS_PER_SERVICE {
        print_selection(targets, seed);
    }
}

fn print_object(addresses: u32, targets: u32) {
    let raw = services(addresses, targets);
    let json = serde_json::to_vec(&raw).unwrap_or_default();
    let read_us = mean_ns(REPETITIONS, |_| from_json(&json).is_ok()) / 1e3;
    let check_us = mean_ns(REPETITIONS, |_| Services::try_from(raw.clone()).is_ok()) / 1e3;
    let Ok(checked) = Services::try_from(raw) else { return };
    let checked = Arc::new(checked);
    let cfg = PlacementConfig { instance_id: 1, flow_capacity: 1, policy: Policy::default() };
    let mut placement = Placement::new(&cfg);
    let set_us = mean_ns(REPETITIONS, |i| {
        placement.set_services(NOW, i as u64 + 1, Arc::clone(&checked));
    }) / 1e3;
    println!(
        "slope=services addresses={addresses} targets={targets} json_bytes={} \
         read_us={read_us:.0} check_us={check_us:.0} set_us={set_us:.0}",
        json.len()
    );
}

fn print_selection(targets: u32, seed: u64) {
    let Ok(checked) = Services::try_from(services(1, targets)) else { return };
    let (views, loads) = (TargetViews::default(), LoadTable::default());
    let Some(service) = checked.list().first() else { return };
    let ns = mean_ns(BATCH, |i| {
        let flow = limpetdeck::hash::stable_pair(seed, i as u64);
        select_target(NOW, service, flow, &views, &loads)
    });
    println!("slope=choose targets={targets} choose_ns={ns:.0}");
}

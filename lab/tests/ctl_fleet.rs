//! `limpetctl status` and `limpetctl instances` against real instance processes.

#[path = "support/ctl.rs"]
mod ctl;

use std::net::SocketAddr;

use ctl::{Platform, Process, free_address, sample_path, wait_until, write_file};
use serde_json::Value;

/// Starts an instance and returns its process and metrics address.
fn start_instance(id: u32, platform: &Platform) -> (Process, SocketAddr) {
    let metrics = free_address();
    let settings = format!(
        "instance = {id}\nfailure_domain = \"gt-centro-a\"\npacket_address = \"{}\"\n\
         peer_address = \"{}\"\nmetrics_address = \"{metrics}\"\nfabric_address = \"{}\"\n\
         platform_address = \"{}\"\npeer_key = \"{}\"\n",
        free_address(),
        free_address(),
        free_address(),
        platform.address,
        "07".repeat(32),
    );
    let path = write_file(&format!("entry-{}-{id}.toml", platform.address.port()), &settings);
    (Process::start("limpetdeck-entry", &["--settings", &path]), metrics)
}

fn fleet_status(platform: &Platform) -> Value {
    let (code, text) = platform.ctl(&["status", "--json"]);
    if code == 0 { serde_json::from_str(&text).expect("JSON") } else { Value::Null }
}

fn is_active(fleet: &Value, instances: usize, list: &str, version: u64) -> bool {
    let rows = fleet["instances"].as_array();
    rows.is_some_and(|rows| {
        let updated = rows.iter().filter(|row| row["versions"][list] == version);
        updated.filter(|row| row["healthy"] == true).count() == instances
    })
}

#[test]
fn status_and_stop() {
    let platform = Platform::start();
    let (mut first, _) = start_instance(1, &platform);
    let (second, metrics) = start_instance(2, &platform);
    assert_eq!(platform.ctl(&["services", "apply", &sample_path("services.toml")]).0, 0);
    wait_until("services active", || is_active(&fleet_status(&platform), 2, "services", 1));
    assert_eq!(platform.ctl(&["allowances", "apply", &sample_path("allowances.toml")]).0, 0);
    assert_eq!(platform.ctl(&["plans", "apply", &sample_path("plans.toml")]).0, 0);
    wait_until("plans active", || is_active(&fleet_status(&platform), 2, "plans", 1));
    let text = platform.ctl(&["status"]).1;
    assert!(text.contains("2 instances, 0 lagging"), "{text}");

    assert_eq!(platform.ctl(&["instances", "stop", "3"]).0, 1);
    assert_eq!(platform.ctl(&["instances", "stop", "1"]).0, 0);
    wait_until("graceful stop", || first.has_exited());
    let list = || platform.ctl(&["instances", "list"]).1;
    wait_until("deregistration", || list().lines().count() == 2);

    platform.set_fault("down");
    let metrics = metrics.to_string();
    let (code, text) = platform.ctl(&["status", "--instance", &metrics]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("1 instances, 0 lagging"), "{text}");
    assert!(text.contains("platform: no answer"), "{text}");
    drop(second);
    assert_eq!(ctl::ctl(&["status", "--instance", &metrics]).0, 4);
}

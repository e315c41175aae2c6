//! The operators' command sees and stops real instances.

#[path = "support/ctl.rs"]
mod ctl;

use std::net::SocketAddr;

use ctl::{Platform, Process, await_true, file, free_address, sample};
use serde_json::Value;

/// Starts an instance, and returns it with its metrics address.
fn entry(id: u32, platform: &Platform) -> (Process, SocketAddr) {
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
    let path = file(&format!("entry-{}-{id}.toml", platform.address.port()), &settings);
    (Process::start("limpetdeck-entry", &["--settings", &path]), metrics)
}

fn fleet(platform: &Platform) -> Value {
    let (code, text) = platform.ctl(&["status", "--json"]);
    if code == 0 { serde_json::from_str(&text).expect("JSON") } else { Value::Null }
}

fn in_force(fleet: &Value, instances: usize, list: &str, version: u64) -> bool {
    let rows = fleet["instances"].as_array();
    rows.is_some_and(|rows| {
        let newest = rows.iter().filter(|row| row["versions"][list] == version);
        newest.filter(|row| row["healthy"] == true).count() == instances
    })
}

#[test]
fn fleet_shown() {
    let platform = Platform::start();
    let (mut first, _) = entry(1, &platform);
    let (second, metrics) = entry(2, &platform);
    assert_eq!(platform.ctl(&["services", "apply", &sample("services.toml")]).0, 0);
    await_true("services in force", || in_force(&fleet(&platform), 2, "services", 1));
    assert_eq!(platform.ctl(&["allowances", "apply", &sample("allowances.toml")]).0, 0);
    assert_eq!(platform.ctl(&["plans", "apply", &sample("plans.toml")]).0, 0);
    await_true("plans in force", || in_force(&fleet(&platform), 2, "plans", 1));
    let text = platform.ctl(&["status"]).1;
    assert!(text.contains("2 instances, 0 lagging"), "{text}");

    assert_eq!(platform.ctl(&["instances", "stop", "3"]).0, 1);
    assert_eq!(platform.ctl(&["instances", "stop", "1"]).0, 0);
    await_true("graceful stop", || first.ended());
    let listed = || platform.ctl(&["instances", "list"]).1;
    await_true("deregistration", || listed().lines().count() == 2);

    platform.fault("down");
    let metrics = metrics.to_string();
    let (code, text) = platform.ctl(&["status", "--instance", &metrics]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("1 instances, 0 lagging"), "{text}");
    assert!(text.contains("platform: no answer"), "{text}");
    drop(second);
    assert_eq!(ctl::ctl(&["status", "--instance", &metrics]).0, 4);
}

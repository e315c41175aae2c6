//! Lists of any size; one entry of each differs by version.

use limpetdeck::ids::Version;
use serde_json::{Value, json};

/// Returns plans in which one customer's plan is named after the version.
pub fn plans(version: Version, customers: u64) -> Value {
    let customer = |i: u64| {
        let plan = format!("plan-{}", if i == version % customers { version } else { 0 });
        let prefix = format!("10.{}.{}.0/24", i / 256, i % 256);
        json!({ "name": format!("customer-{i}"), "plan": plan, "prefixes": [prefix] })
    };
    json!({ "customers": (0..customers).map(customer).collect::<Vec<_>>() })
}

/// Returns services with six targets each; the weight of the first target depends on the
/// version.
pub fn services(version: Version, count: u32) -> Value {
    let target = |i: u32, j: u32| {
        let id = i * 6 + j;
        let weight = if id == 0 { 100 + version } else { 100 };
        json!({
            "id": id,
            "address": format!("10.{}.{}.{}:7000", 100 + j, i / 250, i % 250),
            "failure_domain": "gt-centro-a", "slots": 3, "weight": weight,
            "report": (j == 0).then(|| format!("10.99.{}.{}:80/load", i / 250, i % 250)),
        })
    };
    let service = |i: u32| {
        json!({
            "id": i, "name": format!("service-{i}"), "weighs": "imbalance",
            "address": format!("10.1.{}.{}:7000", i / 250, i % 250), "idle_timeout_s": 3600,
            "targets": (0..6).map(|j| target(i, j)).collect::<Vec<_>>(),
        })
    };
    json!({ "services": (0..count).map(service).collect::<Vec<_>>() })
}

//! The operators' command changes lists exactly as it says.

#[path = "support/ctl.rs"]
mod ctl;

use ctl::{Platform, file, free_address, sample};
use serde_json::Value;

/// Starts a platform that holds the sample lists.
fn sampled() -> Platform {
    let platform = Platform::start();
    for list in ["services", "allowances", "plans"] {
        let (code, text) = platform.ctl(&[list, "apply", &sample(&format!("{list}.toml"))]);
        assert_eq!(code, 0, "{text}");
    }
    platform
}

fn json(platform: &Platform, args: &[&str]) -> Value {
    let (code, text) = platform.ctl(&[args, &["--json"]].concat());
    assert_eq!(code, 0, "{text}");
    serde_json::from_str(&text).expect("JSON")
}

fn set<'a>(customer: &'a str, plan: &'a str, prefix: &'a str) -> [&'a str; 7] {
    ["plans", "set", customer, "--plan", plan, "--prefix", prefix]
}

#[test]
fn set_and_show() {
    let platform = sampled();
    let (code, text) = platform.ctl(&set("kiosco-peten", "tienda", "10.1.128.0/24"));
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("+ customers.kiosco-peten.plan = \"tienda\""), "{text}");
    let args = ["allowances", "set", "kiosco", "estacion"];
    let limits = ["--max-open-flows", "9", "--max-new-flows-per-s", "200"];
    let (code, text) = platform.ctl(&[args, limits].concat());
    assert_eq!(code, 0, "{text}");
    let line = "~ plans.kiosco.services.estacion.max_open_flows: 4000 -> 9";
    assert!(text.contains(line), "{text}");
    let shown = json(&platform, &["plans", "show"]);
    assert_eq!(shown["version"], 2);
    assert_eq!(shown["content"]["customers"].as_array().expect("customers").len(), 3);
    let (_, text) = platform.ctl(&["plans", "show"]);
    let (code, again) = platform.ctl(&["plans", "apply", &file("shown.toml", &text)]);
    assert_eq!(code, 0, "{again}");
    assert!(again.contains("nothing to change"), "{again}");
    let history = json(&platform, &["plans", "history"]);
    let versions: Vec<_> =
        history.as_array().expect("a history").iter().map(|o| &o["version"]).collect();
    assert_eq!(versions, [1, 2]);
}

/// Findings come all at once, and nothing is written.
#[test]
fn refused_whole() {
    let platform = sampled();
    let text = r#"
        customers = [
            { name = "a", plan = "kiosco", prefixes = ["10.0.0.0/8"] },
            { name = "b", plan = "gone", prefixes = ["10.9.0.0/33"] },
            { name = "b", plan = "", prefixes = ["10.9.0.0/16"] },
        ]
    "#;
    let (code, text) = platform.ctl(&["plans", "apply", &file("invalid.toml", text)]);
    assert_eq!(code, 2, "{text}");
    for place in ["customers.b.plan", "customers.b.prefixes[0]", "customers.b:", "overlaps"] {
        assert!(text.contains(place), "{text}");
    }
    let (code, text) = platform.ctl(&set("c", "gone", "10.200.0.0/24"));
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("customers.c.plan: there is no plan \"gone\""), "{text}");
    let (code, text) = platform.ctl(&["plans", "apply", &file("broken.toml", "customers = 3 4")]);
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("line 1, column"), "{text}");
    assert_eq!(platform.ctl(&["plans", "sow"]).0, 2);
    assert_eq!(json(&platform, &["plans", "show"])["version"], 1);
}

/// An operator whose view is old is shown both sides.
#[test]
fn both_sides() {
    let platform = sampled();
    assert_eq!(platform.ctl(&set("theirs", "tienda", "10.1.128.0/24")).0, 0);
    let ours = set("ours", "tienda", "10.1.129.0/24");
    let (code, text) = platform.ctl(&[&ours[..], &["--if-version", "1"]].concat());
    assert_eq!(code, 3, "{text}");
    assert!(text.contains("this change:\n  + customers.ours.name"), "{text}");
    assert!(text.contains("the other changes:\n  + customers.theirs.name"), "{text}");
    assert_eq!(json(&platform, &["plans", "show"])["version"], 2);
}

/// Of operators at the same time each is told truly whether the change took effect.
#[test]
fn operators_at_once() {
    let platform = sampled();
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let operators = (0..6).map(|i| {
            let platform = &platform;
            scope.spawn(move || {
                let (name, prefix) = (format!("operator-{i}"), format!("10.1.{}.0/24", 128 + i));
                let (code, text) = platform.ctl(&set(&name, "tienda", &prefix));
                assert!(code == 0 || code == 3, "{text}");
                (name, code == 0)
            })
        });
        let operators: Vec<_> = operators.collect();
        operators.into_iter().map(|operator| operator.join().expect("an outcome")).collect()
    });
    let shown = json(&platform, &["plans", "show"]);
    let applied = outcomes.iter().filter(|(_, applied)| *applied).count();
    assert!(applied >= 1);
    assert_eq!(shown["version"], 1 + applied);
    for (name, applied) in outcomes {
        let text = shown["content"].to_string();
        assert_eq!(text.contains(&format!("\"{name}\"")), applied, "{name}");
    }
}

#[test]
fn lost_answer() {
    let platform = sampled();
    platform.fault("lose-answer");
    let (code, text) = platform.ctl(&set("kiosco-peten", "tienda", "10.1.128.0/24"));
    assert_eq!(code, 0, "{text}");
    platform.fault("none");
    let shown = json(&platform, &["plans", "show"]);
    assert_eq!(shown["version"], 2);
    assert!(shown["content"].to_string().contains("kiosco-peten"));
}

#[test]
fn not_reached() {
    let nobody = free_address().to_string();
    let args = ["plans", "show", "--platform", &nobody];
    assert_eq!(ctl::ctl(&args).0, 4);
    let platform = sampled();
    platform.fault("down");
    let change = set("kiosco-peten", "tienda", "10.1.128.0/24");
    let (code, text) = platform.ctl(&[&change[..], &["--timeout-s", "1"]].concat());
    assert_eq!(code, 4, "{text}");
    platform.fault("none");
    assert_eq!(json(&platform, &["plans", "show"])["version"], 1);
}

#[test]
fn targets_drained() {
    let platform = sampled();
    let state = |id: u64| {
        let rows = json(&platform, &["targets", "list"]);
        let row = rows.as_array().expect("rows").iter().find(|row| row["id"] == id).cloned();
        row.expect("a target")["state"].clone()
    };
    assert_eq!(platform.ctl(&["targets", "drain", "3"]).0, 0);
    assert_eq!((state(3), state(4)), ("draining".into(), "serving".into()));
    assert_eq!(platform.ctl(&["targets", "return", "3"]).0, 0);
    assert_eq!(state(3), "serving");
    let (code, text) = platform.ctl(&["targets", "drain", "99"]);
    assert_eq!(code, 2, "{text}");
    let table = platform.ctl(&["targets", "list"]).1;
    assert!(table.starts_with("id  service   address"), "{table}");
}

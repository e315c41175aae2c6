//! `limpetctl` changes lists, and its exit code and output agree with what was changed.

#[path = "support/ctl.rs"]
mod ctl;

use ctl::{Platform, free_address, sample_path, write_file};
use serde_json::Value;

/// Starts a platform with the sample lists.
fn platform_with_samples() -> Platform {
    let platform = Platform::start();
    for list in ["services", "allowances", "plans"] {
        let (code, text) = platform.ctl(&[list, "apply", &sample_path(&format!("{list}.toml"))]);
        assert_eq!(code, 0, "{text}");
    }
    platform
}

fn run_json(platform: &Platform, args: &[&str]) -> Value {
    let (code, text) = platform.ctl(&[args, &["--json"]].concat());
    assert_eq!(code, 0, "{text}");
    serde_json::from_str(&text).expect("JSON")
}

fn set_customer<'a>(customer: &'a str, plan: &'a str, prefix: &'a str) -> [&'a str; 7] {
    ["plans", "set", customer, "--plan", plan, "--prefix", prefix]
}

#[test]
fn set_and_show() {
    let platform = platform_with_samples();
    let (code, text) = platform.ctl(&set_customer("kiosco-peten", "tienda", "10.1.128.0/24"));
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("+ customers.kiosco-peten.plan = \"tienda\""), "{text}");
    let args = ["allowances", "set", "kiosco", "estacion"];
    let limits = ["--max-open-flows", "9", "--max-new-flows-per-s", "200"];
    let (code, text) = platform.ctl(&[args, limits].concat());
    assert_eq!(code, 0, "{text}");
    let line = "~ plans.kiosco.services.estacion.max_open_flows: 4000 -> 9";
    assert!(text.contains(line), "{text}");
    let shown = run_json(&platform, &["plans", "show"]);
    assert_eq!(shown["version"], 2);
    assert_eq!(shown["content"]["customers"].as_array().expect("customers").len(), 3);
    let (_, text) = platform.ctl(&["plans", "show"]);
    let (code, output) = platform.ctl(&["plans", "apply", &write_file("shown.toml", &text)]);
    assert_eq!(code, 0, "{output}");
    assert!(output.contains("nothing to change"), "{output}");
    let history = run_json(&platform, &["plans", "history"]);
    let versions: Vec<_> =
        history.as_array().expect("a history").iter().map(|o| &o["version"]).collect();
    assert_eq!(versions, [1, 2]);
}

/// All findings are reported together, and nothing is written.
#[test]
fn invalid_list_refused() {
    let platform = platform_with_samples();
    let text = r#"
        customers = [
            { name = "a", plan = "kiosco", prefixes = ["10.0.0.0/8"] },
            { name = "b", plan = "gone", prefixes = ["10.9.0.0/33"] },
            { name = "b", plan = "", prefixes = ["10.9.0.0/16"] },
        ]
    "#;
    let (code, text) = platform.ctl(&["plans", "apply", &write_file("invalid.toml", text)]);
    assert_eq!(code, 2, "{text}");
    for expected in ["customers.b.plan", "customers.b.prefixes[0]", "customers.b:", "overlaps"] {
        assert!(text.contains(expected), "{text}");
    }
    let (code, text) = platform.ctl(&set_customer("c", "gone", "10.200.0.0/24"));
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("customers.c.plan: there is no plan \"gone\""), "{text}");
    let (code, text) =
        platform.ctl(&["plans", "apply", &write_file("broken.toml", "customers = 3 4")]);
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("line 1, column"), "{text}");
    assert_eq!(platform.ctl(&["plans", "sow"]).0, 2);
    assert_eq!(run_json(&platform, &["plans", "show"])["version"], 1);
}

/// A change based on an old version is refused and shows the diff lines of both operators.
#[test]
fn version_conflict() {
    let platform = platform_with_samples();
    assert_eq!(platform.ctl(&set_customer("theirs", "tienda", "10.1.128.0/24")).0, 0);
    let ours = set_customer("ours", "tienda", "10.1.129.0/24");
    let (code, text) = platform.ctl(&[&ours[..], &["--if-version", "1"]].concat());
    assert_eq!(code, 3, "{text}");
    assert!(text.contains("this change:\n  + customers.ours.name"), "{text}");
    assert!(text.contains("the other changes:\n  + customers.theirs.name"), "{text}");
    assert_eq!(run_json(&platform, &["plans", "show"])["version"], 2);
}

/// The exit code of each concurrent operator agrees with whether the change took effect.
#[test]
fn concurrent_operators() {
    let platform = platform_with_samples();
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let operators = (0..6).map(|i| {
            let platform = &platform;
            scope.spawn(move || {
                let (name, prefix) = (format!("operator-{i}"), format!("10.1.{}.0/24", 128 + i));
                let (code, text) = platform.ctl(&set_customer(&name, "tienda", &prefix));
                assert!(code == 0 || code == 3, "{text}");
                (name, code == 0)
            })
        });
        let operators: Vec<_> = operators.collect();
        operators.into_iter().map(|operator| operator.join().expect("an outcome")).collect()
    });
    let shown = run_json(&platform, &["plans", "show"]);
    let applied = outcomes.iter().filter(|(_, applied)| *applied).count();
    assert!(applied >= 1);
    assert_eq!(shown["version"], 1 + applied);
    for (name, applied) in outcomes {
        let text = shown["content"].to_string();
        assert_eq!(text.contains(&format!("\"{name}\"")), applied, "{name}");
    }
}

#[test]
fn lost_response() {
    let platform = platform_with_samples();
    platform.set_fault("lose-answer");
    let (code, text) = platform.ctl(&set_customer("kiosco-peten", "tienda", "10.1.128.0/24"));
    assert_eq!(code, 0, "{text}");
    platform.set_fault("none");
    let shown = run_json(&platform, &["plans", "show"]);
    assert_eq!(shown["version"], 2);
    assert!(shown["content"].to_string().contains("kiosco-peten"));
}

#[test]
fn unreachable_platform() {
    let unused_address = free_address().to_string();
    let args = ["plans", "show", "--platform", &unused_address];
    assert_eq!(ctl::ctl(&args).0, 4);
    let platform = platform_with_samples();
    platform.set_fault("down");
    let change = set_customer("kiosco-peten", "tienda", "10.1.128.0/24");
    let (code, text) = platform.ctl(&[&change[..], &["--timeout-s", "1"]].concat());
    assert_eq!(code, 4, "{text}");
    platform.set_fault("none");
    assert_eq!(run_json(&platform, &["plans", "show"])["version"], 1);
}

#[test]
fn drain_and_return() {
    let platform = platform_with_samples();
    let state = |id: u64| {
        let rows = run_json(&platform, &["targets", "list"]);
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

//! Settings are checked whole: all findings come at once, each with its place.

use limpetdeck::services::{RawServices, Services};
use limpetdeck::settings;

fn places(text: &str) -> Vec<String> {
    let findings = settings::parse(text).expect_err("findings");
    findings.list.into_iter().map(|finding| finding.place).collect()
}

#[test]
fn samples_pass() {
    for deployment in ["recarga", "serrana"] {
        let entry = std::fs::read_to_string(format!("sample_configs/{deployment}/entry.toml"));
        settings::parse(&entry.expect("a sample")).expect("a valid sample");
        let services =
            std::fs::read_to_string(format!("sample_configs/{deployment}/services.toml"));
        let raw: RawServices = toml::from_str(&services.expect("a sample")).expect("TOML");
        let services = Services::try_from(raw).expect("a valid sample");
        let servers: Vec<_> = services.list().iter().map(|s| s.targets.len()).collect();
        assert_eq!(servers, [14, 4], "{deployment}");
    }
}

#[test]
fn all_reported() {
    let text = r#"
        instance = 0
        failure_domain = "GT"
        packet_address = "127.0.0.1:7101"
        peer_address = "127.0.0.1:7101"
        metrics_address = "localhost:1"
        fabric_address = "127.0.0.1:0"
        platform_address = "127.0.0.1:7010"
        peer_key = "abc"
        seeds = ["127.0.0.1:7202", "x"]
        control_budget = 1
        log_level = "loud"
    "#;
    let expected = [
        "instance",
        "failure_domain",
        "metrics_address",
        "fabric_address",
        "seeds[1]",
        "peer_key",
        "control_budget",
        "log_level",
        "peer_address",
    ];
    assert_eq!(places(text), expected);
}

#[test]
fn unknown_key() {
    // The second one says which key is missing: the first does not hide it.
    assert_eq!(places("instance = 1\ncolour = 2\n"), ["line 2, column 1", "line 1, column 1"]);
}

#[test]
fn shared_address() {
    let text = r#"
        [[services]]
        id = 1
        name = "a"
        address = "10.0.0.1:1"
        weighs = "imbalance"
        idle_timeout_s = 60
        targets = [
            { id = 1, address = "10.0.1.1:1", failure_domain = "x", slots = 1 },
            { id = 1, address = "10.0.1.1:1", failure_domain = "x", slots = 0 },
        ]
    "#;
    let raw: RawServices = toml::from_str(text).expect("TOML");
    let findings = Services::try_from(raw).expect_err("findings").to_string();
    let expected = "services.1.targets.1.slots: is 0\n\
        services.1.targets.1: the number stands twice\n\
        services.1.targets.1.address: the address stands twice";
    assert_eq!(findings, expected);
}

/// A key that is not known does not hide what else is wrong.
#[test]
fn unknown_among_others() {
    let text = std::fs::read_to_string("sample_configs/recarga/entry.toml").expect("a sample");
    let odd = format!("colour = \"blue\"\n{text}").replace("instance = ", "instance = -");
    let findings = limpetdeck::settings::parse(&odd).expect_err("two findings").to_string();
    assert!(findings.contains("line 1, column 1: unknown field `colour`"), "{findings}");
    assert!(findings.contains("instance: "), "{findings}");
}

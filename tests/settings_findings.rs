//! Validation of settings and services reports all findings together, each with its location.

use limpetdeck::services::{RawServices, Services};
use limpetdeck::settings;

fn locations(text: &str) -> Vec<String> {
    let findings = settings::parse(text).expect_err("findings");
    findings.list.into_iter().map(|finding| finding.location).collect()
}

#[test]
fn valid_samples() {
    for deployment in ["recarga", "serrana"] {
        let entry = std::fs::read_to_string(format!("sample_configs/{deployment}/entry.toml"));
        settings::parse(&entry.expect("a sample")).expect("a valid sample");
        let services =
            std::fs::read_to_string(format!("sample_configs/{deployment}/services.toml"));
        let raw: RawServices = toml::from_str(&services.expect("a sample")).expect("TOML");
        let services = Services::try_from(raw).expect("a valid sample");
        let target_counts: Vec<_> = services.list().iter().map(|s| s.targets.len()).collect();
        assert_eq!(target_counts, [14, 4], "{deployment}");
    }
}

#[test]
fn all_findings() {
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
    assert_eq!(locations(text), expected);
}

/// Each invalid key is reported with its place, and valid ones are accepted besides the one in use.
#[test]
fn accepted_keys() {
    let settings = |keys: &str| {
        format!(
            r#"
            instance = 1
            failure_domain = "a"
            packet_address = "127.0.0.1:7101"
            peer_address = "127.0.0.1:7102"
            metrics_address = "127.0.0.1:7103"
            fabric_address = "127.0.0.1:7104"
            platform_address = "127.0.0.1:7010"
            peer_key = "{}"
            accepted_peer_keys = [{keys}]
            "#,
            "0a".repeat(32)
        )
    };
    let valid = format!("{:?}", "0b".repeat(32));
    assert_eq!(locations(&settings(&format!("{valid}, \"abc\""))), ["accepted_peer_keys[1]"]);
    let checked = settings::parse(&settings(&valid)).expect("valid settings");
    let keys: Vec<_> = checked.peer_keys.all().copied().collect();
    assert_eq!(keys, [[0x0a; 32], [0x0b; 32]]);
}

#[test]
fn unknown_key() {
    // The finding about the unknown key must not hide the one about the missing keys.
    assert_eq!(locations("instance = 1\ncolour = 2\n"), ["line 2, column 1", "line 1, column 1"]);
}

#[test]
fn duplicate_target() {
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
        services.1.targets.1: duplicate ID\n\
        services.1.targets.1.address: duplicate address";
    assert_eq!(findings, expected);
}

/// An unknown key must not hide an invalid value of another key.
#[test]
fn unknown_key_and_others() {
    let text = std::fs::read_to_string("sample_configs/recarga/entry.toml").expect("a sample");
    let invalid = format!("colour = \"blue\"\n{text}").replace("instance = ", "instance = -");
    let findings = limpetdeck::settings::parse(&invalid).expect_err("two findings").to_string();
    assert!(findings.contains("line 1, column 1: unknown field `colour`"), "{findings}");
    assert!(findings.contains("instance: "), "{findings}");
}

//! The account of a day's lost credit.

use limpetdeck_lab::account::account;
use limpetdeck_platform::emulator::DayReport;
use serde_json::json;

fn group(name: &str, in_time: u64, late: u64, credit: f64) -> serde_json::Value {
    json!({"name": name, "n": in_time + late, "in_aim": in_time, "late": late, "refused": 0,
        "failed": 0, "worth": credit, "p50_ms": 1.0})
}

#[test]
fn worst_window_first() {
    let text = json!({
        "windows": [group("0", 100, 0, 1.0), group("2", 90, 10, 0.95), group("4", 20, 80, 0.6)],
        "classes": [group("feed", 210, 90, 0.85)],
        "events": [
            {"at_s": 1.0, "to_s": 9.0, "kind": "roll_term", "planned": true},
            {"at_s": 4.5, "to_s": 5.6, "kind": "herd_kill (power)", "planned": false},
            {"at_s": 6.0, "to_s": 7.0, "kind": "burst", "planned": false}],
        "ends": {"200": 300}, "G": 0.9
    });
    let report = DayReport::parse(&text.to_string()).expect("a report");
    let account = account(&report);
    let lines: Vec<_> = account.lines().collect();
    assert_eq!(lines[0], "lost=45 requests' credit");
    assert!(lines[1].starts_with("window=4s share=0.89 requests=100"), "{account}");
    assert!(lines[1].ends_with("beside=\"herd_kill (power), roll_term\""), "{account}");
    assert!(lines[2].starts_with("window=2s share=0.11"), "{account}");
    assert!(lines[3].starts_with("kind=feed"), "{account}");
    assert_eq!(lines[4], "attempts=\"200: 300\"");
}

#[test]
fn other_text() {
    assert!(DayReport::parse("{}").is_err());
}

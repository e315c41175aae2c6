//! Lists and watch events with an odd entry among those of targets: the others have to hold.

use std::collections::HashSet;
use std::net::SocketAddr;

use limpetdeck::platform::{Changes, PlatformError};
use limpetdeck::steering::{RawTarget, TARGETS_PREFIX};
use limpetdeck_platform::ObjectStore;
use limpetdeck_platform::emulator::{events_body, named_object, page_body, target_entry};
use serde_json::value::RawValue;
use serde_json::{Value, json};

use super::{Edits, apply_edits, target};

/// Keys of the targets beside the odd entry, which has the key of the first or one of its own.
const KEYS: [u64; 3] = [0x7f3a_91c2, 0x0f3a_91c3, 0x11];
const OWN_KEY: u64 = 0xabcd_0123;
const PREFIXES: [&str; 6] = ["zz-", "i-i-", "I-", "i-0", "i-+", ""];
/// Stands for an odd value until the entry is text: not all odd values can be built otherwise.
const MARK: &str = "(odd)";
const DEPTH: usize = 3_000;

/// The edits choose the name, the fields that are odd and their values; the last ones change bytes.
pub(super) fn odd_entries(edits: Edits) -> bool {
    let odd = odd_entry(&edits);
    let known = KEYS
        .map(|key| entry(&format!("i-{key:08x}"), &RawTarget { key, ..target() }, 5).to_string());
    let [a, b, c] = &known;
    let store = ObjectStore::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    let list = |items: &[&str]| page(&store, items);
    let event = |deleted| {
        let body = events_body(&[(&odd, deleted), (c, false)], 12);
        store.read_events(TARGETS_PREFIX, body.as_bytes())
    };
    let holds = |changes: &Result<Changes, PlatformError>| changes.as_ref().is_ok_and(all_hold);
    // It appears beside known targets, leaves and comes back, and is there at a start.
    holds(&list(&[a, b, c]))
        && keeps(&event(false))
        && holds(&list(&[&odd, a, b, c]))
        && keeps(&event(true))
        && holds(&page(&ObjectStore::new(SocketAddr::from(([127, 0, 0, 1], 1))), &[a, &odd, b, c]))
}

fn page(store: &ObjectStore, items: &[&str]) -> Result<Changes, PlatformError> {
    let services = HashSet::from([target().service]);
    store.read_list(TARGETS_PREFIX, page_body(items, 9).as_bytes(), &services)
}

fn is_held(changes: &Changes, key: u64) -> bool {
    let name = format!("{TARGETS_PREFIX}{key:x}");
    let mut named = changes.objects.iter().filter(|object| object.name == name);
    let held = |value: &Value| value["service"] == json!(target().service);
    named.next().is_some_and(|object| held(&object.value)) && named.next().is_none()
}

fn all_hold(changes: &Changes) -> bool {
    KEYS.iter().all(|&key| is_held(changes, key))
}

/// Returns whether the event of the third target is there and the others have none, or a list has to
/// tell.
fn keeps(changes: &Result<Changes, PlatformError>) -> bool {
    let Ok(changes) = changes else { return *changes == Err(PlatformError::HistoryGone) };
    let has = |key: u64| {
        changes.objects.iter().any(|object| object.name == format!("{TARGETS_PREFIX}{key:x}"))
    };
    is_held(changes, KEYS[2]) && !has(KEYS[0]) && !has(KEYS[1])
}

fn entry(name: &str, target: &RawTarget, revision: u64) -> Value {
    named_object(name, revision, &target_entry(target, 1))
}

fn odd_values() -> Vec<String> {
    let mut values =
        ["null", "-1", "1.5", "1e400", "{}", "[]", "\"\"", "true", "18446744073709551615"]
            .map(str::to_owned)
            .to_vec();
    values.push("9".repeat(300));
    values.push(format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH)));
    values.push(r#""\ud800""#.to_owned());
    values.push(r#""10.0.0.1:0""#.to_owned());
    values.push(r#""10.0.0.1:70000""#.to_owned());
    values
}

/// Returns the pointers to all fields of an object, and to those within them.
fn places(object: &Value) -> Vec<String> {
    let fields = |value: &Value, at: &str| -> Vec<String> {
        let names = value.as_object().into_iter().flat_map(|fields| fields.keys());
        names.map(|name| format!("{at}/{name}")).collect()
    };
    let outer = fields(object, "");
    let inner = outer.iter().flat_map(|at| fields(&object[&at[1..]], at));
    inner.chain(outer.iter().cloned()).collect()
}

fn odd_entry(edits: &Edits) -> String {
    let (position, byte, kind) = edits.first().copied().unwrap_or_default();
    let prefix = PREFIXES[usize::from(byte) % PREFIXES.len()];
    let key = if kind % 2 == 0 { KEYS[0] } else { OWN_KEY };
    // Readable entries of others name a service of their own.
    let other = RawTarget { key, service: "of another writer".to_owned(), ..target() };
    let mut value = entry(&format!("{prefix}{key:08x}"), &other, 10);
    let values = odd_values();
    let odd = &values[usize::from(byte) % values.len()];
    let mut places = places(&value);
    places.push(String::new());
    let place = &places[usize::from(position) % places.len()];
    if let Some(field) = value.pointer_mut(place).filter(|_| !place.is_empty()) {
        *field = json!(MARK);
    }
    let text = value.to_string().replace(&format!("\"{MARK}\""), odd);
    let rest = edits.get(1..).unwrap_or_default().to_vec();
    let edited =
        String::from_utf8_lossy(&apply_edits(text.clone().into_bytes(), &rest)).into_owned();
    // The store holds only what is JSON.
    if RawValue::from_string(edited.clone()).is_ok() { edited } else { text }
}

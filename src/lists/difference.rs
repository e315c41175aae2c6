//! The difference between two states of an object, one line for each value that differs.

use std::collections::BTreeMap;

use serde_json::Value;

/// Keys that tell the members of an array apart.
const MEMBER_KEYS: [&str; 3] = ["id", "name", "service"];

/// Returns what has to change for one value to become the other.
pub fn difference(from: &Value, to: &Value) -> Vec<String> {
    let (before, after) = (flatten(from), flatten(to));
    let gone = before.iter().filter(|(place, _)| !after.contains_key(*place));
    let gone = gone.map(|(place, value)| (place, format!("- {place} = {value}")));
    let made = after.iter().filter_map(|(place, value)| match before.get(place) {
        Some(old) if old == value => None,
        Some(old) => Some((place, format!("~ {place}: {old} -> {value}"))),
        None => Some((place, format!("+ {place} = {value}"))),
    });
    let mut lines: Vec<_> = gone.chain(made).collect();
    lines.sort();
    lines.into_iter().map(|(_, line)| line).collect()
}

fn flatten(value: &Value) -> BTreeMap<String, String> {
    let mut flat = BTreeMap::new();
    walk("", value, &mut flat);
    flat
}

fn walk(place: &str, value: &Value, flat: &mut BTreeMap<String, String>) {
    let below =
        |key: &str| if place.is_empty() { key.to_owned() } else { format!("{place}.{key}") };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| walk(&below(key), value, flat)),
        Value::Array(members) if members.iter().all(Value::is_object) => {
            for (i, member) in members.iter().enumerate() {
                let key = member_key(member).unwrap_or_else(|| i.to_string());
                walk(&below(&key), member, flat);
            }
        }
        Value::Null => {}
        other => {
            flat.insert(place.to_owned(), other.to_string());
        }
    }
}

fn member_key(member: &Value) -> Option<String> {
    let key = MEMBER_KEYS.iter().find_map(|key| member.get(key))?;
    Some(key.as_str().map_or_else(|| key.to_string(), str::to_owned))
}

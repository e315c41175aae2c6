//! Line diff of two JSON values, one line for each leaf that differs.

use std::collections::BTreeMap;

use serde_json::Value;

/// Keys that identify the members of an array, the first that is present.
const MEMBER_KEYS: [&str; 3] = ["id", "name", "service"];

/// Returns the lines, in the order of their paths: `+` for an added leaf, `-` for a removed
/// one, `~` for a changed one.
pub fn diff_lines(from: &Value, to: &Value) -> Vec<String> {
    let (before, after) = (flatten(from), flatten(to));
    let removed = before.iter().filter(|(path, _)| !after.contains_key(*path));
    let removed = removed.map(|(path, value)| (path, format!("- {path} = {value}")));
    let added_or_changed = after.iter().filter_map(|(path, value)| match before.get(path) {
        Some(old) if old == value => None,
        Some(old) => Some((path, format!("~ {path}: {old} -> {value}"))),
        None => Some((path, format!("+ {path} = {value}"))),
    });
    let mut lines: Vec<_> = removed.chain(added_or_changed).collect();
    lines.sort();
    lines.into_iter().map(|(_, line)| line).collect()
}

fn flatten(value: &Value) -> BTreeMap<String, String> {
    let mut flat = BTreeMap::new();
    walk("", value, &mut flat);
    flat
}

fn walk(path: &str, value: &Value, flat: &mut BTreeMap<String, String>) {
    let child = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| walk(&child(key), value, flat)),
        Value::Array(members) if members.iter().all(Value::is_object) => {
            for (i, member) in members.iter().enumerate() {
                let key = member_key(member).unwrap_or_else(|| i.to_string());
                walk(&child(&key), member, flat);
            }
        }
        Value::Null => {}
        other => {
            flat.insert(path.to_owned(), other.to_string());
        }
    }
}

fn member_key(member: &Value) -> Option<String> {
    let key = MEMBER_KEYS.iter().find_map(|key| member.get(key))?;
    Some(key.as_str().map_or_else(|| key.to_string(), str::to_owned))
}

use serde::Serialize;
use serde_json::Value;

/// Converts a value to the JSON of an object; logs an error and returns `None` if it cannot be
/// serialized.
pub fn object_value(value: &impl Serialize) -> Option<Value> {
    match serde_json::to_value(value) {
        Ok(value) => Some(value),
        Err(e) => {
            log::error!(problem = e.to_string().as_str(); "object_unwritable");
            None
        }
    }
}

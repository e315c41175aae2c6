use serde::Serialize;
use serde_json::Value;

/// Returns a value as an object holds it; one that cannot be written is reported.
pub fn object_value(value: &impl Serialize) -> Option<Value> {
    match serde_json::to_value(value) {
        Ok(value) => Some(value),
        Err(e) => {
            log::error!(problem = e.to_string().as_str(); "object_unwritable");
            None
        }
    }
}

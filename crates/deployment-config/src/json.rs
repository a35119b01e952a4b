//! Converts nested JSON into the flat table from which settings are read.

use crate::error::SettingsError;
use crate::key_values::KeyValues;
use serde_json::Value;

/// Maximum depth of JSON objects and arrays. No setting is nested deeper; bounds the recursion on untrusted input.
pub(crate) const MAX_DEPTH: usize = 8;

/// Flattens a settings object. The keys of nested objects are joined by dots. A list of objects becomes its length
/// under `.count` and its items under their indexes. The items of any other list are joined by commas. `null` counts
/// as absent.
///
/// # Errors
/// Returns [`SettingsError::TooDeep`] if values are nested deeper than [`MAX_DEPTH`].
pub(crate) fn flatten(settings: &Value) -> Result<KeyValues, SettingsError> {
    let mut key_values = KeyValues::default();
    flatten_into(&mut key_values, settings, String::new(), 0)?;
    Ok(key_values)
}

fn flatten_into(
    key_values: &mut KeyValues,
    value: &Value,
    path: String,
    depth: usize,
) -> Result<(), SettingsError> {
    if depth > MAX_DEPTH {
        return Err(SettingsError::TooDeep { path });
    }
    match value {
        Value::Null => {}
        Value::Bool(flag) => key_values.insert(path, flag.to_string()),
        Value::Number(number) => key_values.insert(path, number.to_string()),
        Value::String(text) => key_values.insert(path, text.clone()),
        Value::Object(members) => {
            for (key, member) in members {
                flatten_into(key_values, member, join(&path, key), depth + 1)?;
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            key_values.insert(join(&path, "count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten_into(key_values, item, join(&path, &index.to_string()), depth + 1)?;
            }
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(plain_text).collect();
            key_values.insert(path, texts.join(","));
        }
    }
    Ok(())
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

/// Returns a string without its quotes, and any other value as JSON.
fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), String::from)
}

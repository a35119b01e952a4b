//! Nested JSON turned into the flat table that the settings are read from.

use crate::error::SettingsError;
use crate::key_values::KeyValues;
use serde_json::Value;

/// No setting lies deeper than this; bounds the recursion on foreign input.
const MAX_DEPTH: usize = 8;

/// Flattens a settings object. Objects join their keys by dots; lists of objects give their length under `.count` and
/// their items by index; lists of plain values are joined by commas; `null` counts as absent.
///
/// # Errors
/// [`SettingsError::TooDeep`].
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

/// A string without its quotes, anything else as JSON writes it.
fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), String::from)
}

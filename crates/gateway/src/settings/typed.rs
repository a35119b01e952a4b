//! Converts the value of a script to checked, typed settings. Complaints name the path and the value.

use super::SettingsError;
use garde::Validate;
use serde_json::Value;

/// Maximum length of a value quoted in a complaint, in bytes.
const MAX_QUOTED_BYTES: usize = 60;
const ELLIPSIS: &str = "...";

/// Converts a script's value to a checked type. `name` is the script's variable, which starts the paths in complaints.
///
/// # Errors
/// [`SettingsError::Values`] with the first value of a wrong type, or with every value out of range.
pub fn typed<T>(file: &str, name: &str, value: Value) -> Result<T, SettingsError>
where
    T: serde::de::DeserializeOwned + Validate<Context = ()>,
{
    let error = |complaints| SettingsError::Values { file: file.into(), complaints };
    let typed: T = serde_path_to_error::deserialize(&value)
        .map_err(|type_error| error(vec![type_complaint(name, &value, &type_error)]))?;
    typed.validate().map_err(|report| {
        let complaints = report.iter().map(|(path, cause)| range_complaint(name, &value, path, cause));
        error(complaints.collect())
    })?;
    Ok(typed)
}

fn type_complaint(
    name: &str,
    value: &Value,
    error: &serde_path_to_error::Error<serde_json::Error>,
) -> String {
    let found = value_at_segments(value, error.path()).map(found_suffix).unwrap_or_default();
    format!("{name}.{}: {}{found}", error.path(), error.inner())
}

fn range_complaint(name: &str, value: &Value, path: &garde::Path, cause: &garde::Error) -> String {
    let path = path.to_string();
    let is_secret = path.ends_with(".key");
    let found = value_at_path(value, &path).filter(|_| !is_secret).map(found_suffix);
    format!("{name}.{path}: {cause}{}", found.unwrap_or_default())
}

fn found_suffix(value: &Value) -> String {
    format!(", found {}", quoted(value))
}

fn value_at_segments<'v>(value: &'v Value, path: &serde_path_to_error::Path) -> Option<&'v Value> {
    use serde_path_to_error::Segment;
    path.iter().try_fold(value, |value, segment| match segment {
        Segment::Map { key } => value.get(key),
        Segment::Seq { index } => value.get(index),
        _ => None,
    })
}

/// Returns the value at a path such as `plans[2].rate`.
fn value_at_path<'v>(value: &'v Value, path: &str) -> Option<&'v Value> {
    let mut parts = path.split(['.', '[', ']']).filter(|part| !part.is_empty());
    parts.try_fold(value, |value, part| match part.parse::<usize>() {
        Ok(index) if value.is_array() => value.get(index),
        _ => value.get(part),
    })
}

fn quoted(value: &Value) -> String {
    let text = value.to_string();
    if text.len() <= MAX_QUOTED_BYTES {
        return text;
    }
    let max_cut = MAX_QUOTED_BYTES - ELLIPSIS.len();
    let cut = (0..=max_cut).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
    format!("{}{ELLIPSIS}", &text[..cut])
}

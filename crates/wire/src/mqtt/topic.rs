//! Topic names and filters (MQTT 5.0, section 4.7).

/// Returns whether `text` is a valid topic name: not empty and without wildcards [MQTT-4.7.0-1, MQTT-4.7.3-1,
/// MQTT-3.3.2-2].
pub fn is_name(text: &str) -> bool {
    !text.is_empty() && !text.contains(['+', '#'])
}

/// Returns whether `text` is a valid topic filter [MQTT-4.7.0-1, MQTT-4.7.1-1, MQTT-4.7.1-2, MQTT-4.7.3-1].
pub fn is_filter(text: &str) -> bool {
    let mut levels = text.split('/').peekable();
    let mut valid = !text.is_empty();
    while let Some(level) = levels.next() {
        let is_last = levels.peek().is_none();
        valid &= match level {
            "#" => is_last,
            "+" => true,
            other => !other.contains(['+', '#']),
        };
    }
    valid
}

/// Returns whether a filter matches a topic name. A wildcard at the beginning of a filter does not match names that
/// begin with `$` [MQTT-4.7.2-1].
pub fn covers(filter: &str, name: &str) -> bool {
    if name.starts_with('$') && filter.starts_with(['+', '#']) {
        return false;
    }
    let mut filter_levels = filter.split('/');
    let mut name_levels = name.split('/');
    loop {
        match (filter_levels.next(), name_levels.next()) {
            (Some("#"), _) => return true,
            (Some("+"), Some(_)) => {}
            (Some(filter_level), Some(name_level)) if filter_level == name_level => {}
            (None, None) => return true,
            _ => return false,
        }
    }
}

#[cfg(test)]
mod tests;

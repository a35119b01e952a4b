//! Topic names and filters (MQTT 5, section 4.7).

/// Whether a text can be a topic name: not empty, without wildcards [MQTT-4.7.0-1, MQTT-3.3.2-2].
pub fn is_name(text: &str) -> bool {
    !text.is_empty() && !text.contains(['+', '#'])
}

/// Whether a text can be a topic filter [MQTT-4.7.0-1, MQTT-4.7.1-1, MQTT-4.7.1-2].
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

/// Whether a name is covered by a filter. Names that begin with `$` are not covered by a wildcard at the beginning
/// [MQTT-4.7.2-1].
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

//! Topic names and filters (MQTT 5, section 4.7).

/// Whether a text can be a topic name: not empty, without wildcards [MQTT-4.7.0-1, MQTT-3.3.2-2].
pub fn is_name(text: &str) -> bool {
    !text.is_empty() && !text.contains(['+', '#'])
}

/// Whether a text can be a topic filter [MQTT-4.7.0-1, MQTT-4.7.1-1, MQTT-4.7.1-2].
pub fn is_filter(text: &str) -> bool {
    let mut levels = text.split('/').peekable();
    let mut good = !text.is_empty();
    while let Some(level) = levels.next() {
        let last = levels.peek().is_none();
        good &= match level {
            "#" => last,
            "+" => true,
            other => !other.contains(['+', '#']),
        };
    }
    good
}

/// Whether a name is covered by a filter. Names that begin with `$` are not covered by a wildcard at the beginning
/// [MQTT-4.7.2-1].
pub fn covers(filter: &str, name: &str) -> bool {
    if name.starts_with('$') && filter.starts_with(['+', '#']) {
        return false;
    }
    let (mut f, mut n) = (filter.split('/'), name.split('/'));
    loop {
        match (f.next(), n.next()) {
            (Some("#"), _) => return true,
            (Some("+"), Some(_)) => {}
            (Some(a), Some(b)) if a == b => {}
            (None, None) => return true,
            _ => return false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn as_the_specification_has_it() {
        for good in ["#", "a/#", "+", "+/a/#", "/a", "a/+/b", "/", "a//b", "+/+"] {
            assert!(is_filter(good), "{good}");
        }
        for bad in ["", "a#", "a/#/b", "a+", "a/+b", "##", "#/a"] {
            assert!(!is_filter(bad), "{bad}");
        }
        assert!(is_name("a/b") && is_name("/") && !is_name("") && !is_name("a/+") && !is_name("#"));
        let covered = [
            ("a/#", "a"),
            ("a/#", "a/b/c"),
            ("#", "a"),
            ("+/b", "a/b"),
            ("/+", "/a"),
            ("+/+", "/a"),
            ("a/+", "a/"),
        ];
        for (f, n) in covered {
            assert!(covers(f, n), "{f} {n}");
        }
        for (f, n) in
            [("+", "/a"), ("a/+", "a"), ("a/b", "a/b/c"), ("#", "$SYS/a"), ("+/a", "$SYS/a"), ("a", "A")]
        {
            assert!(!covers(f, n), "{f} {n}");
        }
        assert!(covers("$SYS/#", "$SYS/a"));
    }
}

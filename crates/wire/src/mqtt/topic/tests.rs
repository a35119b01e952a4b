//! Topic names and filters, with the examples of MQTT 5.0, section 4.7.

use super::*;

#[test]
fn names_and_filters_follow_the_specification() {
    for valid in ["#", "a/#", "+", "+/a/#", "/a", "a/+/b", "/", "a//b", "+/+"] {
        assert!(is_filter(valid), "{valid}");
    }
    for invalid in ["", "a#", "a/#/b", "a+", "a/+b", "##", "#/a"] {
        assert!(!is_filter(invalid), "{invalid}");
    }
    assert!(is_name("a/b") && is_name("/") && !is_name("") && !is_name("a/+") && !is_name("#"));
    let matching = [
        ("a/#", "a"),
        ("a/#", "a/b/c"),
        ("#", "a"),
        ("+/b", "a/b"),
        ("/+", "/a"),
        ("+/+", "/a"),
        ("a/+", "a/"),
    ];
    for (filter, name) in matching {
        assert!(covers(filter, name), "{filter} {name}");
    }
    for (filter, name) in
        [("+", "/a"), ("a/+", "a"), ("a/b", "a/b/c"), ("#", "$SYS/a"), ("+/a", "$SYS/a"), ("a", "A")]
    {
        assert!(!covers(filter, name), "{filter} {name}");
    }
    assert!(covers("$SYS/#", "$SYS/a"));
}

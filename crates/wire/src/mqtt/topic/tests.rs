//! Topic names and filters by the specification's examples.

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

//! The Huffman code: its completeness, and padding.

use super::*;

#[test]
fn the_code_is_complete() {
    // Kraft's sum is one: no code is missing, none is a prefix of another.
    let sum: u64 = LENGTHS.iter().map(|n| 1u64 << (30 - n)).sum();
    assert_eq!(sum, 1 << 30);
    // Corners of appendix B.
    let t = tables();
    assert_eq!(t.codes[usize::from(b'0')], 0x0);
    assert_eq!(t.codes[usize::from(b'z')], 0x7b);
    assert_eq!(t.codes[usize::from(b'\\')], 0x7fff0);
    assert_eq!(t.codes[9], 0xffffea);
    assert_eq!(t.codes[usize::from(EOS)], 0x3fffffff);
}

#[test]
fn bad_padding_is_refused() {
    let mut out = Vec::new();
    assert!(decode(&[0xff], 9, &mut out).is_none(), "a whole byte of padding");
    assert!(decode(&[0x18], 9, &mut out).is_none(), "'a' and then padding of noughts");
    assert!(decode(&[0x1f], 9, &mut out).is_some(), "'a' and then padding of ones");
    assert!(decode(&[0xff; 4], 9, &mut out).is_none(), "the end of string");
}

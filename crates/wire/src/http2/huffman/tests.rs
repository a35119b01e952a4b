//! The Huffman code is complete, and invalid padding is rejected.

use super::*;

#[test]
fn the_code_is_complete() {
    // Kraft's sum is one: the code is complete, and no code is a prefix of another.
    let sum: u64 = LENGTHS.iter().map(|n| 1u64 << (30 - n)).sum();
    assert_eq!(sum, 1 << 30);
    // The first and the last code of appendix B, and some others.
    let tables = tables();
    assert_eq!(tables.codes[usize::from(b'0')], 0x0);
    assert_eq!(tables.codes[usize::from(b'z')], 0x7b);
    assert_eq!(tables.codes[usize::from(b'\\')], 0x7fff0);
    assert_eq!(tables.codes[9], 0xffffea);
    assert_eq!(tables.codes[usize::from(EOS)], 0x3fffffff);
}

#[test]
fn invalid_padding_is_rejected() {
    let mut out = Vec::new();
    assert!(decode(&[0xff], 9, &mut out).is_none(), "eight bits of padding");
    assert!(decode(&[0x18], 9, &mut out).is_none(), "'a', padded with zeros");
    assert!(decode(&[0x1f], 9, &mut out).is_some(), "'a', padded with ones");
    assert!(decode(&[0xff; 4], 9, &mut out).is_none(), "EOS within the string");
}

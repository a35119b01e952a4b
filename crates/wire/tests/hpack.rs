//! HPACK with the examples of RFC 7541, appendix C, invalid blocks and arbitrary bytes.

use chalkgap_wire::http2::{Decoder, Encoder, Field, HpackError};
use proptest::prelude::*;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text.chars().filter_map(|c| c.to_digit(16)).collect();
    digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect()
}

fn pairs(fields: &[Field]) -> Vec<(String, String)> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    fields.iter().map(|field| (text(&field.name), text(&field.value))).collect()
}

fn assert_decodes(decoder: &mut Decoder, block: &str, expected: &[(&str, &str)]) {
    let fields = decoder.decode(&hex(block), 16_384).expect("an example of the RFC");
    let expected: Vec<(String, String)> =
        expected.iter().map(|(name, value)| ((*name).into(), (*value).into())).collect();
    assert_eq!(pairs(&fields), expected);
}

// The fields of the three requests of sections C.3 and C.4.
const FIRST: [(&str, &str); 4] =
    [(":method", "GET"), (":scheme", "http"), (":path", "/"), (":authority", "www.example.com")];
const SECOND: [(&str, &str); 5] = [
    (":method", "GET"),
    (":scheme", "http"),
    (":path", "/"),
    (":authority", "www.example.com"),
    ("cache-control", "no-cache"),
];
const THIRD: [(&str, &str); 5] = [
    (":method", "GET"),
    (":scheme", "https"),
    (":path", "/index.html"),
    (":authority", "www.example.com"),
    ("custom-key", "custom-value"),
];

/// Section C.3.
#[test]
fn requests_without_huffman() {
    let decoder = &mut Decoder::new(4096);
    assert_decodes(decoder, "8286 8441 0f77 7777 2e65 7861 6d70 6c65 2e63 6f6d", &FIRST);
    assert_decodes(decoder, "8286 84be 5808 6e6f 2d63 6163 6865", &SECOND);
    assert_decodes(
        decoder,
        "8287 85bf 400a 6375 7374 6f6d 2d6b 6579 0c63 7573 746f 6d2d 7661 6c75 65",
        &THIRD,
    );
}

/// Section C.4.
#[test]
fn requests_with_huffman() {
    let decoder = &mut Decoder::new(4096);
    assert_decodes(decoder, "8286 8441 8cf1 e3c2 e5f2 3a6b a0ab 90f4 ff", &FIRST);
    assert_decodes(decoder, "8286 84be 5886 a8eb 1064 9cbf", &SECOND);
    assert_decodes(decoder, "8287 85bf 4088 25a8 49e9 5ba9 7d7f 8925 a849 e95b b8e8 b4bf", &THIRD);
}

/// Section C.6: Huffman-encoded responses, with a dynamic table of 256 bytes.
#[test]
fn responses_with_eviction() {
    let response = |date: &'static str, status: &'static str| {
        vec![
            (":status", status),
            ("cache-control", "private"),
            ("date", date),
            ("location", "https://www.example.com"),
        ]
    };
    let date_21 = "Mon, 21 Oct 2013 20:13:21 GMT";
    let date_22 = "Mon, 21 Oct 2013 20:13:22 GMT";
    let mut third = response(date_22, "200");
    third.push(("content-encoding", "gzip"));
    third.push(("set-cookie", "foo=ASDJKHQKBZXOQWEOPIUAXQWEOIU; max-age=3600; version=1"));
    let decoder = &mut Decoder::new(256);
    assert_decodes(
        decoder,
        "4882 6402 5885 aec3 771a 4b61 96d0 7abe 9410 54d4 44a8 2005 9504 0b81 66e0 82a6 2d1b ff6e 919d 29ad 1718
         63c7 8f0b 97c8 e9ae 82ae 43d3",
        &response(date_21, "302"),
    );
    assert_decodes(decoder, "4883 640e ffc1 c0bf", &response(date_21, "307"));
    assert_decodes(
        decoder,
        "88c1 6196 d07a be94 1054 d444 a820 0595 040b 8166 e084 a62d 1bff c05a 839b d9ab 77ad 94e7 821d d7f2 e6c7
         b335 dfdf cd5b 3960 d5af 2708 7f36 72c1 ab27 0fb5 291f 9587 3160 65c0 03ed 4ee5 b106 3d50 07",
        &third,
    );
}

#[test]
fn invalid_blocks_return_their_error() {
    let error = |block: &str| Decoder::new(4096).decode(&hex(block), 1000).expect_err("an invalid block");
    assert_eq!(error("80"), HpackError::Index(0));
    assert_eq!(error("be"), HpackError::Index(62));
    assert_eq!(error("ffff ffff ffff 7f"), HpackError::Integer);
    assert_eq!(
        error("ff80 8080 8080 8080 8000"),
        HpackError::Integer,
        "zero bytes that continue the integer"
    );
    assert_eq!(error("3fe2 1f"), HpackError::TableSize(4097, 4096));
    assert_eq!(error("8220"), HpackError::LateTableSize);
    assert_eq!(error("4005 6162"), HpackError::Truncated);
    assert_eq!(error("4081 ff01 61"), HpackError::Huffman);
}

/// A small block can expand to much memory: one entry of 4 KB in the table that each further byte references.
#[test]
fn an_expanding_block_is_rejected_at_the_size_limit() {
    let mut block = hex("40 0161 7f81 1e"); // name "a", a value of 4,000 bytes
    block.extend(vec![b'x'; 4000]);
    block.extend(vec![0xbe; 10_000]);
    assert_eq!(Decoder::new(8192).decode(&block, 16_384), Err(HpackError::TooLarge(16_384)));
}

fn fields() -> impl Strategy<Value = Vec<Field>> {
    let name = prop_oneof!["[a-z-]{1,12}", Just("authorization".into()), Just(":path".into())];
    let field = (name, proptest::collection::vec(any::<u8>(), 0..40));
    let field =
        field.prop_map(|(name, value): (String, Vec<u8>)| Field { name: name.into(), value: value.into() });
    proptest::collection::vec(field, 0..12)
}

proptest! {
    /// Encoded fields are decoded unchanged, over several blocks and changes of the table size.
    #[test]
    fn round_trip(blocks in proptest::collection::vec((fields(), 0u32..5000), 1..8)) {
        let mut encoder = Encoder::default();
        let mut decoder = Decoder::new(4096);
        for (fields, max_table_size) in blocks {
            encoder.allow(max_table_size);
            let mut block = Vec::new();
            encoder.encode(&fields, &mut block);
            prop_assert_eq!(decoder.decode(&block, 1 << 20), Ok(fields));
        }
    }

    /// Decoding arbitrary bytes returns fields within the size limit, or an error.
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300), max_size in 0usize..2000) {
        if let Ok(fields) = Decoder::new(4096).decode(&bytes, max_size) {
            prop_assert!(fields.iter().map(Field::size).sum::<usize>() <= max_size);
        }
    }
}

//! The codec: what is whole is taken, whatever pieces it comes in; what is wrong is named; nothing panics.

use bytes::{Bytes, BytesMut};
use chalkgap_resp::{
    decode_command, decode_reply, put_command, put_error, put_null, Command, DecodeError, Limits, Value,
};
use proptest::prelude::*;

const LIMITS: Limits =
    Limits { max_elements: 4, max_depth: 2, max_bulk_bytes: 100, max_line_bytes: 30, max_item_bytes: 300 };

fn commands(bytes: &[u8]) -> Result<Option<Command>, DecodeError> {
    decode_command(&mut BytesMut::from(bytes), &LIMITS)
}

fn answers(bytes: &[u8]) -> Result<Option<Value>, DecodeError> {
    decode_reply(&mut BytesMut::from(bytes), &LIMITS)
}

#[test]
fn commands_are_arrays_of_bulk_strings() {
    let found = commands(b"*2\r\n$4\r\nPING\r\n$0\r\n\r\nrest").unwrap().unwrap();
    assert_eq!(found.arguments, [Bytes::from("PING"), Bytes::new()]);
    for part in [
        &b""[..],
        b"*",
        b"*2",
        b"*2\r",
        b"*1\r\n",
        b"*1\r\n$4\r\nPIN",
        b"*1\r\n$4\r\nPING",
        b"*1\r\n$4\r\nPING\r",
    ] {
        assert_eq!(commands(part), Ok(None), "{part:?}");
    }
}

#[test]
fn invalid_commands_are_rejected_with_their_position() {
    let said = |bytes: &[u8]| commands(bytes).unwrap_err().to_string();
    assert_eq!(said(b"PING\r\n"), "byte 0: expected an array, found 0x50");
    assert_eq!(said(b"*0\r\n"), "byte 1: expected a length from 1 to 4, found 0");
    assert_eq!(said(b"*5\r\n"), "byte 1: expected a length from 1 to 4, found 5");
    assert_eq!(said(b"*1\r\n$-1\r\n"), "byte 5: expected a length from 0 to 100, found -1");
    assert_eq!(said(b"*1\r\n$60000000\r\n"), "byte 5: expected a length from 0 to 100, found 60000000");
    assert_eq!(said(b"*1\r\n$99999999999999999999\r\n"), "byte 5: expected a length");
    assert_eq!(said(b"*+1\r\n"), "byte 1: expected a length");
    assert_eq!(said(b"*1\r\n:4\r\n"), "byte 4: expected a bulk string, found 0x3a");
    assert_eq!(said(b"*1\r\n$4\r\nPINGS\r\n"), "byte 12: expected the end of a value of 4 bytes");
    assert_eq!(said(&[b'*'; 40]), "byte 1: expected a line of at most 30 bytes");
    assert_eq!(said(b"*1\n$4\n"), "byte 1: expected a line of at most 30 bytes");
    let long = |n: usize| {
        [b"*4\r\n".to_vec(), [&b"$100\r\n"[..], &[b'x'; 100], b"\r\n"].concat().repeat(n)].concat()
    };
    assert_eq!(commands(&long(3)), Err(DecodeError::ItemTooLong { max: 300 }), "not waited for");
    assert_eq!(commands(&long(4)), Err(DecodeError::ItemTooLong { max: 300 }));
}

#[test]
fn replies_of_all_types() {
    let bulk = |text: &'static str| Value::Bulk(Some(Bytes::from(text)));
    assert_eq!(answers(b"+OK\r\n"), Ok(Some(Value::Simple("OK".into()))));
    assert_eq!(answers(b"-ERR failed queue=2\r\n"), Ok(Some(Value::Error("ERR failed queue=2".into()))));
    assert_eq!(answers(b":-7\r\n"), Ok(Some(Value::Integer(-7))));
    assert_eq!(answers(b"$-1\r\n"), Ok(Some(Value::Bulk(None))));
    assert_eq!(answers(b"*-1\r\n"), Ok(Some(Value::Array(None))));
    let list = vec![bulk("v"), Value::Bulk(None), bulk("queue=2")];
    assert_eq!(answers(b"*3\r\n$1\r\nv\r\n$-1\r\n$7\r\nqueue=2\r\n"), Ok(Some(Value::Array(Some(list)))));
    assert!(matches!(answers(b"*1\r\n*1\r\n*1\r\n"), Err(DecodeError::TooDeep { at: 8, max: 2 })));
    assert!(
        matches!(answers(b"$3000000000\r\nxxxx"), Err(DecodeError::LengthOutOfRange { at: 1, .. })),
        "before memory is taken"
    );
    assert!(matches!(answers(b"noise"), Err(DecodeError::UnexpectedType { at: 0, .. })));
    assert!(matches!(answers(&[b'-'; 400]), Err(DecodeError::InvalidLine { .. })));
}

#[test]
fn texts_are_encoded_as_one_line() {
    let mut out = BytesMut::new();
    put_error(&mut out, "ERR a\r\n+OK");
    put_null(&mut out);
    assert_eq!(&out[..], b"-ERR a  +OK\r\n$-1\r\n");
}

proptest! {
    #[test]
    fn encoded_commands_are_decoded_in_any_pieces(
        words in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 1..4),
        cuts in proptest::collection::vec(1usize..7, 1..40),
    ) {
        let mut bytes = BytesMut::new();
        let list: Vec<&[u8]> = words.iter().map(Vec::as_slice).collect();
        put_command(&mut bytes, &list);
        put_command(&mut bytes, &[b"PING"]);
        let (mut buffer, mut found, mut cuts) = (BytesMut::new(), Vec::new(), cuts.into_iter().cycle());
        while !bytes.is_empty() {
            let n = cuts.next().unwrap().min(bytes.len());
            buffer.extend_from_slice(&bytes.split_to(n));
            while let Some(c) = decode_command(&mut buffer, &LIMITS).unwrap() {
                found.push(c);
            }
        }
        prop_assert_eq!(found.len(), 2);
        prop_assert_eq!(found[0].arguments.iter().map(|w| w.to_vec()).collect::<Vec<_>>(), words);
        prop_assert!(buffer.is_empty());
    }

    #[test]
    fn any_bytes_decode_alike_in_any_pieces(bytes in proptest::collection::vec(any::<u8>(), 0..400), cut in 1usize..50) {
        // Begun like an item, or nearly all would fail at their first byte.
        for head in [&b""[..], b"*2\r\n$3\r\n", b"*3\r\n$1\r\nv\r\n", b"-", b"$5\r\n"] {
            let all = [head, &bytes[..]].concat();
            let whole = decode_reply(&mut BytesMut::from(&all[..]), &LIMITS);
            let mut buffer = BytesMut::new();
            let mut pieces = Ok(None);
            for piece in all.chunks(cut) {
                buffer.extend_from_slice(piece);
                pieces = decode_reply(&mut buffer, &LIMITS);
                if pieces != Ok(None) {
                    break;
                }
            }
            if whole.is_ok() {
                prop_assert_eq!(whole, pieces);
            } else {
                prop_assert!(pieces.is_err());
            }
            let _ = commands(&all);
        }
    }
}

//! Decodes complete items in pieces of any size, reports the position and cause of invalid bytes, and never panics.

use bytes::{Bytes, BytesMut};
use chalkgap_resp::{
    decode_command, decode_reply, put_command, put_error, put_null, Command, DecodeError, Limits, Value,
};
use proptest::prelude::*;

const LIMITS: Limits =
    Limits { max_elements: 4, max_depth: 2, max_bulk_bytes: 100, max_line_bytes: 30, max_item_bytes: 300 };

fn decode_one_command(bytes: &[u8]) -> Result<Option<Command>, DecodeError> {
    decode_command(&mut BytesMut::from(bytes), &LIMITS)
}

fn decode_one_reply(bytes: &[u8]) -> Result<Option<Value>, DecodeError> {
    decode_reply(&mut BytesMut::from(bytes), &LIMITS)
}

#[test]
fn commands_are_arrays_of_bulk_strings() {
    let command = decode_one_command(b"*2\r\n$4\r\nPING\r\n$0\r\n\r\nrest").unwrap().unwrap();
    assert_eq!(command.arguments, [Bytes::from("PING"), Bytes::new()]);
    for incomplete in [
        &b""[..],
        b"*",
        b"*2",
        b"*2\r",
        b"*1\r\n",
        b"*1\r\n$4\r\nPIN",
        b"*1\r\n$4\r\nPING",
        b"*1\r\n$4\r\nPING\r",
    ] {
        assert_eq!(decode_one_command(incomplete), Ok(None), "{incomplete:?}");
    }
}

#[test]
fn invalid_commands_are_rejected_with_their_position() {
    let error_text = |bytes: &[u8]| decode_one_command(bytes).unwrap_err().to_string();
    assert_eq!(error_text(b"PING\r\n"), "byte 0: expected an array, found 0x50");
    assert_eq!(error_text(b"*0\r\n"), "byte 1: expected a length from 1 to 4, found 0");
    assert_eq!(error_text(b"*5\r\n"), "byte 1: expected a length from 1 to 4, found 5");
    assert_eq!(error_text(b"*1\r\n$-1\r\n"), "byte 5: expected a length from 0 to 100, found -1");
    assert_eq!(error_text(b"*1\r\n$60000000\r\n"), "byte 5: expected a length from 0 to 100, found 60000000");
    assert_eq!(error_text(b"*1\r\n$99999999999999999999\r\n"), "byte 5: expected a length");
    assert_eq!(error_text(b"*+1\r\n"), "byte 1: expected a length");
    assert_eq!(error_text(b"*1\r\n:4\r\n"), "byte 4: expected a bulk string, found 0x3a");
    assert_eq!(error_text(b"*1\r\n$4\r\nPINGS\r\n"), "byte 12: expected the end of a value of 4 bytes");
    assert_eq!(error_text(&[b'*'; 40]), "byte 1: expected a line of at most 30 bytes");
    assert_eq!(error_text(b"*1\n$4\n"), "byte 1: expected a line of at most 30 bytes");
    let command_start = |arguments: usize| {
        let argument = [&b"$100\r\n"[..], &[b'x'; 100], b"\r\n"].concat();
        [b"*4\r\n".to_vec(), argument.repeat(arguments)].concat()
    };
    assert_eq!(
        decode_one_command(&command_start(3)),
        Err(DecodeError::ItemTooLong { max: 300 }),
        "an incomplete command over the limit is rejected at once"
    );
    assert_eq!(decode_one_command(&command_start(4)), Err(DecodeError::ItemTooLong { max: 300 }));
}

#[test]
fn replies_of_all_types_are_decoded() {
    let bulk = |text: &'static str| Value::Bulk(Some(Bytes::from(text)));
    assert_eq!(decode_one_reply(b"+OK\r\n"), Ok(Some(Value::Simple("OK".into()))));
    assert_eq!(
        decode_one_reply(b"-ERR failed queue=2\r\n"),
        Ok(Some(Value::Error("ERR failed queue=2".into())))
    );
    assert_eq!(decode_one_reply(b":-7\r\n"), Ok(Some(Value::Integer(-7))));
    assert_eq!(decode_one_reply(b"$-1\r\n"), Ok(Some(Value::Bulk(None))));
    assert_eq!(decode_one_reply(b"*-1\r\n"), Ok(Some(Value::Array(None))));
    let elements = vec![bulk("v"), Value::Bulk(None), bulk("queue=2")];
    assert_eq!(
        decode_one_reply(b"*3\r\n$1\r\nv\r\n$-1\r\n$7\r\nqueue=2\r\n"),
        Ok(Some(Value::Array(Some(elements))))
    );
    assert!(matches!(decode_one_reply(b"*1\r\n*1\r\n*1\r\n"), Err(DecodeError::TooDeep { at: 8, max: 2 })));
    assert!(
        matches!(decode_one_reply(b"$3000000000\r\nxxxx"), Err(DecodeError::LengthOutOfRange { at: 1, .. })),
        "the length is checked before memory is allocated"
    );
    assert!(matches!(decode_one_reply(b"noise"), Err(DecodeError::UnexpectedType { at: 0, .. })));
    assert!(matches!(decode_one_reply(&[b'-'; 400]), Err(DecodeError::InvalidLine { .. })));
}

#[test]
fn line_ends_in_error_texts_are_replaced_by_spaces() {
    let mut out = BytesMut::new();
    put_error(&mut out, "ERR a\r\n+OK");
    put_null(&mut out);
    assert_eq!(&out[..], b"-ERR a  +OK\r\n$-1\r\n");
}

proptest! {
    #[test]
    fn encoded_commands_are_decoded_in_any_pieces(
        arguments in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 1..4),
        piece_lengths in proptest::collection::vec(1usize..7, 1..40),
    ) {
        let mut bytes = BytesMut::new();
        let argument_slices: Vec<&[u8]> = arguments.iter().map(Vec::as_slice).collect();
        put_command(&mut bytes, &argument_slices);
        put_command(&mut bytes, &[b"PING"]);
        let mut buffer = BytesMut::new();
        let mut commands = Vec::new();
        let mut piece_lengths = piece_lengths.into_iter().cycle();
        while !bytes.is_empty() {
            let length = piece_lengths.next().unwrap().min(bytes.len());
            buffer.extend_from_slice(&bytes.split_to(length));
            while let Some(command) = decode_command(&mut buffer, &LIMITS).unwrap() {
                commands.push(command);
            }
        }
        prop_assert_eq!(commands.len(), 2);
        let decoded: Vec<Vec<u8>> = commands[0].arguments.iter().map(|argument| argument.to_vec()).collect();
        prop_assert_eq!(decoded, arguments);
        prop_assert!(buffer.is_empty());
    }

    #[test]
    fn any_bytes_decode_alike_in_any_pieces(
        bytes in proptest::collection::vec(any::<u8>(), 0..400),
        piece_length in 1usize..50,
    ) {
        // Prepends the start of a valid item, as nearly all random bytes are invalid at the first byte.
        for start in [&b""[..], b"*2\r\n$3\r\n", b"*3\r\n$1\r\nv\r\n", b"-", b"$5\r\n"] {
            let all = [start, &bytes[..]].concat();
            let at_once = decode_reply(&mut BytesMut::from(&all[..]), &LIMITS);
            let mut buffer = BytesMut::new();
            let mut in_pieces = Ok(None);
            for piece in all.chunks(piece_length) {
                buffer.extend_from_slice(piece);
                in_pieces = decode_reply(&mut buffer, &LIMITS);
                if in_pieces != Ok(None) {
                    break;
                }
            }
            if at_once.is_ok() {
                prop_assert_eq!(at_once, in_pieces);
            } else {
                prop_assert!(in_pieces.is_err());
            }
            let _ = decode_one_command(&all); // must not panic
        }
    }
}

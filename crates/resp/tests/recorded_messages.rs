//! Encoded commands and replies are the recorded bytes, and decode to the recorded values.

use bytes::BytesMut;
use chalkgap_resp::{
    decode_command, decode_reply, put_array_header, put_bulk, put_command, put_error, put_null,
    put_simple_string, Limits,
};

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

const LIMITS: Limits = Limits {
    max_elements: 8,
    max_depth: 3,
    max_bulk_bytes: 1 << 10,
    max_line_bytes: 100,
    max_item_bytes: 1 << 12,
};

/// Returns the bytes that `write` appends to a buffer.
fn encoded(write: impl FnOnce(&mut BytesMut)) -> Vec<u8> {
    let mut out = BytesMut::new();
    write(&mut out);
    out.to_vec()
}

/// Decodes bytes with `decode`, which must consume all of them.
fn decoded(bytes: &[u8], decode: impl FnOnce(&mut BytesMut) -> String) -> String {
    let mut buffer = BytesMut::from(bytes);
    let text = decode(&mut buffer);
    assert!(buffer.is_empty(), "{} bytes were not consumed", buffer.len());
    text
}

#[test]
fn messages_match_their_recorded_bytes() {
    let commands = [
        ("command", encoded(|out| put_command(out, &[b"DO", b"", b"\0\r\n\xff", &[b'x'; 300]]))),
        ("one word", encoded(|out| put_command(out, &[b"PING"]))),
    ];
    let replies = [
        (
            "array",
            encoded(|out| {
                put_array_header(out, 3);
                put_bulk(out, b"value");
                put_null(out);
                put_bulk(out, b"depth=2");
            }),
        ),
        ("simple string", encoded(|out| put_simple_string(out, "OK\r\nthen"))),
        ("error", encoded(|out| put_error(out, "BUSY retry_after=120"))),
        ("nested", b"*2\r\n:-42\r\n*2\r\n*-1\r\n$3\r\nabc\r\n".to_vec()),
    ];
    let all: Vec<(&str, Vec<u8>)> = commands.iter().chain(&replies).cloned().collect();
    recorded::check_messages("messages.txt", &all);

    let mut text = String::new();
    for (name, bytes) in &commands {
        let arguments = decoded(bytes, |buffer| {
            format!("{:?}", decode_command(buffer, &LIMITS).unwrap().unwrap().arguments)
        });
        text += &format!("{name}: {arguments}\n");
    }
    for (name, bytes) in &replies {
        let value = decoded(bytes, |buffer| format!("{:?}", decode_reply(buffer, &LIMITS).unwrap().unwrap()));
        text += &format!("{name}: {value}\n");
    }
    recorded::check_text("decoded.txt", &text);
}

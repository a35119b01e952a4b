//! Commands and answers are the bytes that earlier versions wrote, and are read back from them.

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

fn written(write: impl FnOnce(&mut BytesMut)) -> Vec<u8> {
    let mut out = BytesMut::new();
    write(&mut out);
    out.to_vec()
}

fn shown(bytes: &[u8], read: impl FnOnce(&mut BytesMut) -> String) -> String {
    let mut buffer = BytesMut::from(bytes);
    let text = read(&mut buffer);
    assert!(buffer.is_empty(), "{} bytes were left", buffer.len());
    text
}

#[test]
fn messages_are_the_bytes_that_were_recorded() {
    let commands = [
        ("command", written(|out| put_command(out, &[b"DO", b"", b"\0\r\n\xff", &[b'x'; 300]]))),
        ("one word", written(|out| put_command(out, &[b"PING"]))),
    ];
    let answers = [
        (
            "array",
            written(|out| {
                put_array_header(out, 3);
                put_bulk(out, b"value");
                put_null(out);
                put_bulk(out, b"depth=2");
            }),
        ),
        ("simple string", written(|out| put_simple_string(out, "OK\r\nthen"))),
        ("error", written(|out| put_error(out, "BUSY retry_after=120"))),
        ("nested", b"*2\r\n:-42\r\n*2\r\n*-1\r\n$3\r\nabc\r\n".to_vec()),
    ];
    let all: Vec<(&str, Vec<u8>)> = commands.iter().chain(&answers).cloned().collect();
    recorded::check_messages("messages.txt", &all);

    let mut text = String::new();
    for (name, bytes) in &commands {
        let words = shown(bytes, |buffer| {
            format!("{:?}", decode_command(buffer, &LIMITS).unwrap().unwrap().arguments)
        });
        text += &format!("{name}: {words}\n");
    }
    for (name, bytes) in &answers {
        let value = shown(bytes, |buffer| format!("{:?}", decode_reply(buffer, &LIMITS).unwrap().unwrap()));
        text += &format!("{name}: {value}\n");
    }
    recorded::check_text("decoded.txt", &text);
}

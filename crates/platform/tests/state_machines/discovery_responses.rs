//! HTTP responses of discovery.

use crate::builders::{at, list_text};
use chalkgap_platform::discovery_client::{DiscoveryClient, ResponseError};

/// The values that an answer in pieces of `cut` bytes gives, and whether it has ended.
pub(crate) fn responses(bytes: &[u8], cut: usize) -> Result<(Vec<serde_json::Value>, bool), ResponseError> {
    let (mut client, request) = DiscoveryClient::get(at(1), "/api/targets?watch=1&from=7").unwrap();
    assert!(request.starts_with(b"GET /api/targets?watch=1&from=7 HTTP/1.1\r\nhost: 127.0.0.1:1\r\n"));
    let mut values = Vec::new();
    for piece in bytes.chunks(cut) {
        client.receive(piece)?;
        while let Some(value) = client.next_value()? {
            values.push(value);
        }
    }
    Ok((values, client.is_ended()))
}

pub(crate) fn chunked(pieces: &[&str]) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    pieces.iter().for_each(|p| bytes.extend_from_slice(format!("{:x}\r\n{p}\r\n", p.len()).as_bytes()));
    bytes
}

/// The platform may indent its lists: what was taken line by line then was no list, and each ingress asked for the whole one
/// twenty times a second.
#[test]
fn responses_are_decoded_in_any_pieces_and_layout() {
    let interim = b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n";
    let one =
        [&interim[..], &chunked(&["{\"a\"", ":1}\n", "\n", " {\n  \"a\":\n [2]\n}", "{\"a\":{}}"])].concat();
    let plain = b"HTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r\n{\"a\":1}\n{\"a\":2}{\"a\":3}";
    let close = b"HTTP/1.1 200 OK\r\n\r\n{\"a\":1}";
    let value = |text: &str| serde_json::from_str::<serde_json::Value>(text).unwrap();
    let all = [value("{\"a\":1}"), value("{\"a\":[2]}"), value("{\"a\":{}}")];
    for cut in 1..120 {
        assert_eq!(responses(&one, cut).unwrap(), (all.to_vec(), false), "{cut}");
        assert_eq!(responses(&[&one[..], b"0\r\n\r\n"].concat(), cut).unwrap(), (all.to_vec(), true));
        assert_eq!(responses(plain, cut).unwrap().0.len(), 2, "no more than its length");
        assert_eq!(responses(close, cut).unwrap(), (all[..1].to_vec(), false));
    }
    assert!(matches!(responses(b"HTTP/1.1 503 No\r\n\r\n", 9), Err(ResponseError::Status(503))));
    assert!(matches!(
        responses(b"HTTP/1.1 301 No\r\nlocation: /\r\n\r\n", 9),
        Err(ResponseError::Status(301))
    ));
    assert!(matches!(responses(b"nonsense\r\n\r\n", 9), Err(ResponseError::Http(_))));
    let endless = [&b"HTTP/1.1 200 OK\r\na: "[..], &[b'x'; 40_000]].concat();
    assert!(matches!(responses(&endless, 999), Err(ResponseError::HeadTooLong)));
    let broken = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
    assert!(matches!(responses(broken, 7), Err(ResponseError::Http(_))));
    assert!(matches!(responses(&chunked(&["noise\n"]), 7), Err(ResponseError::Json(_))));
    assert!(matches!(responses(&chunked(&["{\"a\":1]"]), 7), Err(ResponseError::Json(_))));
}

/// A whole list in thousands of pieces is read some dozen times at most, and has a limit.
#[test]
fn long_lists_in_small_pieces_are_decoded_and_bounded() {
    let hosts: Vec<String> = (0..5000).map(|n| format!("s-{n}")).collect();
    let hosts: Vec<(&str, &str)> = hosts.iter().map(|h| (h.as_str(), "ready")).collect();
    let long = list_text(9, true, &hosts);
    let (values, _) = responses(&chunked(&[&long, "\n", &list_text(10, false, &[])]), 100).unwrap();
    let seqs: Vec<_> = values.iter().map(|v| v["seq"].as_u64().unwrap()).collect();
    assert_eq!((seqs, values[0]["hosts"].as_array().unwrap().len()), (vec![9, 10], 5000));
    let endless = format!("{{\"a\":\"{}", "x".repeat(9 << 20));
    assert!(matches!(responses(&chunked(&[&endless]), 1 << 16), Err(ResponseError::ValueTooLong)));
}

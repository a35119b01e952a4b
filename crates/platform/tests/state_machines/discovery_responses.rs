//! Decoding of HTTP responses from discovery.

use crate::builders::{encoded_list, loopback};
use chalkgap_platform::discovery_client::{DiscoveryClient, ResponseError};
use chalkgap_transport::MemoryBudget;

/// Decodes a response that arrives in chunks of `chunk_size` bytes. Returns its JSON values, and whether it has ended.
pub(crate) fn responses(
    bytes: &[u8],
    chunk_size: usize,
) -> Result<(Vec<serde_json::Value>, bool), ResponseError> {
    let (mut client, request) = DiscoveryClient::get(loopback(1), "/api/targets?watch=1&from=7").unwrap();
    assert!(request.starts_with(b"GET /api/targets?watch=1&from=7 HTTP/1.1\r\nhost: 127.0.0.1:1\r\n"));
    let mut values = Vec::new();
    for chunk in bytes.chunks(chunk_size) {
        client.receive(chunk)?;
        while let Some(value) = client.next_value()? {
            values.push(value);
        }
    }
    Ok((values, client.is_ended()))
}

/// Encodes a chunked response.
pub(crate) fn chunked(chunks: &[&str]) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    chunks
        .iter()
        .for_each(|chunk| bytes.extend_from_slice(format!("{:x}\r\n{chunk}\r\n", chunk.len()).as_bytes()));
    bytes
}

/// The platform may indent its lists. When lists were decoded line by line, an indented list failed to decode, and each ingress
/// requested the complete list twenty times a second.
#[test]
fn responses_are_decoded_in_any_pieces_and_layout() {
    let interim = b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n";
    let chunked_response =
        [&interim[..], &chunked(&["{\"a\"", ":1}\n", "\n", " {\n  \"a\":\n [2]\n}", "{\"a\":{}}"])].concat();
    let with_length = b"HTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r\n{\"a\":1}\n{\"a\":2}{\"a\":3}";
    let until_close = b"HTTP/1.1 200 OK\r\n\r\n{\"a\":1}";
    let value = |text: &str| serde_json::from_str::<serde_json::Value>(text).unwrap();
    let values = [value("{\"a\":1}"), value("{\"a\":[2]}"), value("{\"a\":{}}")];
    for chunk_size in 1..120 {
        assert_eq!(
            responses(&chunked_response, chunk_size).unwrap(),
            (values.to_vec(), false),
            "chunks of {chunk_size} bytes"
        );
        assert_eq!(
            responses(&[&chunked_response[..], b"0\r\n\r\n"].concat(), chunk_size).unwrap(),
            (values.to_vec(), true)
        );
        assert_eq!(
            responses(with_length, chunk_size).unwrap().0.len(),
            2,
            "values beyond the content-length"
        );
        assert_eq!(responses(until_close, chunk_size).unwrap(), (values[..1].to_vec(), false));
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

/// A complete list in thousands of chunks is scanned a few dozen times at most, and its length is limited.
#[test]
fn long_lists_in_small_pieces_are_decoded_and_bounded() {
    let hosts: Vec<String> = (0..5000).map(|n| format!("s-{n}")).collect();
    let hosts: Vec<(&str, &str)> = hosts.iter().map(|host| (host.as_str(), "ready")).collect();
    let long_list = encoded_list(9, true, &hosts);
    let (values, _) = responses(&chunked(&[&long_list, "\n", &encoded_list(10, false, &[])]), 100).unwrap();
    let versions: Vec<_> = values.iter().map(|value| value["seq"].as_u64().unwrap()).collect();
    assert_eq!((versions, values[0]["hosts"].as_array().unwrap().len()), (vec![9, 10], 5000));
    let endless = format!("{{\"a\":\"{}", "x".repeat(9 << 20));
    assert!(matches!(responses(&chunked(&[&endless]), 1 << 16), Err(ResponseError::ValueTooLong)));
}

/// A list was received without regard to the memory that is left; the largest may take a quarter of the least limit.
#[test]
fn a_list_for_which_there_is_no_memory_is_abandoned_before_it_is_held() {
    const BUDGET_BYTES: usize = 1 << 20;
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let (client, _) = DiscoveryClient::get(loopback(1), "/api/targets").unwrap();
    let mut client = client.with_memory(&budget);
    client.receive(b"HTTP/1.1 200 OK\r\n\r\n{\"a\":\"").unwrap();
    let result = (0..1024).try_for_each(|_| client.receive(&[b'x'; 4096]));
    assert!(matches!(result, Err(ResponseError::OutOfMemory(_))), "{result:?}");
    assert!(budget.held_bytes() <= BUDGET_BYTES);
    drop(client);
    assert_eq!(budget.held_bytes(), 0);
}

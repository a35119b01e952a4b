use super::*;
use chalkgap_core::{Availability, BackendId, Endpoint};

fn endpoint_ids() -> EndpointIds {
    EndpointIds::new([("a".to_owned(), 0), ("b".to_owned(), 1)].into(), 3)
}

fn convert(text: &str) -> Result<Vec<Endpoint>, ListError> {
    endpoint_ids().convert(&NodeList::parse(text.as_bytes())?)
}

#[test]
fn a_list_is_converted() {
    let text = r#"{"revision": 4, "nodes": [
        {"address": "127.0.0.1:80", "zone": "b", "cell": "r1", "state": "draining", "started_ms": 7},
        {"address": "[::1]:80", "zone": "a", "cell": "r2", "size": 2.5}]}"#;
    let endpoints = convert(text).unwrap();
    assert_eq!(endpoints[0].backend, BackendId(0x7f00_0001_0050));
    assert_eq!((endpoints[0].zone, endpoints[0].cell, endpoints[0].started_at), (1, 0, 7000));
    assert_eq!((endpoints[1].zone, endpoints[1].cell, endpoints[1].weight), (0, 1, 2.5));
    assert_eq!(endpoints[0].availability, Availability::Draining);
}

#[test]
fn an_invalid_list_is_rejected_as_a_whole_with_its_path() {
    let entry = |more_fields: &str| format!(r#"{{"address": "127.0.0.1:80", "zone": "a"{more_fields}}}"#);
    let list = |entries: &[String]| format!(r#"{{"nodes": [{}]}}"#, entries.join(","));
    let error = |text: &str| convert(text).unwrap_err().to_string();
    assert!(error("{\"nodes\": [").starts_with("invalid node list: EOF"));
    assert_eq!(error(&list(&[entry(""), entry("")])), "nodes[1].address: 127.0.0.1:80 is listed twice");
    assert_eq!(error(&list(&[entry(", \"size\": 0")])), "nodes[0].size: expected a positive number, found 0");
    let unknown_zone = r#"{"address": "127.0.0.1:80", "zone": "x"}"#.to_owned();
    assert_eq!(error(&list(&[unknown_zone])), "nodes[0].zone: expected a zone of the settings, found \"x\"");
    let four_nodes: Vec<String> = (1..5).map(|port| entry("").replace("80", &port.to_string())).collect();
    assert_eq!(error(&list(&four_nodes)), "nodes: expected at most 3, found 4");
    assert!(error(&list(&[entry(", \"weight\": 1")])).contains("unknown field `weight`"));
}

#[test]
fn cells_keep_their_numbers_across_lists() {
    let mut ids = endpoint_ids();
    let node = |port: u16, cell: &str| Node {
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        cell: cell.into(),
        kind: String::new(),
        state: State::Ready,
        size: 1.0,
        started_ms: 0,
    };
    let first = ids.convert(&NodeList { revision: 1, nodes: vec![node(1, "x"), node(2, "y")] }).unwrap();
    let second = ids.convert(&NodeList { revision: 2, nodes: vec![node(3, "z"), node(2, "y")] }).unwrap();
    assert_eq!(first[1].cell, second[1].cell);
    assert!(
        first.iter().all(|endpoint| endpoint.cell != second[0].cell),
        "the number of a removed cell is not reused"
    );
}

//! Builders of parsers, commands and endpoint lists for the tests of this folder.

use crate::common;
use bytes::{Bytes, BytesMut};
use chalkgap_platform::endpoint_list::EndpointList;
use chalkgap_platform::request_parser::RequestParser;
use chalkgap_platform::Config;
use chalkgap_resp::{put_command, Command};
use std::net::SocketAddr;

pub(crate) const QUERY: &str = "c=sig-check,t=team,d=480,units=2,spread=3,first=1";
pub(crate) const SUBMIT: &str = "c=report-upload,t=team,d=7500,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0";
pub(crate) const CUSTOMER: &str = "00000000b4d65521";
pub(crate) const ID: &str = "9b1f03aa5c7e2d41";

pub(crate) fn parser() -> RequestParser {
    let config = Config::parse("test", common::config(3, 0, &[]).as_bytes()).unwrap();
    RequestParser::new(&config.deployment)
}

pub(crate) fn command(arguments: &[&str]) -> Command {
    Command { arguments: arguments.iter().map(|word| Bytes::copy_from_slice(word.as_bytes())).collect() }
}

pub(crate) fn encoded_command(arguments: &[&str]) -> BytesMut {
    let mut out = BytesMut::new();
    put_command(&mut out, &arguments.iter().map(|word| word.as_bytes()).collect::<Vec<_>>());
    out
}

pub(crate) fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(crate) fn endpoint_list(version: u64, complete: bool, hosts: &[(&str, &str)]) -> EndpointList {
    serde_json::from_str(&encoded_list(version, complete, hosts)).unwrap()
}

/// Encodes a list of `(host, health)`. The port of each host is its position, from 1.
pub(crate) fn encoded_list(version: u64, complete: bool, hosts: &[(&str, &str)]) -> String {
    let host = |(n, (host, health)): (usize, &(&str, &str))| {
        format!(
            r#"{{"host":"{host}","dial":"127.0.0.1:{}","site":"b","class":"k","block":3,"health":"{health}",
                "share":2.5,"born_ms":7,"new_field":1}}"#,
            n + 1
        )
    };
    let hosts: Vec<String> = hosts.iter().enumerate().map(host).collect();
    format!(r#"{{"seq":{version},"whole":{complete},"hosts":[{}]}}"#, hosts.join(","))
}

//! What several tests are made of.

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

pub(crate) fn words(list: &[&str]) -> Command {
    Command { arguments: list.iter().map(|w| Bytes::copy_from_slice(w.as_bytes())).collect() }
}

pub(crate) fn written(list: &[&str]) -> BytesMut {
    let mut out = BytesMut::new();
    put_command(&mut out, &list.iter().map(|w| w.as_bytes()).collect::<Vec<_>>());
    out
}

pub(crate) fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(crate) fn list(seq: u64, whole: bool, hosts: &[(&str, &str)]) -> EndpointList {
    serde_json::from_str(&list_text(seq, whole, hosts)).unwrap()
}

pub(crate) fn list_text(seq: u64, whole: bool, hosts: &[(&str, &str)]) -> String {
    let host = |(n, (host, health)): (usize, &(&str, &str))| {
        format!(
            r#"{{"host":"{host}","dial":"127.0.0.1:{}","site":"b","class":"k","block":3,"health":"{health}",
                "share":2.5,"born_ms":7,"new_field":1}}"#,
            n + 1
        )
    };
    let hosts: Vec<String> = hosts.iter().enumerate().map(host).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

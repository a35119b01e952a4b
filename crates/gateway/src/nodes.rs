//! The list of nodes: its form, and [`EndpointIds`], which reads lists into what the module is told. No I/O is done here;
//! where lists come from is in `sources.rs`.

use chalkgap_core::{Availability, BackendId, Endpoint};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A whole list, as a file or a roster says it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeList {
    /// Grows with each change.
    #[serde(default)]
    pub revision: u64,
    /// A line for each node. What is not there is gone.
    pub nodes: Vec<Node>,
}

impl NodeList {
    /// Reads a list's text.
    ///
    /// # Errors
    /// [`ListError::Form`].
    pub fn parse(bytes: &[u8]) -> Result<NodeList, ListError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}

/// A node as listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Where it listens; also its identity.
    pub address: SocketAddr,
    /// Its zone, one of the settings'.
    pub zone: String,
    /// Nodes of one cell know each other's keys.
    #[serde(default)]
    pub cell: String,
    /// The kind of its machine.
    #[serde(default)]
    pub kind: String,
    /// Whether it takes work.
    #[serde(default)]
    pub state: State,
    /// Its size, see the settings.
    #[serde(default = "one")]
    pub size: f64,
    /// When its process started, in milliseconds since 1970; 0 for long ago.
    #[serde(default)]
    pub started_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Whether a node takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Yes.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It was taken away.
    Gone,
}

/// Why a list is not taken. The one before stays.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)]
pub enum ListError {
    #[error("the list is not readable: {0}")]
    Form(#[from] serde_json::Error),
    #[error("{0} nodes, at most {1} are taken")]
    TooMany(usize, usize),
    #[error("nodes[{0}].address: {1} is there twice")]
    Twice(usize, SocketAddr),
    #[error("nodes[{0}].zone: {1:?} is none of the settings' zones")]
    Zone(usize, String),
    #[error("nodes[{0}].size: expected a positive number, found {1}")]
    Size(usize, f64),
    #[error("nodes[{0}].{1}: more names than can be told apart since the start")]
    Names(usize, &'static str),
}

/// The number of an address: itself where it fits, else 63 bits of a hash.
pub fn backend(address: SocketAddr) -> BackendId {
    BackendId(match address {
        SocketAddr::V4(a) => u64::from(u32::from(*a.ip())) << 16 | u64::from(a.port()),
        SocketAddr::V6(a) => {
            let hash = blake3::hash(a.to_string().as_bytes());
            let mut word = [0; 8];
            word.copy_from_slice(&hash.as_bytes()[..8]);
            u64::from_le_bytes(word) | 1 << 63
        }
    })
}

/// Reads lists. It remembers names by number for as long as the instance lives: a number is never given twice.
pub struct EndpointIds {
    zones: HashMap<String, u8>,
    most: usize,
    cells: HashMap<String, u16>,
    kinds: HashMap<String, u16>,
    addresses: HashMap<BackendId, SocketAddr>,
}

impl EndpointIds {
    /// A book for lists of at most `most` nodes in these zones.
    pub fn new(zones: HashMap<String, u8>, most: usize) -> Self {
        EndpointIds { zones, most, cells: HashMap::new(), kinds: HashMap::new(), addresses: HashMap::new() }
    }

    /// Takes a whole list, or none of it.
    ///
    /// # Errors
    /// See [`ListError`].
    pub fn take(&mut self, list: &NodeList) -> Result<Vec<Endpoint>, ListError> {
        if list.nodes.len() > self.most {
            return Err(ListError::TooMany(list.nodes.len(), self.most));
        }
        let (mut lines, mut addresses) = (Vec::with_capacity(list.nodes.len()), HashMap::new());
        for (n, node) in list.nodes.iter().enumerate() {
            let id = backend(node.address);
            if addresses.insert(id, node.address).is_some() {
                return Err(ListError::Twice(n, node.address));
            }
            let zone = self.zones.get(&node.zone).ok_or_else(|| ListError::Zone(n, node.zone.clone()))?;
            if !(node.size.is_finite() && node.size > 0.0) {
                return Err(ListError::Size(n, node.size));
            }
            lines.push(Endpoint {
                backend: id,
                zone: *zone,
                // Two cells under one number would let a repeat run twice: never wrapped, never forgotten.
                cell: number(&mut self.cells, &node.cell).ok_or(ListError::Names(n, "cell"))?,
                kind: number(&mut self.kinds, &node.kind).ok_or(ListError::Names(n, "kind"))?,
                availability: match node.state {
                    State::Ready => Availability::Ready,
                    State::Draining => Availability::Draining,
                    State::Gone => Availability::Gone,
                },
                weight: node.size,
                started_at: node.started_ms.saturating_mul(1000),
            });
        }
        self.addresses = addresses;
        Ok(lines)
    }

    /// Where a node of the last list listens.
    pub fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }
}

fn number(names: &mut HashMap<String, u16>, name: &str) -> Option<u16> {
    if let Some(n) = names.get(name) {
        return Some(*n);
    }
    let n = u16::try_from(names.len()).ok()?;
    names.insert(name.to_owned(), n);
    Some(n)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn book() -> EndpointIds {
        EndpointIds::new([("a".to_owned(), 0), ("b".to_owned(), 1)].into(), 3)
    }

    fn list(text: &str) -> Result<Vec<Endpoint>, ListError> {
        book().take(&NodeList::parse(text.as_bytes())?)
    }

    #[test]
    fn a_list_is_read() {
        let text = r#"{"revision": 4, "nodes": [
            {"address": "127.0.0.1:80", "zone": "b", "cell": "r1", "state": "draining", "started_ms": 7},
            {"address": "[::1]:80", "zone": "a", "cell": "r2", "size": 2.5}]}"#;
        let lines = list(text).unwrap();
        assert_eq!(lines[0].backend, BackendId(0x7f00_0001_0050));
        assert_eq!((lines[0].zone, lines[0].cell, lines[0].started_at), (1, 0, 7000));
        assert_eq!((lines[1].zone, lines[1].cell, lines[1].weight), (0, 1, 2.5));
        assert_eq!(lines[0].availability, Availability::Draining);
    }

    #[test]
    fn a_bad_list_is_refused_whole_and_says_where() {
        let line = |more: &str| format!(r#"{{"address": "127.0.0.1:80", "zone": "a"{more}}}"#);
        let of = |lines: &[String]| format!(r#"{{"nodes": [{}]}}"#, lines.join(","));
        let text = |text: &str| list(text).unwrap_err().to_string();
        assert!(text("{\"nodes\": [").starts_with("the list is not readable: EOF"));
        assert_eq!(text(&of(&[line(""), line("")])), "nodes[1].address: 127.0.0.1:80 is there twice");
        assert_eq!(text(&of(&[line(", \"size\": 0")])), "nodes[0].size: expected a positive number, found 0");
        let other = r#"{"address": "127.0.0.1:80", "zone": "x"}"#.to_owned();
        assert_eq!(text(&of(&[other])), "nodes[0].zone: \"x\" is none of the settings' zones");
        let many: Vec<String> = (1..5).map(|n| line("").replace("80", &n.to_string())).collect();
        assert_eq!(text(&of(&many)), "4 nodes, at most 3 are taken");
        assert!(text(&of(&[line(", \"weight\": 1")])).contains("unknown field `weight`"));
    }

    #[test]
    fn cells_keep_their_numbers_over_lists() {
        let mut book = book();
        let node = |port: u16, cell: &str| Node {
            address: ([127, 0, 0, 1], port).into(),
            zone: "a".into(),
            cell: cell.into(),
            kind: String::new(),
            state: State::Ready,
            size: 1.0,
            started_ms: 0,
        };
        let one = book.take(&NodeList { revision: 1, nodes: vec![node(1, "x"), node(2, "y")] }).unwrap();
        let two = book.take(&NodeList { revision: 2, nodes: vec![node(3, "z"), node(2, "y")] }).unwrap();
        assert_eq!(one[1].cell, two[1].cell);
        assert!(one.iter().all(|l| l.cell != two[0].cell), "a gone cell's number is not given again");
    }
}

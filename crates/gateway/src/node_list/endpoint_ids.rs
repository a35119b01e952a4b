//! Conversion of node lists to the core's endpoints, which have numbers instead of names.

use super::{Node, NodeList, State};
use chalkgap_core::{Availability, BackendId, Endpoint};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Reason why a node list is rejected. The previous list stays in force.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)]
pub enum ListError {
    #[error("invalid node list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("nodes: expected at most {1}, found {0}")]
    TooMany(usize, usize),
    #[error("nodes[{0}].address: {1} is listed twice")]
    Duplicate(usize, SocketAddr),
    #[error("nodes[{0}].zone: expected a zone of the settings, found {1:?}")]
    Zone(usize, String),
    #[error("nodes[{0}].size: expected a positive number, found {1}")]
    Size(usize, f64),
    #[error("nodes[{0}].{1}: more than 65536 different names since the start")]
    TooManyNames(usize, &'static str),
}

/// Returns the id of the backend at `address`: an IPv4 address with its port, or 63 bits of a hash of an IPv6 address
/// with its port.
pub fn backend_id(address: SocketAddr) -> BackendId {
    BackendId(match address {
        SocketAddr::V4(address) => u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port()),
        SocketAddr::V6(address) => {
            let hash = blake3::hash(address.to_string().as_bytes());
            let mut first_bytes = [0; 8];
            first_bytes.copy_from_slice(&hash.as_bytes()[..8]);
            u64::from_le_bytes(first_bytes) | 1 << 63
        }
    })
}

/// Assigns numbers to the names in node lists, and keeps the addresses of the last list.
///
/// A number is not reused while the instance runs: if two cells had the same number, a request and its duplicate could
/// run in both.
pub struct EndpointIds {
    zones: HashMap<String, u8>,
    max_nodes: usize,
    cells: NameNumbers,
    kinds: NameNumbers,
    addresses: HashMap<BackendId, SocketAddr>,
}

impl EndpointIds {
    /// Creates a conversion for lists of at most `max_nodes` nodes in `zones`.
    pub fn new(zones: HashMap<String, u8>, max_nodes: usize) -> Self {
        EndpointIds {
            zones,
            max_nodes,
            cells: NameNumbers::default(),
            kinds: NameNumbers::default(),
            addresses: HashMap::new(),
        }
    }

    /// Converts a complete list to endpoints.
    ///
    /// # Errors
    /// Returns [`ListError`] if the list is invalid. The addresses of the last valid list are kept.
    pub fn convert(&mut self, list: &NodeList) -> Result<Vec<Endpoint>, ListError> {
        if list.nodes.len() > self.max_nodes {
            return Err(ListError::TooMany(list.nodes.len(), self.max_nodes));
        }
        let mut endpoints = Vec::with_capacity(list.nodes.len());
        let mut addresses = HashMap::new();
        for (index, node) in list.nodes.iter().enumerate() {
            let backend = backend_id(node.address);
            if addresses.insert(backend, node.address).is_some() {
                return Err(ListError::Duplicate(index, node.address));
            }
            endpoints.push(self.endpoint(index, node, backend)?);
        }
        self.addresses = addresses;
        Ok(endpoints)
    }

    fn endpoint(&mut self, index: usize, node: &Node, backend: BackendId) -> Result<Endpoint, ListError> {
        let zone = self.zones.get(&node.zone).ok_or_else(|| ListError::Zone(index, node.zone.clone()))?;
        if !(node.size.is_finite() && node.size > 0.0) {
            return Err(ListError::Size(index, node.size));
        }
        Ok(Endpoint {
            backend,
            zone: *zone,
            cell: self.cells.number(&node.cell).ok_or(ListError::TooManyNames(index, "cell"))?,
            kind: self.kinds.number(&node.kind).ok_or(ListError::TooManyNames(index, "kind"))?,
            availability: match node.state {
                State::Ready => Availability::Ready,
                State::Draining => Availability::Draining,
                State::Gone => Availability::Gone,
            },
            weight: node.size,
            started_at: node.started_ms.saturating_mul(1000),
        })
    }

    /// Returns the address of a node in the last valid list.
    pub fn address(&self, backend: BackendId) -> Option<SocketAddr> {
        self.addresses.get(&backend).copied()
    }
}

/// Numbers names in the order of their first use.
#[derive(Default)]
struct NameNumbers(HashMap<String, u16>);

impl NameNumbers {
    /// Returns the number of a name. `None`: the name is new and all numbers are in use.
    fn number(&mut self, name: &str) -> Option<u16> {
        if let Some(number) = self.0.get(name) {
            return Some(*number);
        }
        let number = u16::try_from(self.0.len()).ok()?;
        self.0.insert(name.to_owned(), number);
        Some(number)
    }
}

//! The JSON documents that discovery sends: the complete list of backends, or changes to it.

use chalkgap_core::{Availability, BackendId};
use serde::Deserialize;
use std::net::SocketAddr;

/// The list of backends, or changes to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "List")]
pub struct EndpointList {
    /// The version of the list, which increases with each change.
    #[serde(rename = "seq", default)]
    pub version: u64,
    /// Whether the list names all backends, or only those that have changed.
    #[serde(rename = "whole", default)]
    pub is_complete: bool,
    /// The backends that the list names.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<EndpointRecord>,
}

/// A backend in a list.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "Host")]
pub struct EndpointRecord {
    /// The name of the backend, the same for all ingresses.
    #[serde(rename = "host")]
    pub name: String,
    /// The address of the backend, as reachable from this ingress.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The name of the backend's zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// The kind of the backend's machine.
    #[serde(rename = "class", default)]
    pub machine_kind: String,
    /// The number of the backend's cell.
    #[serde(rename = "block", default)]
    pub cell: u16,
    /// Whether the backend accepts requests.
    pub health: EndpointHealth,
    /// The backend's capacity relative to other backends.
    #[serde(rename = "share", default = "default_weight")]
    pub weight: f64,
    /// When the backend was last started, in milliseconds since 1970. 0 means long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_millis: u64,
}

fn default_weight() -> f64 {
    1.0
}

/// Whether a backend accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename = "Health", rename_all = "lowercase")]
pub enum EndpointHealth {
    /// The backend accepts requests.
    Ready,
    /// The backend completes its current requests and accepts no new ones.
    Draining,
    /// The backend has been removed.
    Gone,
}

impl From<EndpointHealth> for Availability {
    fn from(health: EndpointHealth) -> Availability {
        match health {
            EndpointHealth::Ready => Availability::Ready,
            EndpointHealth::Draining => Availability::Draining,
            EndpointHealth::Gone => Availability::Gone,
        }
    }
}

/// Returns the id of the backend of this name: the same at all ingresses and after every restart.
pub fn backend_id(name: &str) -> BackendId {
    let hash = blake3::hash(name.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    BackendId(u64::from_le_bytes(prefix))
}

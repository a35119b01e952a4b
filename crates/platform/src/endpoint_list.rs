//! Discovery's JSON documents: the complete list of backends, or changes to it.

use chalkgap_core::{Availability, BackendId};
use serde::Deserialize;
use std::net::SocketAddr;

/// A list of backends, or changes to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "List")]
pub struct EndpointList {
    /// Grows with each change.
    #[serde(rename = "seq", default)]
    pub version: u64,
    /// Whether it names all backends, or only those that changed.
    #[serde(rename = "whole", default)]
    pub is_complete: bool,
    /// The backends.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<EndpointRecord>,
}

/// A backend as listed.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "Host")]
pub struct EndpointRecord {
    /// Its identity, the same at all ingresses.
    #[serde(rename = "host")]
    pub name: String,
    /// Where it is reached from this ingress.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The name of its zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// The kind of its machine.
    #[serde(rename = "class", default)]
    pub machine_kind: String,
    /// Its cell.
    #[serde(rename = "block", default)]
    pub cell: u16,
    /// Whether it takes requests.
    pub health: EndpointHealth,
    /// Its capacity relative to others.
    #[serde(rename = "share", default = "default_weight")]
    pub weight: f64,
    /// When it last started, in milliseconds since 1970; 0 for long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_millis: u64,
}

fn default_weight() -> f64 {
    1.0
}

/// Whether a backend takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename = "Health", rename_all = "lowercase")]
pub enum EndpointHealth {
    /// It does.
    Ready,
    /// It only finishes those it has.
    Draining,
    /// It has been removed.
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

/// The id of the backend of this name: the same at all ingresses and after every restart.
pub fn backend_id(name: &str) -> BackendId {
    let hash = blake3::hash(name.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    BackendId(u64::from_le_bytes(prefix))
}

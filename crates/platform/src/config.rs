//! What the platform tells an ingress: a file of JSON, named by `RELAY_CONFIG`.

use crate::endpoint_list::EndpointList;
use chalkgap_deployment_config::DeploymentConfig;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The variable that names the file.
pub const VARIABLE: &str = "RELAY_CONFIG";
/// Bytes of a configuration: some ten thousand backends.
const MOST: u64 = 16 << 20;
/// The least descriptors that an ingress can do its work with.
const LEAST_SOCKETS: u64 = 64;

/// Why a configuration is not taken.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The variable is not set.
    #[error("{VARIABLE}: expected the path of the configuration, found nothing")]
    Unset,
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: String,
        /// The system's word.
        error: std::io::Error,
    },
    /// It is not JSON of the platform's form.
    #[error("{path}: {error}")]
    Form {
        /// The file.
        path: String,
        /// Where and what.
        error: serde_json::Error,
    },
    /// A value is not taken.
    #[error("{path}: {complaint}")]
    Value {
        /// The file.
        path: String,
        /// Where and what.
        complaint: String,
    },
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: u64,
}

#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    known: Option<EndpointList>,
    settings: serde_json::Value,
}

/// A configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The ingress's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the list of backends comes from.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Bytes of memory.
    pub memory: u64,
    /// Descriptors.
    pub sockets: u64,
    /// Where messages of peers arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of all ingresses by their numbers, this one's own included.
    pub peers: Vec<SocketAddr>,
    /// The list of backends as this ingress last had it.
    pub known: Option<EndpointList>,
    /// What an instance is told.
    pub terms: DeploymentConfig,
}

impl Config {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// See [`ConfigError`].
    pub fn from_env() -> Result<Config, ConfigError> {
        let path = std::env::var_os(VARIABLE).ok_or(ConfigError::Unset)?;
        Config::read(Path::new(&path))
    }

    /// Reads a file.
    ///
    /// # Errors
    /// See [`ConfigError`].
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        use std::io::Read;
        let name = path.display().to_string();
        let mut bytes = Vec::new();
        let read = std::fs::File::open(path).and_then(|f| f.take(MOST + 1).read_to_end(&mut bytes));
        read.map_err(|error| ConfigError::Read { path: name.clone(), error })?;
        if bytes.len() as u64 > MOST {
            let complaint = format!("expected at most {MOST} bytes");
            return Err(ConfigError::Value { path: name, complaint });
        }
        Config::parse(&name, &bytes)
    }

    /// Reads a file's text; `path` is for complaints.
    ///
    /// # Errors
    /// See [`ConfigError`].
    pub fn parse(path: &str, bytes: &[u8]) -> Result<Config, ConfigError> {
        let value = |complaint: String| ConfigError::Value { path: path.into(), complaint };
        let raw: Raw =
            serde_json::from_slice(bytes).map_err(|error| ConfigError::Form { path: path.into(), error })?;
        let seed = u64::from_str_radix(&raw.seed, 16)
            .map_err(|_| value(format!("seed: expected 16 hexadecimal digits, found {:?}", raw.seed)))?;
        if raw.limits.sockets < LEAST_SOCKETS {
            let found = raw.limits.sockets;
            return Err(value(format!("limits.sockets: expected {LEAST_SOCKETS} or more, found {found}")));
        }
        let terms = chalkgap_deployment_config::from_json(&raw.settings)
            .map_err(|e| value(format!("settings: {e}")))?;
        let (n, m) = (usize::from(terms.settings.gateways), raw.peers.len());
        if terms.settings.limits.gossip && raw.peer_listen.is_some() && n != m {
            return Err(value(format!("peers: expected one for each of {n} ingresses, found {m}")));
        }
        let memory = (raw.limits.memory_mb.max(0.0) * 1e6) as u64;
        let Raw { name, listen, discovery, limits, peer_listen, peers, known, .. } = raw;
        let sockets = limits.sockets;
        Ok(Config { name, listen, discovery, seed, memory, sockets, peer_listen, peers, known, terms })
    }
}

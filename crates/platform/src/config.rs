//! The configuration that the platform gives an ingress: a JSON file named by `RELAY_CONFIG`.

use crate::endpoint_list::EndpointList;
use chalkgap_deployment_config::DeploymentConfig;
use serde::Deserialize;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

/// The environment variable that names the file.
pub const VARIABLE: &str = "RELAY_CONFIG";
/// Bytes of a configuration: enough for some ten thousand backends.
const MAX_CONFIG_BYTES: u64 = 16 << 20;
/// An ingress cannot work with fewer descriptors.
const MIN_DESCRIPTORS: u64 = 64;

/// Why a configuration is rejected.
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
        /// The system's error.
        error: std::io::Error,
    },
    /// The file is not JSON of the platform's form.
    #[error("{path}: {error}")]
    Json {
        /// The file.
        path: String,
        /// Where, and what was expected.
        error: serde_json::Error,
    },
    /// A value is not valid.
    #[error("{path}: {error}")]
    Value {
        /// The file.
        path: String,
        /// Which one, and what was expected.
        error: InvalidValue,
    },
}

/// Why a value of the configuration is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidValue {
    /// The file is too long.
    #[error("expected at most {MAX_CONFIG_BYTES} bytes")]
    FileLength,
    /// The seed is no number.
    #[error("seed: expected 16 hexadecimal digits, found {0:?}")]
    Seed(String),
    /// There are too few descriptors.
    #[error("limits.sockets: expected {MIN_DESCRIPTORS} or more, found {0}")]
    Descriptors(u64),
    /// The settings object is not valid; the text names the place.
    #[error("settings: {0}")]
    Settings(String),
    /// The number of peers is not that of the gateways.
    #[error("peers: expected one for each of {gateways} ingresses, found {found}")]
    PeerCount {
        /// How many gateways there are.
        gateways: usize,
        /// How many peers are listed.
        found: usize,
    },
}

#[derive(Deserialize)]
#[serde(rename = "Limits")]
struct ResourceLimits {
    memory_mb: f64,
    #[serde(rename = "sockets")]
    descriptors: u64,
}

/// The file as it is written.
#[derive(Deserialize)]
#[serde(rename = "Raw")]
struct ConfigDocument {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: ResourceLimits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(rename = "known")]
    cached_endpoints: Option<EndpointList>,
    settings: serde_json::Value,
}

/// A valid configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The ingress's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The seed of random numbers, new with each start.
    pub seed: u64,
    /// How much memory the process may use.
    pub memory_bytes: u64,
    /// How many descriptors the process may use.
    pub descriptors: u64,
    /// Where gossip arrives.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of all ingresses by their numbers, this one included.
    pub peers: Vec<SocketAddr>,
    /// The endpoints as this ingress last had them.
    pub cached_endpoints: Option<EndpointList>,
    /// The settings object.
    pub deployment: DeploymentConfig,
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
        let name = path.display().to_string();
        let mut bytes = Vec::new();
        // One byte more than allowed, so that a longer file is recognised.
        let read = std::fs::File::open(path)
            .and_then(|file| file.take(MAX_CONFIG_BYTES + 1).read_to_end(&mut bytes));
        read.map_err(|error| ConfigError::Read { path: name.clone(), error })?;
        if bytes.len() as u64 > MAX_CONFIG_BYTES {
            return Err(ConfigError::Value { path: name, error: InvalidValue::FileLength });
        }
        Config::parse(&name, &bytes)
    }

    /// Parses the contents of a file; `path` is for error messages.
    ///
    /// # Errors
    /// See [`ConfigError`].
    pub fn parse(path: &str, bytes: &[u8]) -> Result<Config, ConfigError> {
        let document: ConfigDocument = serde_json::from_slice(bytes)
            .map_err(|error| ConfigError::Json { path: path.to_owned(), error })?;
        document.validate().map_err(|error| ConfigError::Value { path: path.to_owned(), error })
    }
}

impl ConfigDocument {
    fn validate(self) -> Result<Config, InvalidValue> {
        let seed = u64::from_str_radix(&self.seed, 16).map_err(|_| InvalidValue::Seed(self.seed))?;
        if self.limits.descriptors < MIN_DESCRIPTORS {
            return Err(InvalidValue::Descriptors(self.limits.descriptors));
        }
        let deployment = chalkgap_deployment_config::from_json(&self.settings)
            .map_err(|error| InvalidValue::Settings(error.to_string()))?;
        let gateways = usize::from(deployment.settings.gateways);
        let gossips = deployment.settings.limits.gossip && self.peer_listen.is_some();
        if gossips && gateways != self.peers.len() {
            return Err(InvalidValue::PeerCount { gateways, found: self.peers.len() });
        }
        Ok(Config {
            name: self.name,
            listen: self.listen,
            discovery: self.discovery,
            seed,
            memory_bytes: (self.limits.memory_mb.max(0.0) * 1e6) as u64,
            descriptors: self.limits.descriptors,
            peer_listen: self.peer_listen,
            peers: self.peers,
            cached_endpoints: self.cached_endpoints,
            deployment,
        })
    }
}

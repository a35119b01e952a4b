//! The configuration of an ingress, written by the platform: a JSON file whose path is in the environment variable
//! `RELAY_CONFIG`.

use crate::endpoint_list::EndpointList;
use chalkgap_core::CUSTOMER_RECORD_BYTES;
use chalkgap_deployment_config::DeploymentConfig;
use serde::Deserialize;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

/// The environment variable that holds the path of the configuration.
pub const CONFIG_PATH_VARIABLE: &str = "RELAY_CONFIG";
/// Maximum size of a configuration in bytes: enough for about ten thousand backends.
const MAX_CONFIG_BYTES: u64 = 16 << 20;
/// Minimum number of file descriptors that an ingress needs.
const MIN_DESCRIPTORS: u64 = 64;
/// The records of customers may use the process's memory limit divided by this.
const CUSTOMER_MEMORY_DIVISOR: usize = 4;
/// Number of customers that are kept whatever the memory limit.
const MIN_CUSTOMERS: usize = 1000;

/// Why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable is not set.
    #[error("{CONFIG_PATH_VARIABLE}: expected the path of the configuration, found nothing")]
    Unset,
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// The path of the file.
        path: String,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// The file is not JSON of the form that the platform specifies.
    #[error("{path}: {error}")]
    Json {
        /// The path of the file.
        path: String,
        /// The error, with its line and column.
        error: serde_json::Error,
    },
    /// A value is out of range or malformed.
    #[error("{path}: {error}")]
    Value {
        /// The path of the file.
        path: String,
        /// The error, with the key and what was expected.
        error: InvalidValue,
    },
}

/// Why a value of the configuration is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidValue {
    /// The file is too long.
    #[error("expected at most {MAX_CONFIG_BYTES} bytes")]
    FileLength,
    /// The seed is not a hexadecimal number.
    #[error("seed: expected 16 hexadecimal digits, found {0:?}")]
    Seed(String),
    /// The limit of file descriptors is too low.
    #[error("limits.sockets: expected {MIN_DESCRIPTORS} or more, found {0}")]
    Descriptors(u64),
    /// The settings object is invalid. The text names the key.
    #[error("settings: {0}")]
    Settings(String),
    /// The number of peers differs from the number of gateways.
    #[error("peers: expected one for each of {gateways} ingresses, found {found}")]
    PeerCount {
        /// The number of gateways in the settings.
        gateways: usize,
        /// The number of peers listed.
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

/// The configuration file, before validation.
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

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the ingress.
    pub name: String,
    /// The address on which clients are accepted.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the core's random numbers, different for each start.
    pub seed: u64,
    /// The memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// The limit of file descriptors of the process.
    pub descriptors: u64,
    /// The address on which gossip is received.
    pub peer_listen: Option<SocketAddr>,
    /// The gossip addresses of all ingresses, including this one, indexed by gateway number.
    pub peers: Vec<SocketAddr>,
    /// The endpoints that this ingress had before its restart, if the platform cached them.
    pub cached_endpoints: Option<EndpointList>,
    /// The parsed settings object.
    pub deployment: DeploymentConfig,
}

impl Config {
    /// Reads the file whose path is in [`CONFIG_PATH_VARIABLE`].
    ///
    /// # Errors
    /// [`ConfigError::Unset`] if the variable is not set, otherwise as [`Config::read`].
    pub fn from_env() -> Result<Config, ConfigError> {
        let path = std::env::var_os(CONFIG_PATH_VARIABLE).ok_or(ConfigError::Unset)?;
        Config::read(Path::new(&path))
    }

    /// Reads a configuration file.
    ///
    /// # Errors
    /// [`ConfigError::Read`] if the file cannot be read, [`InvalidValue::FileLength`] if it exceeds 16 MiB, otherwise as
    /// [`Config::parse`].
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let name = path.display().to_string();
        let mut bytes = Vec::new();
        // Reads one byte more than the limit, so that a file over the limit can be recognised.
        let read = std::fs::File::open(path)
            .and_then(|file| file.take(MAX_CONFIG_BYTES + 1).read_to_end(&mut bytes));
        read.map_err(|error| ConfigError::Read { path: name.clone(), error })?;
        if bytes.len() as u64 > MAX_CONFIG_BYTES {
            return Err(ConfigError::Value { path: name, error: InvalidValue::FileLength });
        }
        Config::parse(&name, &bytes)
    }

    /// Parses the contents of a configuration file. `path` is used in error messages only.
    ///
    /// # Errors
    /// [`ConfigError::Json`] if `bytes` are not JSON of the expected form, [`ConfigError::Value`] if a value is invalid.
    pub fn parse(path: &str, bytes: &[u8]) -> Result<Config, ConfigError> {
        let document: ConfigDocument = serde_json::from_slice(bytes)
            .map_err(|error| ConfigError::Json { path: path.to_owned(), error })?;
        document.validate().map_err(|error| ConfigError::Value { path: path.to_owned(), error })
    }
}

/// Returns how many customers may be kept in a process with this memory limit.
fn max_customers(memory_bytes: u64) -> usize {
    let records = memory_bytes as usize / CUSTOMER_MEMORY_DIVISOR / CUSTOMER_RECORD_BYTES;
    records.max(MIN_CUSTOMERS)
}

impl ConfigDocument {
    fn validate(self) -> Result<Config, InvalidValue> {
        let seed = u64::from_str_radix(&self.seed, 16).map_err(|_| InvalidValue::Seed(self.seed))?;
        if self.limits.descriptors < MIN_DESCRIPTORS {
            return Err(InvalidValue::Descriptors(self.limits.descriptors));
        }
        let memory_bytes = (self.limits.memory_mb.max(0.0) * 1e6) as u64;
        let mut deployment = chalkgap_deployment_config::from_json(&self.settings)
            .map_err(|error| InvalidValue::Settings(error.to_string()))?;
        deployment.settings.max_customers = max_customers(memory_bytes);
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
            memory_bytes,
            descriptors: self.limits.descriptors,
            peer_listen: self.peer_listen,
            peers: self.peers,
            cached_endpoints: self.cached_endpoints,
            deployment,
        })
    }
}

//! The file that stores idle sessions until the next start.

use super::sessions::IdleSession;
use super::{lock, MqttFrontend, MAX_REMEMBERED_IDENTIFIERS};
use chalkgap_runtime::{Micros, Shared};
use chalkgap_wire::mqtt::server::Session;
use serde::{Deserialize, Serialize};

const MAX_SNAPSHOT_BYTES: u64 = 256 << 20;
const STORE_INTERVAL: Micros = 10_000_000;

/// A session in the file: its key, its expiry time, and the reason code sent for each packet identifier of QoS 2.
#[derive(Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
struct StoredSession(String, Micros, Vec<(u16, u8)>);

impl MqttFrontend {
    /// Loads the stored sessions. Without a valid file, clients start new sessions, and the publishes of QoS 2 that they
    /// repeat fail, because these may have run.
    pub async fn load_sessions(&self, runtime: &Shared) {
        let Some(path) = &self.shared.settings.snapshot else { return };
        let bytes = match runtime.files().read(path, MAX_SNAPSHOT_BYTES).await {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return,
            Err(error) => return tracing::warn!(path = %path.display(), %error, "MQTT sessions not loaded"),
        };
        let stored: Vec<StoredSession> = match serde_json::from_slice(&bytes) {
            Ok(stored) => stored,
            Err(error) => return tracing::warn!(path = %path.display(), %error, "MQTT sessions not loaded"),
        };
        let now = runtime.now();
        let mut sessions = lock(&self.shared.sessions);
        for StoredSession(key, expires_at, codes) in stored {
            if expires_at <= now {
                continue;
            }
            let session = Session::restored(codes.into_iter().take(MAX_REMEMBERED_IDENTIFIERS));
            let session = IdleSession { session, expires_at };
            sessions.insert(key, session, now, &self.shared.settings);
        }
    }

    /// Stores the idle sessions.
    pub async fn store_sessions(&self, runtime: &Shared) {
        let Some(path) = &self.shared.settings.snapshot else { return };
        let bytes = serde_json::to_vec(&self.stored_sessions()).unwrap_or_default();
        if let Err(error) = runtime.files().replace(path, bytes).await {
            tracing::warn!(path = %path.display(), %error, "MQTT sessions not stored");
        }
    }

    fn stored_sessions(&self) -> Vec<StoredSession> {
        let sessions = lock(&self.shared.sessions);
        let stored = sessions.idle_sessions().map(|(key, idle)| {
            StoredSession(key.to_owned(), idle.expires_at, idle.session.responses().collect())
        });
        let mut stored: Vec<StoredSession> = stored.collect();
        stored.sort_unstable();
        stored
    }

    /// Stores the idle sessions at intervals until the instance stops.
    pub async fn run(self, runtime: Shared) {
        while self.shared.settings.snapshot.is_some() {
            runtime.sleep_until(runtime.now() + STORE_INTERVAL).await;
            self.store_sessions(&runtime).await;
        }
    }
}

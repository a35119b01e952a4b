//! Idle sessions, which have no connection, and the connections that own the other sessions.

use crate::settings;
use async_channel::Sender;
use chalkgap_runtime::Micros;
use chalkgap_wire::mqtt::server::Session;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Number of superseded entries in the expiry queue that are tolerated beyond one for each idle session.
const EXPIRY_QUEUE_SLACK: usize = 16;

/// Returns the key of a session: the length of the user name, the user name and the client identifier. The length keeps
/// keys of different users distinct, so that they never share a session.
pub(super) fn session_key(user: &str, client: &str) -> String {
    format!("{}:{user}:{client}", user.len())
}

fn user_of(key: &str) -> &str {
    let (length, rest) = key.split_once(':').unwrap_or_default();
    length.parse::<usize>().ok().and_then(|length| rest.get(..length)).unwrap_or_default()
}

/// A session that has no connection.
pub(super) struct IdleSession {
    pub session: Session,
    pub expires_at: Micros,
}

/// The connection that owns a session.
struct SessionOwner {
    /// Dropped when another connection takes the session over.
    takeover: Sender<()>,
    connection: u64,
}

struct Expiry {
    at: Micros,
    key: String,
}

/// All sessions, by key.
#[derive(Default)]
pub(super) struct Sessions {
    idle: HashMap<String, IdleSession>,
    /// Expiries in the order in which sessions became idle. Entries of sessions that were taken since are superseded.
    expiries: VecDeque<Expiry>,
    idle_by_user: HashMap<String, usize>,
    owners: BTreeMap<String, SessionOwner>,
    last_connection: u64,
}

impl Sessions {
    /// Makes a new connection the owner of a session. `takeover` is dropped when another connection claims the session.
    pub fn claim(&mut self, key: &str, takeover: Sender<()>) -> Claim {
        self.last_connection += 1;
        let connection = self.last_connection;
        let former = self.owners.insert(key.to_owned(), SessionOwner { takeover, connection });
        Claim { connection, former: former.map(|owner| owner.takeover) }
    }

    pub fn has_owner(&self, key: &str) -> bool {
        self.owners.contains_key(key)
    }

    pub fn is_idle(&self, key: &str) -> bool {
        self.idle.contains_key(key)
    }

    /// Ends a connection's ownership of a session, and stores the session if it outlives the connection.
    pub fn release(
        &mut self,
        key: &str,
        connection: u64,
        session: Option<IdleSession>,
        now: Micros,
        settings: &settings::Mqtt,
    ) {
        if self.owners.get(key).is_some_and(|owner| owner.connection == connection) {
            self.owners.remove(key);
        }
        if let Some(session) = session {
            self.insert(key.to_owned(), session, now, settings);
        }
    }

    /// Adds an idle session. If the user is at the limit per user, the new session is dropped, which affects no other
    /// user. Beyond the limit on all sessions, those that have been idle for the longest are dropped.
    pub fn insert(&mut self, key: String, session: IdleSession, now: Micros, settings: &settings::Mqtt) {
        self.take(&key);
        let user = user_of(&key).to_owned();
        if self.idle_by_user.get(&user).is_some_and(|count| *count >= settings.sessions_per_user) {
            return;
        }
        *self.idle_by_user.entry(user).or_default() += 1;
        self.expiries.push_back(Expiry { at: session.expires_at, key: key.clone() });
        self.idle.insert(key, session);
        self.drop_oldest(now, settings.sessions);
        self.drop_superseded_expiries();
    }

    fn drop_oldest(&mut self, now: Micros, max_sessions: usize) {
        while self.idle.len() > max_sessions || self.expiries.front().is_some_and(|expiry| expiry.at <= now) {
            let Some(expiry) = self.expiries.pop_front() else { break };
            if is_current(&self.idle, &expiry) {
                self.take(&expiry.key);
            }
        }
    }

    fn drop_superseded_expiries(&mut self) {
        if self.expiries.len() > 2 * self.idle.len() + EXPIRY_QUEUE_SLACK {
            let idle = &self.idle;
            self.expiries.retain(|expiry| is_current(idle, expiry));
        }
    }

    /// Removes an idle session.
    pub fn take(&mut self, key: &str) -> Option<IdleSession> {
        let session = self.idle.remove(key)?;
        if let Some(count) = self.idle_by_user.get_mut(user_of(key)) {
            *count -= 1;
            if *count == 0 {
                self.idle_by_user.remove(user_of(key));
            }
        }
        Some(session)
    }

    pub fn idle_sessions(&self) -> impl Iterator<Item = (&str, &IdleSession)> {
        self.idle.iter().map(|(key, session)| (&key[..], session))
    }
}

/// Result of [`Sessions::claim`].
pub(super) struct Claim {
    /// Number of the connection that is the new owner.
    pub connection: u64,
    /// Takeover signal of the former owner. Dropping it makes the former owner release the session.
    pub former: Option<Sender<()>>,
}

fn is_current(idle: &HashMap<String, IdleSession>, expiry: &Expiry) -> bool {
    idle.get(&expiry.key).is_some_and(|session| session.expires_at == expiry.at)
}

//! Authentication of MQTT clients by user name and password.

use super::lock;
use crate::settings;
use argon2::password_hash::phc::PasswordHash;
use argon2::{Argon2, PasswordVerifier};
use chalkgap_runtime::{Micros, Shared};
use chalkgap_wire::mqtt::packet::Connect;
use std::collections::HashMap;
use std::sync::Mutex;

/// Result of an authentication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Authentication {
    Accepted,
    Denied,
    /// The limit on password hashes per second is reached: the client has to retry.
    Busy,
}

/// Checks passwords.
///
/// An Argon2 hash takes tens of milliseconds by design. Therefore the number of hashes per second is limited, and a
/// password that matched before is recognized by a fast keyed hash.
pub(super) struct Authenticator {
    /// Keyed hash of the last password that matched, by user.
    matched: Mutex<HashMap<String, blake3::Hash>>,
    key: [u8; 32],
    checks: Mutex<ChecksInSecond>,
}

#[derive(Default)]
struct ChecksInSecond {
    second: u64,
    count: u32,
}

impl Authenticator {
    pub fn new(runtime: &Shared) -> Self {
        let mut key = [0; 32];
        for part in key.chunks_mut(8) {
            part.copy_from_slice(&runtime.random().to_le_bytes());
        }
        Authenticator { matched: Mutex::default(), key, checks: Mutex::default() }
    }

    /// Checks the user name and password of a CONNECT.
    pub fn authenticate(&self, settings: &settings::Mqtt, connect: &Connect, now: Micros) -> Authentication {
        let Some(user) = &connect.user else { return accepted_if(settings.anonymous) };
        let Some(password_hash) = settings.users.get(user) else { return Authentication::Denied };
        let Some(password) = &connect.password else { return Authentication::Denied };
        let fast_hash = self.fast_hash(user, password);
        // `blake3::Hash` compares in constant time, and so does the Argon2 library below.
        if lock(&self.matched).get(user).is_some_and(|matched| *matched == fast_hash) {
            return Authentication::Accepted;
        }
        if !self.may_check(now, settings.checks_per_s) {
            return Authentication::Busy;
        }
        let Ok(password_hash) = PasswordHash::new(password_hash) else { return Authentication::Denied };
        let matches = Argon2::default().verify_password(password, &password_hash).is_ok();
        if matches {
            lock(&self.matched).insert(user.clone(), fast_hash);
        }
        accepted_if(matches)
    }

    fn fast_hash(&self, user: &str, password: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&(user.len() as u64).to_le_bytes());
        hasher.update(user.as_bytes());
        hasher.update(password);
        hasher.finalize()
    }

    /// Counts a check. Returns false if the limit of this second is reached, so that hashing wrong passwords does not
    /// occupy the thread.
    fn may_check(&self, now: Micros, max_per_second: u32) -> bool {
        let second = now / 1_000_000;
        let mut checks = lock(&self.checks);
        if checks.second != second {
            *checks = ChecksInSecond { second, count: 0 };
        }
        if checks.count >= max_per_second {
            return false;
        }
        checks.count += 1;
        true
    }
}

fn accepted_if(accepted: bool) -> Authentication {
    if accepted {
        Authentication::Accepted
    } else {
        Authentication::Denied
    }
}

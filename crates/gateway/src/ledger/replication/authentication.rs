//! Authenticates messages between the ingresses of a group by a keyed BLAKE3 hash over path, direction, sender,
//! receiver, nonce and body.

use crate::peers::Key;
use bytes::Bytes;
use chalkgap_wire::fleet::Sealed;
use prost::Message;

/// Direction of a message. It is part of the hash, so that a question is not valid as an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    Question,
    Answer,
}

/// Authenticates the messages that one ingress sends and receives.
pub(super) struct Authenticator {
    pub(super) key: Key,
    pub(super) ingress: u16,
}

impl Authenticator {
    /// Creates an authenticated message.
    pub(super) fn seal(
        &self,
        path: &str,
        direction: Direction,
        receiver: u16,
        nonce: u64,
        body: Bytes,
    ) -> Sealed {
        let from = self.ingress.into();
        let mut sealed = Sealed { from, to: receiver.into(), nonce, body, hash: Bytes::new() };
        sealed.hash = Bytes::copy_from_slice(self.hash(path, direction, &sealed).as_bytes());
        sealed
    }

    /// Decodes and authenticates a message. `None` if its hash does not match the key, path and direction, or if it is
    /// not from another ingress to this one.
    pub(super) fn open(&self, path: &str, direction: Direction, message: Bytes) -> Option<Sealed> {
        let sealed = Sealed::decode(message).ok()?;
        let received = <[u8; 32]>::try_from(&sealed.hash[..]).ok()?;
        // `blake3::Hash` compares in constant time.
        let authentic = self.hash(path, direction, &sealed) == blake3::Hash::from_bytes(received);
        let addressed = sealed.to == u32::from(self.ingress) && sealed.from != sealed.to;
        (authentic && addressed).then_some(sealed)
    }

    fn hash(&self, path: &str, direction: Direction, message: &Sealed) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(self.key.bytes());
        let is_question = [u8::from(direction == Direction::Question)];
        let sender = message.from.to_be_bytes();
        let receiver = message.to.to_be_bytes();
        // Each part is preceded by its length, so that different lists of parts never hash the same bytes.
        for part in [path.as_bytes(), &is_question, &sender, &receiver] {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(&message.nonce.to_be_bytes());
        hasher.update(&message.body);
        hasher.finalize()
    }
}

#[cfg(test)]
mod tests;

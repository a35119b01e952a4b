//! Messages to send, and the token bucket that limits their rate.

use crate::membership::Membership;
use crate::wire::Message;
use crate::{MemberId, Micros};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Transmit {
    /// The receiver's id. [`ANY_MEMBER`](crate::ANY_MEMBER) if it is unknown, [`OBSERVER`](crate::OBSERVER) if the
    /// receiver is not a member; the two have the same value.
    pub to: MemberId,
    /// The receiver's address.
    pub address: SocketAddr,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// Queue of encoded messages with a token bucket.
pub(crate) struct Outbox {
    /// The refill rate, and also the capacity of the bucket.
    messages_per_second: f64,
    tokens: f64,
    refilled_at: Micros,
    queue: VecDeque<Transmit>,
}

impl Outbox {
    pub(crate) fn new(now: Micros, messages_per_second: f64) -> Outbox {
        let tokens = messages_per_second;
        Outbox { messages_per_second, tokens, refilled_at: now, queue: VecDeque::new() }
    }

    pub(crate) fn pop(&mut self) -> Option<Transmit> {
        self.queue.pop_front()
    }

    pub(crate) fn clear(&mut self) {
        self.queue.clear();
    }

    /// Takes a token. Returns false if none is available.
    fn try_acquire(&mut self, now: Micros) -> bool {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + seconds * self.messages_per_second).min(self.messages_per_second);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Membership {
    /// Queues a message. Returns false, and drops it, if the rate limit is exceeded or this member is superseded.
    pub(crate) fn transmit(
        &mut self,
        now: Micros,
        to: MemberId,
        address: SocketAddr,
        message: &Message,
    ) -> bool {
        if self.superseded || !self.outbox.try_acquire(now) {
            return false;
        }
        self.outbox.queue.push_back(Transmit { to, address, bytes: message.encode() });
        true
    }
}

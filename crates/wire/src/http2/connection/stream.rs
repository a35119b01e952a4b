//! The state of one stream (RFC 9113, section 5.1) and its flow control (section 5.2).

use super::super::hpack::Field;
use bytes::Bytes;
use std::collections::VecDeque;

/// An open stream.
#[derive(Default)]
pub(super) struct Stream {
    /// Bytes that the peer still allows.
    pub(super) send_window: i64,
    /// Bytes that this side still allows.
    pub(super) receive_window: i64,
    /// Bytes that were read and not given back to the peer's window yet.
    pub(super) unacknowledged: u32,
    /// Parts of the body that wait to be written, and their bytes.
    pub(super) queue: VecDeque<Bytes>,
    pub(super) queued_bytes: usize,
    /// Trailers that wait until the body is written.
    pub(super) trailers: Option<Vec<Field>>,
    /// This side's last frame is queued.
    pub(super) end_queued: bool,
    /// This side's last frame is written.
    pub(super) end_sent: bool,
    /// The peer's last frame has come.
    pub(super) end_received: bool,
    pub(super) headers_received: bool,
    /// It is among those that wait for their turn to write.
    pub(super) is_scheduled: bool,
    /// The content length that the peer stated.
    pub(super) content_length: Option<u64>,
    /// Bytes of the body that have come.
    pub(super) body_received: u64,
}

impl Stream {
    /// Whether the peer's window lets a waiting body go on.
    pub(super) fn may_resume(&self) -> bool {
        !self.is_scheduled && self.send_window > 0 && !self.queue.is_empty()
    }

    /// Takes a part of at most `limit` bytes off the queue; none if nothing waits.
    pub(super) fn dequeue(&mut self, limit: usize) -> Option<Bytes> {
        let part = self.queue.front_mut()?;
        let piece = part.split_to(part.len().min(limit));
        if part.is_empty() {
            self.queue.pop_front();
        }
        self.queued_bytes -= piece.len();
        self.send_window -= piece.len() as i64;
        Some(piece)
    }

    /// Whether what has come of the body contradicts the stated content length (section 8.1.1).
    pub(super) fn contradicts_length(&self) -> bool {
        let is_wrong =
            |length: u64| self.body_received > length || (self.end_received && self.body_received != length);
        self.content_length.is_some_and(is_wrong)
    }
}

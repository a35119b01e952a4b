//! The state of one stream (RFC 9113, section 5.1) and its flow-control windows (section 5.2).

use super::super::hpack::Field;
use bytes::Bytes;
use std::collections::VecDeque;

/// An open stream.
#[derive(Default)]
pub(super) struct Stream {
    /// Bytes that this side may still send. Negative if the peer has reduced the initial window (section 6.9.2).
    pub(super) send_window: i64,
    /// Bytes that the peer may still send.
    pub(super) receive_window: i64,
    /// Consumed bytes that have not been returned to the peer's window by WINDOW_UPDATE.
    pub(super) unacknowledged: u32,
    /// Parts of the body that wait to be written.
    pub(super) queue: VecDeque<Bytes>,
    /// Size of the queued parts.
    pub(super) queued_bytes: usize,
    /// Trailers to write after the body.
    pub(super) trailers: Option<Vec<Field>>,
    /// The end of this side's message is queued: nothing more can be sent.
    pub(super) end_queued: bool,
    /// A frame with END_STREAM was written.
    pub(super) end_sent: bool,
    /// A frame with END_STREAM was received.
    pub(super) end_received: bool,
    pub(super) headers_received: bool,
    /// The stream is in `Connection::scheduled`.
    pub(super) is_scheduled: bool,
    /// Value of the peer's `content-length`.
    pub(super) content_length: Option<u64>,
    /// Received bytes of the body.
    pub(super) body_received: u64,
}

impl Stream {
    /// Returns whether the stream has to be scheduled: a body is queued and the send window is open.
    pub(super) fn may_resume(&self) -> bool {
        !self.is_scheduled && self.send_window > 0 && !self.queue.is_empty()
    }

    /// Removes at most `limit` bytes from the queue. Returns `None` if the queue is empty.
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

    /// Returns whether the size of the received body contradicts `content-length` (section 8.1.1).
    pub(super) fn contradicts_length(&self) -> bool {
        let is_wrong =
            |length: u64| self.body_received > length || (self.end_received && self.body_received != length);
        self.content_length.is_some_and(is_wrong)
    }
}

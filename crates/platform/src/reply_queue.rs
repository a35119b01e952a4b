//! The replies of a client connection that have not been written yet. Long values wait without being copied; short replies are
//! collected in one buffer.

use crate::memory_plan::GUARANTEED_CLIENT_BYTES;
use bytes::{Bytes, BytesMut};
use chalkgap_resp::put_bulk_header;
use std::collections::VecDeque;

/// A value of at least this length waits without being copied.
const MIN_LONG_VALUE_BYTES: usize = 4 << 10;
/// How much of a long value is copied at once.
const PIECE_BYTES: usize = 8 << 10;

/// Encoded replies in their order.
#[derive(Default)]
pub(crate) struct ReplyQueue {
    /// What is written next.
    output: BytesMut,
    /// What follows the output.
    waiting: VecDeque<Bytes>,
    /// Number of bytes that wait.
    waiting_bytes: usize,
}

impl ReplyQueue {
    /// Appends a reply that `encode` writes. It must be short.
    pub(crate) fn push(&mut self, encode: impl FnOnce(&mut BytesMut)) {
        if self.waiting.is_empty() {
            return encode(&mut self.output);
        }
        let mut reply = BytesMut::new();
        encode(&mut reply);
        self.push_waiting(reply.freeze());
    }

    /// Appends a value.
    pub(crate) fn push_value(&mut self, value: Bytes) {
        if value.len() < MIN_LONG_VALUE_BYTES {
            return self.push(|out| chalkgap_resp::put_bulk(out, &value));
        }
        self.push(|out| put_bulk_header(out, value.len()));
        self.push_waiting(value);
        self.push_waiting(Bytes::from_static(b"\r\n"));
    }

    fn push_waiting(&mut self, bytes: Bytes) {
        self.waiting_bytes += bytes.len();
        self.waiting.push_back(bytes);
    }

    /// Returns the buffer of the bytes that are written next. It is empty only if nothing waits.
    pub(crate) fn output(&mut self) -> &mut BytesMut {
        while self.output.len() < PIECE_BYTES {
            let Some(next) = self.waiting.front_mut() else { break };
            let piece = next.split_to(next.len().min(PIECE_BYTES - self.output.len()));
            self.waiting_bytes -= piece.len();
            self.output.extend_from_slice(&piece);
            if next.is_empty() {
                self.waiting.pop_front();
            }
        }
        &mut self.output
    }

    /// Returns the number of bytes that have not been written.
    pub(crate) fn unwritten_bytes(&self) -> usize {
        self.output.len() + self.waiting_bytes
    }

    /// Returns the number of bytes that the buffer occupies. Long values are counted where they were received.
    pub(crate) fn capacity(&self) -> usize {
        self.output.capacity()
    }

    /// Frees the buffer after all was written, unless it is small.
    pub(crate) fn release_unused(&mut self) {
        if self.unwritten_bytes() == 0 && self.output.capacity() > GUARANTEED_CLIENT_BYTES {
            self.output = BytesMut::new();
        }
    }
}

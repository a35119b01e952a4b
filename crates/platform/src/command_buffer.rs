//! The received bytes of a client connection that have not been parsed yet. Its capacity follows what has arrived, so that the
//! memory of a connection is known, and a command that was taken shares no memory with the buffer.

use crate::memory_plan::GUARANTEED_CLIENT_BYTES;
use bytes::Bytes;
use chalkgap_resp::{find_command, Command, DecodeError, Limits};
use chalkgap_transport::{MemoryBudget, MemoryOwner};
use std::sync::Arc;

/// Up to this capacity a buffer is as long as its contents.
const EXACT_BYTES: usize = GUARANTEED_CLIENT_BYTES;
/// A longer buffer grows by this many bytes, so that it is not copied too often.
const GROWTH_BYTES: usize = 8 << 10;
/// A command of at least this length takes the buffer with it; a shorter one is copied.
const MIN_MOVED_BYTES: usize = 4 << 10;
/// Upper bound of the memory of a request beside its command: the records of driver and core, and its reply slot.
const REQUEST_RECORD_BYTES: usize = 1024;

/// Bytes that have not been parsed yet.
#[derive(Default)]
pub(crate) struct CommandBuffer {
    bytes: Vec<u8>,
    /// Where the bytes begin that have not been parsed.
    start: usize,
}

/// Returns the capacity of a buffer for `required` bytes.
fn capacity_for(required: usize) -> usize {
    if required <= EXACT_BYTES {
        required
    } else {
        required.next_multiple_of(GROWTH_BYTES)
    }
}

impl CommandBuffer {
    pub(crate) fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of bytes that the buffer occupies.
    pub(crate) fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns an upper bound of the capacity after `count` more bytes were received.
    pub(crate) fn capacity_after(&self, count: usize) -> usize {
        self.capacity().max(capacity_for(self.len() + count))
    }

    /// Appends received bytes.
    pub(crate) fn receive(&mut self, received: &[u8]) {
        if self.bytes.capacity() - self.bytes.len() < received.len() {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        if self.bytes.capacity() - self.bytes.len() < received.len() {
            let capacity = capacity_for(self.bytes.len() + received.len());
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(received);
    }

    /// Drops all bytes.
    pub(crate) fn clear(&mut self) {
        *self = CommandBuffer::default();
    }

    /// Takes the first command, if it is complete. Its memory is counted until the last of its arguments is dropped.
    pub(crate) fn take_command(
        &mut self,
        limits: &Limits,
        memory: &Arc<MemoryBudget>,
    ) -> Result<Option<Command>, DecodeError> {
        let Some(found) = find_command(&self.bytes[self.start..], limits)? else { return Ok(None) };
        let (item, capacity) = self.take(found.length);
        let item = memory.draw(MemoryOwner::Requests, capacity + REQUEST_RECORD_BYTES).attach(item);
        let arguments = found.arguments.into_iter().map(|argument| item.slice(argument)).collect();
        Ok(Some(Command { arguments }))
    }

    /// Takes the first `length` bytes. Also returns how many bytes they occupy.
    fn take(&mut self, length: usize) -> (Bytes, usize) {
        let end = self.start + length;
        if length < MIN_MOVED_BYTES {
            let item = Bytes::copy_from_slice(&self.bytes[self.start..end]);
            self.start = end;
            self.release_unused();
            return (item, length);
        }
        let rest = self.bytes[end..].to_vec();
        let mut taken = std::mem::replace(&mut self.bytes, rest);
        let start = std::mem::take(&mut self.start);
        taken.truncate(end);
        let capacity = taken.capacity();
        (Bytes::from(taken).slice(start..), capacity)
    }

    /// Frees the memory of an empty buffer, unless it is small.
    fn release_unused(&mut self) {
        if self.is_empty() {
            self.bytes.clear();
            self.start = 0;
            if self.bytes.capacity() > EXACT_BYTES {
                self.bytes = Vec::new();
            }
        }
    }
}

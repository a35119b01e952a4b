//! Batches of events: splits a frame into its records and resolves ranges of its tail.

use super::bytes::{u16_at, u32_at, u64_at};
use super::error::{FieldError, WireError};
use super::layout::{header, record, BATCH_HEADER_BYTES, EVENT_BYTES};
use chalkgap_core::Micros;

/// Returns the length in bytes of the whole frame that begins with this header.
///
/// # Errors
/// Returns [`WireError::FrameTooShort`] if the length in the header is too short for its number of records.
pub fn frame_length(batch_header: &[u8]) -> Result<usize, WireError> {
    let records = u32_at(batch_header, header::RECORD_COUNT);
    let length = u32_at(batch_header, header::FRAME_LENGTH) as usize;
    if length < BATCH_HEADER_BYTES + records as usize * EVENT_BYTES {
        let batch = u32_at(batch_header, header::BATCH_NUMBER);
        return Err(WireError::FrameTooShort { batch, length, records });
    }
    Ok(length)
}

/// Events that happened at the same time.
pub struct Batch<'a> {
    /// Number of the batch, which the reply repeats.
    pub number: u32,
    /// Time of the events, in microseconds.
    pub clock: Micros,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    /// Splits a whole frame, whose length is that of [`frame_length`].
    ///
    /// # Errors
    /// Returns [`WireError::FrameTooShort`] if the length in the header is too short for its number of records.
    pub fn parse(frame: &'a [u8]) -> Result<Self, WireError> {
        let length = frame_length(frame)?;
        let record_count = u32_at(frame, header::RECORD_COUNT) as usize;
        let tail_start = BATCH_HEADER_BYTES + record_count * EVENT_BYTES;
        Ok(Batch {
            number: u32_at(frame, header::BATCH_NUMBER),
            clock: u64_at(frame, header::CLOCK),
            records: &frame[BATCH_HEADER_BYTES..tail_start],
            tail: &frame[tail_start..length],
        })
    }

    /// Returns the records in their order.
    pub fn records(&self) -> impl Iterator<Item = Record<'a>> {
        let batch = self.number;
        let tail = self.tail;
        let bodies = self.records.chunks_exact(EVENT_BYTES).enumerate();
        bodies.map(move |(index, body)| Record { batch, index, body, tail })
    }
}

/// One event of a batch.
pub struct Record<'a> {
    pub(super) batch: u32,
    pub(super) index: usize,
    pub(super) body: &'a [u8],
    pub(super) tail: &'a [u8],
}

impl<'a> Record<'a> {
    /// Returns the number of the gateway that the event is for.
    pub fn instance(&self) -> u16 {
        u16_at(self.body, record::INSTANCE)
    }

    /// Creates an error that names the batch, this record and a field; `field` is the protocol's name of it.
    pub fn error(&self, field: &'static str, error: FieldError) -> WireError {
        WireError::Field { batch: self.batch, record: self.index, field, error }
    }

    /// Returns the range of the tail whose offset and count are at `at`. The count is in items of `item_bytes` bytes.
    pub(super) fn tail_range(
        &self,
        at: usize,
        field: &'static str,
        item_bytes: usize,
    ) -> Result<&'a [u8], WireError> {
        let offset = u32_at(self.body, at) as usize;
        let count = u32_at(self.body, at + size_of::<u32>()) as usize;
        let end = count.checked_mul(item_bytes).and_then(|length| length.checked_add(offset));
        let range = end.and_then(|end| self.tail.get(offset..end));
        range.ok_or_else(|| {
            self.error(field, FieldError::OutsideTail { offset, count, length: self.tail.len() })
        })
    }
}

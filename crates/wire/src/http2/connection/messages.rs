//! Receives the frames of requests and responses: HEADERS, CONTINUATION and DATA (RFC 9113, sections 6.1, 6.2, 6.10 and
//! 8.1).

use super::super::frame::{unpad, Code, ConnError, FrameHeader, END_HEADERS, END_STREAM, PRIORITIZED};
use super::super::hpack::{Field, HpackError};
use super::receiving::LATE_FRAME_COST;
use super::validation::{check, CheckedFields, MessageKind};
use super::{protocol_error, Connection, Event, HeaderBlock};
use bytes::{Buf, Bytes, BytesMut};

/// Maximum number of CONTINUATION frames of a header block. A block of 16 KiB needs at most one; the limit also ends a
/// block of many small frames.
const MAX_CONTINUATIONS: u32 = 16;
/// Cost of an empty DATA frame or an interim response in the allowance.
const EMPTY_FRAME_COST: f64 = 1.0;
/// Size of the priority fields in front of a header block (section 6.2).
const PRIORITY_BYTES: usize = 5;

impl Connection {
    pub(super) fn on_data(&mut self, header: FrameHeader, payload: Bytes) -> Result<(), ConnError> {
        let id = header.stream;
        if id == 0 || self.is_idle(id) {
            return Err(protocol_error("DATA on a stream that is not open"));
        }
        let size = payload.len();
        self.receive_window -= size as i64;
        if self.receive_window < 0 {
            return Err(ConnError::new(Code::FLOW_CONTROL_ERROR, "DATA beyond the connection's window"));
        }
        let data = unpad(&header, payload).ok_or(protocol_error("padding longer than the frame"))?;
        let end = header.has(END_STREAM);
        if data.is_empty() && !end {
            self.spend(EMPTY_FRAME_COST, "too many empty DATA frames")?;
        }
        if !self.streams.contains_key(&id) {
            self.consumed(id, size);
            return self.on_late_data(id, end);
        }
        if let Err(code) = self.count_data(id, size, data.len(), end) {
            self.consumed(id, size);
            return self.stream_error(id, code);
        }
        let padding = size - data.len();
        if padding > 0 {
            self.consumed(id, padding);
        }
        if !data.is_empty() || end {
            self.events.push_back(Event::Data { stream: id, data, end });
        }
        self.remove_if_ended(id);
        Ok(())
    }

    /// Handles DATA on a closed stream.
    fn on_late_data(&mut self, id: u32, end: bool) -> Result<(), ConnError> {
        match self.reset_streams.iter().position(|reset| *reset == id) {
            // The response was sent before the client ended its request. The late END_STREAM is free once per stream.
            Some(position) if end => {
                self.reset_streams.remove(position);
                Ok(())
            }
            Some(_) => self.spend(LATE_FRAME_COST, "too much DATA on streams that were reset"),
            None => self.stream_error(id, Code::STREAM_CLOSED),
        }
    }

    /// Counts received DATA of a stream in its flow-control window and body length. `size` includes padding, `length`
    /// does not.
    ///
    /// # Errors
    /// The error code with which to reset the stream.
    fn count_data(&mut self, id: u32, size: usize, length: usize, end: bool) -> Result<(), Code> {
        let Some(stream) = self.streams.get_mut(&id) else { return Err(Code::STREAM_CLOSED) };
        stream.receive_window -= size as i64;
        if stream.end_received {
            return Err(Code::STREAM_CLOSED);
        }
        if !stream.headers_received {
            return Err(Code::PROTOCOL_ERROR);
        }
        if stream.receive_window < 0 {
            return Err(Code::FLOW_CONTROL_ERROR);
        }
        stream.body_received += length as u64;
        stream.end_received = end;
        if stream.contradicts_length() {
            return Err(Code::PROTOCOL_ERROR);
        }
        Ok(())
    }

    /// Removes the stream if both sides have ended it.
    fn remove_if_ended(&mut self, id: u32) {
        if self.streams.get(&id).is_some_and(|stream| stream.end_received && stream.end_sent) {
            self.streams.remove(&id);
            self.allowance.earn();
        }
    }

    pub(super) fn on_headers(&mut self, header: FrameHeader, payload: Bytes) -> Result<(), ConnError> {
        let id = header.stream;
        if id == 0 || id % 2 == 0 {
            return Err(protocol_error("HEADERS on a stream that a client cannot have opened"));
        }
        if !self.is_server && self.is_idle(id) {
            return Err(protocol_error("an answer on a stream that was never opened"));
        }
        let mut part = unpad(&header, payload).ok_or(protocol_error("padding longer than the frame"))?;
        if header.has(PRIORITIZED) {
            if part.len() < PRIORITY_BYTES {
                return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "HEADERS too short for its priority"));
            }
            part.advance(PRIORITY_BYTES);
        }
        if header.has(END_HEADERS) {
            return self.on_header_block(header, &part);
        }
        self.header_block = Some(HeaderBlock { header, bytes: BytesMut::from(&part[..]), frames: 0 });
        Ok(())
    }

    pub(super) fn on_continuation(&mut self, header: FrameHeader, payload: &[u8]) -> Result<(), ConnError> {
        let limit = self.config.header_list as usize;
        let Some(block) = &mut self.header_block else {
            return Err(protocol_error("CONTINUATION without an open header block"));
        };
        block.frames += 1;
        if block.frames > MAX_CONTINUATIONS || block.bytes.len() + payload.len() > limit {
            return Err(ConnError::new(Code::ENHANCE_YOUR_CALM, "a header block over the limit"));
        }
        block.bytes.extend_from_slice(payload);
        if !header.has(END_HEADERS) {
            return Ok(());
        }
        match self.header_block.take() {
            Some(block) => self.on_header_block(block.header, &block.bytes),
            None => Ok(()),
        }
    }

    /// Handles a complete header block. The block is always decoded, also if the stream is closed or refused, to keep
    /// the HPACK dynamic tables of both sides equal (section 4.3).
    fn on_header_block(&mut self, header: FrameHeader, block: &[u8]) -> Result<(), ConnError> {
        let id = header.stream;
        let end = header.has(END_STREAM);
        let fields = self.decode_fields(block)?;
        if self.is_server && self.is_idle(id) {
            self.last_peer_stream = id;
            if self.is_draining || self.goaway_sent.is_some_and(|last| id > last) {
                return Ok(()); // above the last id of the GOAWAY: the client treats it as not processed
            }
            if self.streams.len() >= self.config.max_streams as usize {
                return self.stream_error(id, Code::REFUSED_STREAM);
            }
            let stream = self.new_stream();
            self.streams.insert(id, stream);
        }
        let Some(stream) = self.streams.get(&id) else {
            if self.reset_streams.contains(&id) {
                return self.spend(LATE_FRAME_COST, "too many HEADERS on streams that were reset");
            }
            return Err(ConnError::new(Code::STREAM_CLOSED, "HEADERS on a closed stream"));
        };
        if stream.end_received {
            return self.stream_error(id, Code::STREAM_CLOSED);
        }
        let kind = match (stream.headers_received, self.is_server) {
            (true, _) => MessageKind::Trailers,
            (false, true) => MessageKind::Request,
            (false, false) => MessageKind::Response,
        };
        let Ok(checked) = check(&fields, kind) else {
            return self.stream_error(id, Code::PROTOCOL_ERROR);
        };
        self.on_fields(id, kind, checked, fields, end)
    }

    fn decode_fields(&mut self, block: &[u8]) -> Result<Vec<Field>, ConnError> {
        self.decoder.decode(block, self.config.header_list as usize).map_err(|error| match error {
            HpackError::TooLarge(_) => {
                ConnError::new(Code::ENHANCE_YOUR_CALM, "fields over the limit of a message")
            }
            _ => ConnError::new(Code::COMPRESSION_ERROR, "a header block that cannot be read"),
        })
    }

    /// Handles valid fields, which begin a message or are its trailers.
    fn on_fields(
        &mut self,
        id: u32,
        kind: MessageKind,
        checked: CheckedFields,
        fields: Vec<Field>,
        end: bool,
    ) -> Result<(), ConnError> {
        let is_trailers = kind == MessageKind::Trailers;
        if is_trailers && !end {
            return self.stream_error(id, Code::PROTOCOL_ERROR);
        }
        if checked.informational {
            if end {
                return self.stream_error(id, Code::PROTOCOL_ERROR);
            }
            return self.spend(EMPTY_FRAME_COST, "too many 1xx");
        }
        let Some(stream) = self.streams.get_mut(&id) else { return Ok(()) };
        stream.headers_received = true;
        if !is_trailers {
            stream.content_length = checked.content_length;
        }
        stream.end_received = end;
        let length_differs = stream.content_length.is_some_and(|length| length != stream.body_received);
        if end && length_differs && stream.body_received > 0 {
            return self.stream_error(id, Code::PROTOCOL_ERROR);
        }
        self.events.push_back(Event::Headers { stream: id, fields, end });
        self.remove_if_ended(id);
        Ok(())
    }
}

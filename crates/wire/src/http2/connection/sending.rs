//! Opens and resets streams, sends fields and bodies, and returns consumed bytes to the peer's windows.

use super::super::frame::{
    write_frame_header, write_u32, Code, CONTINUATION, DATA, END_HEADERS, END_STREAM, HEADERS, RST_STREAM,
    WINDOW_UPDATE,
};
use super::super::hpack::Field;
use super::{Connection, OpenError, SendError};
use bytes::{BufMut, Bytes};

/// Maximum number of reset streams whose late frames are ignored.
const MAX_RESET_STREAMS: usize = 256;

impl Connection {
    /// Opens a stream with a request's fields and returns its id. `end`: no body or trailers follow.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn open(&mut self, fields: &[Field], end: bool) -> Result<u32, OpenError> {
        self.can_open()?;
        let id = self.next_stream;
        self.next_stream += 2;
        self.streams.insert(id, self.new_stream());
        self.write_fields(id, fields, end);
        self.on_frame_written(id, end);
        Ok(id)
    }

    /// Sends the fields of a response, or trailers, which are sent after a queued body. `end`: nothing follows.
    ///
    /// # Errors
    /// [`SendError::Closed`] if the stream is closed or its end is already queued.
    pub fn headers(&mut self, id: u32, fields: Vec<Field>, end: bool) -> Result<(), SendError> {
        let stream =
            self.streams.get_mut(&id).filter(|stream| !stream.end_queued).ok_or(SendError::Closed)?;
        stream.end_queued = end;
        if stream.queued_bytes > 0 || !stream.queue.is_empty() {
            stream.trailers = Some(fields);
            return Ok(());
        }
        self.write_fields(id, &fields, end);
        self.on_frame_written(id, end);
        Ok(())
    }

    /// Queues a part of a body, which is sent as the peer's windows allow. `end`: nothing follows.
    ///
    /// # Errors
    /// [`SendError::Closed`] if the stream is closed or its end is already queued; [`SendError::Full`] if the queued
    /// bytes would exceed the send buffer.
    pub fn data(&mut self, id: u32, data: Bytes, end: bool) -> Result<(), SendError> {
        let limit = self.config.send_buffer;
        let stream =
            self.streams.get_mut(&id).filter(|stream| !stream.end_queued).ok_or(SendError::Closed)?;
        if stream.queued_bytes > 0 && stream.queued_bytes + data.len() > limit {
            return Err(SendError::Full(stream.queued_bytes));
        }
        stream.end_queued = end;
        stream.queued_bytes += data.len();
        stream.queue.push_back(data);
        if !stream.is_scheduled {
            stream.is_scheduled = true;
            self.scheduled.push_back(id);
        }
        Ok(())
    }

    /// Resets a stream and discards its queued data. Does nothing if the stream is closed.
    pub fn reset(&mut self, id: u32, code: Code) {
        if self.streams.remove(&id).is_some() {
            write_u32(&mut self.output, RST_STREAM, id, code.0);
            self.remember_reset(id);
        }
    }

    /// Reports that `bytes` of the stream's body have been consumed, so that the peer may send as many more.
    /// WINDOW_UPDATE is sent once half of a window has been consumed, to save frames.
    pub fn consumed(&mut self, id: u32, bytes: usize) {
        let bytes = bytes as u32;
        self.unacknowledged += bytes;
        if self.unacknowledged >= self.config.connection_window / 2 {
            let increment = std::mem::take(&mut self.unacknowledged);
            self.receive_window += i64::from(increment);
            write_u32(&mut self.output, WINDOW_UPDATE, 0, increment);
        }
        let Some(stream) = self.streams.get_mut(&id) else { return };
        if stream.end_received {
            return;
        }
        stream.unacknowledged += bytes;
        if stream.unacknowledged >= self.config.stream_window / 2 {
            let increment = std::mem::take(&mut stream.unacknowledged);
            stream.receive_window += i64::from(increment);
            write_u32(&mut self.output, WINDOW_UPDATE, id, increment);
        }
    }

    /// Writes fields as HEADERS, and as CONTINUATION where they exceed a frame.
    fn write_fields(&mut self, id: u32, fields: &[Field], end: bool) {
        self.scratch.clear();
        self.encoder.encode(fields, &mut self.scratch);
        let mut rest = &self.scratch[..];
        let mut kind = HEADERS;
        let mut flags = if end { END_STREAM } else { 0 };
        loop {
            let (part, more) = rest.split_at(rest.len().min(self.peer_max_frame));
            if more.is_empty() {
                flags |= END_HEADERS;
            }
            write_frame_header(&mut self.output, part.len(), kind, flags, id);
            self.output.put_slice(part);
            if more.is_empty() {
                return;
            }
            rest = more;
            kind = CONTINUATION;
            flags = 0;
        }
    }

    /// Updates the stream after a HEADERS or DATA frame was written. `end`: the frame ended this side of the stream.
    fn on_frame_written(&mut self, id: u32, end: bool) {
        if !end {
            return;
        }
        let Some(stream) = self.streams.get_mut(&id) else { return };
        stream.end_queued = true;
        stream.end_sent = true;
        if stream.end_received {
            self.streams.remove(&id);
            self.allowance.earn();
        } else if self.is_server {
            // The response is complete before the request: RST_STREAM with NO_ERROR asks the client not to send the
            // rest of the request (section 8.1).
            self.reset(id, Code::NO_ERROR);
        }
    }

    /// Writes queued bodies as far as the windows allow, one frame of each stream in turn.
    pub(super) fn write_bodies(&mut self) {
        while let Some(id) = self.scheduled.pop_front() {
            let Some(stream) = self.streams.get_mut(&id) else { continue };
            let Some(part) = stream.queue.front() else {
                stream.is_scheduled = false;
                continue;
            };
            let window = stream.send_window.min(self.send_window);
            let limit = window.clamp(0, self.peer_max_frame as i64) as usize;
            if limit == 0 && !part.is_empty() {
                if stream.send_window > 0 {
                    // The connection's window is exhausted: the stream stays first in the order.
                    self.scheduled.push_front(id);
                    return;
                }
                stream.is_scheduled = false;
                continue;
            }
            self.write_body_frame(id, limit);
        }
    }

    /// Writes one DATA frame of at most `limit` bytes, and the trailers after the last frame of the body.
    fn write_body_frame(&mut self, id: u32, limit: usize) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let Some(piece) = stream.dequeue(limit) else { return };
        self.send_window -= piece.len() as i64;
        let is_last = stream.queue.is_empty();
        let trailers = if is_last { stream.trailers.take() } else { None };
        let end = is_last && stream.end_queued && trailers.is_none();
        stream.is_scheduled = !is_last;
        if !is_last {
            self.scheduled.push_back(id);
        }
        write_frame_header(&mut self.output, piece.len(), DATA, if end { END_STREAM } else { 0 }, id);
        self.output.put_slice(&piece);
        match trailers {
            Some(fields) => {
                self.write_fields(id, &fields, true);
                self.on_frame_written(id, true);
            }
            None => self.on_frame_written(id, end),
        }
    }

    pub(super) fn remember_reset(&mut self, id: u32) {
        self.reset_streams.push_back(id);
        if self.reset_streams.len() > MAX_RESET_STREAMS {
            self.reset_streams.pop_front();
        }
    }
}

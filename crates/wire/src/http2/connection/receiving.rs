//! Receives the preface and frames: dispatches frames by type and handles those that control the connection (RFC 9113,
//! sections 6.3 to 6.9).

use super::super::frame::{
    write_frame_header, write_goaway, write_u32, Code, ConnError, FrameHeader, ACK, CONTINUATION, DATA,
    FRAME_HEADER_BYTES, GOAWAY, HEADERS, PING, PREFACE, PRIORITY, PUSH_PROMISE, RST_STREAM, SETTINGS,
    WINDOW_UPDATE,
};
use super::{
    protocol_error, Connection, Event, DRAIN_PING, MAX_FRAME_BYTES, MAX_WINDOW, SETTINGS_ENABLE_PUSH,
    SETTINGS_HEADER_TABLE_SIZE, SETTINGS_INITIAL_WINDOW_SIZE, SETTINGS_MAX_CONCURRENT_STREAMS,
    SETTINGS_MAX_FRAME_SIZE,
};
use bytes::{Buf, BufMut, Bytes};

/// Cost of a control frame, in tokens of the allowance for control frames.
const CONTROL_FRAME_COST: f64 = 1.0;
/// Cost of a frame that arrives on a stream after its reset, in tokens.
pub(super) const LATE_FRAME_COST: f64 = 0.1;
/// Payload bytes of a SETTINGS frame, those of 100 settings, that cost one more token of the allowance.
const SETTINGS_BYTES_PER_COST: f64 = 600.0;
const SETTING_BYTES: usize = 6;
const PING_BYTES: usize = 8;
const MIN_GOAWAY_BYTES: usize = 8;
const PRIORITY_BYTES: usize = 5;
/// Valid values of SETTINGS_MAX_FRAME_SIZE (section 6.5.2).
const FRAME_SIZES: std::ops::RangeInclusive<u32> = 16_384..=16_777_215;

fn u32_at(payload: &[u8], at: usize) -> u32 {
    u32::from_be_bytes([payload[at], payload[at + 1], payload[at + 2], payload[at + 3]])
}

impl Connection {
    /// Handles bytes received at the time `now`, in microseconds of a monotonic clock.
    ///
    /// # Errors
    /// If the peer violated the protocol or exceeded the allowance for control frames. In this case, the output
    /// contains a GOAWAY, after which the caller has to close the connection, and [`Event::Reset`] is returned for each
    /// open stream.
    pub fn receive(&mut self, now: u64, bytes: &[u8]) -> Result<(), ConnError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        self.now = now;
        self.bytes_received += bytes.len() as u64;
        self.input.extend_from_slice(bytes);
        let result = self.read_input();
        if let Err(error) = result {
            self.abort(error);
        }
        result
    }

    fn read_input(&mut self) -> Result<(), ConnError> {
        self.read_preface()?;
        while self.preface_left == 0 && self.input.len() >= FRAME_HEADER_BYTES {
            let header = FrameHeader::read(&self.input);
            if header.len > MAX_FRAME_BYTES {
                return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "frame of more than 16,384 bytes"));
            }
            if self.input.len() < FRAME_HEADER_BYTES + header.len {
                break;
            }
            self.input.advance(FRAME_HEADER_BYTES);
            let payload = self.input.split_to(header.len).freeze();
            self.on_frame(header, payload)?;
        }
        Ok(())
    }

    fn read_preface(&mut self) -> Result<(), ConnError> {
        let available = self.preface_left.min(self.input.len());
        let start = PREFACE.len() - self.preface_left;
        if self.input[..available] != PREFACE[start..start + available] {
            return Err(protocol_error("expected the client's preface of HTTP/2"));
        }
        self.input.advance(available);
        self.preface_left -= available;
        Ok(())
    }

    /// Takes `cost` tokens from the allowance for control frames. `reason` describes the error if too few are left.
    pub(super) fn spend(&mut self, cost: f64, reason: &'static str) -> Result<(), ConnError> {
        self.allowance.spend(self.now, cost, reason)
    }

    fn on_frame(&mut self, header: FrameHeader, payload: Bytes) -> Result<(), ConnError> {
        if !self.is_ready && (header.kind != SETTINGS || header.has(ACK)) {
            return Err(protocol_error("expected SETTINGS as the first frame"));
        }
        if let Some(block) = &self.header_block {
            if header.kind != CONTINUATION || header.stream != block.header.stream {
                return Err(protocol_error("expected the CONTINUATION of an open header block"));
            }
        }
        match header.kind {
            DATA => self.on_data(header, payload),
            HEADERS => self.on_headers(header, payload),
            PRIORITY => self.on_priority(header),
            RST_STREAM => self.on_reset(header, &payload),
            SETTINGS => self.on_settings(header, &payload),
            PUSH_PROMISE => Err(protocol_error("PUSH_PROMISE where none is allowed")),
            PING => self.on_ping(header, &payload),
            GOAWAY => self.on_goaway(header, &payload),
            WINDOW_UPDATE => self.on_window_update(header, &payload),
            CONTINUATION => self.on_continuation(header, &payload),
            // Frames of unknown types are ignored (section 5.5).
            _ => self.spend(CONTROL_FRAME_COST, "too many frames of unknown types"),
        }
    }

    /// Resets a stream because of an error of the peer (section 5.4.2).
    pub(super) fn stream_error(&mut self, id: u32, code: Code) -> Result<(), ConnError> {
        self.spend(CONTROL_FRAME_COST, "too many broken streams")?;
        write_u32(&mut self.output, RST_STREAM, id, code.0);
        self.remember_reset(id);
        if self.streams.remove(&id).is_some() {
            self.events.push_back(Event::Reset { stream: id, code, local: true });
        }
        Ok(())
    }

    fn on_priority(&mut self, header: FrameHeader) -> Result<(), ConnError> {
        if header.stream == 0 {
            return Err(protocol_error("PRIORITY on stream 0"));
        }
        self.spend(CONTROL_FRAME_COST, "too many PRIORITY frames")?;
        if header.len != PRIORITY_BYTES {
            return self.stream_error(header.stream, Code::FRAME_SIZE_ERROR);
        }
        Ok(())
    }

    fn on_reset(&mut self, header: FrameHeader, payload: &[u8]) -> Result<(), ConnError> {
        if header.len != 4 {
            return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "RST_STREAM of other than four bytes"));
        }
        if header.stream == 0 || self.is_idle(header.stream) {
            return Err(protocol_error("RST_STREAM on a stream that is not open"));
        }
        let code = Code(u32_at(payload, 0));
        // Streams that are opened and reset at once cause work for this side only (section 10.5).
        self.spend(CONTROL_FRAME_COST, "too many streams reset")?;
        if self.streams.remove(&header.stream).is_some() {
            self.remember_reset(header.stream);
            self.events.push_back(Event::Reset { stream: header.stream, code, local: false });
        }
        Ok(())
    }

    fn on_settings(&mut self, header: FrameHeader, payload: &[u8]) -> Result<(), ConnError> {
        if header.stream != 0 {
            return Err(protocol_error("SETTINGS on a stream"));
        }
        if header.has(ACK) {
            if header.len != 0 {
                return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "SETTINGS acknowledged with a payload"));
            }
            return self.spend(CONTROL_FRAME_COST, "too many SETTINGS");
        }
        if header.len % SETTING_BYTES != 0 {
            return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "SETTINGS of other than six bytes each"));
        }
        let cost = CONTROL_FRAME_COST + header.len as f64 / SETTINGS_BYTES_PER_COST;
        self.spend(cost, "too many SETTINGS")?;
        for setting in payload.chunks_exact(SETTING_BYTES) {
            let id = u16::from_be_bytes([setting[0], setting[1]]);
            self.apply_setting(id, u32_at(setting, 2))?;
        }
        write_frame_header(&mut self.output, 0, SETTINGS, ACK, 0);
        if !self.is_ready {
            self.is_ready = true;
            self.events.push_back(Event::Ready);
        }
        Ok(())
    }

    fn apply_setting(&mut self, id: u16, value: u32) -> Result<(), ConnError> {
        match id {
            SETTINGS_HEADER_TABLE_SIZE => self.encoder.allow(value),
            SETTINGS_ENABLE_PUSH if value > 1 || (!self.is_server && value == 1) => {
                return Err(protocol_error("ENABLE_PUSH of other than nought"));
            }
            SETTINGS_MAX_CONCURRENT_STREAMS if !self.is_server => self.peer_max_streams = value,
            SETTINGS_INITIAL_WINDOW_SIZE => self.apply_initial_window(value)?,
            SETTINGS_MAX_FRAME_SIZE => {
                if !FRAME_SIZES.contains(&value) {
                    return Err(protocol_error("MAX_FRAME_SIZE outside 2^14 to 2^24-1"));
                }
                self.peer_max_frame = (value as usize).min(MAX_FRAME_BYTES);
            }
            _ => {}
        }
        Ok(())
    }

    /// Adjusts the send windows of all streams by the change of the initial window (section 6.9.2).
    fn apply_initial_window(&mut self, value: u32) -> Result<(), ConnError> {
        if i64::from(value) > MAX_WINDOW {
            return Err(ConnError::new(Code::FLOW_CONTROL_ERROR, "initial window over 2^31-1"));
        }
        let change = i64::from(value) - self.peer_initial_window;
        self.peer_initial_window = i64::from(value);
        for (id, stream) in &mut self.streams {
            stream.send_window += change;
            if stream.send_window > MAX_WINDOW {
                return Err(ConnError::new(Code::FLOW_CONTROL_ERROR, "a window over 2^31-1"));
            }
            if stream.may_resume() {
                stream.is_scheduled = true;
                self.scheduled.push_back(*id);
            }
        }
        Ok(())
    }

    fn on_ping(&mut self, header: FrameHeader, payload: &[u8]) -> Result<(), ConnError> {
        if header.stream != 0 {
            return Err(protocol_error("PING on a stream"));
        }
        if header.len != PING_BYTES {
            return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "PING of other than eight bytes"));
        }
        self.spend(CONTROL_FRAME_COST, "too many PINGs")?;
        if !header.has(ACK) {
            write_frame_header(&mut self.output, PING_BYTES, PING, ACK, 0);
            self.output.put_slice(payload);
        } else if *payload == DRAIN_PING.to_be_bytes() && self.goaway_sent.is_some() && !self.is_draining {
            // The client has received the first GOAWAY: streams that it still opens are not processed.
            self.goaway_sent = Some(self.last_peer_stream);
            self.is_draining = true;
            write_goaway(&mut self.output, self.last_peer_stream, Code::NO_ERROR, b"drain");
        } else if *payload == [0; PING_BYTES] {
            self.events.push_back(Event::Pong);
        }
        Ok(())
    }

    fn on_goaway(&mut self, header: FrameHeader, payload: &[u8]) -> Result<(), ConnError> {
        if header.stream != 0 {
            return Err(protocol_error("GOAWAY on a stream"));
        }
        if header.len < MIN_GOAWAY_BYTES {
            return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "GOAWAY of less than eight bytes"));
        }
        self.spend(CONTROL_FRAME_COST, "too many GOAWAYs")?;
        let last_processed = u32_at(payload, 0) & MAX_WINDOW as u32;
        let code = Code(u32_at(payload, 4));
        self.goaway_received = true;
        if !self.is_server {
            let unprocessed = self.streams.range(last_processed.saturating_add(1)..);
            let unprocessed: Vec<u32> = unprocessed.map(|(id, _)| *id).collect();
            for stream in unprocessed {
                self.streams.remove(&stream);
                self.events.push_back(Event::Reset { stream, code: Code::REFUSED_STREAM, local: false });
            }
        }
        self.events.push_back(Event::GoAway(code));
        Ok(())
    }

    fn on_window_update(&mut self, header: FrameHeader, payload: &[u8]) -> Result<(), ConnError> {
        if header.len != 4 {
            return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "WINDOW_UPDATE of other than four bytes"));
        }
        let id = header.stream;
        let increment = i64::from(u32_at(payload, 0)) & MAX_WINDOW;
        if id == 0 {
            self.send_window += increment;
            if increment == 0 {
                return Err(protocol_error("WINDOW_UPDATE by nought"));
            }
            if self.send_window > MAX_WINDOW {
                return Err(ConnError::new(Code::FLOW_CONTROL_ERROR, "the connection's window over 2^31-1"));
            }
            return Ok(());
        }
        if self.is_idle(id) {
            return Err(protocol_error("WINDOW_UPDATE on a stream that is not open"));
        }
        let Some(stream) = self.streams.get_mut(&id) else {
            return self.spend(LATE_FRAME_COST, "too many late WINDOW_UPDATEs");
        };
        stream.send_window += increment;
        if increment == 0 {
            return self.stream_error(id, Code::PROTOCOL_ERROR);
        }
        if stream.send_window > MAX_WINDOW {
            return self.stream_error(id, Code::FLOW_CONTROL_ERROR);
        }
        if stream.may_resume() {
            stream.is_scheduled = true;
            self.scheduled.push_back(id);
        }
        Ok(())
    }
}

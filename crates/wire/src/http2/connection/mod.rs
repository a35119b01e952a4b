//! The state of one connection (RFC 9113, sections 3 to 6 and 8) of a client or a server.
//!
//! [`Config`] bounds the memory of a connection. The input buffer holds at most one incomplete frame. Header blocks are
//! limited in bytes and frames, and streams in number. Flow-control windows limit received data that is not consumed,
//! and [`Config::send_buffer`] limits data that waits to be sent. Control frames, which are cheap for the peer and may
//! require an answer, are limited by a token bucket: when it is empty, the connection ends with ENHANCE_YOUR_CALM. The
//! caller must not pass more input while a large part of the output is unwritten.
//!
//! - `receiving`: handles frames from the peer; `messages`: those of requests and responses
//! - `sending`: opens streams and sends fields and bodies
//! - `stream`: the state of one stream
//! - `allowance`: the token bucket for control frames
//! - `validation`: validates the fields of a message

mod allowance;
mod config;
mod events;
mod messages;
mod receiving;
mod sending;
mod stream;
mod validation;

use self::allowance::ControlAllowance;
use self::stream::Stream;
use super::frame::{
    write_frame_header, write_goaway, write_settings, write_u32, Code, ConnError, FrameHeader, PING, PREFACE,
    WINDOW_UPDATE,
};
use super::hpack::{Decoder, Encoder};
use bytes::{BufMut, BytesMut};
use std::collections::{BTreeMap, VecDeque};

pub use config::Config;
pub use events::{Event, OpenError, SendError};

/// Maximum payload of a frame in both directions: the initial SETTINGS_MAX_FRAME_SIZE, which this side does not raise
/// (section 6.5.2).
const MAX_FRAME_BYTES: usize = 16_384;
/// Maximum flow-control window (section 6.9.1), and the highest stream id.
const MAX_WINDOW: i64 = 0x7fff_ffff;
/// Initial flow-control window of a connection and of its streams (section 6.9.2).
const INITIAL_WINDOW: u32 = 65_535;
/// Maximum number of open streams until the server's SETTINGS arrive.
const PRESUMED_MAX_STREAMS: u32 = 100;
/// Payload of the PING that follows the first GOAWAY of a graceful shutdown.
const DRAIN_PING: u64 = 0x6472_6169_6e00_0001;

/// Upper bound of the memory of an open stream beside its body, in bytes.
const STREAM_BYTES: usize = 512;
/// Memory of the entries of the header table over their size by RFC 7541.
const FIELD_MEMORY_FACTOR: usize = 4;

// Identifiers of settings (section 6.5.2).
const SETTINGS_HEADER_TABLE_SIZE: u16 = 1;
const SETTINGS_ENABLE_PUSH: u16 = 2;
const SETTINGS_MAX_CONCURRENT_STREAMS: u16 = 3;
const SETTINGS_INITIAL_WINDOW_SIZE: u16 = 4;
const SETTINGS_MAX_FRAME_SIZE: u16 = 5;
const SETTINGS_MAX_HEADER_LIST_SIZE: u16 = 6;

/// A header block that is continued by CONTINUATION frames (section 6.10).
struct HeaderBlock {
    header: FrameHeader,
    bytes: BytesMut,
    /// Number of CONTINUATION frames received.
    frames: u32,
}

/// A client's or server's side of a connection.
pub struct Connection {
    config: Config,
    is_server: bool,
    input: BytesMut,
    output: BytesMut,
    /// Bytes of the client's preface that have not been received.
    preface_left: usize,
    /// The peer's SETTINGS have been received.
    is_ready: bool,
    decoder: Decoder,
    encoder: Encoder,
    scratch: Vec<u8>,
    header_block: Option<HeaderBlock>,
    streams: BTreeMap<u32, Stream>,
    /// Streams with a body to write, in round-robin order.
    scheduled: VecDeque<u32>,
    events: VecDeque<Event>,
    /// Highest id of a stream that the peer opened.
    last_peer_stream: u32,
    /// Id of the next stream that this side opens.
    next_stream: u32,
    send_window: i64,
    receive_window: i64,
    /// Consumed bytes that have not been returned to the peer's window by WINDOW_UPDATE.
    unacknowledged: u32,
    /// Initial send window of a stream, set by the peer.
    peer_initial_window: i64,
    peer_max_frame: usize,
    peer_max_streams: u32,
    /// Last stream id of the latest GOAWAY that was sent.
    goaway_sent: Option<u32>,
    /// The final GOAWAY has been sent: its last stream id does not change any more.
    is_draining: bool,
    goaway_received: bool,
    /// Ids of the most recently reset streams. Frames that still arrive on them are ignored.
    reset_streams: VecDeque<u32>,
    allowance: ControlAllowance,
    /// Time of the latest input, in microseconds.
    now: u64,
    bytes_received: u64,
    error: Option<ConnError>,
}

fn protocol_error(reason: &'static str) -> ConnError {
    ConnError::new(Code::PROTOCOL_ERROR, reason)
}

impl Connection {
    /// Creates a server's side of a connection. Its SETTINGS are in the output.
    pub fn server(config: Config) -> Self {
        Connection::new(config, true)
    }

    /// Creates a client's side of a connection. The preface and the client's SETTINGS are in the output.
    pub fn client(config: Config) -> Self {
        Connection::new(config, false)
    }

    fn new(config: Config, is_server: bool) -> Self {
        let mut output = BytesMut::new();
        if !is_server {
            output.put_slice(PREFACE);
        }
        let role_setting = if is_server {
            (SETTINGS_MAX_CONCURRENT_STREAMS, config.max_streams)
        } else {
            (SETTINGS_ENABLE_PUSH, 0) // so that the server opens no streams
        };
        let settings = [
            (SETTINGS_HEADER_TABLE_SIZE, config.header_table),
            role_setting,
            (SETTINGS_INITIAL_WINDOW_SIZE, config.stream_window.min(MAX_WINDOW as u32)),
            (SETTINGS_MAX_HEADER_LIST_SIZE, config.header_list),
        ];
        write_settings(&mut output, &settings);
        let extra_window = config.connection_window.clamp(INITIAL_WINDOW, MAX_WINDOW as u32) - INITIAL_WINDOW;
        if extra_window > 0 {
            write_u32(&mut output, WINDOW_UPDATE, 0, extra_window);
        }
        Connection {
            is_server,
            input: BytesMut::new(),
            output,
            preface_left: if is_server { PREFACE.len() } else { 0 },
            is_ready: false,
            decoder: Decoder::new(config.header_table),
            encoder: Encoder::default(),
            scratch: Vec::new(),
            header_block: None,
            streams: BTreeMap::new(),
            scheduled: VecDeque::new(),
            events: VecDeque::new(),
            last_peer_stream: 0,
            next_stream: if is_server { 2 } else { 1 },
            send_window: i64::from(INITIAL_WINDOW),
            receive_window: i64::from(INITIAL_WINDOW) + i64::from(extra_window),
            unacknowledged: 0,
            peer_initial_window: i64::from(INITIAL_WINDOW),
            peer_max_frame: MAX_FRAME_BYTES,
            peer_max_streams: if is_server { 0 } else { PRESUMED_MAX_STREAMS },
            goaway_sent: None,
            is_draining: false,
            goaway_received: false,
            reset_streams: VecDeque::new(),
            allowance: ControlAllowance::new(&config),
            now: 0,
            bytes_received: 0,
            error: None,
            config,
        }
    }

    /// Returns the next event.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Returns the bytes to send. The caller removes those that it has written.
    pub fn output(&mut self) -> &mut BytesMut {
        self.write_bodies();
        &mut self.output
    }

    /// Returns the number of received bytes.
    pub fn received(&self) -> u64 {
        self.bytes_received
    }

    /// Returns whether the received input ends within the preface, a frame or a header block.
    pub fn has_partial_input(&self) -> bool {
        let in_preface = self.preface_left > 0 && self.preface_left < PREFACE.len();
        !self.input.is_empty() || self.header_block.is_some() || in_preface
    }

    /// Returns the number of bytes that the connection holds: the capacity of its buffers, its header table and its streams.
    pub fn held_bytes(&self) -> usize {
        let table = self.decoder.table_size() * FIELD_MEMORY_FACTOR;
        self.input.capacity()
            + self.output.capacity()
            + self.header_block_bytes()
            + table
            + self.streams.len() * STREAM_BYTES
    }

    fn header_block_bytes(&self) -> usize {
        self.header_block.as_ref().map_or(0, |block| block.bytes.capacity())
    }

    /// Returns the number of bytes of a frame or header block that is not complete, and of streams whose message is not.
    pub fn unfinished_bytes(&self) -> usize {
        self.input.len() + self.header_block_bytes() + self.streams.len() * STREAM_BYTES
    }

    /// Returns the number of open streams of both sides.
    pub fn open_streams(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether the peer's SETTINGS have been received.
    pub fn settings_received(&self) -> bool {
        self.is_ready
    }

    /// Checks whether a stream can be opened.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn can_open(&self) -> Result<(), OpenError> {
        if self.goaway_received || self.goaway_sent.is_some() || self.error.is_some() {
            return Err(OpenError::GoingAway);
        }
        if self.streams.len() >= self.peer_max_streams as usize {
            return Err(OpenError::Full(self.peer_max_streams));
        }
        if i64::from(self.next_stream) > MAX_WINDOW {
            return Err(OpenError::Exhausted);
        }
        Ok(())
    }

    /// Returns whether the connection has ended: no stream is open and none can be opened.
    pub fn finished(&mut self) -> bool {
        // Writes the bodies that can be sent now: their streams count as open until then, and there may be no later
        // event that writes them.
        self.write_bodies();
        self.streams.is_empty() && (self.is_draining || self.goaway_received || self.error.is_some())
    }

    /// Sends a PING. Its answer is returned as [`Event::Pong`].
    pub fn ping(&mut self) {
        write_frame_header(&mut self.output, 8, PING, 0, 0);
        self.output.put_u64(0);
    }

    /// Begins a graceful shutdown (section 6.8). A server sends a GOAWAY with the highest stream id and a PING. After
    /// the PING's answer, it sends the final GOAWAY with the id of the last accepted stream. A client sends one GOAWAY
    /// and opens no more streams.
    pub fn shutdown(&mut self) {
        if self.goaway_sent.is_some() || self.error.is_some() {
            return;
        }
        if self.is_server {
            self.goaway_sent = Some(MAX_WINDOW as u32);
            write_goaway(&mut self.output, MAX_WINDOW as u32, Code::NO_ERROR, b"drain");
            write_frame_header(&mut self.output, 8, PING, 0, 0);
            self.output.put_u64(DRAIN_PING);
        } else {
            self.goaway_sent = Some(self.last_peer_stream);
            self.is_draining = true;
            write_goaway(&mut self.output, self.last_peer_stream, Code::NO_ERROR, b"");
        }
    }

    /// Rejects the connection: sends a GOAWAY with ENHANCE_YOUR_CALM, last stream id 0 and `text` as debug data.
    ///
    /// For connections on which no request was accepted. The caller closes the connection afterwards.
    pub fn reject(&mut self, text: &str) {
        write_goaway(&mut self.output, 0, Code::ENHANCE_YOUR_CALM, text.as_bytes());
    }

    /// Ends the connection with an error of the caller, such as a peer that is too slow. Returns [`Event::Reset`] for
    /// each open stream.
    pub fn abort(&mut self, error: ConnError) {
        if self.error.is_some() {
            return;
        }
        self.error = Some(error);
        self.input = BytesMut::new();
        self.header_block = None;
        write_goaway(&mut self.output, self.last_peer_stream, error.code, error.reason.as_bytes());
        self.scheduled.clear();
        for stream in std::mem::take(&mut self.streams).into_keys() {
            self.events.push_back(Event::Reset { stream, code: error.code, local: true });
        }
    }

    fn new_stream(&self) -> Stream {
        let receive_window = i64::from(self.config.stream_window);
        Stream { send_window: self.peer_initial_window, receive_window, ..Stream::default() }
    }

    /// Returns whether a stream is idle, which means that it has not been opened (section 5.1.1).
    fn is_idle(&self, id: u32) -> bool {
        let opened_by_client = id % 2 == 1;
        let opened_by_peer = opened_by_client == self.is_server;
        if opened_by_peer {
            id > self.last_peer_stream
        } else {
            id >= self.next_stream
        }
    }
}

//! The state of one connection (RFC 9113, sections 3 to 6 and 8), the same code for both sides.
//!
//! Memory is bounded by [`Config`]: what waits to be read is at most one frame, a header block has a limit in bytes
//! and frames, streams have a limit in number, windows bound what a peer may send unread and [`Config::send_buffer`]
//! what waits to be sent. Control frames that cost the peer nothing and this side a response draw on an allowance that
//! refills with time; when it is empty the connection ends with ENHANCE_YOUR_CALM. Whoever writes the output must stop
//! reading while much of it is unwritten.
//!
//! - `receiving`: frames from the peer; `messages`: those that make up requests and responses
//! - `sending`: streams that are opened, fields and bodies that are sent
//! - `stream`: the state of one stream
//! - `allowance`: the allowance for control frames
//! - `validation`: checks of a message's fields

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

/// The largest frame that is accepted: the RFC's minimum, which all peers keep to unless told otherwise (section 4.2).
const MAX_FRAME_BYTES: usize = 16_384;
/// The largest window (section 6.9.1), and the highest stream id.
const MAX_WINDOW: i64 = 0x7fff_ffff;
/// Both windows of a connection before any WINDOW_UPDATE (section 6.9.2).
const INITIAL_WINDOW: u32 = 65_535;
/// Streams that a server is taken to allow until its SETTINGS come.
const PRESUMED_MAX_STREAMS: u32 = 100;
/// The payload of the PING that follows the first GOAWAY of a graceful shutdown.
const DRAIN_PING: u64 = 0x6472_6169_6e00_0001;

// Identifiers of settings (section 6.5.2).
const SETTINGS_HEADER_TABLE_SIZE: u16 = 1;
const SETTINGS_ENABLE_PUSH: u16 = 2;
const SETTINGS_MAX_CONCURRENT_STREAMS: u16 = 3;
const SETTINGS_INITIAL_WINDOW_SIZE: u16 = 4;
const SETTINGS_MAX_FRAME_SIZE: u16 = 5;
const SETTINGS_MAX_HEADER_LIST_SIZE: u16 = 6;

/// A header block whose CONTINUATION frames are still to come (section 6.10).
struct HeaderBlock {
    header: FrameHeader,
    bytes: BytesMut,
    frames: u32,
}

/// One side of a connection.
pub struct Connection {
    config: Config,
    is_server: bool,
    input: BytesMut,
    output: BytesMut,
    /// Bytes of the client's preface that have not come.
    preface_left: usize,
    /// The peer's SETTINGS have come.
    is_ready: bool,
    decoder: Decoder,
    encoder: Encoder,
    scratch: Vec<u8>,
    header_block: Option<HeaderBlock>,
    streams: BTreeMap<u32, Stream>,
    /// Streams with a body to write, in turn.
    scheduled: VecDeque<u32>,
    events: VecDeque<Event>,
    /// The highest stream that the peer opened.
    last_peer_stream: u32,
    /// The next stream that this side opens.
    next_stream: u32,
    send_window: i64,
    receive_window: i64,
    /// Bytes that were read and not given back to the connection's window yet.
    unacknowledged: u32,
    /// The window that the peer gives a new stream.
    peer_initial_window: i64,
    peer_max_frame: usize,
    peer_max_streams: u32,
    /// GOAWAY was sent with this last stream id.
    goaway_sent: Option<u32>,
    /// The last stream id of the GOAWAY that was sent is final.
    is_draining: bool,
    goaway_received: bool,
    /// Streams that were reset lately: late frames on them are passed over.
    reset_streams: VecDeque<u32>,
    allowance: ControlAllowance,
    /// The time of the latest bytes, in microseconds.
    now: u64,
    bytes_received: u64,
    error: Option<ConnError>,
}

fn protocol_error(reason: &'static str) -> ConnError {
    ConnError::new(Code::PROTOCOL_ERROR, reason)
}

impl Connection {
    /// The server's side. Its SETTINGS are in the output.
    pub fn server(config: Config) -> Self {
        Connection::new(config, true)
    }

    /// The client's side. The preface and its SETTINGS are in the output.
    pub fn client(config: Config) -> Self {
        Connection::new(config, false)
    }

    fn new(config: Config, is_server: bool) -> Self {
        let mut output = BytesMut::new();
        if !is_server {
            output.put_slice(PREFACE);
        }
        let second = if is_server {
            (SETTINGS_MAX_CONCURRENT_STREAMS, config.max_streams)
        } else {
            (SETTINGS_ENABLE_PUSH, 0) // and a server opens no streams
        };
        let settings = [
            (SETTINGS_HEADER_TABLE_SIZE, config.header_table),
            second,
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

    /// The next thing that came.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// What is to be written to the peer; the writer takes off what it wrote.
    pub fn output(&mut self) -> &mut BytesMut {
        self.write_bodies();
        &mut self.output
    }

    /// Bytes that came so far.
    pub fn received(&self) -> u64 {
        self.bytes_received
    }

    /// Whether the peer is in the middle of its preface, a frame or a header block.
    pub fn has_partial_input(&self) -> bool {
        let in_preface = self.preface_left > 0 && self.preface_left < PREFACE.len();
        !self.input.is_empty() || self.header_block.is_some() || in_preface
    }

    /// Streams that are open, by either side.
    pub fn open_streams(&self) -> usize {
        self.streams.len()
    }

    /// Whether the peer's SETTINGS have come.
    pub fn settings_received(&self) -> bool {
        self.is_ready
    }

    /// Whether a stream can be opened now.
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

    /// Whether the connection has drained: no stream is open and none will be.
    pub fn finished(&mut self) -> bool {
        // A body that only waits for this call must not keep the connection open: no other event would write it.
        self.write_bodies();
        self.streams.is_empty() && (self.is_draining || self.goaway_received || self.error.is_some())
    }

    /// Sends a PING; the response comes as [`Event::Pong`].
    pub fn ping(&mut self) {
        write_frame_header(&mut self.output, 8, PING, 0, 0);
        self.output.put_u64(0);
    }

    /// Begins a graceful shutdown: the peer is told to open no more streams, and once it has surely heard so, which
    /// ones were accepted (section 6.8). A client just opens no more.
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

    /// Rejects the connection with ENHANCE_YOUR_CALM and a text for people: no stream that the peer opens is processed.
    /// For connections on which no request was accepted; the caller closes them afterwards.
    pub fn reject(&mut self, text: &str) {
        write_goaway(&mut self.output, 0, Code::ENHANCE_YOUR_CALM, text.as_bytes());
    }

    /// Ends the connection for a reason of the caller's, such as a peer that is too slow. Each open stream comes as
    /// [`Event::Reset`].
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

    /// Whether a stream has not been opened yet (section 5.1.1).
    fn is_idle(&self, id: u32) -> bool {
        let is_clients = id % 2 == 1;
        let is_peers = is_clients == self.is_server;
        if is_peers {
            id > self.last_peer_stream
        } else {
            id >= self.next_stream
        }
    }
}

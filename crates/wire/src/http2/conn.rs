//! The state of one connection (RFC 9113, sections 3 to 6 and 8), the same code for both sides.
//!
//! Memory is bounded by [`Config`]: what waits to be read is at most one frame, a header block has a limit in bytes
//! and frames, streams have a limit in number, windows bound what a peer may send unread and [`Config::send_buffer`]
//! what waits to be sent. Control frames that cost the peer nothing and us an answer draw on an allowance that fills
//! with time; when it is empty the connection ends with ENHANCE_YOUR_CALM. Whoever writes the output must stop
//! reading while much of it is unwritten.

use super::frame::*;
use super::hpack::{Decoder, Encoder, Field};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::{BTreeMap, VecDeque};

/// Limits of a connection. All are this side's: what the peer allows comes with its SETTINGS.
#[derive(Clone, Debug)]
pub struct Config {
    /// Streams that the peer may have open (SETTINGS_MAX_CONCURRENT_STREAMS).
    pub max_streams: u32,
    /// Bytes that the peer may send unread on a stream (SETTINGS_INITIAL_WINDOW_SIZE).
    pub stream_window: u32,
    /// The same on the whole connection; 65,535 or more.
    pub connection_window: u32,
    /// Bytes of a message's fields, unpacked (SETTINGS_MAX_HEADER_LIST_SIZE).
    pub header_list: u32,
    /// Bytes of the table that the peer may use to pack them (SETTINGS_HEADER_TABLE_SIZE).
    pub header_table: u32,
    /// Bytes that may wait on a stream for the peer's window.
    pub send_buffer: usize,
    /// Control frames and resets that may come at once, besides two for each allowed stream.
    pub calm_burst: u32,
    /// And in a second, on and on.
    pub calm_per_s: u32,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            max_streams: 256,
            stream_window: 256 << 10,
            connection_window: 1 << 20,
            header_list: 16 << 10,
            header_table: 4096,
            send_buffer: 1 << 20,
            calm_burst: 200,
            calm_per_s: 100,
        }
    }
}

/// The largest frame that is taken: the RFC's least, which all peers keep to unless told otherwise.
const MAX_FRAME: usize = 16_384;
const MAX_WINDOW: i64 = 0x7fff_ffff;
/// Frames that one header block may be spread over: 16 KiB need one, a block without end none of our memory.
const MAX_CONTINUATIONS: u32 = 16;
/// Streams reset here whose late frames are passed over without a word.
const REMEMBERED: usize = 256;
const DRAIN_PING: u64 = 0x6472_6169_6e00_0001;

/// What came from the peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The peer's first SETTINGS: it speaks HTTP/2.
    Ready,
    /// Fields of a request or an answer, or its trailers where some came before. `end`: nothing follows.
    Headers {
        /// Where.
        stream: u32,
        /// The fields, checked (section 8.2).
        fields: Vec<Field>,
        /// Nothing follows from the peer.
        end: bool,
    },
    /// A part of a body. It holds window until [`Connection::consumed`].
    Data {
        /// Where.
        stream: u32,
        /// The bytes.
        data: Bytes,
        /// Nothing follows from the peer.
        end: bool,
    },
    /// The stream is gone before its end: by the peer, or by this side for an error of the peer (`ours`).
    /// With REFUSED_STREAM the peer states that nothing of it was looked at (section 8.7).
    Reset {
        /// Where.
        stream: u32,
        /// The code that was sent or received.
        code: Code,
        /// This side found the error.
        ours: bool,
    },
    /// The peer takes no new streams. Those above its last id came as `Reset` with REFUSED_STREAM before this.
    GoAway(Code),
    /// The answer to [`Connection::ping`].
    Pong,
}

/// Why no stream can be opened now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum OpenError {
    #[error("the peer's {0} streams are in use")]
    Full(u32),
    #[error("the peer takes no new streams")]
    GoingAway,
    #[error("the stream ids are used up")]
    Exhausted,
}

/// Why nothing can be sent on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum SendError {
    #[error("the stream is closed")]
    Closed,
    #[error("{0} bytes wait for the peer's window, and there is no room for more")]
    Full(usize),
}

#[derive(Default)]
struct Stream {
    send_window: i64,
    recv_window: i64,
    /// Read and not yet given back to the peer's window.
    owed: u32,
    queue: VecDeque<Bytes>,
    queued: usize,
    trailers: Option<Vec<Field>>,
    /// Our last frame is queued, our last frame is written, the peer's has come.
    ending: bool,
    sent_end: bool,
    got_end: bool,
    got_headers: bool,
    ready: bool,
    length: Option<u64>,
    got: u64,
}

struct Block {
    head: Head,
    bytes: BytesMut,
    frames: u32,
}

/// One side of a connection.
pub struct Connection {
    cfg: Config,
    server: bool,
    input: BytesMut,
    output: BytesMut,
    /// Bytes of the client's preface that have not come.
    preface: usize,
    greeted: bool,
    decoder: Decoder,
    encoder: Encoder,
    scratch: Vec<u8>,
    block: Option<Block>,
    streams: BTreeMap<u32, Stream>,
    ready: VecDeque<u32>,
    events: VecDeque<Event>,
    /// The highest stream that the peer opened, the next of ours.
    last: u32,
    next: u32,
    send_window: i64,
    recv_window: i64,
    owed: u32,
    peer_window: i64,
    peer_frame: usize,
    peer_streams: u32,
    /// GOAWAY was sent with the last id that counts; was received.
    closing: Option<u32>,
    draining: bool,
    leaving: bool,
    dropped: VecDeque<u32>,
    calm: f64,
    calm_at: u64,
    now: u64,
    received: u64,
    ended: Option<ConnError>,
}

type Take = Result<(), ConnError>;

fn protocol(what: &'static str) -> ConnError {
    ConnError::new(Code::PROTOCOL_ERROR, what)
}

impl Connection {
    /// The server's side. Its SETTINGS are in the output.
    pub fn server(cfg: Config) -> Self {
        Connection::new(cfg, true)
    }

    /// The client's side. The preface and its SETTINGS are in the output.
    pub fn client(cfg: Config) -> Self {
        Connection::new(cfg, false)
    }

    fn new(cfg: Config, server: bool) -> Self {
        let mut output = BytesMut::new();
        let mut list = vec![
            (1, cfg.header_table),
            (3, cfg.max_streams),
            (4, cfg.stream_window.min(MAX_WINDOW as u32)),
            (6, cfg.header_list),
        ];
        if !server {
            output.put_slice(PREFACE);
            list[1] = (2, 0); // no pushes; and a server opens no streams
        }
        write_settings(&mut output, &list);
        let more = cfg.connection_window.clamp(65_535, MAX_WINDOW as u32) - 65_535;
        if more > 0 {
            write_u32(&mut output, WINDOW_UPDATE, 0, more);
        }
        Connection {
            server,
            input: BytesMut::new(),
            output,
            preface: if server { PREFACE.len() } else { 0 },
            greeted: false,
            decoder: Decoder::new(cfg.header_table),
            encoder: Encoder::default(),
            scratch: Vec::new(),
            block: None,
            streams: BTreeMap::new(),
            ready: VecDeque::new(),
            events: VecDeque::new(),
            last: 0,
            next: if server { 2 } else { 1 },
            send_window: 65_535,
            recv_window: 65_535 + i64::from(more),
            owed: 0,
            peer_window: 65_535,
            peer_frame: MAX_FRAME,
            peer_streams: if server { 0 } else { 100 },
            closing: None,
            draining: false,
            leaving: false,
            dropped: VecDeque::new(),
            calm: f64::from(cfg.calm_burst) + 2.0 * f64::from(cfg.max_streams),
            calm_at: 0,
            now: 0,
            received: 0,
            ended: None,
            cfg,
        }
    }

    /// Takes bytes of the peer at the time `now` (microseconds of any clock that does not go back).
    ///
    /// # Errors
    /// The peer broke a rule of the connection, or drew too much on its allowance: the GOAWAY is in the output,
    /// the connection is to be closed once that is written, and each open stream has come as `Event::Reset`.
    pub fn receive(&mut self, now: u64, bytes: &[u8]) -> Result<(), ConnError> {
        if let Some(e) = self.ended {
            return Err(e);
        }
        self.now = now;
        self.received += bytes.len() as u64;
        self.input.extend_from_slice(bytes);
        let taken = self.take();
        if let Err(e) = taken {
            self.abort(e);
        }
        taken
    }

    /// The next thing that came.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// What is to be written to the peer; the writer takes off what it wrote.
    pub fn output(&mut self) -> &mut BytesMut {
        self.pump();
        &mut self.output
    }

    /// Bytes that came so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Whether the peer is in the middle of its preface, a frame or a header block.
    pub fn midway(&self) -> bool {
        !self.input.is_empty() || self.block.is_some() || (self.preface > 0 && self.preface < PREFACE.len())
    }

    /// Streams that are open, by either side.
    pub fn open_streams(&self) -> usize {
        self.streams.len()
    }

    /// The peer's SETTINGS have come.
    pub fn greeted(&self) -> bool {
        self.greeted
    }

    /// A stream can be opened now.
    pub fn can_open(&self) -> Result<(), OpenError> {
        if self.leaving || self.closing.is_some() || self.ended.is_some() {
            return Err(OpenError::GoingAway);
        }
        if self.streams.len() >= self.peer_streams as usize {
            return Err(OpenError::Full(self.peer_streams));
        }
        if i64::from(self.next) > MAX_WINDOW {
            return Err(OpenError::Exhausted);
        }
        Ok(())
    }

    /// Drained to the end: no stream is open and none will be.
    pub fn finished(&mut self) -> bool {
        // What only waits to be handed over is no reason to go on: nothing more would come to wake anybody.
        self.pump();
        self.streams.is_empty() && (self.draining || self.leaving || self.ended.is_some())
    }

    /// Opens a stream with a request's fields. `end`: no body follows.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn open(&mut self, fields: &[Field], end: bool) -> Result<u32, OpenError> {
        self.can_open()?;
        let id = self.next;
        self.next += 2;
        self.streams.insert(id, self.stream());
        self.write_fields(id, fields, end);
        self.sent(id, end);
        Ok(id)
    }

    fn stream(&self) -> Stream {
        let recv_window = i64::from(self.cfg.stream_window);
        Stream { send_window: self.peer_window, recv_window, ..Stream::default() }
    }

    /// Sends fields: an answer's, or trailers, which wait until the body before them is written.
    ///
    /// # Errors
    /// The stream is closed.
    pub fn headers(&mut self, id: u32, fields: Vec<Field>, end: bool) -> Result<(), SendError> {
        let s = self.streams.get_mut(&id).filter(|s| !s.ending).ok_or(SendError::Closed)?;
        s.ending = end;
        if s.queued > 0 || !s.queue.is_empty() {
            s.trailers = Some(fields);
            return Ok(());
        }
        self.write_fields(id, &fields, end);
        self.sent(id, end);
        Ok(())
    }

    /// Sends a part of a body, as the peer's windows allow.
    ///
    /// # Errors
    /// The stream is closed, or too much waits already.
    pub fn data(&mut self, id: u32, data: Bytes, end: bool) -> Result<(), SendError> {
        let most = self.cfg.send_buffer;
        let s = self.streams.get_mut(&id).filter(|s| !s.ending).ok_or(SendError::Closed)?;
        if s.queued > 0 && s.queued + data.len() > most {
            return Err(SendError::Full(s.queued));
        }
        s.ending = end;
        s.queued += data.len();
        s.queue.push_back(data);
        if !s.ready {
            s.ready = true;
            self.ready.push_back(id);
        }
        Ok(())
    }

    /// Ends a stream at once, whatever waits on it. Nothing happens where it is closed.
    pub fn reset(&mut self, id: u32, code: Code) {
        if self.streams.remove(&id).is_some() {
            write_u32(&mut self.output, RST_STREAM, id, code.0);
            self.remember(id);
        }
    }

    /// The reader is done with `n` bytes of the stream's body: the peer may send as many more.
    pub fn consumed(&mut self, id: u32, n: usize) {
        let n = n as u32;
        self.owed += n;
        if self.owed >= self.cfg.connection_window / 2 {
            self.recv_window += i64::from(self.owed);
            write_u32(&mut self.output, WINDOW_UPDATE, 0, std::mem::take(&mut self.owed));
        }
        let Some(s) = self.streams.get_mut(&id).filter(|s| !s.got_end) else { return };
        s.owed += n;
        if s.owed >= self.cfg.stream_window / 2 {
            s.recv_window += i64::from(s.owed);
            write_u32(&mut self.output, WINDOW_UPDATE, id, std::mem::take(&mut s.owed));
        }
    }

    /// Asks whether the peer is there.
    pub fn ping(&mut self) {
        write_head(&mut self.output, 8, PING, 0, 0);
        self.output.put_u64(0);
    }

    /// Begins to drain: the peer is told to open no more streams, and once it has surely heard so, which ones count
    /// (section 6.8). A client just opens no more.
    pub fn shutdown(&mut self) {
        if self.closing.is_some() || self.ended.is_some() {
            return;
        }
        if self.server {
            self.closing = Some(MAX_WINDOW as u32);
            write_goaway(&mut self.output, MAX_WINDOW as u32, Code::NO_ERROR, b"drain");
            write_head(&mut self.output, 8, PING, 0, 0);
            self.output.put_u64(DRAIN_PING);
        } else {
            self.closing = Some(self.last);
            self.draining = true;
            write_goaway(&mut self.output, self.last, Code::NO_ERROR, b"");
        }
    }

    /// Tells the peer to go away for now, with a text for people; nothing that it opened or opens counts. To be told
    /// where no request was taken; the stream is closed a moment later.
    pub fn calm(&mut self, text: &str) {
        write_goaway(&mut self.output, 0, Code::ENHANCE_YOUR_CALM, text.as_bytes());
    }

    /// Gives the connection up for a reason of the caller's, such as a peer that is too slow.
    pub fn abort(&mut self, error: ConnError) {
        if self.ended.is_some() {
            return;
        }
        self.ended = Some(error);
        self.input = BytesMut::new();
        self.block = None;
        write_goaway(&mut self.output, self.last, error.code, error.what.as_bytes());
        self.ready.clear();
        for id in std::mem::take(&mut self.streams).into_keys() {
            self.events.push_back(Event::Reset { stream: id, code: error.code, ours: true });
        }
    }

    // ---- sending ----

    fn write_fields(&mut self, id: u32, fields: &[Field], end: bool) {
        self.scratch.clear();
        self.encoder.encode(fields, &mut self.scratch);
        let end = if end { END_STREAM } else { 0 };
        let mut rest = &self.scratch[..];
        let (mut kind, mut flags) = (HEADERS, end);
        loop {
            let (part, more) = rest.split_at(rest.len().min(self.peer_frame));
            flags |= if more.is_empty() { END_HEADERS } else { 0 };
            write_head(&mut self.output, part.len(), kind, flags, id);
            self.output.put_slice(part);
            if more.is_empty() {
                return;
            }
            (rest, kind, flags) = (more, CONTINUATION, 0);
        }
    }

    /// Notes that a frame of ours went out; the last one may end the stream.
    fn sent(&mut self, id: u32, end: bool) {
        let Some(s) = self.streams.get_mut(&id).filter(|_| end) else { return };
        (s.ending, s.sent_end) = (true, true);
        if s.got_end {
            self.streams.remove(&id);
            self.calm_back();
        } else if self.server {
            // The whole answer went out before the whole request came: the rest of it is not wanted (8.1).
            self.reset(id, Code::NO_ERROR);
        }
    }

    /// Writes bodies as far as windows allow, a frame a stream in turn.
    fn pump(&mut self) {
        while let Some(id) = self.ready.pop_front() {
            let Some(s) = self.streams.get_mut(&id) else { continue };
            let Some(part) = s.queue.front_mut() else {
                s.ready = false;
                continue;
            };
            let room = s.send_window.min(self.send_window).clamp(0, self.peer_frame as i64) as usize;
            if room == 0 && !part.is_empty() {
                if s.send_window > 0 {
                    self.ready.push_front(id); // the connection's window is the one that is closed
                    return;
                }
                s.ready = false;
                continue;
            }
            let piece = part.split_to(part.len().min(room));
            if part.is_empty() {
                s.queue.pop_front();
            }
            s.queued -= piece.len();
            s.send_window -= piece.len() as i64;
            self.send_window -= piece.len() as i64;
            let last = s.queue.is_empty();
            let (end, trailers) = (last && s.ending && s.trailers.is_none(), s.trailers.take_if(|_| last));
            s.ready = !last;
            if !last {
                self.ready.push_back(id);
            }
            let flags = if end { END_STREAM } else { 0 };
            write_head(&mut self.output, piece.len(), DATA, flags, id);
            self.output.put_slice(&piece);
            match trailers {
                Some(fields) => {
                    self.write_fields(id, &fields, true);
                    self.sent(id, true);
                }
                None => self.sent(id, end),
            }
        }
    }

    // ---- receiving ----

    fn take(&mut self) -> Take {
        if self.preface > 0 {
            let n = self.preface.min(self.input.len());
            let from = PREFACE.len() - self.preface;
            if self.input[..n] != PREFACE[from..from + n] {
                return Err(protocol("expected the client's preface of HTTP/2"));
            }
            self.input.advance(n);
            self.preface -= n;
        }
        while self.preface == 0 && self.input.len() >= HEAD {
            let head = Head::read(&self.input);
            if head.len > MAX_FRAME {
                return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "frame of more than 16,384 bytes"));
            }
            if self.input.len() < HEAD + head.len {
                break;
            }
            self.input.advance(HEAD);
            let payload = self.input.split_to(head.len).freeze();
            self.frame(head, payload)?;
        }
        Ok(())
    }

    /// Draws on the allowance for frames that cost the peer nothing.
    fn spend(&mut self, cost: f64, what: &'static str) -> Take {
        let most = f64::from(self.cfg.calm_burst) + 2.0 * f64::from(self.cfg.max_streams);
        let span = self.now.saturating_sub(self.calm_at) as f64 / 1e6;
        self.calm_at = self.now;
        self.calm = (self.calm + span * f64::from(self.cfg.calm_per_s)).min(most) - cost;
        if self.calm < 0.0 {
            return Err(ConnError::new(Code::ENHANCE_YOUR_CALM, what));
        }
        Ok(())
    }

    /// A stream that came to its proper end earns the peer one reset.
    fn calm_back(&mut self) {
        self.calm =
            (self.calm + 1.0).min(f64::from(self.cfg.calm_burst) + 2.0 * f64::from(self.cfg.max_streams));
    }

    fn frame(&mut self, head: Head, payload: Bytes) -> Take {
        if !self.greeted && (head.kind != SETTINGS || head.has(ACK)) {
            return Err(protocol("expected SETTINGS as the first frame"));
        }
        if let Some(b) = &self.block {
            if head.kind != CONTINUATION || head.stream != b.head.stream {
                return Err(protocol("expected the CONTINUATION of an open header block"));
            }
        }
        match head.kind {
            DATA => self.on_data(head, payload),
            HEADERS => self.on_headers(head, payload),
            PRIORITY => {
                if head.stream == 0 {
                    return Err(protocol("PRIORITY on stream 0"));
                }
                self.spend(1.0, "too many PRIORITY frames")?;
                if head.len != 5 {
                    return self.stream_error(head.stream, Code::FRAME_SIZE_ERROR);
                }
                Ok(())
            }
            RST_STREAM => self.on_reset(head, payload),
            SETTINGS => self.on_settings(head, payload),
            PUSH_PROMISE => Err(protocol("PUSH_PROMISE where none is allowed")),
            PING => self.on_ping(head, payload),
            GOAWAY => self.on_goaway(head, payload),
            WINDOW_UPDATE => self.on_window(head, payload),
            CONTINUATION => self.on_continuation(head, payload),
            _ => self.spend(1.0, "too many frames of unknown types"), // section 5.5: passed over
        }
    }

    /// Whether a stream has not been opened yet.
    fn idle(&self, id: u32) -> bool {
        let by_client = id % 2 == 1;
        if by_client == self.server {
            id > self.last
        } else {
            id >= self.next
        }
    }

    fn remember(&mut self, id: u32) {
        self.dropped.push_back(id);
        if self.dropped.len() > REMEMBERED {
            self.dropped.pop_front();
        }
    }

    fn stream_error(&mut self, id: u32, code: Code) -> Take {
        self.spend(1.0, "too many broken streams")?;
        write_u32(&mut self.output, RST_STREAM, id, code.0);
        self.remember(id);
        if self.streams.remove(&id).is_some() {
            self.events.push_back(Event::Reset { stream: id, code, ours: true });
        }
        Ok(())
    }

    fn on_data(&mut self, head: Head, payload: Bytes) -> Take {
        let id = head.stream;
        if id == 0 || self.idle(id) {
            return Err(protocol("DATA on a stream that is not open"));
        }
        let size = payload.len();
        self.recv_window -= size as i64;
        if self.recv_window < 0 {
            return Err(ConnError::new(Code::FLOW_CONTROL_ERROR, "DATA beyond the connection's window"));
        }
        let data = unpad(&head, payload).ok_or(protocol("padding longer than the frame"))?;
        let end = head.has(END_STREAM);
        if data.is_empty() && !end {
            self.spend(1.0, "too many empty DATA frames")?;
        }
        let Some(s) = self.streams.get_mut(&id) else {
            self.consumed(id, size);
            return match self.dropped.iter().position(|d| *d == id) {
                // A client whose whole answer went out before its own end: that end costs it nothing, once.
                Some(at) if end => {
                    self.dropped.remove(at);
                    Ok(())
                }
                Some(_) => self.spend(0.1, "too much DATA on streams that were reset"),
                None => self.stream_error(id, Code::STREAM_CLOSED),
            };
        };
        s.recv_window -= size as i64;
        if s.got_end || !s.got_headers {
            let code = if s.got_end { Code::STREAM_CLOSED } else { Code::PROTOCOL_ERROR };
            self.consumed(id, size);
            return self.stream_error(id, code);
        }
        if s.recv_window < 0 {
            self.consumed(id, size);
            return self.stream_error(id, Code::FLOW_CONTROL_ERROR);
        }
        s.got += data.len() as u64;
        s.got_end = end;
        let wrong = s.length.is_some_and(|l| s.got > l || (end && s.got != l));
        if wrong {
            self.consumed(id, size);
            return self.stream_error(id, Code::PROTOCOL_ERROR); // section 8.1.1
        }
        let padding = size - data.len();
        if padding > 0 {
            self.consumed(id, padding);
        }
        if !data.is_empty() || end {
            self.events.push_back(Event::Data { stream: id, data, end });
        }
        self.got_end(id);
        Ok(())
    }

    /// Forgets a stream that both sides have ended.
    fn got_end(&mut self, id: u32) {
        if self.streams.get(&id).is_some_and(|s| s.got_end && s.sent_end) {
            self.streams.remove(&id);
            self.calm_back();
        }
    }

    fn on_headers(&mut self, head: Head, payload: Bytes) -> Take {
        let id = head.stream;
        if id == 0 || (id % 2 == 0) {
            return Err(protocol("HEADERS on a stream that a client cannot have opened"));
        }
        if !self.server && self.idle(id) {
            return Err(protocol("an answer on a stream that was never opened"));
        }
        let mut part = unpad(&head, payload).ok_or(protocol("padding longer than the frame"))?;
        if head.has(PRIORITIZED) {
            if part.len() < 5 {
                return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "HEADERS too short for its priority"));
            }
            part.advance(5);
        }
        if head.has(END_HEADERS) {
            return self.on_block(head, &part);
        }
        self.block = Some(Block { head, bytes: BytesMut::from(&part[..]), frames: 0 });
        Ok(())
    }

    fn on_continuation(&mut self, head: Head, payload: Bytes) -> Take {
        let most = self.cfg.header_list as usize;
        let Some(b) = &mut self.block else {
            return Err(protocol("CONTINUATION without an open header block"));
        };
        b.frames += 1;
        if b.frames > MAX_CONTINUATIONS || b.bytes.len() + payload.len() > most {
            return Err(ConnError::new(Code::ENHANCE_YOUR_CALM, "a header block over the limit"));
        }
        b.bytes.extend_from_slice(&payload);
        if !head.has(END_HEADERS) {
            return Ok(());
        }
        match self.block.take() {
            Some(b) => self.on_block(b.head, &b.bytes),
            None => Ok(()),
        }
    }

    fn on_block(&mut self, head: Head, block: &[u8]) -> Take {
        let (id, end) = (head.stream, head.has(END_STREAM));
        // Read in any case: both sides' tables must stay alike.
        let fields = match self.decoder.decode(block, self.cfg.header_list as usize) {
            Ok(fields) => fields,
            Err(super::HpackError::TooLarge(_)) => {
                return Err(ConnError::new(Code::ENHANCE_YOUR_CALM, "fields over the limit of a message"));
            }
            Err(_) => {
                return Err(ConnError::new(Code::COMPRESSION_ERROR, "a header block that cannot be read"))
            }
        };
        if self.server && self.idle(id) {
            self.last = id;
            if self.draining || self.closing.is_some_and(|last| id > last) {
                return Ok(()); // above the last id that our GOAWAY named: the client knows that it never ran
            }
            if self.streams.len() >= self.cfg.max_streams as usize {
                return self.stream_error(id, Code::REFUSED_STREAM);
            }
            let stream = self.stream();
            self.streams.insert(id, stream);
        }
        let server = self.server;
        let Some(s) = self.streams.get_mut(&id) else {
            if self.dropped.contains(&id) {
                return self.spend(0.1, "too many HEADERS on streams that were reset");
            }
            return Err(ConnError::new(Code::STREAM_CLOSED, "HEADERS on a closed stream"));
        };
        if s.got_end {
            return self.stream_error(id, Code::STREAM_CLOSED);
        }
        let trailers = s.got_headers;
        let Ok(checked) = check(&fields, server, trailers) else {
            return self.stream_error(id, Code::PROTOCOL_ERROR);
        };
        if trailers && !end {
            return self.stream_error(id, Code::PROTOCOL_ERROR);
        }
        if checked.informational {
            return if end {
                self.stream_error(id, Code::PROTOCOL_ERROR)
            } else {
                self.spend(1.0, "too many 1xx")
            };
        }
        s.got_headers = true;
        if !trailers {
            s.length = checked.length;
        }
        s.got_end = end;
        if end && s.length.is_some_and(|l| l != s.got) && s.got > 0 {
            return self.stream_error(id, Code::PROTOCOL_ERROR);
        }
        self.events.push_back(Event::Headers { stream: id, fields, end });
        self.got_end(id);
        Ok(())
    }

    fn on_reset(&mut self, head: Head, payload: Bytes) -> Take {
        if head.len != 4 {
            return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "RST_STREAM of other than four bytes"));
        }
        if head.stream == 0 || self.idle(head.stream) {
            return Err(protocol("RST_STREAM on a stream that is not open"));
        }
        let code = Code(u32::from_be_bytes([payload[0], payload[1], payload[2], payload[3]]));
        // Opening and resetting at once is work for us and none for the peer.
        self.spend(1.0, "too many streams reset")?;
        if self.streams.remove(&head.stream).is_some() {
            self.remember(head.stream);
            self.events.push_back(Event::Reset { stream: head.stream, code, ours: false });
        }
        Ok(())
    }

    fn on_settings(&mut self, head: Head, payload: Bytes) -> Take {
        if head.stream != 0 {
            return Err(protocol("SETTINGS on a stream"));
        }
        if head.has(ACK) {
            if head.len != 0 {
                return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "SETTINGS acknowledged with a payload"));
            }
            return self.spend(1.0, "too many SETTINGS");
        }
        if head.len % 6 != 0 {
            return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "SETTINGS of other than six bytes each"));
        }
        self.spend(1.0 + head.len as f64 / 600.0, "too many SETTINGS")?;
        for s in payload.chunks_exact(6) {
            let (id, value) =
                (u16::from_be_bytes([s[0], s[1]]), u32::from_be_bytes([s[2], s[3], s[4], s[5]]));
            match id {
                1 => self.encoder.allow(value),
                2 if value > 1 || (!self.server && value == 1) => {
                    return Err(protocol("ENABLE_PUSH of other than nought"));
                }
                3 if !self.server => self.peer_streams = value,
                4 => {
                    if i64::from(value) > MAX_WINDOW {
                        return Err(ConnError::new(Code::FLOW_CONTROL_ERROR, "initial window over 2^31-1"));
                    }
                    let by = i64::from(value) - self.peer_window;
                    self.peer_window = i64::from(value);
                    for (id, s) in &mut self.streams {
                        s.send_window += by;
                        if s.send_window > MAX_WINDOW {
                            return Err(ConnError::new(Code::FLOW_CONTROL_ERROR, "a window over 2^31-1"));
                        }
                        if !s.ready && s.send_window > 0 && !s.queue.is_empty() {
                            s.ready = true;
                            self.ready.push_back(*id);
                        }
                    }
                }
                5 => {
                    if !(16_384..=16_777_215).contains(&value) {
                        return Err(protocol("MAX_FRAME_SIZE outside 2^14 to 2^24-1"));
                    }
                    self.peer_frame = (value as usize).min(MAX_FRAME);
                }
                _ => {}
            }
        }
        write_head(&mut self.output, 0, SETTINGS, ACK, 0);
        if !self.greeted {
            self.greeted = true;
            self.events.push_back(Event::Ready);
        }
        Ok(())
    }

    fn on_ping(&mut self, head: Head, payload: Bytes) -> Take {
        if head.stream != 0 {
            return Err(protocol("PING on a stream"));
        }
        if head.len != 8 {
            return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "PING of other than eight bytes"));
        }
        self.spend(1.0, "too many PINGs")?;
        if !head.has(ACK) {
            write_head(&mut self.output, 8, PING, ACK, 0);
            self.output.put_slice(&payload);
        } else if payload[..] == DRAIN_PING.to_be_bytes() && self.closing.is_some() && !self.draining {
            // The client read the first GOAWAY before this: streams it opens from here on never run.
            (self.closing, self.draining) = (Some(self.last), true);
            write_goaway(&mut self.output, self.last, Code::NO_ERROR, b"drain");
        } else if payload[..] == [0; 8] {
            self.events.push_back(Event::Pong);
        }
        Ok(())
    }

    fn on_goaway(&mut self, head: Head, payload: Bytes) -> Take {
        if head.stream != 0 {
            return Err(protocol("GOAWAY on a stream"));
        }
        if head.len < 8 {
            return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "GOAWAY of less than eight bytes"));
        }
        self.spend(1.0, "too many GOAWAYs")?;
        let word =
            |at: usize| u32::from_be_bytes([payload[at], payload[at + 1], payload[at + 2], payload[at + 3]]);
        let (last, code) = (word(0) & 0x7fff_ffff, Code(word(4)));
        self.leaving = true;
        if !self.server {
            let above: Vec<u32> = self.streams.range(last.saturating_add(1)..).map(|(id, _)| *id).collect();
            for id in above {
                self.streams.remove(&id);
                self.events.push_back(Event::Reset { stream: id, code: Code::REFUSED_STREAM, ours: false });
            }
        }
        self.events.push_back(Event::GoAway(code));
        Ok(())
    }

    fn on_window(&mut self, head: Head, payload: Bytes) -> Take {
        if head.len != 4 {
            return Err(ConnError::new(Code::FRAME_SIZE_ERROR, "WINDOW_UPDATE of other than four bytes"));
        }
        let id = head.stream;
        let by =
            i64::from(u32::from_be_bytes([payload[0], payload[1], payload[2], payload[3]]) & 0x7fff_ffff);
        if id == 0 {
            self.send_window += by;
            if by == 0 {
                return Err(protocol("WINDOW_UPDATE by nought"));
            }
            if self.send_window > MAX_WINDOW {
                return Err(ConnError::new(Code::FLOW_CONTROL_ERROR, "the connection's window over 2^31-1"));
            }
            return Ok(());
        }
        if self.idle(id) {
            return Err(protocol("WINDOW_UPDATE on a stream that is not open"));
        }
        let Some(s) = self.streams.get_mut(&id) else {
            return self.spend(0.1, "too many late WINDOW_UPDATEs");
        };
        s.send_window += by;
        if by == 0 {
            return self.stream_error(id, Code::PROTOCOL_ERROR);
        }
        if s.send_window > MAX_WINDOW {
            return self.stream_error(id, Code::FLOW_CONTROL_ERROR);
        }
        if !s.ready && s.send_window > 0 && !s.queue.is_empty() {
            s.ready = true;
            self.ready.push_back(id);
        }
        Ok(())
    }
}

struct Checked {
    length: Option<u64>,
    informational: bool,
}

/// Checks a message's fields (sections 8.2 and 8.3); the error is for those who read the code.
fn check(fields: &[Field], request: bool, trailers: bool) -> Result<Checked, &'static str> {
    let (mut regular, mut length) = (false, None);
    let (mut method, mut scheme, mut path, mut status) = (0, 0, 0, None);
    for f in fields {
        if f.name.is_empty() || f.name.iter().any(|b| b.is_ascii_uppercase() || *b <= b' ' || *b >= 0x7f) {
            return Err("a name with characters that names cannot have");
        }
        if f.value.iter().any(|b| matches!(b, 0 | b'\r' | b'\n')) {
            return Err("a value with NUL, CR or LF");
        }
        if f.name[0] == b':' {
            if regular || trailers {
                return Err("a pseudo-header after others, or in trailers");
            }
            match (&f.name[..], request) {
                (b":method", true) => method += 1,
                (b":scheme", true) => scheme += 1,
                (b":path", true) => path += if f.value.is_empty() { 9 } else { 1 },
                (b":authority", true) => {}
                (b":status", false) if status.is_none() => status = Some(&f.value),
                _ => return Err("a pseudo-header that has no place here"),
            }
            continue;
        }
        regular = true;
        match &f.name[..] {
            b"connection" | b"proxy-connection" | b"keep-alive" | b"transfer-encoding" | b"upgrade" => {
                return Err("a field of a connection of HTTP/1");
            }
            b"te" if f.value != "trailers" => return Err("te of other than trailers"),
            b"content-length" => {
                let text =
                    std::str::from_utf8(&f.value).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
                let n = text.and_then(|t| t.parse().ok()).ok_or("content-length that is no number")?;
                if length.replace(n).is_some_and(|old| old != n) {
                    return Err("two lengths");
                }
            }
            _ => {}
        }
    }
    if !trailers && request && (method, scheme, path) != (1, 1, 1) {
        return Err("a request needs one method, scheme and path");
    }
    let mut informational = false;
    if !trailers && !request {
        let code = status.filter(|s| s.len() == 3 && s.iter().all(u8::is_ascii_digit));
        informational = code.ok_or("an answer needs one status of three digits")?[0] == b'1';
    }
    Ok(Checked { length, informational })
}

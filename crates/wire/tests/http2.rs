//! HTTP/2 connections in memory: a client and a server with each other, and each with a peer that violates the
//! protocol.

use bytes::Bytes;
use chalkgap_wire::http2::{Code, Config, Connection, Event, Field, OpenError, SendError, PREFACE};
use proptest::prelude::*;

const NOW: u64 = 1_000_000;

fn request() -> Vec<Field> {
    vec![
        Field::constant(":method", "POST"),
        Field::constant(":scheme", "http"),
        Field::constant(":path", "/a.B/C"),
        Field::constant("te", "trailers"),
    ]
}

fn response() -> Vec<Field> {
    vec![Field::constant(":status", "200")]
}

/// Moves bytes in both directions, at most `step` at a time, until neither side has output.
fn exchange(a: &mut Connection, b: &mut Connection, step: usize) {
    let one_way = |from: &mut Connection, to: &mut Connection| {
        let count = from.output().len().min(step);
        let bytes = from.output().split_to(count);
        to.receive(NOW, &bytes).expect("both peers follow the protocol");
        count > 0
    };
    while one_way(a, b) | one_way(b, a) {}
}

/// Returns a client and a server that have exchanged their SETTINGS.
fn pair(server_config: Config) -> (Connection, Connection) {
    let mut client = Connection::client(Config::default());
    let mut server = Connection::server(server_config);
    exchange(&mut client, &mut server, 9999);
    assert_eq!((client.event(), server.event()), (Some(Event::Ready), Some(Event::Ready)));
    (client, server)
}

/// Handles all events. Returns the consumed bytes of bodies, and whether a stream was ended by the peer.
fn body(connection: &mut Connection) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    let mut ended = false;
    while let Some(event) = connection.event() {
        match event {
            Event::Data { stream, data, end } => {
                connection.consumed(stream, data.len());
                bytes.extend_from_slice(&data);
                ended |= end;
            }
            Event::Headers { end, .. } => ended |= end,
            _ => {}
        }
    }
    (bytes, ended)
}

#[test]
fn a_request_and_its_response_arrive_unchanged() {
    let (mut client, mut server) = pair(Config::default());
    let id = client.open(&request(), false).unwrap();
    client.data(id, Bytes::from_static(b"ping"), true).unwrap();
    exchange(&mut client, &mut server, 7);
    assert_eq!(server.event(), Some(Event::Headers { stream: id, fields: request(), end: false }));
    assert_eq!(
        server.event(),
        Some(Event::Data { stream: id, data: Bytes::from_static(b"ping"), end: true })
    );
    server.headers(id, response(), false).unwrap();
    server.data(id, Bytes::from_static(b"pong"), false).unwrap();
    let trailers = vec![Field::constant("grpc-status", "0")];
    server.headers(id, trailers.clone(), true).unwrap();
    exchange(&mut client, &mut server, 3);
    assert_eq!(client.event(), Some(Event::Headers { stream: id, fields: response(), end: false }));
    assert_eq!(
        client.event(),
        Some(Event::Data { stream: id, data: Bytes::from_static(b"pong"), end: false })
    );
    assert_eq!(client.event(), Some(Event::Headers { stream: id, fields: trailers, end: true }));
    assert_eq!((client.open_streams(), server.open_streams()), (0, 0));
    assert_eq!(
        server.headers(id, response(), true),
        Err(SendError::Closed),
        "a second response on the stream"
    );
}

#[test]
fn bodies_larger_than_the_windows_arrive_complete() {
    let (mut client, mut server) = pair(Config { stream_window: 5000, ..Config::default() });
    let ids: Vec<u32> = (0..3).map(|_| client.open(&request(), false).unwrap()).collect();
    for id in &ids {
        client.data(*id, vec![*id as u8; 300_000].into(), true).unwrap();
    }
    let mut received = 0;
    for _ in 0..2000 {
        exchange(&mut client, &mut server, 9999);
        received += body(&mut server).0.len();
    }
    assert_eq!(received, 900_000);
    // While the peer's window stays closed, the send buffer holds no more than its limit.
    let id = client.open(&request(), false).unwrap();
    client.data(id, vec![0; 1 << 20].into(), false).unwrap();
    exchange(&mut client, &mut server, 9999);
    assert!(matches!(client.data(id, vec![0; 1 << 20].into(), false), Err(SendError::Full(_))));
}

#[test]
fn both_sides_limit_the_number_of_streams() {
    let (mut client, mut server) = pair(Config { max_streams: 2, ..Config::default() });
    let ids = [client.open(&request(), true).unwrap(), client.open(&request(), true).unwrap()];
    assert_eq!(client.open(&request(), true), Err(OpenError::Full(2)));
    exchange(&mut client, &mut server, 99);
    server.headers(ids[0], response(), true).unwrap();
    exchange(&mut client, &mut server, 99);
    client.open(&request(), true).expect("a stream has ended");
    // If a client exceeds the limit, only the excess stream is refused.
    let mut raw = RawClient::new(Config { max_streams: 1, ..Config::default() });
    raw.open(1);
    raw.open(3);
    assert_eq!(raw.resets(), [(3, Code::REFUSED_STREAM)]);
    assert_eq!(raw.server.open_streams(), 1);
}

#[test]
fn shutdown_accepts_streams_opened_before_the_client_received_goaway() {
    let (mut client, mut server) = pair(Config::default());
    let first = client.open(&request(), true).unwrap();
    exchange(&mut client, &mut server, 99);
    server.shutdown();
    // The server accepts a stream that the client opened before it received the first GOAWAY.
    let second = client.open(&request(), true).unwrap();
    exchange(&mut client, &mut server, 99);
    assert_eq!(client.open(&request(), true), Err(OpenError::GoingAway));
    assert!(!server.finished());
    for id in [first, second] {
        server.headers(id, response(), true).unwrap();
    }
    exchange(&mut client, &mut server, 99);
    assert!(server.finished() && client.finished());
}

#[test]
fn streams_above_the_last_id_of_goaway_are_reported_as_refused() {
    let mut raw = RawServer::new();
    let ids: Vec<u32> = (0..3).map(|_| raw.client.open(&request(), true).unwrap()).collect();
    raw.send(7, 0, 0, &[&ids[0].to_be_bytes()[..], &[0; 4]].concat());
    let refused = |stream| Event::Reset { stream, code: Code::REFUSED_STREAM, local: false };
    assert_eq!(raw.events(), [refused(ids[1]), refused(ids[2]), Event::GoAway(Code::NO_ERROR)]);
    assert_eq!(raw.client.open_streams(), 1);
}

#[test]
fn a_response_before_the_end_of_the_request_resets_the_stream_with_no_error() {
    let (mut client, mut server) = pair(Config::default());
    let id = client.open(&request(), false).unwrap();
    exchange(&mut client, &mut server, 99);
    server.headers(id, response(), true).unwrap();
    exchange(&mut client, &mut server, 99);
    assert_eq!(client.event(), Some(Event::Headers { stream: id, fields: response(), end: true }));
    assert_eq!(client.event(), Some(Event::Reset { stream: id, code: Code::NO_ERROR, local: false }));
}

/// A client that sends raw frames, to violate the protocol.
struct RawClient {
    server: Connection,
    /// All bytes that the server has sent.
    output: Vec<u8>,
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// Header block with the entries POST, http and path "/" of the static table.
const BLOCK: [u8; 3] = [0x83, 0x86, 0x84];

impl RawClient {
    fn new(config: Config) -> RawClient {
        let mut server = Connection::server(config);
        server.receive(NOW, PREFACE).unwrap();
        server.receive(NOW, &frame(4, 0, 0, &[])).unwrap();
        assert_eq!(server.event(), Some(Event::Ready));
        server.output().clear();
        RawClient { server, output: Vec::new() }
    }

    /// Sends a frame. Returns the code of the connection error that it causes.
    fn send(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Option<Code> {
        let error = self.server.receive(NOW, &frame(kind, flags, stream, payload)).err();
        self.output.extend_from_slice(self.server.output());
        self.server.output().clear();
        error.map(|error| error.code)
    }

    fn open(&mut self, id: u32) -> Option<Code> {
        self.send(1, 0x4, id, &BLOCK)
    }

    /// Returns type, stream id and payload of the frames that the server has sent.
    fn frames(&self) -> Vec<(u8, u32, Vec<u8>)> {
        let mut list = Vec::new();
        let mut rest = &self.output[..];
        while rest.len() >= 9 {
            let len = usize::from(rest[0]) << 16 | usize::from(rest[1]) << 8 | usize::from(rest[2]);
            let stream = u32::from_be_bytes([rest[5], rest[6], rest[7], rest[8]]);
            list.push((rest[3], stream, rest[9..9 + len].to_vec()));
            rest = &rest[9 + len..];
        }
        list
    }

    fn resets(&self) -> Vec<(u32, Code)> {
        let code =
            |payload: &[u8]| Code(u32::from_be_bytes([payload[0], payload[1], payload[2], payload[3]]));
        let frames = self.frames();
        let resets = frames.iter().filter(|(kind, _, _)| *kind == 3);
        resets.map(|(_, stream, payload)| (*stream, code(payload))).collect()
    }

    fn goaway(&self) -> Option<Code> {
        let code =
            |payload: &[u8]| Code(u32::from_be_bytes([payload[4], payload[5], payload[6], payload[7]]));
        self.frames().iter().find(|(kind, _, _)| *kind == 7).map(|(_, _, payload)| code(payload))
    }
}

/// A server that sends raw frames, to violate the protocol.
struct RawServer {
    client: Connection,
}

impl RawServer {
    fn new() -> RawServer {
        let mut client = Connection::client(Config::default());
        client.receive(NOW, &frame(4, 0, 0, &[])).unwrap();
        assert_eq!(client.event(), Some(Event::Ready));
        RawServer { client }
    }

    fn send(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Option<Code> {
        self.client.receive(NOW, &frame(kind, flags, stream, payload)).err().map(|error| error.code)
    }

    fn events(&mut self) -> Vec<Event> {
        std::iter::from_fn(|| self.client.event()).collect()
    }
}

/// Connection errors: the frames that cause each, and the code of the GOAWAY.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn connection_errors_have_the_codes_of_the_rfc() {
    const SETTINGS: u8 = 4;
    type Step = (u8, u8, u32, Vec<u8>);
    let open = || (1, 0x4, 1, BLOCK.to_vec());
    let one = |frame: Step| vec![frame];
    let cases: Vec<(&str, Vec<Step>, Code)> = vec![
        ("DATA on stream 0", one((0, 0, 0, vec![1])), Code::PROTOCOL_ERROR),
        ("DATA on an idle stream", one((0, 0, 5, vec![1])), Code::PROTOCOL_ERROR),
        ("padding longer than the frame", vec![open(), (0, 0x8, 1, vec![9, 1])], Code::PROTOCOL_ERROR),
        ("HEADERS on stream 0", one((1, 0x4, 0, BLOCK.to_vec())), Code::PROTOCOL_ERROR),
        ("HEADERS on an even stream", one((1, 0x4, 2, BLOCK.to_vec())), Code::PROTOCOL_ERROR),
        ("HEADERS too short for its priority fields", one((1, 0x24, 1, vec![0, 0])), Code::FRAME_SIZE_ERROR),
        ("header block with index 0", one((1, 0x4, 1, vec![0x80])), Code::COMPRESSION_ERROR),
        (
            "another frame within a header block",
            vec![(1, 0, 1, BLOCK.to_vec()), (6, 0, 0, vec![0; 8])],
            Code::PROTOCOL_ERROR,
        ),
        (
            "CONTINUATION of another stream",
            vec![(1, 0, 1, BLOCK.to_vec()), (9, 4, 3, vec![])],
            Code::PROTOCOL_ERROR,
        ),
        ("CONTINUATION without HEADERS", one((9, 0x4, 1, BLOCK.to_vec())), Code::PROTOCOL_ERROR),
        ("PRIORITY on stream 0", one((2, 0, 0, vec![0; 5])), Code::PROTOCOL_ERROR),
        ("RST_STREAM on stream 0", one((3, 0, 0, vec![0; 4])), Code::PROTOCOL_ERROR),
        ("RST_STREAM on an idle stream", one((3, 0, 9, vec![0; 4])), Code::PROTOCOL_ERROR),
        ("RST_STREAM of three bytes", vec![open(), (3, 0, 1, vec![0; 3])], Code::FRAME_SIZE_ERROR),
        ("SETTINGS on a stream", one((SETTINGS, 0, 1, vec![])), Code::PROTOCOL_ERROR),
        ("SETTINGS of five bytes", one((SETTINGS, 0, 0, vec![0; 5])), Code::FRAME_SIZE_ERROR),
        (
            "SETTINGS acknowledgement with a payload",
            one((SETTINGS, 1, 0, vec![0; 6])),
            Code::FRAME_SIZE_ERROR,
        ),
        ("ENABLE_PUSH of 2", one((SETTINGS, 0, 0, vec![0, 2, 0, 0, 0, 2])), Code::PROTOCOL_ERROR),
        (
            "initial window over 2^31-1",
            one((SETTINGS, 0, 0, vec![0, 4, 255, 0, 0, 0])),
            Code::FLOW_CONTROL_ERROR,
        ),
        ("MAX_FRAME_SIZE of 0", one((SETTINGS, 0, 0, vec![0, 5, 0, 0, 0, 0])), Code::PROTOCOL_ERROR),
        (
            "stream windows over 2^31-1 by SETTINGS",
            vec![open(), (8, 0, 1, vec![0x70, 0, 0, 0]), (SETTINGS, 0, 0, vec![0, 4, 0x7f, 255, 255, 255])],
            Code::FLOW_CONTROL_ERROR,
        ),
        ("PUSH_PROMISE from a client", one((5, 4, 1, vec![0; 8])), Code::PROTOCOL_ERROR),
        ("PING on a stream", one((6, 0, 1, vec![0; 8])), Code::PROTOCOL_ERROR),
        ("PING of seven bytes", one((6, 0, 0, vec![0; 7])), Code::FRAME_SIZE_ERROR),
        ("GOAWAY on a stream", one((7, 0, 1, vec![0; 8])), Code::PROTOCOL_ERROR),
        ("GOAWAY of seven bytes", one((7, 0, 0, vec![0; 7])), Code::FRAME_SIZE_ERROR),
        ("WINDOW_UPDATE of three bytes", one((8, 0, 0, vec![0; 3])), Code::FRAME_SIZE_ERROR),
        ("WINDOW_UPDATE with increment 0", one((8, 0, 0, vec![0; 4])), Code::PROTOCOL_ERROR),
        ("WINDOW_UPDATE on an idle stream", one((8, 0, 7, vec![0, 0, 0, 1])), Code::PROTOCOL_ERROR),
        (
            "connection window over 2^31-1",
            one((8, 0, 0, vec![0x7f, 255, 255, 255])),
            Code::FLOW_CONTROL_ERROR,
        ),
        (
            "new stream after a reset one: no error",
            vec![(1, 0x5, 1, BLOCK.to_vec()), (3, 0, 1, vec![0; 4]), (1, 0x4, 3, BLOCK.to_vec())],
            Code::NO_ERROR,
        ),
    ];
    for (case, steps, code) in cases {
        let mut raw = RawClient::new(Config::default());
        let errors: Vec<Code> = steps
            .into_iter()
            .filter_map(|(kind, flags, stream, payload)| raw.send(kind, flags, stream, &payload))
            .collect();
        let expected: Vec<Code> = [code].into_iter().filter(|c| *c != Code::NO_ERROR).collect();
        assert_eq!(errors, expected, "{case}");
        assert_eq!(raw.goaway(), expected.first().copied(), "{case}: GOAWAY");
    }
    // The preface and SETTINGS have to come first.
    let mut server = Connection::server(Config::default());
    assert_eq!(server.receive(NOW, b"GET / HTTP/1.1\r\n").unwrap_err().code, Code::PROTOCOL_ERROR);
    let mut server = Connection::server(Config::default());
    server.receive(NOW, PREFACE).unwrap();
    assert_eq!(server.receive(NOW, &frame(6, 0, 0, &[0; 8])).unwrap_err().code, Code::PROTOCOL_ERROR);
    let mut raw = RawClient::new(Config::default());
    let too_long = [&[0, 0x40, 1][..], &[0; 6]].concat(); // only the frame header, which is rejected already
    assert_eq!(raw.server.receive(NOW, &too_long).unwrap_err().code, Code::FRAME_SIZE_ERROR);
}

/// Stream errors: each resets its stream only.
#[test]
fn stream_errors_do_not_affect_other_streams() {
    let block = |list: &[(&'static str, &'static str)]| {
        let fields: Vec<Field> = list.iter().map(|(name, value)| Field::constant(name, value)).collect();
        let mut block = Vec::new();
        chalkgap_wire::http2::Encoder::default().encode(&fields, &mut block);
        block
    };
    let post = [(":method", "POST"), (":scheme", "http"), (":path", "/")];
    let post_with = |more: &[(&'static str, &'static str)]| block(&[&post[..], more].concat());
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("request without a path", block(&post[..2])),
        ("two paths", post_with(&[(":path", "/")])),
        ("an empty path", block(&[post[0], post[1], (":path", "")])),
        ("a status in a request", post_with(&[(":status", "200")])),
        ("pseudo-header after a regular field", block(&[("a", "b"), post[0], post[1], post[2]])),
        ("name in upper case", post_with(&[("Abc", "b")])),
        ("a name with a space", post_with(&[("a b", "b")])),
        ("a value with a line feed", post_with(&[("a", "b\nc: d")])),
        ("connection field", post_with(&[("connection", "close")])),
        ("transfer-encoding field", post_with(&[("transfer-encoding", "chunked")])),
        ("te other than trailers", post_with(&[("te", "gzip")])),
        ("content-length that is not a number", post_with(&[("content-length", "+1")])),
        ("two different content-lengths", post_with(&[("content-length", "1"), ("content-length", "2")])),
    ];
    let mut raw = RawClient::new(Config::default());
    assert_eq!(raw.open(1), None);
    for (id, (case, bytes)) in (3u32..).step_by(2).zip(&cases) {
        assert_eq!(raw.send(1, 0x4, id, bytes), None, "{case}");
        assert_eq!(raw.resets().last(), Some(&(id, Code::PROTOCOL_ERROR)), "{case}");
    }
    let next = 3 + 2 * cases.len() as u32;
    // A body longer and one shorter than content-length; windows, trailers, late DATA and PRIORITY.
    raw.send(1, 0x4, next, &post_with(&[("content-length", "3")]));
    raw.send(0, 0, next, b"four");
    assert_eq!(raw.resets().last(), Some(&(next, Code::PROTOCOL_ERROR)));
    raw.send(1, 0x4, next + 2, &post_with(&[("content-length", "3")]));
    raw.send(0, 0x1, next + 2, b"12");
    assert_eq!(raw.resets().last(), Some(&(next + 2, Code::PROTOCOL_ERROR)));
    raw.open(next + 4);
    raw.send(8, 0, next + 4, &[0; 4]);
    assert_eq!(
        raw.resets().last(),
        Some(&(next + 4, Code::PROTOCOL_ERROR)),
        "WINDOW_UPDATE with increment 0"
    );
    raw.open(next + 6);
    raw.send(8, 0, next + 6, &[0x7f, 255, 255, 255]);
    assert_eq!(raw.resets().last(), Some(&(next + 6, Code::FLOW_CONTROL_ERROR)));
    raw.open(next + 8);
    raw.send(1, 0x4, next + 8, &[]);
    assert_eq!(raw.resets().last(), Some(&(next + 8, Code::PROTOCOL_ERROR)), "trailers without END_STREAM");
    raw.send(1, 0x5, next + 10, &BLOCK);
    raw.send(0, 0, next + 10, b"late");
    assert_eq!(raw.resets().last(), Some(&(next + 10, Code::STREAM_CLOSED)), "DATA after END_STREAM");
    raw.send(2, 0, next + 12, &[0; 4]);
    assert_eq!(raw.resets().last(), Some(&(next + 12, Code::FRAME_SIZE_ERROR)), "PRIORITY of four bytes");
    // The first stream is still open.
    raw.server.headers(1, response(), false).expect("the stream is open");
    let mut small = RawClient::new(Config { stream_window: 10, ..Config::default() });
    small.open(1);
    small.send(0, 0, 1, &[0; 11]);
    assert_eq!(small.resets(), [(1, Code::FLOW_CONTROL_ERROR)]);
}

/// Frames that are cheap to send: a flood of each kind ends the connection with ENHANCE_YOUR_CALM, and the output stays
/// bounded.
#[test]
fn floods_end_the_connection_with_enhance_your_calm() {
    let floods: [(&str, u8, Vec<u8>); 5] = [
        ("PING", 6, vec![0; 8]),
        ("SETTINGS", 4, vec![]),
        ("empty DATA", 0, vec![]),
        ("PRIORITY", 2, vec![0; 5]),
        ("unknown", 99, vec![]),
    ];
    for (case, kind, payload) in floods {
        let mut raw = RawClient::new(Config::default());
        raw.open(1);
        let stream = u32::from(kind == 0 || kind == 2);
        let ended = (0..10_000).find_map(|_| raw.send(kind, 0, stream, &payload));
        assert_eq!(ended, Some(Code::ENHANCE_YOUR_CALM), "{case}");
        assert!(raw.output.len() < 40_000, "{case}: {} bytes of output", raw.output.len());
    }
    let mut raw = RawClient::new(Config::default());
    let rapid = (1u32..).step_by(2).take(10_000).find_map(|id| raw.open(id).or(raw.send(3, 0, id, &[0; 4])));
    assert_eq!(rapid, Some(Code::ENHANCE_YOUR_CALM), "rapid reset");
    let mut raw = RawClient::new(Config::default());
    raw.send(1, 0, 1, &BLOCK);
    let endless = (0..10_000).find_map(|_| raw.send(9, 0, 1, &[0x83; 100]));
    assert_eq!(endless, Some(Code::ENHANCE_YOUR_CALM), "CONTINUATION without END_HEADERS");
    // The same number of frames at a low rate is accepted.
    let mut raw = RawClient::new(Config::default());
    for n in 0..10_000u64 {
        raw.server.receive(NOW + n * 20_000, &frame(6, 0, 0, &[0; 8])).expect("50 frames per second");
        raw.server.output().clear();
    }
}

/// The END_STREAM of a request that was answered before its end is not counted against the allowance: otherwise, the
/// server would close connections of valid clients under load.
#[test]
fn late_ends_of_answered_requests_are_not_counted_as_a_flood() {
    let mut raw = RawClient::new(Config::default());
    for id in (1u32..).step_by(2).take(5000) {
        assert_eq!(raw.open(id), None);
        raw.server.headers(id, response(), true).unwrap();
        assert_eq!(raw.send(0, 0x1, id, &[]), None);
    }
    let repeated = (0..5000).find_map(|_| raw.send(0, 0x1, 9999, &[]));
    assert_eq!(repeated, Some(Code::ENHANCE_YOUR_CALM), "END_STREAM repeated on one stream");
}

#[test]
fn an_invalid_response_resets_its_stream() {
    let mut raw = RawServer::new();
    let id = raw.client.open(&request(), true).unwrap();
    raw.send(1, 0x4, id, &[0x82]); // :method in a response
    assert_eq!(raw.events(), [Event::Reset { stream: id, code: Code::PROTOCOL_ERROR, local: true }]);
    let id = raw.client.open(&request(), true).unwrap();
    raw.send(1, 0x4, id, &[0x08, 0x03, b'1', b'0', b'3']);
    raw.send(1, 0x5, id, &[0x88]);
    assert!(
        matches!(raw.events()[..], [Event::Headers { end: true, .. }]),
        "the interim response 103 is not reported"
    );
    assert_eq!(raw.send(5, 4, id, &[0; 8]), Some(Code::PROTOCOL_ERROR), "PUSH_PROMISE from a server");
    let mut raw = RawServer::new();
    assert_eq!(raw.send(1, 0x4, 1, &[0x88]), Some(Code::PROTOCOL_ERROR), "response without a request");
    let mut raw = RawServer::new();
    let id = raw.client.open(&request(), true).unwrap();
    assert_eq!(raw.send(6, 0, 1, &[0; 8]), Some(Code::PROTOCOL_ERROR));
    assert_eq!(raw.events(), [Event::Reset { stream: id, code: Code::PROTOCOL_ERROR, local: true }]);
}

proptest! {
    /// Arbitrary bytes after the preface cause an error or events, but no panic, and bounded output.
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..2000), step in 1usize..200) {
        let mut raw = RawClient::new(Config::default());
        for part in bytes.chunks(step) {
            let _ = raw.server.receive(NOW, part);
            while raw.server.event().is_some() {}
        }
        prop_assert!(raw.server.output().len() < 20_000);
    }

    /// Arbitrary frames cause no panic and a bounded output and number of streams, on both sides.
    #[test]
    fn any_frames(frames in proptest::collection::vec(
        (0u8..11, any::<u8>(), 0u32..12, proptest::collection::vec(any::<u8>(), 0..20)), 0..60)) {
        let mut raw = RawClient::new(Config::default());
        let mut raw_server = RawServer::new();
        for _ in 0..3 {
            raw_server.client.open(&request(), true).unwrap();
        }
        for (kind, flags, stream, payload) in frames {
            raw.send(kind, flags, stream, &payload);
            raw_server.send(kind, flags, stream, &payload);
        }
        prop_assert!(raw.output.len() < 20_000);
        prop_assert!(raw.server.open_streams() <= 6);
    }

    /// Bodies arrive complete however the bytes are split.
    #[test]
    fn any_split(step in 1usize..50, sizes in proptest::collection::vec(0usize..5000, 1..5)) {
        let (mut client, mut server) = pair(Config::default());
        let mut total = 0;
        for size in &sizes {
            let id = client.open(&request(), false).unwrap();
            client.data(id, vec![7; *size].into(), true).unwrap();
            total += size;
        }
        exchange(&mut client, &mut server, step);
        prop_assert_eq!(body(&mut server).0.len(), total);
    }
}

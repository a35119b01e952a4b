//! Whole conversations in memory: two of our connections with each other, and one with a peer that breaks the rules.

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

fn answer() -> Vec<Field> {
    vec![Field::constant(":status", "200")]
}

/// Moves bytes both ways, `step` at a time, until both are silent.
fn exchange(a: &mut Connection, b: &mut Connection, step: usize) {
    let one_way = |from: &mut Connection, to: &mut Connection| {
        let n = from.output().len().min(step);
        let bytes = from.output().split_to(n);
        to.receive(NOW, &bytes).expect("two good peers");
        n > 0
    };
    while one_way(a, b) | one_way(b, a) {}
}

fn pair(server: Config) -> (Connection, Connection) {
    let (mut c, mut s) = (Connection::client(Config::default()), Connection::server(server));
    exchange(&mut c, &mut s, 9999);
    assert_eq!((c.event(), s.event()), (Some(Event::Ready), Some(Event::Ready)));
    (c, s)
}

fn body(c: &mut Connection) -> (Vec<u8>, bool) {
    let (mut all, mut done) = (Vec::new(), false);
    while let Some(e) = c.event() {
        match e {
            Event::Data { stream, data, end } => {
                c.consumed(stream, data.len());
                all.extend_from_slice(&data);
                done |= end;
            }
            Event::Headers { end, .. } => done |= end,
            _ => {}
        }
    }
    (all, done)
}

#[test]
fn a_call_there_and_back() {
    let (mut c, mut s) = pair(Config::default());
    let id = c.open(&request(), false).unwrap();
    c.data(id, Bytes::from_static(b"ping"), true).unwrap();
    exchange(&mut c, &mut s, 7);
    assert_eq!(s.event(), Some(Event::Headers { stream: id, fields: request(), end: false }));
    assert_eq!(s.event(), Some(Event::Data { stream: id, data: Bytes::from_static(b"ping"), end: true }));
    s.headers(id, answer(), false).unwrap();
    s.data(id, Bytes::from_static(b"pong"), false).unwrap();
    let trailers = vec![Field::constant("grpc-status", "0")];
    s.headers(id, trailers.clone(), true).unwrap();
    exchange(&mut c, &mut s, 3);
    assert_eq!(c.event(), Some(Event::Headers { stream: id, fields: answer(), end: false }));
    assert_eq!(c.event(), Some(Event::Data { stream: id, data: Bytes::from_static(b"pong"), end: false }));
    assert_eq!(c.event(), Some(Event::Headers { stream: id, fields: trailers, end: true }));
    assert_eq!((c.open_streams(), s.open_streams()), (0, 0));
    assert_eq!(s.headers(id, answer(), true), Err(SendError::Closed), "told twice");
}

#[test]
fn bodies_beyond_every_window_arrive_whole() {
    let (mut c, mut s) = pair(Config { stream_window: 5000, ..Config::default() });
    let ids: Vec<u32> = (0..3).map(|_| c.open(&request(), false).unwrap()).collect();
    for id in &ids {
        c.data(*id, vec![*id as u8; 300_000].into(), true).unwrap();
    }
    let mut got = 0;
    for _ in 0..2000 {
        exchange(&mut c, &mut s, 9999);
        got += body(&mut s).0.len();
    }
    assert_eq!(got, 900_000);
    // A window that never opens holds what the limit allows, no more.
    let id = c.open(&request(), false).unwrap();
    c.data(id, vec![0; 1 << 20].into(), false).unwrap();
    exchange(&mut c, &mut s, 9999);
    assert!(matches!(c.data(id, vec![0; 1 << 20].into(), false), Err(SendError::Full(_))));
}

#[test]
fn limits_of_streams_hold_on_both_sides() {
    let (mut c, mut s) = pair(Config { max_streams: 2, ..Config::default() });
    let ids = [c.open(&request(), true).unwrap(), c.open(&request(), true).unwrap()];
    assert_eq!(c.open(&request(), true), Err(OpenError::Full(2)));
    exchange(&mut c, &mut s, 99);
    s.headers(ids[0], answer(), true).unwrap();
    exchange(&mut c, &mut s, 99);
    c.open(&request(), true).expect("a place came free");
    // A client that does not keep to it is refused that stream alone.
    let mut raw = Raw::new(Config { max_streams: 1, ..Config::default() });
    raw.open(1);
    raw.open(3);
    assert_eq!(raw.resets(), [(3, Code::REFUSED_STREAM)]);
    assert_eq!(raw.server.open_streams(), 1);
}

#[test]
fn drain_tells_first_and_counts_later() {
    let (mut c, mut s) = pair(Config::default());
    let one = c.open(&request(), true).unwrap();
    exchange(&mut c, &mut s, 99);
    s.shutdown();
    // A stream that was under way while the first GOAWAY was is still taken.
    let two = c.open(&request(), true).unwrap();
    exchange(&mut c, &mut s, 99);
    assert_eq!(c.open(&request(), true), Err(OpenError::GoingAway));
    assert!(!s.finished());
    for id in [one, two] {
        s.headers(id, answer(), true).unwrap();
    }
    exchange(&mut c, &mut s, 99);
    assert!(s.finished() && c.finished());
}

#[test]
fn streams_above_goaway_never_ran() {
    let mut raw = RawServer::new();
    let ids: Vec<u32> = (0..3).map(|_| raw.client.open(&request(), true).unwrap()).collect();
    raw.send(7, 0, 0, &[&ids[0].to_be_bytes()[..], &[0; 4]].concat());
    let refused = |stream| Event::Reset { stream, code: Code::REFUSED_STREAM, local: false };
    assert_eq!(raw.events(), [refused(ids[1]), refused(ids[2]), Event::GoAway(Code::NO_ERROR)]);
    assert_eq!(raw.client.open_streams(), 1);
}

#[test]
fn early_answer_tells_that_the_rest_is_not_wanted() {
    let (mut c, mut s) = pair(Config::default());
    let id = c.open(&request(), false).unwrap();
    exchange(&mut c, &mut s, 99);
    s.headers(id, answer(), true).unwrap();
    exchange(&mut c, &mut s, 99);
    assert_eq!(c.event(), Some(Event::Headers { stream: id, fields: answer(), end: true }));
    assert_eq!(c.event(), Some(Event::Reset { stream: id, code: Code::NO_ERROR, local: false }));
}

/// A client of bytes, to break rules with.
struct Raw {
    server: Connection,
    out: Vec<u8>,
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut f = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    f.extend([kind, flags]);
    f.extend(stream.to_be_bytes());
    f.extend(payload);
    f
}

/// POST, http, path "/" of the static table.
const BLOCK: [u8; 3] = [0x83, 0x86, 0x84];

impl Raw {
    fn new(cfg: Config) -> Raw {
        let mut server = Connection::server(cfg);
        server.receive(NOW, PREFACE).unwrap();
        server.receive(NOW, &frame(4, 0, 0, &[])).unwrap();
        assert_eq!(server.event(), Some(Event::Ready));
        server.output().clear();
        Raw { server, out: Vec::new() }
    }

    fn send(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Option<Code> {
        let error = self.server.receive(NOW, &frame(kind, flags, stream, payload)).err();
        self.out.extend_from_slice(self.server.output());
        self.server.output().clear();
        error.map(|e| e.code)
    }

    fn open(&mut self, id: u32) -> Option<Code> {
        self.send(1, 0x4, id, &BLOCK)
    }

    fn frames(&self) -> Vec<(u8, u32, Vec<u8>)> {
        let (mut list, mut rest) = (Vec::new(), &self.out[..]);
        while rest.len() >= 9 {
            let len = usize::from(rest[0]) << 16 | usize::from(rest[1]) << 8 | usize::from(rest[2]);
            let stream = u32::from_be_bytes([rest[5], rest[6], rest[7], rest[8]]);
            list.push((rest[3], stream, rest[9..9 + len].to_vec()));
            rest = &rest[9 + len..];
        }
        list
    }

    fn resets(&self) -> Vec<(u32, Code)> {
        let code = |p: &[u8]| Code(u32::from_be_bytes([p[0], p[1], p[2], p[3]]));
        self.frames().iter().filter(|f| f.0 == 3).map(|f| (f.1, code(&f.2))).collect()
    }

    fn goaway(&self) -> Option<Code> {
        let of = |p: &[u8]| Code(u32::from_be_bytes([p[4], p[5], p[6], p[7]]));
        self.frames().iter().find(|f| f.0 == 7).map(|f| of(&f.2))
    }
}

/// A server of bytes.
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
        self.client.receive(NOW, &frame(kind, flags, stream, payload)).err().map(|e| e.code)
    }

    fn events(&mut self) -> Vec<Event> {
        std::iter::from_fn(|| self.client.event()).collect()
    }
}

/// Each error that ends a connection: what is sent, and the code of the GOAWAY.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario in its order")]
fn connection_errors_have_the_rfcs_codes() {
    const SETTINGS: u8 = 4;
    type Step = (u8, u8, u32, Vec<u8>);
    let open = || (1, 0x4, 1, BLOCK.to_vec());
    let one = |f: Step| vec![f];
    let cases: Vec<(&str, Vec<Step>, Code)> = vec![
        ("DATA on stream 0", one((0, 0, 0, vec![1])), Code::PROTOCOL_ERROR),
        ("DATA on an idle stream", one((0, 0, 5, vec![1])), Code::PROTOCOL_ERROR),
        ("padding over the frame", vec![open(), (0, 0x8, 1, vec![9, 1])], Code::PROTOCOL_ERROR),
        ("HEADERS on stream 0", one((1, 0x4, 0, BLOCK.to_vec())), Code::PROTOCOL_ERROR),
        ("HEADERS on an even stream", one((1, 0x4, 2, BLOCK.to_vec())), Code::PROTOCOL_ERROR),
        ("priority cut short", one((1, 0x24, 1, vec![0, 0])), Code::FRAME_SIZE_ERROR),
        ("a block that cannot be read", one((1, 0x4, 1, vec![0x80])), Code::COMPRESSION_ERROR),
        (
            "other frame in a block",
            vec![(1, 0, 1, BLOCK.to_vec()), (6, 0, 0, vec![0; 8])],
            Code::PROTOCOL_ERROR,
        ),
        ("other stream in a block", vec![(1, 0, 1, BLOCK.to_vec()), (9, 4, 3, vec![])], Code::PROTOCOL_ERROR),
        ("CONTINUATION alone", one((9, 0x4, 1, BLOCK.to_vec())), Code::PROTOCOL_ERROR),
        ("PRIORITY on stream 0", one((2, 0, 0, vec![0; 5])), Code::PROTOCOL_ERROR),
        ("RST_STREAM on stream 0", one((3, 0, 0, vec![0; 4])), Code::PROTOCOL_ERROR),
        ("RST_STREAM on an idle stream", one((3, 0, 9, vec![0; 4])), Code::PROTOCOL_ERROR),
        ("RST_STREAM of three bytes", vec![open(), (3, 0, 1, vec![0; 3])], Code::FRAME_SIZE_ERROR),
        ("SETTINGS on a stream", one((SETTINGS, 0, 1, vec![])), Code::PROTOCOL_ERROR),
        ("SETTINGS of five bytes", one((SETTINGS, 0, 0, vec![0; 5])), Code::FRAME_SIZE_ERROR),
        ("acknowledged with payload", one((SETTINGS, 1, 0, vec![0; 6])), Code::FRAME_SIZE_ERROR),
        ("ENABLE_PUSH of 2", one((SETTINGS, 0, 0, vec![0, 2, 0, 0, 0, 2])), Code::PROTOCOL_ERROR),
        ("window over 2^31-1", one((SETTINGS, 0, 0, vec![0, 4, 255, 0, 0, 0])), Code::FLOW_CONTROL_ERROR),
        ("frame size of nought", one((SETTINGS, 0, 0, vec![0, 5, 0, 0, 0, 0])), Code::PROTOCOL_ERROR),
        (
            "stream windows over 2^31-1 by SETTINGS",
            vec![open(), (8, 0, 1, vec![0x70, 0, 0, 0]), (SETTINGS, 0, 0, vec![0, 4, 0x7f, 255, 255, 255])],
            Code::FLOW_CONTROL_ERROR,
        ),
        ("PUSH_PROMISE of a client", one((5, 4, 1, vec![0; 8])), Code::PROTOCOL_ERROR),
        ("PING on a stream", one((6, 0, 1, vec![0; 8])), Code::PROTOCOL_ERROR),
        ("PING of seven bytes", one((6, 0, 0, vec![0; 7])), Code::FRAME_SIZE_ERROR),
        ("GOAWAY on a stream", one((7, 0, 1, vec![0; 8])), Code::PROTOCOL_ERROR),
        ("GOAWAY of seven bytes", one((7, 0, 0, vec![0; 7])), Code::FRAME_SIZE_ERROR),
        ("WINDOW_UPDATE of three bytes", one((8, 0, 0, vec![0; 3])), Code::FRAME_SIZE_ERROR),
        ("WINDOW_UPDATE by nought", one((8, 0, 0, vec![0; 4])), Code::PROTOCOL_ERROR),
        ("WINDOW_UPDATE on an idle stream", one((8, 0, 7, vec![0, 0, 0, 1])), Code::PROTOCOL_ERROR),
        (
            "connection window over 2^31-1",
            one((8, 0, 0, vec![0x7f, 255, 255, 255])),
            Code::FLOW_CONTROL_ERROR,
        ),
        (
            "a new stream after one that was reset: no error",
            vec![(1, 0x5, 1, BLOCK.to_vec()), (3, 0, 1, vec![0; 4]), (1, 0x4, 3, BLOCK.to_vec())],
            Code::NO_ERROR,
        ),
    ];
    for (what, steps, code) in cases {
        let mut raw = Raw::new(Config::default());
        let errors: Vec<Code> = steps.into_iter().filter_map(|(k, f, s, p)| raw.send(k, f, s, &p)).collect();
        let expected: Vec<Code> = [code].into_iter().filter(|c| *c != Code::NO_ERROR).collect();
        assert_eq!(errors, expected, "{what}");
        assert_eq!(raw.goaway(), expected.first().copied(), "{what}: GOAWAY");
    }
    // Before anything else there is the preface, and SETTINGS.
    let mut server = Connection::server(Config::default());
    assert_eq!(server.receive(NOW, b"GET / HTTP/1.1\r\n").unwrap_err().code, Code::PROTOCOL_ERROR);
    let mut server = Connection::server(Config::default());
    server.receive(NOW, PREFACE).unwrap();
    assert_eq!(server.receive(NOW, &frame(6, 0, 0, &[0; 8])).unwrap_err().code, Code::PROTOCOL_ERROR);
    let mut raw = Raw::new(Config::default());
    let long = [&[0, 0x40, 1][..], &[0; 6]].concat(); // the head alone is enough
    assert_eq!(raw.server.receive(NOW, &long).unwrap_err().code, Code::FRAME_SIZE_ERROR);
}

/// Each error that ends a stream and leaves the others alone.
#[test]
fn stream_errors_leave_the_others_unharmed() {
    let block = |list: &[(&'static str, &'static str)]| {
        let fields: Vec<Field> = list.iter().map(|(n, v)| Field::constant(n, v)).collect();
        let mut out = Vec::new();
        chalkgap_wire::http2::Encoder::default().encode(&fields, &mut out);
        out
    };
    let post = [(":method", "POST"), (":scheme", "http"), (":path", "/")];
    let with = |more: &[(&'static str, &'static str)]| block(&[&post[..], more].concat());
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("no path", block(&post[..2])),
        ("two paths", with(&[(":path", "/")])),
        ("an empty path", block(&[post[0], post[1], (":path", "")])),
        ("a status in a request", with(&[(":status", "200")])),
        ("pseudo after regular", block(&[("a", "b"), post[0], post[1], post[2]])),
        ("upper case", with(&[("Abc", "b")])),
        ("a name with a space", with(&[("a b", "b")])),
        ("a value with a line feed", with(&[("a", "b\nc: d")])),
        ("connection", with(&[("connection", "close")])),
        ("transfer-encoding", with(&[("transfer-encoding", "chunked")])),
        ("te", with(&[("te", "gzip")])),
        ("a length that is none", with(&[("content-length", "+1")])),
        ("two lengths", with(&[("content-length", "1"), ("content-length", "2")])),
    ];
    let mut raw = Raw::new(Config::default());
    assert_eq!(raw.open(1), None);
    for (id, (what, bytes)) in (3u32..).step_by(2).zip(&cases) {
        assert_eq!(raw.send(1, 0x4, id, bytes), None, "{what}");
        assert_eq!(raw.resets().last(), Some(&(id, Code::PROTOCOL_ERROR)), "{what}");
    }
    let next = 3 + 2 * cases.len() as u32;
    // More than the stated length, less than it, and more than the window.
    raw.send(1, 0x4, next, &with(&[("content-length", "3")]));
    raw.send(0, 0, next, b"four");
    assert_eq!(raw.resets().last(), Some(&(next, Code::PROTOCOL_ERROR)));
    raw.send(1, 0x4, next + 2, &with(&[("content-length", "3")]));
    raw.send(0, 0x1, next + 2, b"12");
    assert_eq!(raw.resets().last(), Some(&(next + 2, Code::PROTOCOL_ERROR)));
    raw.open(next + 4);
    raw.send(8, 0, next + 4, &[0; 4]);
    assert_eq!(raw.resets().last(), Some(&(next + 4, Code::PROTOCOL_ERROR)), "WINDOW_UPDATE by nought");
    raw.open(next + 6);
    raw.send(8, 0, next + 6, &[0x7f, 255, 255, 255]);
    assert_eq!(raw.resets().last(), Some(&(next + 6, Code::FLOW_CONTROL_ERROR)));
    raw.open(next + 8);
    raw.send(1, 0x4, next + 8, &[]);
    assert_eq!(raw.resets().last(), Some(&(next + 8, Code::PROTOCOL_ERROR)), "trailers without end");
    raw.send(1, 0x5, next + 10, &BLOCK);
    raw.send(0, 0, next + 10, b"late");
    assert_eq!(raw.resets().last(), Some(&(next + 10, Code::STREAM_CLOSED)), "DATA after the end");
    raw.send(2, 0, next + 12, &[0; 4]);
    assert_eq!(raw.resets().last(), Some(&(next + 12, Code::FRAME_SIZE_ERROR)), "PRIORITY of four bytes");
    // The first stream lives.
    raw.server.headers(1, answer(), false).expect("unharmed");
    let mut small = Raw::new(Config { stream_window: 10, ..Config::default() });
    small.open(1);
    small.send(0, 0, 1, &[0; 11]);
    assert_eq!(small.resets(), [(1, Code::FLOW_CONTROL_ERROR)]);
}

/// Frames that cost the sender nothing: each flood ends the connection, none grows the output without bound.
#[test]
fn floods_are_told_to_calm_down() {
    let floods: [(&str, u8, Vec<u8>); 5] = [
        ("PING", 6, vec![0; 8]),
        ("SETTINGS", 4, vec![]),
        ("empty DATA", 0, vec![]),
        ("PRIORITY", 2, vec![0; 5]),
        ("unknown", 99, vec![]),
    ];
    for (what, kind, payload) in floods {
        let mut raw = Raw::new(Config::default());
        raw.open(1);
        let stream = u32::from(kind == 0 || kind == 2);
        let ended = (0..10_000).find_map(|_| raw.send(kind, 0, stream, &payload));
        assert_eq!(ended, Some(Code::ENHANCE_YOUR_CALM), "{what}");
        assert!(raw.out.len() < 40_000, "{what}: {} bytes of output", raw.out.len());
    }
    let mut raw = Raw::new(Config::default());
    let rapid = (1u32..).step_by(2).take(10_000).find_map(|id| raw.open(id).or(raw.send(3, 0, id, &[0; 4])));
    assert_eq!(rapid, Some(Code::ENHANCE_YOUR_CALM), "rapid reset");
    let mut raw = Raw::new(Config::default());
    raw.send(1, 0, 1, &BLOCK);
    let endless = (0..10_000).find_map(|_| raw.send(9, 0, 1, &[0x83; 100]));
    assert_eq!(endless, Some(Code::ENHANCE_YOUR_CALM), "CONTINUATION without end");
    // The same number over a long time is fine.
    let mut raw = Raw::new(Config::default());
    for n in 0..10_000u64 {
        raw.server.receive(NOW + n * 20_000, &frame(6, 0, 0, &[0; 8])).expect("50 a second");
        raw.server.output().clear();
    }
}

/// Calls answered before their end came: the ends cost a good client nothing, or it would be cut off under load.
#[test]
fn late_ends_of_answered_calls_are_no_flood() {
    let mut raw = Raw::new(Config::default());
    for id in (1u32..).step_by(2).take(5000) {
        assert_eq!(raw.open(id), None);
        raw.server.headers(id, answer(), true).unwrap();
        assert_eq!(raw.send(0, 0x1, id, &[]), None);
    }
    let again = (0..5000).find_map(|_| raw.send(0, 0x1, 9999, &[]));
    assert_eq!(again, Some(Code::ENHANCE_YOUR_CALM), "an end said again and again does");
}

#[test]
fn a_broken_answer_ends_its_stream() {
    let mut raw = RawServer::new();
    let id = raw.client.open(&request(), true).unwrap();
    raw.send(1, 0x4, id, &[0x82]); // :method in an answer
    assert_eq!(raw.events(), [Event::Reset { stream: id, code: Code::PROTOCOL_ERROR, local: true }]);
    let id = raw.client.open(&request(), true).unwrap();
    raw.send(1, 0x4, id, &[0x08, 0x03, b'1', b'0', b'3']);
    raw.send(1, 0x5, id, &[0x88]);
    assert!(matches!(raw.events()[..], [Event::Headers { end: true, .. }]), "103 is passed over");
    assert_eq!(raw.send(5, 4, id, &[0; 8]), Some(Code::PROTOCOL_ERROR), "a push");
    let mut raw = RawServer::new();
    assert_eq!(raw.send(1, 0x4, 1, &[0x88]), Some(Code::PROTOCOL_ERROR), "an answer to nothing");
    let mut raw = RawServer::new();
    let id = raw.client.open(&request(), true).unwrap();
    assert_eq!(raw.send(6, 0, 1, &[0; 8]), Some(Code::PROTOCOL_ERROR));
    assert_eq!(raw.events(), [Event::Reset { stream: id, code: Code::PROTOCOL_ERROR, local: true }]);
}

proptest! {
    /// Any bytes after a good start: an error or events, never a panic, and bounded output.
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..2000), step in 1usize..200) {
        let mut raw = Raw::new(Config::default());
        for part in bytes.chunks(step) {
            let _ = raw.server.receive(NOW, part);
            while raw.server.event().is_some() {}
        }
        prop_assert!(raw.server.output().len() < 20_000);
    }

    /// Any sequence of well-formed frames.
    #[test]
    fn any_frames(frames in proptest::collection::vec(
        (0u8..11, any::<u8>(), 0u32..12, proptest::collection::vec(any::<u8>(), 0..20)), 0..60)) {
        let mut raw = Raw::new(Config::default());
        let mut raw_client = RawServer::new();
        for _ in 0..3 {
            raw_client.client.open(&request(), true).unwrap();
        }
        for (kind, flags, stream, payload) in frames {
            raw.send(kind, flags, stream, &payload);
            raw_client.send(kind, flags, stream, &payload);
        }
        prop_assert!(raw.out.len() < 20_000);
        prop_assert!(raw.server.open_streams() <= 6);
    }

    /// The cut of the bytes does not matter.
    #[test]
    fn any_cut(step in 1usize..50, sizes in proptest::collection::vec(0usize..5000, 1..5)) {
        let (mut c, mut s) = pair(Config::default());
        let mut total = 0;
        for n in &sizes {
            let id = c.open(&request(), false).unwrap();
            c.data(id, vec![7; *n].into(), true).unwrap();
            total += n;
        }
        exchange(&mut c, &mut s, step);
        prop_assert_eq!(body(&mut s).0.len(), total);
    }
}

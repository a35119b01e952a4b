//! A server's side of a connection, free of I/O and clock, and the [`Session`] that outlives it.
//!
//! A PUBLISH is something to be answered once it is known what became of it: by PUBACK for QoS 1, by PUBREC for QoS 2.
//! A PUBREC with a reason code of 0x80 and more ends its flow (4.3.3); the client that did not hear it sends the PUBLISH
//! again with DUP, and must not be taken to mean a new one: the session remembers what was said under that identifier
//! until a PUBLISH without DUP takes it.

use super::decode::decode;
use super::encode::encode;
use super::error::Error;
use super::packet::{
    Ack, Acks, ConnAck, Connect, Packet, Publish, QoS, Reason, Subscribe, Unsubscribe, Version,
};
use super::property::{Properties, Property};
use super::reason::{
    MALFORMED_PACKET, PACKET_IDENTIFIER_NOT_FOUND, PACKET_TOO_LARGE, PROTOCOL_ERROR,
    RECEIVE_MAXIMUM_EXCEEDED, SUCCESS, TOPIC_ALIAS_INVALID,
};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What a server allows.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a packet.
    pub packet_bytes: usize,
    /// Publishes of QoS 1 and 2 that may be unanswered.
    pub receive_maximum: u16,
    /// Topic aliases.
    pub topic_alias_maximum: u16,
    /// Identifiers of QoS 2 that a session remembers.
    pub remembered_identifiers: usize,
}

/// What became of a publish of QoS 2.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Inbound {
    /// Under way: no PUBREC so far.
    InProgress,
    /// PUBREC was sent with this code and these properties.
    Responded(u8, Properties),
}

/// What of a session outlives its connections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    inbound: BTreeMap<u16, Inbound>,
    /// In the order in which they were said, for what is forgotten first.
    responded: VecDeque<u16>,
}

impl Session {
    /// Whether there is anything in it.
    pub fn is_empty(&self) -> bool {
        self.inbound.is_empty()
    }

    /// Identifiers of QoS 2 whose fate is known, with their codes: what is worth to be kept over a restart.
    pub fn responses(&self) -> impl Iterator<Item = (u16, u8)> + '_ {
        self.inbound.iter().filter_map(|(id, i)| match i {
            Inbound::Responded(code, _) => Some((*id, *code)),
            Inbound::InProgress => None,
        })
    }

    /// Identifiers of QoS 2 that are under way.
    pub fn in_progress(&self) -> impl Iterator<Item = u16> + '_ {
        self.inbound.iter().filter(|i| *i.1 == Inbound::InProgress).map(|i| *i.0)
    }

    /// A session that was kept: what was under way is said to have failed, as it may have run.
    pub fn restored(list: impl IntoIterator<Item = (u16, u8)>) -> Session {
        let mut s = Session::default();
        for (id, code) in list {
            s.inbound.insert(id, Inbound::Responded(code, Properties::default()));
            s.responded.push_back(id);
        }
        s
    }
}

/// What a client did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// To be answered by [`Server::accept`] or [`Server::refuse`].
    Connect(Box<Connect>),
    /// A publish; its topic is whole. Of QoS 1 and 2: to be answered by [`Server::answer`].
    Publish(Publish),
    /// A publish of QoS 2 came with DUP, and the session knows nothing of it: it may have run elsewhere.
    UnknownDuplicate(Publish),
    /// To be answered by [`Server::subscribed`].
    Subscribe(Subscribe),
    /// To be answered by [`Server::unsubscribed`].
    Unsubscribe(Unsubscribe),
    /// The client goes; whether its will is to be published all the same.
    Disconnect {
        /// DISCONNECT with reason code 0x04.
        will: bool,
        /// A session expiry that it states anew.
        expiry: Option<u32>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    New,
    /// CONNECT has come, and is not answered.
    Connecting,
    Open,
    Closed,
}

/// A connection as its server sees it.
pub struct Server {
    limits: Limits,
    state: State,
    version: Option<Version>,
    input: BytesMut,
    output: BytesMut,
    events: VecDeque<Event>,
    session: Session,
    aliases: HashMap<u16, String>,
    /// QoS 1 identifiers that are unanswered.
    unanswered_qos1: BTreeMap<u16, u32>,
    /// Publishes of QoS 1 and 2 that are unanswered, by the client's count.
    unanswered: usize,
    /// What the client takes.
    max_outgoing_packet_bytes: usize,
    /// It wants to hear more of an answer than the code.
    sends_problem_information: bool,
    keep_alive: u16,
    received: u64,
}

impl Server {
    /// A new connection.
    pub fn new(limits: Limits) -> Self {
        Server {
            limits,
            state: State::New,
            version: None,
            input: BytesMut::new(),
            output: BytesMut::new(),
            events: VecDeque::new(),
            session: Session::default(),
            aliases: HashMap::new(),
            unanswered_qos1: BTreeMap::new(),
            unanswered: 0,
            max_outgoing_packet_bytes: usize::MAX,
            sends_problem_information: true,
            keep_alive: 0,
            received: 0,
        }
    }

    /// Bytes came.
    ///
    /// # Errors
    /// The connection is to be closed; what is to be said of it is in the output.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), Error> {
        if self.state == State::Closed {
            return Ok(());
        }
        self.received += bytes.len() as u64;
        self.input.extend_from_slice(bytes);
        // Nothing after CONNECT is looked at before it is answered; it is bounded by what is read at once.
        while self.state != State::Connecting && self.state != State::Closed {
            let packet = match decode(&mut self.input, self.version, self.limits.packet_bytes) {
                Ok(Some(packet)) => packet,
                Ok(None) => break,
                Err(e) => return Err(self.fail(e)),
            };
            if let Err(e) = self.packet(packet) {
                return Err(self.fail(e));
            }
        }
        Ok(())
    }

    /// Says why, where the version has words for it, and closes.
    fn fail(&mut self, error: Error) -> Error {
        match self.state {
            State::Open => self.disconnect(error.code, None),
            // [MQTT-3.1.4-2]: a CONNECT that is none may be answered with a code.
            _ => self.state = State::Closed,
        }
        error
    }

    fn packet(&mut self, packet: Packet) -> Result<(), Error> {
        match packet {
            Packet::Connect(c) => {
                if self.state != State::New {
                    return Err(Error::new(PROTOCOL_ERROR, "a second CONNECT")); // [MQTT-3.1.0-2]
                }
                self.version = Some(c.version);
                self.keep_alive = c.keep_alive;
                let most =
                    c.properties
                        .find(|p| if let Property::MaximumPacketSize(n) = p { Some(*n) } else { None });
                self.max_outgoing_packet_bytes = most.map_or(usize::MAX, |n| n as usize);
                let quiet = Property::RequestProblemInformation(0);
                self.sends_problem_information = !c.properties.0.contains(&quiet);
                self.state = State::Connecting;
                self.events.push_back(Event::Connect(c));
            }
            Packet::Publish(p) => self.publish(p)?,
            Packet::PubRel(a) => {
                let known = self.session.inbound.get(&a.packet);
                let code = match known {
                    Some(Inbound::Responded(code, _)) if *code < 0x80 => {
                        self.session.inbound.remove(&a.packet);
                        self.session.responded.retain(|id| *id != a.packet);
                        SUCCESS
                    }
                    // Nothing was said under it that a release could follow.
                    _ => PACKET_IDENTIFIER_NOT_FOUND,
                };
                self.send(&Packet::PubComp(Ack { packet: a.packet, code, ..Ack::default() }));
            }
            Packet::Subscribe(s) => self.events.push_back(Event::Subscribe(s)),
            Packet::Unsubscribe(u) => self.events.push_back(Event::Unsubscribe(u)),
            Packet::PingReq => {
                self.send(&Packet::PingResp); // [MQTT-3.12.4-1]
            }
            Packet::Disconnect(r) => {
                let expiry =
                    r.properties.find(|p| if let Property::SessionExpiry(n) = p { Some(*n) } else { None });
                self.events.push_back(Event::Disconnect { will: r.code == 0x04, expiry });
                self.state = State::Closed;
            }
            // Answers are published with QoS 0: nothing is to be acknowledged.
            Packet::PubAck(_) | Packet::PubRec(_) | Packet::PubComp(_) => {}
            Packet::Auth(_) => {
                return Err(Error::new(PROTOCOL_ERROR, "AUTH without an authentication method"));
            }
            Packet::ConnAck(_) | Packet::SubAck(_) | Packet::UnsubAck(_) | Packet::PingResp => {
                return Err(Error::new(PROTOCOL_ERROR, "a packet that only servers send"));
            }
        }
        Ok(())
    }

    fn publish(&mut self, mut p: Publish) -> Result<(), Error> {
        let alias = p.properties.find(|p| if let Property::TopicAlias(n) = p { Some(*n) } else { None });
        if let Some(n) = alias {
            // [MQTT-3.3.2-8], [MQTT-3.3.2-9]
            if n == 0 || n > self.limits.topic_alias_maximum {
                return Err(Error::new(TOPIC_ALIAS_INVALID, "a topic alias beyond the maximum"));
            }
            if p.topic.is_empty() {
                let known = self.aliases.get(&n);
                let unknown = Error::new(PROTOCOL_ERROR, "a topic alias that stands for nothing");
                p.topic.clone_from(known.ok_or(unknown)?);
            } else {
                self.aliases.insert(n, p.topic.clone());
            }
        }
        if p.qos == QoS::ExactlyOnce {
            match self.session.inbound.get(&p.packet) {
                // Under way: its PUBREC follows.
                Some(Inbound::InProgress) => return Ok(()),
                Some(Inbound::Responded(code, properties)) if p.dup || *code < 0x80 => {
                    // [MQTT-4.3.3-10]: the PUBREC was lost. One that was good holds its identifier until PUBREL.
                    let ack = Ack { packet: p.packet, code: *code, properties: properties.clone() };
                    self.send(&Packet::PubRec(ack));
                    return Ok(());
                }
                Some(Inbound::Responded(..)) => self.session.responded.retain(|id| *id != p.packet),
                None if p.dup => {
                    self.begin(&p)?;
                    self.events.push_back(Event::UnknownDuplicate(p));
                    return Ok(());
                }
                None => {}
            }
        }
        if p.qos != QoS::AtMostOnce {
            self.begin(&p)?;
        }
        self.events.push_back(Event::Publish(p));
        Ok(())
    }

    fn begin(&mut self, p: &Publish) -> Result<(), Error> {
        if self.unanswered >= usize::from(self.limits.receive_maximum) {
            return Err(Error::new(RECEIVE_MAXIMUM_EXCEEDED, "more publishes open than the receive maximum"));
        }
        self.unanswered += 1;
        if p.qos == QoS::AtLeastOnce {
            *self.unanswered_qos1.entry(p.packet).or_default() += 1;
        } else {
            self.session.inbound.insert(p.packet, Inbound::InProgress);
        }
        Ok(())
    }

    /// What came of a publish of QoS 1 or 2: its one answer.
    pub fn answer(&mut self, qos: QoS, packet: u16, code: u8, properties: Properties) {
        // [MQTT-3.1.2-29]
        let properties = if self.sends_problem_information { properties } else { Properties::default() };
        match qos {
            QoS::AtMostOnce => {}
            QoS::AtLeastOnce => {
                let Some(n) = self.unanswered_qos1.get_mut(&packet) else { return };
                *n -= 1;
                if *n == 0 {
                    self.unanswered_qos1.remove(&packet);
                }
                self.unanswered = self.unanswered.saturating_sub(1);
                self.send(&Packet::PubAck(Ack { packet, code, properties }));
            }
            QoS::ExactlyOnce => {
                if self.session.inbound.get(&packet) != Some(&Inbound::InProgress) {
                    return;
                }
                self.unanswered = self.unanswered.saturating_sub(1);
                self.session.inbound.insert(packet, Inbound::Responded(code, properties.clone()));
                self.session.responded.push_back(packet);
                // Codes that end a flow are remembered for a repeat as long as there is room; good ones hold theirs.
                while self.session.responded.len() > self.limits.remembered_identifiers {
                    if let Some(old) = self.session.responded.pop_front() {
                        self.session.inbound.remove(&old);
                    }
                }
                self.send(&Packet::PubRec(Ack { packet, code, properties }));
            }
        }
    }

    /// A publish is as if it had never come: nothing is said of it, and it may come again as a new one.
    pub fn forget(&mut self, qos: QoS, packet: u16) {
        let known = match qos {
            QoS::AtMostOnce => false,
            QoS::AtLeastOnce => self.unanswered_qos1.remove(&packet).is_some(),
            QoS::ExactlyOnce => self.session.inbound.remove(&packet) == Some(Inbound::InProgress),
        };
        self.unanswered -= usize::from(known && self.unanswered > 0);
    }

    /// The client is let in, with its session if it has one here.
    pub fn accept(&mut self, session: Option<Session>, properties: Properties) {
        if self.state != State::Connecting {
            return;
        }
        self.state = State::Open;
        let session_present = session.is_some();
        self.session = session.unwrap_or_default();
        self.unanswered = self.session.in_progress().count();
        self.send(&Packet::ConnAck(ConnAck { session_present, code: SUCCESS, properties }));
    }

    /// The client is not let in: a reason code, put into what 3.1.1 has of them (3.2.2.3).
    pub fn refuse(&mut self, code: u8, properties: Properties) {
        use super::reason as r;
        if !matches!(self.state, State::Connecting | State::New) {
            return;
        }
        let version = self.version.unwrap_or(Version::V5);
        self.version = Some(version);
        let code = match (version, code) {
            (Version::V5, code) => code,
            (_, r::UNSUPPORTED_PROTOCOL_VERSION) => 1,
            (_, r::CLIENT_IDENTIFIER_NOT_VALID) => 2,
            (_, r::BAD_USER_NAME_OR_PASSWORD) => 4,
            (_, r::NOT_AUTHORIZED) => 5,
            _ => 3,
        };
        self.send(&Packet::ConnAck(ConnAck { session_present: false, code, properties }));
        self.state = State::Closed;
    }

    /// The answer to a SUBSCRIBE.
    pub fn subscribed(&mut self, packet: u16, codes: Vec<u8>) {
        // 3.1.1 knows one code for no.
        let plain = self.version == Some(Version::V311);
        let codes = codes.into_iter().map(|c| if plain && c >= 0x80 { 0x80 } else { c }).collect();
        self.send(&Packet::SubAck(Acks { packet, codes, ..Acks::default() }));
    }

    /// The answer to an UNSUBSCRIBE.
    pub fn unsubscribed(&mut self, packet: u16, codes: Vec<u8>) {
        let codes = if self.version == Some(Version::V311) { Vec::new() } else { codes };
        self.send(&Packet::UnsubAck(Acks { packet, codes, ..Acks::default() }));
    }

    /// Publishes to the client with QoS 0; false if it takes no packet so large.
    pub fn publish_to(&mut self, topic: &str, payload: Bytes, properties: Properties) -> bool {
        let publish = Publish { topic: topic.to_owned(), payload, properties, ..Publish::default() };
        self.send(&Packet::Publish(publish))
    }

    /// Closes, with a reason code where the version has them [MQTT-3.14.0-1].
    pub fn disconnect(&mut self, code: u8, why: Option<&str>) {
        if self.state == State::Open && self.version == Some(Version::V5) {
            let why = why.map(|w| Property::ReasonString(w.to_owned()));
            let properties = Properties(why.into_iter().collect());
            self.send(&Packet::Disconnect(Reason { code, properties }));
        }
        self.state = State::Closed;
    }

    fn send(&mut self, packet: &Packet) -> bool {
        let Some(version) = self.version else { return false };
        let at = self.output.len();
        encode(packet, version, &mut self.output);
        let fits = self.output.len() - at <= self.max_outgoing_packet_bytes; // [MQTT-3.1.2-24]
        if !fits {
            self.output.truncate(at);
        }
        fits
    }

    /// What happened, in order.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Bytes to be written.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Whether nothing more is read: what is in the output is written, then the connection is closed.
    pub fn closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Whether the client has been let in.
    pub fn open(&self) -> bool {
        self.state == State::Open
    }

    /// Whether a packet has begun and is not whole.
    pub fn has_partial_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Bytes that came so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// The version, when CONNECT has come.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Seconds without a packet after which the client is gone [MQTT-3.1.2-22]: one and a half times its keep alive.
    pub fn keep_alive_timeout(&self) -> Option<f64> {
        (self.keep_alive > 0).then(|| f64::from(self.keep_alive) * 1.5)
    }

    /// Another keep alive than the client's, in seconds; it is told by CONNACK.
    pub fn keep_alive(&mut self, seconds: u16) {
        self.keep_alive = seconds;
    }

    /// Publishes of QoS 1 and 2 without an answer.
    pub fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// The session, for the next connection. What is under way stays so: its answer goes to [`Session::record_response`].
    pub fn take_session(&mut self) -> Session {
        std::mem::take(&mut self.session)
    }
}

impl Session {
    /// The answer of a publish of QoS 2 whose connection has gone.
    pub fn record_response(&mut self, packet: u16, code: u8, properties: Properties) {
        if self.inbound.get(&packet) == Some(&Inbound::InProgress) {
            self.inbound.insert(packet, Inbound::Responded(code, properties));
            self.responded.push_back(packet);
        }
    }
}

/// The code of a CONNECT that could not be read, if the client is to hear one.
pub fn connack_code(error: &Error) -> u8 {
    match error.code {
        PACKET_TOO_LARGE => MALFORMED_PACKET,
        code => code,
    }
}

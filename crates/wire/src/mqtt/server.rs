//! A server's side of a connection, without I/O and clock, and the [`Session`], which continues after the connection.
//!
//! The caller answers a PUBLISH when its result is known; the client then receives PUBACK for QoS 1 or PUBREC for QoS
//! 2. A PUBREC with a reason code of 0x80 or more ends the exchange (section 4.3.3). If the client does not receive it,
//! it sends the PUBLISH again with DUP, which is not a new message. The session therefore remembers the PUBREC of a
//! packet identifier until the client uses the identifier in a PUBLISH without DUP.

use super::decode::decode;
use super::encode::encode;
use super::error::Error;
use super::packet::{
    Ack, Acks, ConnAck, Connect, Packet, Publish, QoS, Reason, Subscribe, Unsubscribe, Version,
};
use super::property::{Properties, Property};
use super::reason::{
    DISCONNECT_WITH_WILL, MALFORMED_PACKET, PACKET_IDENTIFIER_NOT_FOUND, PACKET_TOO_LARGE, PROTOCOL_ERROR,
    RECEIVE_MAXIMUM_EXCEEDED, SUCCESS, TOPIC_ALIAS_INVALID,
};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Limits that a server sets for a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a received packet in bytes.
    pub packet_bytes: usize,
    /// Maximum number of unanswered publishes of QoS 1 and 2 (Receive Maximum).
    pub receive_maximum: u16,
    /// Highest topic alias.
    pub topic_alias_maximum: u16,
    /// Maximum number of packet identifiers of QoS 2 whose PUBREC a session remembers.
    pub remembered_identifiers: usize,
}

/// State of a received publish of QoS 2.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Inbound {
    /// No PUBREC has been sent.
    InProgress,
    /// The publish was answered by a PUBREC with this reason code and these properties.
    Responded(u8, Properties),
}

/// Session state of a client, which continues between its connections (section 4.1).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    /// Received publishes of QoS 2 by their packet identifiers.
    inbound: BTreeMap<u16, Inbound>,
    /// Identifiers of answered publishes in the order of their answers. The oldest is removed first.
    responded: VecDeque<u16>,
}

impl Session {
    /// Returns whether the session has no publishes.
    pub fn is_empty(&self) -> bool {
        self.inbound.is_empty()
    }

    /// Returns the packet identifiers of answered publishes of QoS 2 with their reason codes, which the caller stores
    /// to restore the session after a restart.
    pub fn responses(&self) -> impl Iterator<Item = (u16, u8)> + '_ {
        self.inbound.iter().filter_map(|(identifier, inbound)| match inbound {
            Inbound::Responded(code, _) => Some((*identifier, *code)),
            Inbound::InProgress => None,
        })
    }

    /// Returns the packet identifiers of unanswered publishes of QoS 2.
    pub fn in_progress(&self) -> impl Iterator<Item = u16> + '_ {
        let unanswered = self.inbound.iter().filter(|(_, inbound)| **inbound == Inbound::InProgress);
        unanswered.map(|(identifier, _)| *identifier)
    }

    /// Restores a session from the items of [`Session::responses`].
    ///
    /// Publishes that were unanswered when these were stored are not among them. If the client repeats such a publish,
    /// it is returned as [`Event::UnknownDuplicate`], as it may have run.
    pub fn restored(responses: impl IntoIterator<Item = (u16, u8)>) -> Session {
        let mut session = Session::default();
        for (identifier, code) in responses {
            session.inbound.insert(identifier, Inbound::Responded(code, Properties::default()));
            session.responded.push_back(identifier);
        }
        session
    }
}

/// A packet of the client that the caller has to handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// CONNECT, to be answered by [`Server::accept`] or [`Server::refuse`].
    Connect(Box<Connect>),
    /// PUBLISH, with its topic alias resolved. With QoS 1 and 2, to be answered by [`Server::answer`].
    Publish(Publish),
    /// PUBLISH of QoS 2 with DUP whose packet identifier the session does not know: the request may have run, on
    /// another server or before a restart. To be answered by [`Server::answer`].
    UnknownDuplicate(Publish),
    /// SUBSCRIBE, to be answered by [`Server::subscribed`].
    Subscribe(Subscribe),
    /// UNSUBSCRIBE, to be answered by [`Server::unsubscribed`].
    Unsubscribe(Unsubscribe),
    /// DISCONNECT.
    Disconnect {
        /// Whether to publish the will (reason code 0x04).
        will: bool,
        /// New session expiry interval in seconds.
        expiry: Option<u32>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    New,
    /// CONNECT has been received and not answered.
    Connecting,
    Open,
    /// The client violated the protocol before it was accepted. [`Server::refuse`] may still tell it the reason.
    Invalid,
    Closed,
}

/// A server's side of a connection.
pub struct Server {
    limits: Limits,
    state: State,
    version: Option<Version>,
    input: BytesMut,
    output: BytesMut,
    events: VecDeque<Event>,
    session: Session,
    /// Topics by their aliases.
    aliases: HashMap<u16, String>,
    /// Number of unanswered publishes of QoS 1 by packet identifier.
    unanswered_qos1: BTreeMap<u16, u32>,
    /// Number of unanswered publishes of QoS 1 and 2, compared with the Receive Maximum.
    unanswered: usize,
    /// Maximum packet size that the client accepts, in bytes.
    max_outgoing_packet_bytes: usize,
    /// Whether the client accepts properties in acknowledgements (Request Problem Information).
    sends_problem_information: bool,
    /// Keep alive in seconds; 0 turns it off.
    keep_alive: u16,
    /// Number of received bytes.
    received: u64,
}

impl Server {
    /// Creates the server's side of a new connection.
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

    /// Handles received bytes.
    ///
    /// # Errors
    /// If the client violated the protocol or a limit. The caller closes the connection after writing the output, which
    /// contains a DISCONNECT if the client was accepted with MQTT 5.0. Before that, it may call [`Server::refuse`].
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), Error> {
        if matches!(self.state, State::Invalid | State::Closed) {
            return Ok(());
        }
        self.received += bytes.len() as u64;
        self.input.extend_from_slice(bytes);
        // Packets after CONNECT are not decoded until it is answered. The caller's read size bounds their bytes.
        while matches!(self.state, State::New | State::Open) {
            let packet = match decode(&mut self.input, self.version, self.limits.packet_bytes) {
                Ok(Some(packet)) => packet,
                Ok(None) => break,
                Err(error) => return Err(self.fail(error)),
            };
            if let Err(error) = self.packet(packet) {
                return Err(self.fail(error));
            }
        }
        Ok(())
    }

    /// Ends the connection because of an error of the client. Sends DISCONNECT if the client was accepted with MQTT 5.0.
    fn fail(&mut self, error: Error) -> Error {
        match self.state {
            State::Open => self.disconnect(error.code, None),
            _ => self.state = State::Invalid,
        }
        error
    }

    fn packet(&mut self, packet: Packet) -> Result<(), Error> {
        match packet {
            Packet::Connect(connect) => {
                if self.state != State::New {
                    return Err(Error::new(PROTOCOL_ERROR, "second CONNECT")); // [MQTT-3.1.0-2]
                }
                self.version = Some(connect.version);
                self.keep_alive = connect.keep_alive;
                let max_packet_bytes = connect.properties.find(|p| {
                    if let Property::MaximumPacketSize(n) = p {
                        Some(*n)
                    } else {
                        None
                    }
                });
                self.max_outgoing_packet_bytes = max_packet_bytes.map_or(usize::MAX, |n| n as usize);
                let no_problem_information = Property::RequestProblemInformation(0);
                self.sends_problem_information = !connect.properties.0.contains(&no_problem_information);
                self.state = State::Connecting;
                self.events.push_back(Event::Connect(connect));
            }
            Packet::Publish(publish) => self.publish(publish)?,
            Packet::PubRel(pubrel) => {
                let inbound = self.session.inbound.get(&pubrel.packet);
                let code = match inbound {
                    Some(Inbound::Responded(code, _)) if *code < 0x80 => {
                        self.session.inbound.remove(&pubrel.packet);
                        self.session.responded.retain(|identifier| *identifier != pubrel.packet);
                        SUCCESS
                    }
                    // No PUBREC with a code below 0x80 was sent, which PUBREL would have to follow.
                    _ => PACKET_IDENTIFIER_NOT_FOUND,
                };
                self.send(&Packet::PubComp(Ack { packet: pubrel.packet, code, ..Ack::default() }));
            }
            Packet::Subscribe(subscribe) => self.events.push_back(Event::Subscribe(subscribe)),
            Packet::Unsubscribe(unsubscribe) => self.events.push_back(Event::Unsubscribe(unsubscribe)),
            Packet::PingReq => {
                self.send(&Packet::PingResp); // [MQTT-3.12.4-1]
            }
            Packet::Disconnect(disconnect) => {
                let expiry = disconnect.properties.find(|p| {
                    if let Property::SessionExpiry(n) = p {
                        Some(*n)
                    } else {
                        None
                    }
                });
                let will = disconnect.code == DISCONNECT_WITH_WILL;
                self.events.push_back(Event::Disconnect { will, expiry });
                self.state = State::Closed;
            }
            // The server publishes with QoS 0, which is not acknowledged: these packets are ignored.
            Packet::PubAck(_) | Packet::PubRec(_) | Packet::PubComp(_) => {}
            Packet::Auth(_) => {
                return Err(Error::new(PROTOCOL_ERROR, "AUTH without an authentication method in CONNECT"));
            }
            Packet::ConnAck(_) | Packet::SubAck(_) | Packet::UnsubAck(_) | Packet::PingResp => {
                return Err(Error::new(PROTOCOL_ERROR, "received a packet that only servers send"));
            }
        }
        Ok(())
    }

    fn publish(&mut self, mut publish: Publish) -> Result<(), Error> {
        let alias =
            publish.properties.find(|p| if let Property::TopicAlias(n) = p { Some(*n) } else { None });
        if let Some(alias) = alias {
            // [MQTT-3.3.2-8], [MQTT-3.3.2-9]
            if alias == 0 || alias > self.limits.topic_alias_maximum {
                return Err(Error::new(TOPIC_ALIAS_INVALID, "topic alias 0 or above the maximum"));
            }
            if publish.topic.is_empty() {
                let topic = self.aliases.get(&alias);
                let unknown = Error::new(PROTOCOL_ERROR, "topic alias without a topic");
                publish.topic.clone_from(topic.ok_or(unknown)?);
            } else {
                self.aliases.insert(alias, publish.topic.clone());
            }
        }
        if publish.qos == QoS::ExactlyOnce {
            match self.session.inbound.get(&publish.packet) {
                // The publish is in progress: its PUBREC follows.
                Some(Inbound::InProgress) => return Ok(()),
                Some(Inbound::Responded(code, properties)) if publish.dup || *code < 0x80 => {
                    // The client did not receive the PUBREC, which is sent again [MQTT-4.3.3-10]. A code below 0x80
                    // keeps the identifier in use until PUBREL.
                    let ack = Ack { packet: publish.packet, code: *code, properties: properties.clone() };
                    self.send(&Packet::PubRec(ack));
                    return Ok(());
                }
                Some(Inbound::Responded(..)) => {
                    self.session.responded.retain(|identifier| *identifier != publish.packet);
                }
                None if publish.dup => {
                    self.begin(&publish)?;
                    self.events.push_back(Event::UnknownDuplicate(publish));
                    return Ok(());
                }
                None => {}
            }
        }
        if publish.qos != QoS::AtMostOnce {
            self.begin(&publish)?;
        }
        self.events.push_back(Event::Publish(publish));
        Ok(())
    }

    /// Adds a publish of QoS 1 or 2 to the unanswered ones.
    ///
    /// # Errors
    /// If there are as many unanswered publishes as the Receive Maximum allows.
    fn begin(&mut self, publish: &Publish) -> Result<(), Error> {
        if self.unanswered >= usize::from(self.limits.receive_maximum) {
            return Err(Error::new(
                RECEIVE_MAXIMUM_EXCEEDED,
                "more unanswered publishes than the receive maximum",
            ));
        }
        self.unanswered += 1;
        if publish.qos == QoS::AtLeastOnce {
            *self.unanswered_qos1.entry(publish.packet).or_default() += 1;
        } else {
            self.session.inbound.insert(publish.packet, Inbound::InProgress);
        }
        Ok(())
    }

    /// Answers a publish: sends PUBACK for QoS 1 or PUBREC for QoS 2. Does nothing if the publish is already answered.
    pub fn answer(&mut self, qos: QoS, packet: u16, code: u8, properties: Properties) {
        // [MQTT-3.1.2-29]
        let properties = if self.sends_problem_information { properties } else { Properties::default() };
        match qos {
            QoS::AtMostOnce => {}
            QoS::AtLeastOnce => {
                if !self.end_unanswered_qos1(packet) {
                    return;
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
                // Beyond the limit, the oldest PUBRECs are forgotten, even if their PUBREL has not arrived. If the client
                // then repeats such a PUBLISH with DUP, it is returned as `Event::UnknownDuplicate`.
                while self.session.responded.len() > self.limits.remembered_identifiers {
                    if let Some(oldest) = self.session.responded.pop_front() {
                        self.session.inbound.remove(&oldest);
                    }
                }
                self.send(&Packet::PubRec(Ack { packet, code, properties }));
            }
        }
    }

    /// Discards an unanswered publish as if it had not been received: it is not answered, and a repeated PUBLISH is
    /// handled as a new one.
    pub fn forget(&mut self, qos: QoS, packet: u16) {
        let was_unanswered = match qos {
            QoS::AtMostOnce => false,
            QoS::AtLeastOnce => self.end_unanswered_qos1(packet),
            QoS::ExactlyOnce => self.session.inbound.remove(&packet) == Some(Inbound::InProgress),
        };
        self.unanswered -= usize::from(was_unanswered && self.unanswered > 0);
    }

    /// Removes one of the unanswered publishes of QoS 1 with this identifier. Returns false if there is none.
    fn end_unanswered_qos1(&mut self, packet: u16) -> bool {
        let Some(count) = self.unanswered_qos1.get_mut(&packet) else { return false };
        *count -= 1;
        if *count == 0 {
            self.unanswered_qos1.remove(&packet);
        }
        true
    }

    /// Accepts the client with CONNACK and resumes its session, if there is one.
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

    /// Refuses the client with CONNACK and closes the connection. For MQTT 3.1.1, the reason code is mapped to a return
    /// code (MQTT 3.1.1, section 3.2.2.3).
    pub fn refuse(&mut self, code: u8, properties: Properties) {
        use super::reason as r;
        if !matches!(self.state, State::Connecting | State::New | State::Invalid) {
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

    /// Answers a SUBSCRIBE with one reason code for each filter.
    pub fn subscribed(&mut self, packet: u16, codes: Vec<u8>) {
        // MQTT 3.1.1 has only the failure code 0x80.
        let is_v311 = self.version == Some(Version::V311);
        let codes = codes.into_iter().map(|code| if is_v311 && code >= 0x80 { 0x80 } else { code }).collect();
        self.send(&Packet::SubAck(Acks { packet, codes, ..Acks::default() }));
    }

    /// Answers an UNSUBSCRIBE with one reason code for each filter, which MQTT 3.1.1 omits.
    pub fn unsubscribed(&mut self, packet: u16, codes: Vec<u8>) {
        let codes = if self.version == Some(Version::V311) { Vec::new() } else { codes };
        self.send(&Packet::UnsubAck(Acks { packet, codes, ..Acks::default() }));
    }

    /// Publishes to the client with QoS 0. Returns `false` and sends nothing if the packet exceeds the client's maximum
    /// packet size.
    pub fn publish_to(&mut self, topic: &str, payload: Bytes, properties: Properties) -> bool {
        let publish = Publish { topic: topic.to_owned(), payload, properties, ..Publish::default() };
        self.send(&Packet::Publish(publish))
    }

    /// Closes the connection. In MQTT 5.0, DISCONNECT with the reason code is sent if the client was accepted
    /// [MQTT-3.14.0-1].
    pub fn disconnect(&mut self, code: u8, reason: Option<&str>) {
        if self.state == State::Open && self.version == Some(Version::V5) {
            let reason = reason.map(|text| Property::ReasonString(text.to_owned()));
            let properties = Properties(reason.into_iter().collect());
            self.send(&Packet::Disconnect(Reason { code, properties }));
        }
        self.state = State::Closed;
    }

    /// Returns the number of bytes that the buffers occupy.
    pub fn held_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Returns the number of bytes of a packet that is not complete. 0 if a publish has no answer yet.
    pub fn unfinished_bytes(&self) -> usize {
        if self.unanswered > 0 {
            0
        } else {
            self.input.len()
        }
    }

    /// Adds a packet to the output. Returns `false` and sends nothing if it exceeds the client's maximum packet size.
    fn send(&mut self, packet: &Packet) -> bool {
        let Some(version) = self.version else { return false };
        let start = self.output.len();
        encode(packet, version, &mut self.output);
        let fits = self.output.len() - start <= self.max_outgoing_packet_bytes; // [MQTT-3.1.2-24]
        if !fits {
            self.output.truncate(start);
        }
        fits
    }

    /// Returns the next event.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Returns the bytes to send. The caller removes those that it has written.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Returns whether the connection is to be closed after the output is written. Input is ignored.
    pub fn closed(&self) -> bool {
        matches!(self.state, State::Invalid | State::Closed)
    }

    /// Returns whether the client was accepted and the connection is not closed.
    pub fn open(&self) -> bool {
        self.state == State::Open
    }

    /// Returns whether there is input that has not been decoded, such as an incomplete packet.
    pub fn has_partial_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Returns the number of received bytes.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns the protocol version; `None` before CONNECT.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Returns the time in seconds without a packet after which to close the connection, one and a half times the keep
    /// alive [MQTT-3.1.2-22]. `None` if the keep alive is turned off.
    pub fn keep_alive_timeout(&self) -> Option<f64> {
        (self.keep_alive > 0).then(|| f64::from(self.keep_alive) * 1.5)
    }

    /// Sets another keep alive than the client's, in seconds. The caller announces it in CONNACK.
    pub fn keep_alive(&mut self, seconds: u16) {
        self.keep_alive = seconds;
    }

    /// Returns the number of unanswered publishes of QoS 1 and 2.
    pub fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Removes the session, for the client's next connection. Its unanswered publishes are to be answered by
    /// [`Session::record_response`].
    pub fn take_session(&mut self) -> Session {
        std::mem::take(&mut self.session)
    }
}

impl Session {
    /// Records the answer to a publish of QoS 2 whose connection is closed.
    pub fn record_response(&mut self, packet: u16, code: u8, properties: Properties) {
        if self.inbound.get(&packet) == Some(&Inbound::InProgress) {
            self.inbound.insert(packet, Inbound::Responded(code, properties));
            self.responded.push_back(packet);
        }
    }
}

/// Returns the reason code for the CONNACK that refuses an invalid CONNECT.
pub fn connack_code(error: &Error) -> u8 {
    match error.code {
        PACKET_TOO_LARGE => MALFORMED_PACKET,
        code => code,
    }
}

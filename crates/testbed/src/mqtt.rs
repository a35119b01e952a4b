//! A fake MQTT 5 client: one connection to an ingress, with concurrent publishes of QoS 1 or 2.

use crate::client::{Outcome, Request};
use crate::journal::{Answer, Journal, Seen, CALL_ENTRY};
use async_channel::{Receiver, Sender};
use bytes::BytesMut;
use chalkgap_runtime::{Micros, Shared};
use chalkgap_transport::{Machine, Pipe, Turn};
use chalkgap_wire::mqtt::packet::{Ack, Connect, Publish, Version};
use chalkgap_wire::mqtt::{decode, encode, reason, Error, Packet, Properties, Property, QoS};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;

/// The client side of a connection: encodes and decodes packets and has no session state.
#[derive(Default)]
pub struct PacketConnection {
    input: BytesMut,
    output: BytesMut,
    /// Received packets that were not processed yet.
    pub packets: VecDeque<Packet>,
}

impl Machine for PacketConnection {
    type Error = Error;

    fn receive(&mut self, _: Micros, bytes: &[u8]) -> Result<(), Error> {
        self.input.extend_from_slice(bytes);
        while let Some(packet) = decode(&mut self.input, Some(Version::V5), 1 << 20)? {
            self.packets.push_back(packet);
        }
        Ok(())
    }

    fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }
}

impl PacketConnection {
    /// Encodes a packet to the output.
    pub fn send(&mut self, packet: &Packet) {
        encode(packet, Version::V5, &mut self.output);
    }

    /// Creates a connection whose output starts with CONNECT. `session_expiry` is in seconds; 0 asks for a clean start.
    pub fn with_connect(client: &str, session_expiry: u32) -> PacketConnection {
        let mut connection = PacketConnection::default();
        let expiry = (session_expiry > 0).then_some(Property::SessionExpiry(session_expiry));
        let properties = expiry.into_iter().collect();
        connection.send(&Packet::Connect(Box::new(Connect {
            version: Version::V5,
            clean_start: session_expiry == 0,
            keep_alive: 60,
            properties: Properties(properties),
            client: client.into(),
            will: None,
            user: None,
            password: None,
        })));
        connection
    }
}

/// A publish that has no packet identifier yet.
struct Command {
    publish: Publish,
    deadline: Micros,
    reply: Sender<Answer>,
}

/// A publish that waits for its answer.
struct OpenPublish {
    reply: Sender<Answer>,
    deadline: Micros,
}

/// A connection to an ingress.
pub struct Client {
    runtime: Shared,
    journal: Journal,
    ingress: u16,
    commands: Sender<Command>,
}

impl Client {
    /// Connects to ingress number `ingress` at the address `to` and waits for a successful CONNACK.
    ///
    /// # Errors
    /// Returns the system's error if the connection fails, or `ConnectionRefused` if it ends before a successful CONNACK.
    pub async fn connect(
        runtime: Shared,
        to: SocketAddr,
        ingress: u16,
        journal: Journal,
    ) -> io::Result<Client> {
        let stream = runtime.connect(to).await?;
        let (commands, receiver) = async_channel::bounded(1000);
        let (_signal_sender, signal) = async_channel::bounded(1);
        let pipe = Pipe::new(
            runtime.clone(),
            stream,
            PacketConnection::with_connect("", 0),
            receiver.clone(),
            signal,
        );
        let (ready, connected) = async_channel::bounded(1);
        let task = run(runtime.clone(), pipe, receiver, ingress, journal.clone(), ready);
        runtime.spawn(Box::pin(task)).detach();
        match connected.recv().await {
            Ok(()) => Ok(Client { runtime, journal, ingress, commands }),
            Err(_) => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }

    /// Returns whether the connection is closed.
    pub fn closed(&self) -> bool {
        self.commands.is_closed()
    }

    /// Publishes a request and waits for the answer. Notes both in the journal. Every third call uses QoS 2.
    pub async fn call(&self, request: &Request) -> Outcome {
        let user = |key: &str, value: String| Property::User(key.into(), value);
        let mut properties = vec![
            user(CALL_ENTRY, request.call.to_string()),
            user("units", request.units.to_string()),
            user("timeout-ms", (request.timeout / 1000).to_string()),
        ];
        properties.extend(request.key.iter().map(|key| user("key", key.clone())));
        let qos = if request.call % 3 == 0 { QoS::ExactlyOnce } else { QoS::AtLeastOnce };
        let topic = format!("requests/{}/{}", request.account, request.class);
        let publish = Publish { qos, topic, properties: Properties(properties), ..Publish::default() };
        let now = self.runtime.now();
        self.journal.note(now, request.seen(self.ingress, now));
        let (reply, answer) = async_channel::bounded(1);
        let command = Command { publish, deadline: now + request.timeout, reply };
        let answer = match self.commands.send(command).await {
            Ok(()) => answer.recv().await.unwrap_or(Answer::Broken),
            Err(_) => Answer::NotTaken,
        };
        self.journal.note(self.runtime.now(), Seen::Answered { call: request.call, answer: answer.clone() });
        Outcome { answer, response: None, message: String::new() }
    }
}

/// How long a client waits after a call's deadline, so that the journal contains late answers. The auditor compares the times.
const LATE_ANSWER_MICROS: Micros = 300_000;

#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
async fn run(
    runtime: Shared,
    mut pipe: Pipe<Command, PacketConnection>,
    commands: Receiver<Command>,
    ingress: u16,
    journal: Journal,
    ready: Sender<()>,
) {
    let mut open: BTreeMap<u16, OpenPublish> = BTreeMap::new();
    let mut waiting: VecDeque<Command> = VecDeque::new();
    // Packet identifiers that are in use although no call waits for an answer: the call timed out, or the QoS 2 exchange is
    // not complete.
    let mut busy: BTreeMap<u16, ()> = BTreeMap::new();
    let mut last_id = 0u16;
    // The server's Receive Maximum; 0 until CONNACK.
    let mut receive_maximum = 0usize;
    // The server disconnected with SERVER_BUSY, after answering all publishes that it processed.
    let mut server_busy = false;
    'connection: loop {
        let until = open.values().map(|publish| publish.deadline + LATE_ANSWER_MICROS).min();
        match pipe.turn(until, true).await {
            Turn::Command(command) => waiting.push_back(command),
            Turn::Read | Turn::Signal => {}
            Turn::Time => {
                let now = runtime.now();
                let late = open.iter().filter(|(_, publish)| publish.deadline + LATE_ANSWER_MICROS <= now);
                let late: Vec<u16> = late.map(|(id, _)| *id).collect();
                for id in late {
                    if let Some(publish) = open.remove(&id) {
                        let _ = publish.reply.try_send(Answer::Left);
                        busy.insert(id, ());
                    }
                }
            }
            Turn::ProtocolError(error) => {
                journal.note(runtime.now(), Seen::Broke { ingress, what: error.to_string() });
                break;
            }
            Turn::Closed => break,
        }
        while let Some(packet) = pipe.conn.packets.pop_front() {
            match packet {
                Packet::ConnAck(ack) if ack.code == reason::SUCCESS => {
                    let max = ack.properties.find(|property| match property {
                        Property::ReceiveMaximum(max) => Some(*max),
                        _ => None,
                    });
                    receive_maximum = usize::from(max.unwrap_or(u16::MAX));
                    let _ = ready.try_send(());
                }
                Packet::PubAck(ack) => answered(&ack, &mut open, &mut busy, ingress, &journal, &runtime),
                Packet::PubRec(ack) => {
                    answered(&ack, &mut open, &mut busy, ingress, &journal, &runtime);
                    if ack.code < 0x80 {
                        busy.insert(ack.packet, ());
                        pipe.conn.send(&Packet::PubRel(Ack { packet: ack.packet, ..Ack::default() }));
                    }
                }
                Packet::PubComp(ack) => drop(busy.remove(&ack.packet)),
                Packet::Disconnect(disconnect) => {
                    server_busy = disconnect.code == reason::SERVER_BUSY;
                    break 'connection;
                }
                _ => break 'connection,
            }
        }
        while receive_maximum > 0 && open.len() + busy.len() < receive_maximum {
            let Some(command) = waiting.pop_front() else { break };
            loop {
                last_id = last_id.checked_add(1).unwrap_or(1);
                if !open.contains_key(&last_id) && !busy.contains_key(&last_id) {
                    break;
                }
            }
            pipe.conn.send(&Packet::Publish(Publish { packet: last_id, ..command.publish }));
            open.insert(last_id, OpenPublish { reply: command.reply, deadline: command.deadline });
        }
    }
    commands.close();
    waiting.extend(std::iter::from_fn(|| commands.try_recv().ok()));
    for command in waiting {
        let _ = command.reply.try_send(Answer::NotTaken);
    }
    for publish in open.into_values() {
        let _ = publish.reply.try_send(if server_busy { Answer::NotTaken } else { Answer::Broken });
    }
}

/// Reports the answer that a PUBACK or PUBREC carries to its call.
fn answered(
    ack: &Ack,
    open: &mut BTreeMap<u16, OpenPublish>,
    busy: &mut BTreeMap<u16, ()>,
    ingress: u16,
    journal: &Journal,
    runtime: &Shared,
) {
    let pause_ms = ack.properties.find(|property| match property {
        Property::User(key, value) if key == "retry-after-ms" => value.parse::<u64>().ok(),
        _ => None,
    });
    let answer = match ack.code {
        reason::SUCCESS => Answer::Served,
        reason::QUOTA_EXCEEDED => Answer::Refused { pause: pause_ms.unwrap_or(0) * 1000 },
        reason::IMPLEMENTATION_SPECIFIC => Answer::Failed { code: 14 },
        _ => Answer::Failed { code: 3 },
    };
    match open.remove(&ack.packet) {
        Some(publish) => drop(publish.reply.try_send(answer)),
        None if busy.remove(&ack.packet).is_some() => {}
        None => {
            let what = format!("answer to packet identifier {}, which is not in use", ack.packet);
            journal.note(runtime.now(), Seen::Broke { ingress, what });
        }
    }
}

//! A stand-in MQTT 5 client: one connection to one ingress, many publishes at once, each with QoS 1 or 2.

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

/// A client's side of a connection: packets, and nothing else.
#[derive(Default)]
pub struct Half {
    input: BytesMut,
    output: BytesMut,
    /// What came.
    pub packets: VecDeque<Packet>,
}

impl Machine for Half {
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

impl Half {
    /// Writes a packet.
    pub fn send(&mut self, packet: &Packet) {
        encode(packet, Version::V5, &mut self.output);
    }

    /// A connection that begins: CONNECT is written. `expiry`: seconds that its session is to be kept.
    pub fn hello(client: &str, expiry: u32) -> Half {
        let mut half = Half::default();
        let properties = (expiry > 0).then_some(Property::SessionExpiry(expiry)).into_iter().collect();
        half.send(&Packet::Connect(Box::new(Connect {
            version: Version::V5,
            clean_start: expiry == 0,
            keep_alive: 60,
            properties: Properties(properties),
            client: client.into(),
            will: None,
            user: None,
            password: None,
        })));
        half
    }
}

struct Command {
    publish: Publish,
    until: Micros,
    reply: Sender<Answer>,
}

/// A connection to an ingress.
pub struct Client {
    runtime: Shared,
    journal: Journal,
    ingress: u16,
    commands: Sender<Command>,
}

impl Client {
    /// Connects to ingress `ingress` at an address, and is let in.
    ///
    /// # Errors
    /// There is no connection, or it is not let in.
    pub async fn connect(
        runtime: Shared,
        to: SocketAddr,
        ingress: u16,
        journal: Journal,
    ) -> io::Result<Client> {
        let stream = runtime.connect(to).await?;
        let (commands, receiver) = async_channel::bounded(1000);
        let (_keep, signal) = async_channel::bounded(1);
        let pipe = Pipe::new(runtime.clone(), stream, Half::hello("", 0), receiver.clone(), signal);
        let (ready, is_ready) = async_channel::bounded(1);
        let task = run(runtime.clone(), pipe, receiver, ingress, journal.clone(), ready);
        runtime.spawn(Box::pin(task)).detach();
        match is_ready.recv().await {
            Ok(()) => Ok(Client { runtime, journal, ingress, commands }),
            Err(_) => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }

    /// Whether the connection is gone.
    pub fn closed(&self) -> bool {
        self.commands.is_closed()
    }

    /// Publishes and waits for the answer. Each third call goes with QoS 2.
    pub async fn call(&self, ask: &Request) -> Outcome {
        let user = |key: &str, value: String| Property::User(key.into(), value);
        let mut list = vec![
            user(CALL_ENTRY, ask.call.to_string()),
            user("units", ask.units.to_string()),
            user("timeout-ms", (ask.timeout / 1000).to_string()),
        ];
        list.extend(ask.key.iter().map(|k| user("key", k.clone())));
        let qos = if ask.call % 3 == 0 { QoS::ExactlyOnce } else { QoS::AtLeastOnce };
        let topic = format!("requests/{}/{}", ask.account, ask.class);
        let publish = Publish { qos, topic, properties: Properties(list), ..Publish::default() };
        let now = self.runtime.now();
        self.journal.note(now, ask.seen(self.ingress, now));
        let (reply, answer) = async_channel::bounded(1);
        let command = Command { publish, until: now + ask.timeout, reply };
        let answer = match self.commands.send(command).await {
            Ok(()) => answer.recv().await.unwrap_or(Answer::Broken),
            Err(_) => Answer::NotTaken,
        };
        self.journal.note(self.runtime.now(), Seen::Answered { call: ask.call, answer: answer.clone() });
        Outcome { answer, response: None, message: String::new() }
    }
}

/// How long past its time a client still looks for an answer, to see a late one. The auditor judges by the times.
const LOOK: Micros = 300_000;

#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
async fn run(
    runtime: Shared,
    mut pipe: Pipe<Command, Half>,
    commands: Receiver<Command>,
    ingress: u16,
    journal: Journal,
    ready: Sender<()>,
) {
    let mut open: BTreeMap<u16, (Sender<Answer>, Micros)> = BTreeMap::new();
    let mut waiting: VecDeque<Command> = VecDeque::new();
    // Identifiers whose answer nobody waits for any more, or whose flow goes on.
    let mut busy: BTreeMap<u16, ()> = BTreeMap::new();
    let (mut next, mut most, mut stated) = (0u16, 0usize, false);
    'all: loop {
        let until = open.values().map(|o| o.1 + LOOK).min();
        match pipe.turn(until, true).await {
            Turn::Command(c) => waiting.push_back(c),
            Turn::Read | Turn::Signal => {}
            Turn::Time => {
                let now = runtime.now();
                let late: Vec<u16> = open.iter().filter(|o| o.1 .1 + LOOK <= now).map(|o| *o.0).collect();
                for id in late {
                    if let Some((reply, _)) = open.remove(&id) {
                        let _ = reply.try_send(Answer::Left);
                        busy.insert(id, ());
                    }
                }
            }
            Turn::ProtocolError(e) => {
                journal.note(runtime.now(), Seen::Broke { ingress, what: e.to_string() });
                break;
            }
            Turn::Closed => break,
        }
        while let Some(packet) = pipe.conn.packets.pop_front() {
            match packet {
                Packet::ConnAck(c) if c.code == reason::SUCCESS => {
                    let max =
                        c.properties
                            .find(|p| if let Property::ReceiveMaximum(n) = p { Some(*n) } else { None });
                    most = usize::from(max.unwrap_or(u16::MAX));
                    let _ = ready.try_send(());
                }
                Packet::PubAck(a) => answered(&a, &mut open, &mut busy, ingress, &journal, &runtime),
                Packet::PubRec(a) => {
                    answered(&a, &mut open, &mut busy, ingress, &journal, &runtime);
                    if a.code < 0x80 {
                        busy.insert(a.packet, ());
                        pipe.conn.send(&Packet::PubRel(Ack { packet: a.packet, ..Ack::default() }));
                    }
                }
                Packet::PubComp(a) => drop(busy.remove(&a.packet)),
                Packet::Disconnect(r) => {
                    // It answers all that it has taken before it says that it has no room.
                    stated = r.code == reason::SERVER_BUSY;
                    break 'all;
                }
                _ => break 'all,
            }
        }
        while most > 0 && open.len() + busy.len() < most {
            let Some(c) = waiting.pop_front() else { break };
            loop {
                next = next.checked_add(1).unwrap_or(1);
                if !open.contains_key(&next) && !busy.contains_key(&next) {
                    break;
                }
            }
            pipe.conn.send(&Packet::Publish(Publish { packet: next, ..c.publish }));
            open.insert(next, (c.reply, c.until));
        }
    }
    commands.close();
    waiting.extend(std::iter::from_fn(|| commands.try_recv().ok()));
    for c in waiting {
        let _ = c.reply.try_send(Answer::NotTaken);
    }
    for (reply, _) in open.into_values() {
        let _ = reply.try_send(if stated { Answer::NotTaken } else { Answer::Broken });
    }
}

fn answered(
    a: &Ack,
    open: &mut BTreeMap<u16, (Sender<Answer>, Micros)>,
    busy: &mut BTreeMap<u16, ()>,
    ingress: u16,
    journal: &Journal,
    runtime: &Shared,
) {
    let pause = a.properties.find(|p| match p {
        Property::User(k, v) if k == "retry-after-ms" => v.parse::<u64>().ok(),
        _ => None,
    });
    let answer = match a.code {
        reason::SUCCESS => Answer::Served,
        reason::QUOTA_EXCEEDED => Answer::Refused { pause: pause.unwrap_or(0) * 1000 },
        reason::IMPLEMENTATION_SPECIFIC => Answer::Failed { code: 14 },
        _ => Answer::Failed { code: 3 },
    };
    match open.remove(&a.packet) {
        Some((reply, _)) => drop(reply.try_send(answer)),
        None if busy.remove(&a.packet).is_some() => {}
        None => {
            let what = format!("an answer to {}, which is not open", a.packet);
            journal.note(runtime.now(), Seen::Broke { ingress, what });
        }
    }
}

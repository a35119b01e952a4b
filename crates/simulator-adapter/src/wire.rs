//! The simulator's frames: reading batches, writing replies. Every length and offset is checked.

use chalkgap_core::{
    Action, Availability, BackendId, CustomerId, Endpoint, EndpointUpdate, Event, GatewayId, LoadReport,
    Outcome, Request, RequestId,
};
use std::collections::BTreeMap;

/// Bytes of a batch's header.
pub const EVENT_HEADER: usize = 20;
const EVENT: usize = 48;
const REPLY_HEADER: usize = 12;
const ACTION: usize = 32;
const ENTRY: usize = 24;

fn bytes<const N: usize>(from: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&from[at..at + N]);
    out
}
fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_le_bytes(bytes(b, at))
}
fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes(b, at))
}
fn u64_at(b: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes(b, at))
}
fn f32_at(b: &[u8], at: usize) -> f64 {
    f64::from(f32::from_le_bytes(bytes(b, at)))
}
fn backend_at(b: &[u8], at: usize) -> BackendId {
    let mut eight = [0; 8];
    eight[..6].copy_from_slice(&b[at..at + 6]);
    BackendId(u64::from_le_bytes(eight))
}

/// The size of the whole frame whose header this is.
pub fn frame_size(header: &[u8]) -> Result<usize, String> {
    let (count, size, number) = (u32_at(header, 0), u32_at(header, 4) as usize, u32_at(header, 16));
    if size < EVENT_HEADER + count as usize * EVENT {
        return Err(format!("batch {number}: length {size} is too short for its {count} records"));
    }
    Ok(size)
}

/// A batch of events.
pub struct Batch<'a> {
    /// Its number.
    pub number: u32,
    /// Its clock.
    pub clock: u64,
    /// How many records it has.
    pub count: usize,
    records: &'a [u8],
    tail: &'a [u8],
}

/// A record of a batch.
pub struct Record<'a> {
    batch: u32,
    index: usize,
    body: &'a [u8],
    tail: &'a [u8],
}

/// What a record says.
pub enum Decoded<'a> {
    /// An instance starts.
    Start {
        /// Its number on the wire.
        instance: u16,
        /// Its seed.
        seed: u64,
        /// Its settings.
        conf: &'a str,
    },
    /// An instance was killed.
    Stop {
        /// Its number on the wire.
        instance: u16,
    },
    /// An event for a running instance.
    Event {
        /// Its number on the wire.
        instance: u16,
        /// The event.
        event: Event,
    },
}

impl<'a> Batch<'a> {
    /// Splits a whole frame, as [`frame_size`] measured it.
    pub fn parse(frame: &'a [u8]) -> Result<Self, String> {
        let size = frame_size(frame)?;
        let count = u32_at(frame, 0) as usize;
        let tail_at = EVENT_HEADER + count * EVENT;
        let records = &frame[EVENT_HEADER..tail_at];
        let tail = &frame[tail_at..size];
        Ok(Batch { number: u32_at(frame, 16), clock: u64_at(frame, 8), count, records, tail })
    }

    /// The record with this index, below `count`.
    pub fn record(&self, index: usize) -> Record<'a> {
        let body = &self.records[index * EVENT..(index + 1) * EVENT];
        Record { batch: self.number, index, body, tail: self.tail }
    }
}

impl<'a> Record<'a> {
    /// A message that says where the trouble is.
    pub fn error(&self, field: &str, what: &str) -> String {
        format!("batch {}, record {}, field {field}: {what}", self.batch, self.index)
    }

    fn tail_part(&self, at: usize, field: &str, each: usize) -> Result<&'a [u8], String> {
        let (start, count) = (u32_at(self.body, at) as usize, u32_at(self.body, at + 4) as usize);
        let end = count.checked_mul(each).and_then(|len| len.checked_add(start));
        end.and_then(|end| self.tail.get(start..end)).ok_or_else(|| {
            let length = self.tail.len();
            self.error(field, &format!("offset {start} and count {count} leave the tail of {length} bytes"))
        })
    }

    fn outcome(&self, at: usize) -> Result<Outcome, String> {
        Ok(match u16_at(self.body, at) {
            200 => Outcome::Ok,
            502 => Outcome::Error,
            429 => Outcome::Rejected,
            408 => Outcome::TimedOut,
            521 => Outcome::ConnectFailed,
            520 => Outcome::Reset,
            444 => Outcome::Cancelled,
            409 => Outcome::NotSent,
            other => return Err(self.error("outcome", &format!("unknown code {other}"))),
        })
    }

    fn report(&self, at: usize, fields: &[String]) -> Option<LoadReport> {
        let n = usize::from(self.body[at]).min(4);
        let values = fields.iter().take(n).enumerate();
        let values = values.map(|(i, name)| (name.as_str(), f32_at(self.body, at + 1 + 4 * i)));
        (n > 0).then(|| chalkgap_deployment_config::report(values.filter(|v| v.1.is_finite())))
    }

    fn roster(&self) -> Result<Event, String> {
        let kind = match self.body[3] {
            0 => EndpointUpdate::Delta,
            1 => EndpointUpdate::Snapshot,
            2 => EndpointUpdate::Cached,
            3 => EndpointUpdate::Failed,
            other => return Err(self.error("scope", &format!("unknown kind {other}"))),
        };
        let rows = self.tail_part(12, "rows", ENTRY)?;
        let mut list = Vec::with_capacity(rows.len() / ENTRY);
        for row in rows.chunks_exact(ENTRY) {
            let availability = match row[11] {
                0 => Availability::Draining,
                1 => Availability::Ready,
                2 => Availability::Gone,
                other => return Err(self.error("rows.availability", &format!("unknown state {other}"))),
            };
            list.push(Endpoint {
                backend: backend_at(row, 0),
                zone: row[6],
                kind: u16_at(row, 7),
                cell: u16_at(row, 9),
                availability,
                weight: f32_at(row, 12),
                started_at: u64_at(row, 16),
            });
        }
        Ok(Event::Endpoints(kind, list))
    }

    /// What the record says; none for a code that this adapter does not know.
    pub fn decode(&self, fields: &BTreeMap<u16, Vec<String>>) -> Result<Option<Decoded<'a>>, String> {
        let b = self.body;
        let instance = u16_at(b, 1);
        let names = fields.get(&instance).map_or(&[][..], Vec::as_slice);
        let event = match b[0] {
            50 => {
                let conf = std::str::from_utf8(self.tail_part(11, "conf", 1)?)
                    .map_err(|e| self.error("conf", &e.to_string()))?;
                return Ok(Some(Decoded::Start { instance, seed: u64_at(b, 3), conf }));
            }
            110 => return Ok(Some(Decoded::Stop { instance })),
            60 => self.roster()?,
            10 => Event::Request(Request {
                id: RequestId(u64_at(b, 3)),
                class: b[11],
                plan: u16_at(b, 12),
                customer: CustomerId(u64_at(b, 14)),
                deadline: u64_at(b, 22),
                units: f32_at(b, 30),
                gateway_count: f32_at(b, 34),
                first_gateway: f32_at(b, 38),
            }),
            30 => Event::HealthChecked {
                backend: backend_at(b, 3),
                outcome: self.outcome(9)?,
                elapsed: u64::from(u32_at(b, 11)),
                report: self.report(15, names),
            },
            20 => Event::AttemptFinished {
                id: RequestId(u64_at(b, 3)),
                elapsed: u64::from(u32_at(b, 11)),
                outcome: self.outcome(15)?,
                answered: b[17] != 0,
                attempt: u16_at(b, 18),
                metered: Some(u16_at(b, 20)).filter(|m| *m > 0).map(|m| f64::from(m - 1) / 100.0),
                backend: backend_at(b, 22),
                charged_units: Some(u16_at(b, 28)).filter(|c| *c > 0).map(f64::from),
                report: self.report(30, names),
            },
            40 => {
                Event::CounterUpdated { name: u64_at(b, 3), outcome: self.outcome(11)?, total: f32_at(b, 13) }
            }
            90 => Event::ClientCancelled(RequestId(u64_at(b, 3))),
            70 => Event::Timer(u32_at(b, 3)),
            100 => Event::FirstByte { id: RequestId(u64_at(b, 3)), attempt: u16_at(b, 11) },
            80 => Event::GossipReceived {
                from: GatewayId(u16_at(b, 3)),
                bytes: self.tail_part(5, "octets", 1)?.to_vec(),
            },
            _ => return Ok(None),
        };
        Ok(Some(Decoded::Event { instance, event }))
    }
}

/// A reply under construction.
pub struct Reply {
    number: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// A reply to the batch with this number.
    pub fn new(number: u32) -> Self {
        Reply { number, records: Vec::new(), tail: Vec::new() }
    }

    /// Adds an instance's actions.
    pub fn push(&mut self, instance: u16, actions: &[Action]) {
        for action in actions {
            let mut r = [0u8; ACTION];
            r[1..3].copy_from_slice(&instance.to_le_bytes());
            let mut put = |at: usize, bytes: &[u8]| r[at..at + bytes.len()].copy_from_slice(bytes);
            let mut code = |value: u8| put(0, &[value]);
            match action {
                // What is sent on there has begun at once.
                Action::StartAttempt { id, backend, give_up_at: expires, start_by: _ } => {
                    code(10);
                    put(3, &id.0.to_le_bytes());
                    put(11, &expires.to_le_bytes());
                    put(19, &backend.0.to_le_bytes()[..6]);
                }
                Action::Reject { id, retry_after: pause } => {
                    code(20);
                    put(3, &id.0.to_le_bytes());
                    put(11, &u32::try_from(*pause).unwrap_or(u32::MAX).to_le_bytes());
                }
                Action::Fail(id) => {
                    code(30);
                    put(3, &id.0.to_le_bytes());
                }
                Action::Cancel { id, attempt } => {
                    code(40);
                    put(3, &id.0.to_le_bytes());
                    put(11, &attempt.to_le_bytes());
                }
                Action::SetTimer { delay, token } => {
                    code(50);
                    put(3, &u32::try_from(*delay).unwrap_or(u32::MAX).to_le_bytes());
                    put(7, &token.to_le_bytes());
                }
                Action::CheckHealth(backend) => {
                    code(60);
                    put(3, &backend.0.to_le_bytes()[..6]);
                }
                Action::CloseIdle(backend) => {
                    code(70);
                    put(3, &backend.0.to_le_bytes()[..6]);
                }
                Action::SendGossip { to, bytes } => {
                    code(80);
                    put(3, &to.map_or(u16::MAX, |peer| peer.0).to_le_bytes());
                    put(5, &(self.tail.len() as u32).to_le_bytes());
                    put(9, &(bytes.len() as u32).to_le_bytes());
                    self.tail.extend_from_slice(bytes);
                }
                Action::Log(text) => {
                    code(90);
                    put(3, &(self.tail.len() as u32).to_le_bytes());
                    put(7, &(text.len() as u32).to_le_bytes());
                    self.tail.extend_from_slice(text.as_bytes());
                }
                Action::WatchEndpoints(on) => {
                    code(110);
                    put(3, &[u8::from(*on)]);
                }
                Action::FetchEndpoints => code(120),
                Action::AddToCounter { name, delta, lifetime } => {
                    code(130);
                    put(3, &u32::try_from(*lifetime).unwrap_or(u32::MAX).to_le_bytes());
                    put(7, &(*delta as f32).to_le_bytes());
                    put(11, &name.to_le_bytes());
                }
            }
            self.records.extend_from_slice(&r);
        }
    }

    /// The whole frame.
    pub fn finish(self) -> Vec<u8> {
        let size = REPLY_HEADER + self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(size);
        frame.extend_from_slice(&((self.records.len() / ACTION) as u32).to_le_bytes());
        frame.extend_from_slice(&(size as u32).to_le_bytes());
        frame.extend_from_slice(&self.number.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }
}

#[cfg(test)]
#[path = "../tests/unit/wire.rs"]
mod tests;

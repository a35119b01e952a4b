//! Other ingresses' ledgers, over streams whose messages are authenticated by the group's key. Calls only read, so that
//! a repeated one does no harm; an answer is bound to its own question.

use super::{lock, Desk};
use crate::peers::Key;
use crate::telemetry::add;
use async_channel::Receiver;
use bytes::Bytes;
use chalkgap_ledger::entry::{self, Entry};
use chalkgap_ledger::reconcile::{Ask, Reconciler, Rules};
use chalkgap_ledger::store;
use chalkgap_runtime::{BoxFuture, Listener};
use chalkgap_transport::unary::{self, Limits};
use chalkgap_wire::fleet::{Entries, Range, Ranges, Sealed, FETCH, HAVE};
use chalkgap_wire::grpc::{self, Code, Status};
use prost::Message;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Entries in one answer, and its bytes.
const PART: u64 = 4096;
const ANSWER: usize = 4 << 20;
/// Ranges that one ingress may tell of.
const RANGES: usize = 65_536;
/// How long a call may take, in microseconds.
const PATIENCE: u64 = 5_000_000;

/// Who seals and opens messages.
struct Seal {
    key: Key,
    me: u16,
}

fn hash(key: &Key, path: &str, question: bool, s: &Sealed) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key.bytes());
    // Every part has its length before it, and questions are told from answers.
    for part in [path.as_bytes(), &[u8::from(question)], &s.from.to_be_bytes(), &s.to.to_be_bytes()] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.update(&s.nonce.to_be_bytes());
    hasher.update(&s.body);
    hasher.finalize()
}

impl Seal {
    fn seal(&self, path: &str, question: bool, to: u16, nonce: u64, body: Bytes) -> Sealed {
        let (from, to) = (self.me.into(), to.into());
        let mut s = Sealed { from, to, nonce, body, hash: Bytes::new() };
        s.hash = Bytes::copy_from_slice(hash(&self.key, path, question, &s).as_bytes());
        s
    }

    fn open(&self, path: &str, question: bool, message: Bytes) -> Option<Sealed> {
        let s = Sealed::decode(message).ok()?;
        let theirs = <[u8; 32]>::try_from(&s.hash[..]).ok()?;
        // Compared in constant time by the library.
        let good = hash(&self.key, path, question, &s) == blake3::Hash::from_bytes(theirs);
        (good && s.to == u32::from(self.me) && s.from != s.to).then_some(s)
    }
}

pub(super) fn tasks(
    desk: &Arc<Desk>,
    listener: Box<dyn Listener>,
    alive: &Receiver<()>,
) -> Vec<BoxFuture<'static, ()>> {
    let Some(group) = desk.settings.group.clone() else { return Vec::new() };
    // Checked with the settings' values; those who build settings in place and skip that have no group.
    let Some(key) = Key::parse(&group.key) else { return Vec::new() };
    let seal = Arc::new(Seal { key, me: desk.me });
    let mut tasks: Vec<BoxFuture<'static, ()>> = Vec::new();
    let limits =
        Limits { connections: 2 * group.addresses.len() + 2, calls: 2, message: 1 << 20, idle: 10_000_000 };
    let (server, sealer) = (desk.clone(), seal.clone());
    // One segment that was read is kept: others who catch up ask for one part of it after the other.
    let cache = Arc::new(Mutex::new(None));
    let handler: unary::Handler = Arc::new(move |path, message| {
        let (desk, seal, cache) = (server.clone(), sealer.clone(), cache.clone());
        Box::pin(async move {
            let answer = answer(&desk, &seal, &cache, &path, message).await;
            if answer.is_err() {
                add(&desk.telemetry.ledger_peer_refused);
            }
            answer
        })
    });
    tasks.push(Box::pin(unary::serve(desk.runtime.clone(), listener, limits, handler, alive.clone())));
    for (no, address) in group.addresses.iter().filter(|a| *a.0 != desk.me) {
        let rules =
            Rules { every: group.every_ms * 1000, per_second: group.per_second, part: PART, ranges: RANGES };
        tasks.push(Box::pin(follow(desk.clone(), seal.clone(), *no, *address, rules)));
    }
    tasks
}

type Cache = Mutex<Option<(u64, Arc<Vec<Entry>>)>>;

async fn answer(
    desk: &Desk,
    seal: &Seal,
    cache: &Cache,
    path: &str,
    message: Bytes,
) -> Result<Bytes, Status> {
    if path != HAVE && path != FETCH {
        return Err(Status::new(Code::Unimplemented, format!("expected {HAVE} or {FETCH}")));
    }
    let refused = || Status::new(Code::Unauthenticated, "not by a holder of the group's key");
    let question = seal.open(path, true, message).ok_or_else(refused)?;
    let from = u16::try_from(question.from).map_err(|_| refused())?;
    let body = if path == HAVE {
        Ranges { ranges: have(desk) }.encode_to_vec()
    } else {
        let broken = |e| Status::new(Code::InvalidArgument, format!("ranges: {e}"));
        let asked = Ranges::decode(question.body).map_err(broken)?;
        let entries = fetch(desk, cache, &asked.ranges).await?;
        Entries { entries }.encode_to_vec()
    };
    Ok(grpc::frame(&seal.seal(path, false, from, question.nonce, body.into())))
}

/// What can be given from here: durable, and not condensed.
fn have(desk: &Desk) -> Vec<Range> {
    let index = lock(&desk.index);
    let ranges = index.spans().flat_map(|((ingress, incarnation), spans)| {
        let ingress = u32::from(ingress);
        spans.into_iter().map(move |(from, to)| Range { ingress, incarnation, from, to })
    });
    ranges.take(RANGES).collect()
}

/// Entries as they are asked for, as far as they fit an answer: from memory, or from the segments.
async fn fetch(desk: &Desk, cache: &Cache, ranges: &[Range]) -> Result<Vec<Bytes>, Status> {
    let (mut list, mut bytes, mut count) = (Vec::new(), 0, 0);
    let mut put = |e: &Entry| {
        let encoded = Bytes::from(e.encode());
        bytes += encoded.len() + 8;
        count += 1;
        let fits = bytes < ANSWER - 4096 && count <= PART;
        if fits {
            list.push(encoded);
        }
        fits
    };
    for r in ranges.iter().take(PART as usize) {
        let Ok(ingress) = u16::try_from(r.ingress) else { continue };
        let first = entry::Id { ingress, incarnation: r.incarnation, number: r.from };
        let last = entry::Id { number: r.to, ..first };
        if r.from > r.to {
            continue;
        }
        // A hole in what is in memory: all of the range comes from the segments.
        let wanted = (r.to - r.from).saturating_add(1).min(PART);
        let there: Vec<Entry> = lock(&desk.recent)
            .entries
            .range(first..=last)
            .take(wanted as usize)
            .map(|e| e.1.clone())
            .collect();
        let whole = there.len() as u64 == wanted && there.first().is_some_and(|e| e.id == first);
        if whole {
            if !there.iter().all(&mut put) {
                break;
            }
            continue;
        }
        let segments = lock(&desk.index).segments(ingress, r.incarnation, (r.from, r.to));
        for number in segments {
            let held = lock(cache).clone().filter(|(n, _)| *n == number).map(|c| c.1);
            // One that is being written to grows: what was read of it may be too short.
            let fits = |list: &Arc<Vec<Entry>>| list.iter().any(|e| e.id == last);
            let entries = match held.filter(fits) {
                Some(entries) => entries,
                None => {
                    let read = store::segment(&desk.runtime, &desk.settings.folder, number).await;
                    let entries = Arc::new(read.map_err(|e| Status::new(Code::DataLoss, e.to_string()))?);
                    *lock(cache) = Some((number, entries.clone()));
                    entries
                }
            };
            if !entries.iter().filter(|e| (first..=last).contains(&e.id)).all(&mut put) {
                return Ok(list);
            }
        }
    }
    Ok(list)
}

/// Keeps up with one other ingress.
async fn follow(desk: Arc<Desk>, seal: Arc<Seal>, no: u16, address: SocketAddr, rules: Rules) {
    let (runtime, me) = (desk.runtime.clone(), (desk.me, lock(&desk.clerk).incarnation()));
    let mut reconciler = Reconciler::new(me, rules);
    loop {
        let ask = reconciler.ask(runtime.now(), &lock(&desk.book));
        let (path, body) = match &ask {
            Err(at) => {
                runtime.sleep_until(*at).await;
                continue;
            }
            Ok(Ask::Have) => (HAVE, Vec::new()),
            Ok(Ask::Fetch(ranges)) => {
                let range = |r: &entry::Range| Range {
                    ingress: r.ingress,
                    incarnation: r.incarnation,
                    from: r.from,
                    to: r.to,
                };
                (FETCH, Ranges { ranges: ranges.iter().map(range).collect() }.encode_to_vec())
            }
        };
        let nonce = runtime.random();
        let question = grpc::frame(&seal.seal(path, true, no, nonce, body.into()));
        let until = runtime.now() + PATIENCE;
        let answer = unary::call(&runtime, address, path, question, ANSWER + 65_536, until).await;
        let opened = answer.ok().and_then(|m| seal.open(path, false, m));
        let body = opened.filter(|s| s.nonce == nonce && s.from == u32::from(no)).map(|s| s.body);
        let taken = match body {
            None => Err("no answer by a holder of the key".to_owned()),
            Some(body) => take(&desk, &mut reconciler, path, body).await,
        };
        if let Err(what) = taken {
            add(&desk.telemetry.ledger_peer_failed);
            tracing::debug!(ingress = no, what, "ledger: reconciling put off");
            reconciler.failed(runtime.now());
        }
    }
}

async fn take(desk: &Desk, reconciler: &mut Reconciler, path: &str, body: Bytes) -> Result<(), String> {
    if path == HAVE {
        let ranges = Ranges::decode(body).map_err(|e| e.to_string())?.ranges;
        let range = |r: &Range| entry::Range {
            ingress: r.ingress,
            incarnation: r.incarnation,
            from: r.from,
            to: r.to,
        };
        let ranges: Vec<entry::Range> = ranges.iter().map(range).collect();
        let written = lock(&desk.clerk).written();
        return reconciler.have(&ranges, written).map_err(|e| e.to_string());
    }
    let entries = Entries::decode(body).map_err(|e| e.to_string())?.entries;
    let entries: Result<Vec<Entry>, _> = entries.iter().map(|e| Entry::decode(e)).collect();
    let entries = entries.map_err(|e| e.to_string())?;
    reconciler.fetched(&entries).map_err(|e| e.to_string())?;
    if !entries.is_empty() {
        desk.copy(entries).await;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_answer_is_good_for_its_question_alone() {
        let key = |d: &str| Key::parse(&d.repeat(64)).unwrap();
        let (a, b) = (Seal { key: key("a"), me: 0 }, Seal { key: key("a"), me: 1 });
        let wire = |s: &Sealed| Bytes::from(s.encode_to_vec());
        let q = a.seal(HAVE, true, 1, 7, Bytes::from_static(b"body"));
        assert_eq!(b.open(HAVE, true, wire(&q)), Some(q.clone()));
        assert_eq!(b.open(FETCH, true, wire(&q)), None, "another call");
        assert_eq!(b.open(HAVE, false, wire(&q)), None, "a question is no answer");
        assert_eq!(a.open(HAVE, true, wire(&q)), None, "for another, and from itself");
        assert_eq!(Seal { key: key("b"), me: 1 }.open(HAVE, true, wire(&q)), None, "another key");
        for change in [
            Sealed { nonce: 8, ..q.clone() },
            Sealed { from: 2, ..q.clone() },
            Sealed { body: Bytes::from_static(b"bodY"), ..q.clone() },
            Sealed { hash: Bytes::from_static(b"short"), ..q.clone() },
        ] {
            assert_eq!(b.open(HAVE, true, wire(&change)), None);
        }
        assert_eq!(b.open(HAVE, true, Bytes::from_static(&[0xff, 0xff])), None);
    }
}

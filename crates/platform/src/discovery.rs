//! Follows discovery: the whole list first, then its changes, for as long as the instance lives. Where an agent pushes, every
//! connection begins with the whole list, so what was missed between two of them, a list that was cut off, and versions that
//! went back need no care of their own. Where lists are asked for, a watch from the version that is held does the same in
//! one call.

use crate::feed::{Feed, FeedError};
use crate::list::{List, NotTaken, Roster};
use crate::request::Work;
use async_channel::{Receiver, Sender};
use chalkgap::frontend::DriverEvent;
use chalkgap_runtime::{Micros, Shared, Stream};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::future::Future;
use std::net::SocketAddr;

/// A watch that says nothing for so long has ended: an empty line is due every 2 s. What it misses counts as told 6 s after
/// discovery had it, whatever becomes of calls: what is left of these is for further calls, of which three in a row may
/// hang as well.
const SILENCE: Micros = 2_600_000;
/// The least pause before discovery is asked again.
const AGAIN: Micros = 50_000;
/// A call that was answered in part when its time was over is given twice as much the next time, so many times: a list that
/// comes slowly must come in the end.
const SLOWER: u32 = 3;

/// How long discovery may take, and how long it is left alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waits {
    /// A call for a whole list, from its connection to the list's end, or a change that has begun to come, may take so long:
    /// the agent is on this machine.
    pub call: Micros,
    /// The longest pause between two calls that fail; it doubles up to it.
    pub pause: Micros,
    /// Lists are asked for: discovery is one service for the whole fleet, takes calls in turn and works on those as well that
    /// nobody waits for any more. A watch alone is one call where a whole list and a watch are two.
    pub asked: bool,
}

/// How long a call to a service that takes calls in turn may wait, by the platform's page.
const IN_TURN: Micros = 2_000_000;
/// A pause after a call that such a service refused at once begins with half of that, and doubles so many times. One that it
/// let wait for its whole turn has stood in no line: that is how an outage looks, and its end is to be found soon. A change is
/// to be known 6 s after the service could be reached: a call that was made a moment before, a pause, one that is refused at
/// once, and one that waits for its turn, with their pauses, fit into that.
const REFUSED: u32 = 2;

impl Waits {
    /// Calls made during an outage are never answered, and at its end what the agent has counts as told at once: the longest
    /// way is what is left of such a call, and a pause. It takes five eighths at most of the time within which work to a
    /// server that drains must have ended; the rest is for the machine. Three calls that hang, with their pauses, are to fit
    /// into what `SILENCE` leaves of 6 s.
    ///
    /// Where lists are asked for, calls wait in turn: to give one up and make another is to be served later, by a service
    /// that has the work of both.
    pub fn within(drain_grace: Micros, asked: bool) -> Waits {
        let call = if asked { IN_TURN } else { (drain_grace / 2).clamp(100_000, 750_000) };
        Waits { call, pause: (drain_grace / 8).clamp(2 * AGAIN, 250_000), asked }
    }
}

const READ: usize = 8 << 10;

/// Why discovery is not followed for the moment. The last list stays meanwhile.
#[derive(Debug, thiserror::Error)]
enum Lost {
    #[error("no {what} within {} ms", .within / 1000)]
    Late { what: &'static str, within: Micros },
    #[error("the list had come in part within {} ms", .within / 1000)]
    Slow { within: Micros },
    #[error("{what}: {error}")]
    Stream { what: &'static str, error: std::io::Error },
    #[error("{error}; after {} ms", .waited / 1000)]
    Refused { error: FeedError, waited: Micros },
    #[error(transparent)]
    Feed(#[from] FeedError),
    #[error("the connection ended before {0}")]
    Ended(&'static str),
    #[error(transparent)]
    NotTaken(#[from] NotTaken),
    #[error("the ingress has stopped")]
    Stopped,
}

/// Follows discovery; `moves` tells of its new addresses, `first` is closed when the first list was told.
///
/// The longest way from what counts as told to the driver, by path, with c and p for [`Waits`]: a change on a watch, and a
/// new address, at once; a watch that is reset, 50 ms; one that falls silent, 2.6 s, and for each of n calls after it that
/// hang, c and a pause, of the 6 s that there are; the end of an outage, c and p.
pub async fn follow(
    runtime: Shared,
    mut roster: Roster,
    mut address: SocketAddr,
    waits: Waits,
    moves: Receiver<SocketAddr>,
    driver: Sender<DriverEvent<Work>>,
    first: Sender<()>,
) {
    let (mut pause, mut told, mut slow, mut refused) = (AGAIN, false, 0, 0);
    // A watch gives the changes to a list that is held: there must be one, and the service must know it.
    let mut whole = !roster.holds();
    loop {
        let moved = async { moves.recv().await.ok() };
        let mut taken = false;
        let life = async {
            let within = Waits { call: waits.call << slow, asked: waits.asked && !whole, ..waits };
            let error = live(&runtime, &mut roster, address, within, &driver, &mut taken, &first).await;
            whole = matches!(error, Lost::NotTaken(_)) || !roster.holds();
            slow = if matches!(error, Lost::Slow { .. }) { (slow + 1).min(SLOWER) } else { 0 };
            if !std::mem::replace(&mut told, true) {
                // Once for each time that it is lost: the calls that fail after it say nothing new.
                tracing::warn!(discovery = %address, %error, "no news of backends, the last list stays");
            } else {
                tracing::debug!(discovery = %address, %error, "still no news of backends");
            }
            // Work that a service refuses is work to it all the same: hundreds that ask it five times a second keep it from
            // ever serving one of them.
            let refuses = waits.asked && matches!(error, Lost::Refused { waited, .. } if waited < IN_TURN);
            let rest = if refuses { (IN_TURN / 2) << refused } else { pause };
            refused = if refuses { (refused + 1).min(REFUSED) } else { 0 };
            // Between half and the whole of it by lot: ingresses that lost it together do not come back together.
            let lot = runtime.random() % (rest / 2);
            runtime.sleep_until(runtime.now() + rest / 2 + lot).await;
            None
        };
        let to = future::or(moved, life).await;
        if driver.is_closed() {
            return;
        }
        if taken {
            (pause, told) = (AGAIN, false);
        } else {
            pause = (pause * 2).min(waits.pause);
        }
        if let Some(to) = to {
            tracing::info!(from = %address, %to, "discovery has moved");
            (address, pause) = (to, AGAIN);
        }
    }
}

/// A connection with one call on it.
struct Call<'a> {
    runtime: &'a Shared,
    patience: Micros,
    /// When it was made.
    since: Micros,
    stream: Box<dyn Stream>,
    feed: Feed,
    buffer: [u8; READ],
}

/// Waits for something that the system does, `within` so long.
async fn wait<T>(
    runtime: &Shared,
    what: &'static str,
    within: Micros,
    act: impl Future<Output = std::io::Result<T>>,
) -> Result<T, Lost> {
    let late = async {
        runtime.sleep_until(runtime.now() + within).await;
        Err(Lost::Late { what, within })
    };
    let done = async { act.await.map_err(|error| Lost::Stream { what, error }) };
    future::or(done, late).await
}

impl<'a> Call<'a> {
    async fn new(
        runtime: &'a Shared,
        address: SocketAddr,
        query: &str,
        patience: Micros,
    ) -> Result<Call<'a>, Lost> {
        let since = runtime.now();
        let (feed, question) = Feed::ask(address, &format!("/api/targets{query}"))?;
        let open = async {
            let mut stream = runtime.connect(address).await?;
            stream.write_all(&question).await?;
            Ok(stream)
        };
        let stream = wait(runtime, "connection", patience, open).await?;
        Ok(Call { runtime, patience, since, stream, feed, buffer: [0; READ] })
    }

    /// The only list of a call for a whole one, within the call's time.
    async fn whole(mut self) -> Result<List, Lost> {
        let (runtime, until, within) = (self.runtime, self.since + self.patience, self.patience);
        let late = async {
            runtime.sleep_until(until).await;
            None
        };
        let list = async { Some(self.next(within).await) };
        if let Some(list) = future::or(list, late).await {
            return list;
        }
        Err(if self.feed.begun() { Lost::Slow { within } } else { Lost::Late { what: "list", within } })
    }

    /// The next list; `silence`: how long nothing may come.
    async fn next(&mut self, silence: Micros) -> Result<List, Lost> {
        let mut begun = None;
        loop {
            if let Some(list) = self.feed.value()? {
                return Ok(list);
            }
            if self.feed.ended() {
                return Err(Lost::Ended("a list was whole"));
            }
            // One that has begun must come to its end: empty lines go on behind one that was cut off.
            let now = self.runtime.now();
            let within = match self.feed.begun() {
                false => silence,
                true => (*begun.get_or_insert(now) + self.patience).saturating_sub(now),
            };
            let read = self.stream.read(&mut self.buffer);
            let n = wait(self.runtime, "word of discovery", within, read).await?;
            if n == 0 {
                return Err(Lost::Ended("a list was whole"));
            }
            self.feed.push(&self.buffer[..n]).map_err(|error| match error {
                FeedError::Status(_) => Lost::Refused { error, waited: self.runtime.now() - self.since },
                error => error.into(),
            })?;
        }
    }
}

/// Reads lists until something goes wrong; says what.
async fn live(
    runtime: &Shared,
    roster: &mut Roster,
    address: SocketAddr,
    waits: Waits,
    driver: &Sender<DriverEvent<Work>>,
    taken: &mut bool,
    first: &Sender<()>,
) -> Lost {
    let tried = async {
        if !waits.asked {
            let whole = Call::new(runtime, address, "", waits.call).await?.whole().await?;
            tell(runtime, roster, &whole, driver).await?;
            *taken = true;
            first.close();
        }
        let from = roster.seq();
        let mut watch = Call::new(runtime, address, &format!("?watch=1&from={from}"), waits.call).await?;
        loop {
            let list = watch.next(SILENCE).await?;
            tell(runtime, roster, &list, driver).await?;
            *taken = true;
            first.close();
        }
    };
    let never: Result<std::convert::Infallible, Lost> = tried.await;
    match never {
        Err(lost) => lost,
    }
}

async fn tell(
    runtime: &Shared,
    roster: &mut Roster,
    list: &List,
    driver: &Sender<DriverEvent<Work>>,
) -> Result<(), Lost> {
    let (seq, hosts, whole) = (list.seq, list.hosts.len(), list.whole);
    let (kind, lines) = roster.take(runtime.now(), list)?;
    tracing::debug!(seq, hosts, whole, "list of backends");
    driver.send(DriverEvent::Endpoints { update: kind, endpoints: lines }).await.map_err(|_| Lost::Stopped)
}

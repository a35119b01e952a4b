//! The billing ledger in an instance: the deciders of `chalkgap-ledger` put on a disk and on sockets. The driver asks
//! and tells the [`Desk`]; one task writes; others ask nodes, other ingresses and the consumer.

mod consumer;
mod fleet;
mod truth;

use crate::error::StartError;
use crate::messages::DriverEvent;
use crate::settings::{self, Compiled, OnFailure, Period};
use crate::telemetry::{add, Telemetry};
use async_channel::{Receiver, Sender};
use chalkgap_ledger::clerk::{Clerk, Fate, Promise, Recovery, Rules, Ticket};
use chalkgap_ledger::entry::{Entry, Id, Open, What};
use chalkgap_ledger::store::{self, Index, Snapshot, Store};
use chalkgap_ledger::{Book, Periods, Taken};
use chalkgap_runtime::{BoxFuture, Listener, Micros, Shared};
use futures_lite::future;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How often time is looked at where nothing is written.
const TICK: Micros = 50_000;
/// Entries of the last while that are kept in memory for other ingresses.
const RECENT: usize = 16_384;
/// Copies of others' entries that are written in one group.
const COPIES: usize = 16;

/// Copies of others' entries, and who waits for them to be written.
type Copies = (Vec<Entry>, Sender<()>);

/// The last entries, by name.
#[derive(Default)]
struct Recent {
    entries: BTreeMap<Id, Entry>,
    order: VecDeque<Id>,
}

impl Recent {
    fn add(&mut self, entry: &Entry) {
        self.order.push_back(entry.id);
        self.entries.insert(entry.id, entry.clone());
        if self.order.len() > RECENT {
            if let Some(old) = self.order.pop_front() {
                self.entries.remove(&old);
            }
        }
    }
}

/// What all parts of an instance's ledger share.
pub(crate) struct Desk {
    runtime: Shared,
    telemetry: Arc<Telemetry>,
    settings: settings::Ledger,
    me: u16,
    clerk: Mutex<Clerk>,
    book: Mutex<Book>,
    recent: Mutex<Recent>,
    index: Arc<Mutex<Index>>,
    wake: Sender<()>,
    copies: Sender<Copies>,
    /// The segment that is written to.
    current: AtomicU64,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Who panicked with it held has taken whole steps all the same.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the writer needs besides the desk.
pub(crate) struct Writer {
    store: Store,
    woken: Receiver<()>,
    copies: Receiver<Copies>,
    group: Option<Box<dyn Listener>>,
}

/// How a settings file's period is cut.
pub fn periods(period: Period) -> Periods {
    match period {
        Period::Seconds(s) => Periods::Every(s * 1_000_000),
        Period::Months => Periods::Months,
    }
}

impl Desk {
    /// Opens the folder, reads it and binds what others ask at; none without a ledger in the settings.
    pub async fn open(
        runtime: &Shared,
        compiled: &Compiled,
        telemetry: &Arc<Telemetry>,
    ) -> Result<Option<(Arc<Desk>, Writer)>, StartError> {
        let Some(settings) = compiled.settings.ledger.clone() else { return Ok(None) };
        let me = compiled.settings.fleet.me;
        let group = match &settings.group {
            None => None,
            Some(g) => {
                let bound = runtime.listen(g.listen);
                let path = "settings.ledger.group.listen";
                Some(bound.map_err(|error| StartError::Bind { path, address: g.listen, error })?)
            }
        };
        let periods = periods(settings.period);
        let (mut book, mut recovery, mut recent) = (Book::new(periods), Recovery::new(me), Recent::default());
        let mut conflicts = 0;
        let ledger = |error| StartError::Ledger { error };
        if let Some(s) = store::snapshot(runtime, &settings.folder).await.map_err(ledger)? {
            book = Book::restore(periods, &s.book).map_err(|e| ledger(e.into()))?;
            recovery.restore(&book);
        }
        let store = Store::open(runtime.clone(), &settings.folder, settings.segment, |entry| {
            conflicts += u64::from(book.take(&entry) == Taken::Conflict);
            recovery.take(&entry);
            recent.add(&entry);
        });
        let store = store.await.map_err(ledger)?;
        telemetry.ledger_conflicts.store(conflicts, Ordering::Relaxed);
        let now = runtime.now();
        let incarnation = store::incarnation(recovery.latest(), now);
        let rules = Rules {
            waiting: settings.waiting,
            slow: settings.slow_ms * 1000,
            pause: settings.pause_ms * 1000,
            serve_without: settings.on_failure == OnFailure::Serve,
            truth: settings.truth_ms * 1000,
            later: settings.later_ms * 1000,
            again: settings.ask_again_ms * 1000,
            remembered: 100_000,
        };
        let clerk = Clerk::new(me, incarnation, periods, rules, recovery, now);
        let (wake, woken) = async_channel::bounded(1);
        let (copies, copied) = async_channel::bounded(COPIES);
        let desk = Desk {
            runtime: runtime.clone(),
            telemetry: telemetry.clone(),
            settings,
            me,
            clerk: Mutex::new(clerk),
            book: Mutex::new(book),
            recent: Mutex::new(recent),
            index: store.index(),
            wake,
            copies,
            current: AtomicU64::new(store.current()),
        };
        let writer = Writer { store, woken, copies: copied, group };
        Ok(Some((Arc::new(desk), writer)))
    }

    /// The tasks that keep it going.
    pub fn tasks(
        self: &Arc<Self>,
        writer: Writer,
        driver: Sender<DriverEvent>,
        alive: &Receiver<()>,
    ) -> Vec<BoxFuture<'static, ()>> {
        let Writer { store, woken, copies, group } = writer;
        let (sender, snapshots) = async_channel::bounded(1);
        let mut tasks: Vec<BoxFuture<'static, ()>> = vec![
            Box::pin(write(self.clone(), store, woken, copies, snapshots, driver)),
            Box::pin(condense(self.clone(), sender)),
            Box::pin(truth::ask(self.clone(), alive.clone())),
        ];
        if let Some(listener) = group {
            tasks.extend(fleet::tasks(self, listener, alive));
        }
        if let Some(export) = self.settings.export.clone() {
            tasks.push(Box::pin(consumer::export(self.clone(), export)));
        }
        tasks
    }

    /// What may be promised to a request that comes now.
    pub fn promise(&self) -> Promise {
        lock(&self.clerk).promise(self.runtime.now())
    }

    /// Writes a request's open entry.
    pub fn open_entry(&self, open: Open) -> Option<Ticket> {
        let ticket = lock(&self.clerk).open(self.runtime.now(), open);
        self.woken();
        ticket
    }

    /// Writes that a request goes to one more node.
    pub fn again(&self, ticket: Ticket, node: String) -> Option<u64> {
        let number = lock(&self.clerk).again(self.runtime.now(), ticket.number, node);
        self.woken();
        number
    }

    /// The end of a request, as far as it was seen. Written with the next group: nobody waits for it.
    pub fn end(&self, ticket: Ticket, units: u64, fate: Fate) {
        lock(&self.clerk).end(self.runtime.now(), ticket, units, fate);
    }

    /// Up to which number the disk has all; none where it has failed.
    pub fn durable(&self) -> Option<u64> {
        let clerk = lock(&self.clerk);
        (!clerk.stopped()).then(|| clerk.durable_to())
    }

    fn woken(&self) {
        let _ = self.wake.try_send(()); // full: it is awake
    }

    /// Writes what is to be written and waits until the disk has it, or until a time.
    pub async fn flush(&self, until: Micros) {
        let number = lock(&self.clerk).written();
        while self.durable().is_some_and(|n| n < number) && self.runtime.now() < until {
            self.woken();
            self.runtime.sleep_until(self.runtime.now() + 1000).await;
        }
    }

    /// Has others' entries written; ends when the disk has them.
    async fn copy(&self, entries: Vec<Entry>) {
        let (done, waits) = async_channel::bounded(1);
        if self.copies.send((entries, done)).await.is_ok() {
            self.woken();
            let _ = waits.recv().await; // closed: the disk has failed
        }
    }

    /// Writes entries of this ingress that are not about requests; true when the disk has them.
    async fn note(&self, list: Vec<What>) -> bool {
        let number = {
            let mut clerk = lock(&self.clerk);
            let now = self.runtime.now();
            list.into_iter().map(|what| clerk.note(now, what)).max().unwrap_or(0)
        };
        self.woken();
        loop {
            match self.durable() {
                Some(n) if n >= number => return true,
                Some(_) => self.runtime.sleep_until(self.runtime.now() + 1000).await,
                None => return false,
            }
        }
    }
}

/// The one task that writes: what the clerk has written and copies of others' entries, as one group.
async fn write(
    desk: Arc<Desk>,
    mut store: Store,
    woken: Receiver<()>,
    copies: Receiver<Copies>,
    snapshots: Receiver<Snapshot>,
    driver: Sender<DriverEvent>,
) {
    let (runtime, telemetry) = (desk.runtime.clone(), desk.telemetry.clone());
    let mut ticked = 0;
    loop {
        let timer = runtime.sleep_until(runtime.now() + TICK);
        let wake = async {
            let _ = woken.recv().await; // closed only with the desk that this task holds
        };
        future::or(wake, timer).await;
        let now = runtime.now();
        let mut group = {
            let mut clerk = lock(&desk.clerk);
            if now >= ticked + TICK {
                ticked = now;
                clerk.tick(now);
                telemetry.ledger_presumed.store(clerk.doubts().1, Ordering::Relaxed);
            }
            clerk.take()
        };
        let own = group.last().map(|e| e.id.number);
        let mut waiting = Vec::new();
        for _ in 0..COPIES {
            let Ok((entries, done)) = copies.try_recv() else { break };
            let book = lock(&desk.book);
            // What came from two others at once is written once.
            let new = entries.into_iter().filter(|e| !book.has(e.id));
            group.extend(new);
            waiting.push(done);
        }
        if let Ok(snapshot) = snapshots.try_recv() {
            match store.compact(&snapshot).await {
                Ok(()) => tracing::info!(until = snapshot.number, "ledger: segments condensed"),
                Err(error) => tracing::warn!(%error, "ledger: segments could not be condensed, they stay"),
            }
        }
        if group.is_empty() {
            continue; // dropping `waiting` says that there was nothing to do
        }
        if let Err(error) = store.commit(&group).await {
            tracing::error!(%error, "ledger: the disk has failed, nothing is written any more");
            lock(&desk.clerk).failed();
            copies.close();
            let _ = driver.send(DriverEvent::LedgerProgress).await; // closed: the instance has stopped
            return;
        }
        {
            let (mut book, mut recent) = (lock(&desk.book), lock(&desk.recent));
            for entry in &group {
                match book.take(entry) {
                    Taken::New => recent.add(entry),
                    Taken::Known => {}
                    Taken::Conflict => add(&telemetry.ledger_conflicts),
                }
            }
        }
        add(&telemetry.ledger_groups);
        telemetry.ledger_entries.fetch_add(group.len() as u64, Ordering::Relaxed);
        {
            let mut clerk = lock(&desk.clerk);
            if let Some(number) = own {
                clerk.durable(number);
            }
            if !waiting.is_empty() {
                clerk.returned(now, &group);
            }
        }
        desk.current.store(store.current(), Ordering::Relaxed);
        if own.is_some() && driver.send(DriverEvent::LedgerProgress).await.is_err() {
            return;
        }
    }
}

/// How often there is a look whether segments can be condensed.
const CONDENSE: Micros = 5_000_000;

/// Makes snapshots in the place of old segments, as far as all in them is exported and old enough; the writer puts them
/// there. What others lack of it they get no more, and neither does it make them wait.
async fn condense(desk: Arc<Desk>, snapshots: Sender<Snapshot>) {
    let (runtime, folder) = (desk.runtime.clone(), desk.settings.folder.clone());
    let keep_for = desk.settings.keep_s * 1_000_000;
    let mut looked = 0;
    loop {
        runtime.sleep_until(runtime.now() + CONDENSE.min(keep_for)).await;
        let until = desk.current.load(Ordering::Relaxed).saturating_sub(1);
        let (periods, keep) = {
            let book = lock(&desk.book);
            let keep = book.periods().of(runtime.now().saturating_sub(keep_for));
            (book.periods(), if book.exported_before(keep) { keep } else { 0 })
        };
        if keep == 0 || until <= looked {
            continue;
        }
        let done = async {
            let Some(until) = store::older(&runtime, &folder, until, periods, keep).await? else {
                return Ok(None);
            };
            store::condense(&runtime, &folder, periods, until, keep).await
        };
        match done.await {
            Ok(None) => {}
            Ok(Some(snapshot)) => {
                looked = snapshot.number;
                if snapshots.send(snapshot).await.is_err() {
                    return; // the disk has failed
                }
                // Not again before it is in its place.
                while !snapshots.is_empty() && !snapshots.is_closed() {
                    runtime.sleep_until(runtime.now() + TICK).await;
                }
            }
            Err(error) => tracing::warn!(%error, "ledger: segments could not be condensed, they stay"),
        }
    }
}

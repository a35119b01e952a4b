//! The MQTT front (5.0 and 3.1.1): a publish is a request. Its answer is the PUBACK of QoS 1, the PUBREC of QoS 2, and a
//! message to its response topic where it has one. QoS 0 without one has no answer, and is decided all the same.

use super::{Bad, Demand, Frontend, FrontendContext, WORD};
use crate::gate::Permit;
use crate::ledger::lock;
use crate::messages::{Answer, DriverEvent, PendingRequest, Response};
use crate::settings::{self, Part};
use crate::telemetry::add;
use argon2::password_hash::phc::PasswordHash;
use argon2::{Argon2, PasswordVerifier};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use chalkgap_core::RequestId;
use chalkgap_runtime::{BoxFuture, Micros, Shared, Stream};
use chalkgap_transport::{Pipe, Turn};
use chalkgap_wire::mqtt::packet::{Connect, Publish, Subscribe, Will};
use chalkgap_wire::mqtt::server::{Event, Limits, Server, Session};
use chalkgap_wire::mqtt::{reason, topic, Properties, Property, QoS, Version};
use chalkgap_wire::ratelimit::Entry;
use futures_lite::future;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

/// User properties that the front reads itself.
const UNITS: &str = "units";
const KEY: &str = "key";
/// Finer than the message expiry, which has whole seconds.
const TIMEOUT: &str = "timeout-ms";
/// User properties of answers.
const RETRY: &str = "retry-after-ms";
const STATUS: &str = "status";
/// Filters that a connection may have.
const FILTERS: usize = 100;
/// Bytes of a client identifier that is the client's own.
const CLIENT: usize = 256;
/// Identifiers of QoS 2 that a session remembers.
const REMEMBERED: usize = 1024;
/// How long a client may take to close after it was told to go, in microseconds.
const LINGER: Micros = 500_000;
/// How long the last connection of a session may take to give it up, in microseconds.
const HAND_OVER: Micros = 2_000_000;

/// The MQTT front.
#[derive(Clone)]
pub(crate) struct Mqtt {
    shared: Arc<Shelf>,
}

/// What its connections share.
struct Shelf {
    sessions: Mutex<Sessions>,
    /// Passwords that were found good: a keyed hash by user, as the real check is slow by intent.
    known: Mutex<HashMap<String, blake3::Hash>>,
    key: [u8; 32],
    /// Real checks of passwords in a second, by its number.
    checks: Mutex<(u64, u32)>,
    settings: settings::Mqtt,
}

/// Sessions without a connection, and who has the others.
#[derive(Default)]
struct Sessions {
    idle: HashMap<String, (Session, Micros)>,
    /// By when they were left: what goes first. As many of one user as are idle.
    order: VecDeque<(Micros, String)>,
    of_user: HashMap<String, usize>,
    /// The connection that has a session: dropped, it is to give it up. And its number.
    live: BTreeMap<String, (Sender<()>, u64)>,
    next: u64,
}

/// Length of the user's name, the name, the client's: no two of them are alike.
fn session_key(user: &str, client: &str) -> String {
    format!("{}:{user}:{client}", user.len())
}

fn user_of(key: &str) -> &str {
    let (length, rest) = key.split_once(':').unwrap_or_default();
    length.parse::<usize>().ok().and_then(|n| rest.get(..n)).unwrap_or_default()
}

impl Sessions {
    /// A connection gives its session up.
    fn leave(
        &mut self,
        client: &str,
        number: u64,
        kept: Option<(Session, Micros)>,
        now: Micros,
        s: &settings::Mqtt,
    ) {
        if self.live.get(client).is_some_and(|l| l.1 == number) {
            self.live.remove(client);
        }
        if let Some((session, until)) = kept {
            self.put(client.to_owned(), session, until, now, s);
        }
    }

    /// Puts a session away until a time.
    fn put(&mut self, client: String, session: Session, until: Micros, now: Micros, s: &settings::Mqtt) {
        self.take(&client);
        let user = user_of(&client).to_owned();
        if self.of_user.get(&user).is_some_and(|n| *n >= s.sessions_per_user) {
            return; // its own user's others stay: nobody else pays for them
        }
        *self.of_user.entry(user).or_default() += 1;
        self.idle.insert(client.clone(), (session, until));
        self.order.push_back((until, client));
        while self.idle.len() > s.sessions || self.order.front().is_some_and(|o| o.0 <= now) {
            let Some((until, client)) = self.order.pop_front() else { break };
            // One that was taken up and left again since then has a later entry.
            if self.idle.get(&client).is_some_and(|s| s.1 == until) {
                self.take(&client);
            }
        }
        // Entries of sessions that are gone: as many as there are sessions may lie about.
        if self.order.len() > 2 * self.idle.len() + 16 {
            let idle = &self.idle;
            self.order.retain(|(until, client)| idle.get(client).is_some_and(|s| s.1 == *until));
        }
    }

    /// Takes a session up.
    fn take(&mut self, client: &str) -> Option<(Session, Micros)> {
        let found = self.idle.remove(client)?;
        if let Some(n) = self.of_user.get_mut(user_of(client)) {
            *n -= 1;
            if *n == 0 {
                self.of_user.remove(user_of(client));
            }
        }
        Some(found)
    }
}

/// Sessions on a disk: client, end, and the codes that were said under identifiers of QoS 2.
type Kept = Vec<(String, Micros, Vec<(u16, u8)>)>;

/// Bytes of a file of sessions.
const MOST_SNAPSHOT: u64 = 256 << 20;
/// How often sessions are written down, in microseconds.
const SNAPSHOT: Micros = 10_000_000;

impl Mqtt {
    /// A front with these settings.
    pub fn new(runtime: &Shared, settings: settings::Mqtt) -> Self {
        let mut key = [0; 32];
        for part in key.chunks_mut(8) {
            part.copy_from_slice(&runtime.random().to_le_bytes());
        }
        let known = Mutex::new(HashMap::new());
        let (sessions, checks) = (Mutex::default(), Mutex::default());
        Mqtt { shared: Arc::new(Shelf { sessions, known, key, checks, settings }) }
    }
}

impl Mqtt {
    /// Takes up the sessions that were kept. A file that is none is passed over: clients begin anew, and what they send
    /// again fails, as it may have run.
    pub async fn restore(&self, runtime: &Shared) {
        let Some(path) = &self.shared.settings.snapshot else { return };
        let bytes = match runtime.files().read(path, MOST_SNAPSHOT).await {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return,
            Err(error) => return tracing::warn!(path = %path.display(), %error, "MQTT sessions not taken"),
        };
        let kept: Kept = match serde_json::from_slice(&bytes) {
            Ok(kept) => kept,
            Err(error) => return tracing::warn!(path = %path.display(), %error, "MQTT sessions not taken"),
        };
        let (now, mut sessions) = (runtime.now(), lock(&self.shared.sessions));
        for (client, until, said) in kept.into_iter().filter(|k| k.1 > now) {
            let said = said.into_iter().take(REMEMBERED);
            sessions.put(client, Session::restored(said), until, now, &self.shared.settings);
        }
    }

    /// Writes sessions down, as of now.
    pub async fn keep(&self, runtime: &Shared) {
        let Some(path) = &self.shared.settings.snapshot else { return };
        let kept: Kept = {
            let sessions = lock(&self.shared.sessions);
            let idle = sessions.idle.iter();
            let mut kept: Kept =
                idle.map(|(client, (s, until))| (client.clone(), *until, s.known().collect())).collect();
            kept.sort_unstable();
            kept
        };
        let bytes = serde_json::to_vec(&kept).unwrap_or_default();
        if let Err(error) = runtime.files().replace(path, bytes).await {
            tracing::warn!(path = %path.display(), %error, "MQTT sessions not written");
        }
    }

    /// Writes sessions down now and then.
    pub async fn watch(self, runtime: Shared) {
        while self.shared.settings.snapshot.is_some() {
            runtime.sleep_until(runtime.now() + SNAPSHOT).await;
            self.keep(&runtime).await;
        }
    }
}

impl Frontend for Mqtt {
    type Context = FrontendContext;

    fn serve(
        &self,
        context: FrontendContext,
        stream: Box<dyn Stream>,
        permit: Permit,
    ) -> BoxFuture<'static, ()> {
        Box::pin(serve(self.shared.clone(), context, stream, permit))
    }

    fn refuse(&self, runtime: Shared, stream: Box<dyn Stream>, pause: Micros) -> BoxFuture<'static, ()> {
        Box::pin(refuse(self.shared.clone(), runtime, stream, pause))
    }
}

fn retry(pause: Micros) -> Properties {
    Properties(
        (pause > 0)
            .then(|| Property::User(RETRY.into(), pause.div_ceil(1000).to_string()))
            .into_iter()
            .collect(),
    )
}

/// Waits a moment for CONNECT, whose version says how a refusal looks.
async fn refuse(shelf: Arc<Shelf>, runtime: Shared, stream: Box<dyn Stream>, pause: Micros) {
    let (_commands, none) = async_channel::bounded::<()>(1);
    let (_keep, signal) = async_channel::bounded(1);
    let mut pipe = Pipe::new(runtime.clone(), stream, Server::new(shelf.limits()), none, signal);
    let end = runtime.now() + WORD;
    while let Turn::Read = pipe.turn(Some(end), true).await {
        if let Some(Event::Connect(_)) = pipe.conn.event() {
            pipe.conn.refuse(reason::SERVER_BUSY, retry(pause));
            break;
        }
    }
    pipe.close(end).await;
}

impl Shelf {
    fn limits(&self) -> Limits {
        let s = &self.settings;
        Limits {
            packet: s.most_packet,
            receive: s.receive_maximum,
            aliases: s.topic_aliases,
            remembered: REMEMBERED,
        }
    }

    /// Whether a client may come in; none: too many passwords are to be checked.
    fn authentic(&self, c: &Connect, now: Micros) -> Option<bool> {
        let Some(user) = &c.user else { return Some(self.settings.anonymous) };
        let secret = self.settings.users.get(user);
        let (Some(secret), Some(password)) = (secret, &c.password) else { return Some(false) };
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&(user.len() as u64).to_le_bytes());
        hasher.update(user.as_bytes());
        hasher.update(password);
        let mark = hasher.finalize();
        // Compared in constant time, here and by the library.
        if lock(&self.known).get(user).is_some_and(|k| *k == mark) {
            return Some(true);
        }
        {
            // Each real check keeps the thread for tens of milliseconds: a storm of wrong ones must not stop all else.
            let mut checks = lock(&self.checks);
            let second = now / 1_000_000;
            if checks.0 != second {
                *checks = (second, 0);
            }
            if checks.1 >= self.settings.checks_per_s {
                return None;
            }
            checks.1 += 1;
        }
        let Ok(hash) = PasswordHash::new(secret) else { return Some(false) };
        let good = Argon2::default().verify_password(password, &hash).is_ok();
        if good {
            lock(&self.known).insert(user.clone(), mark);
        }
        Some(good)
    }

    /// Account and class of a topic.
    fn meaning(&self, name: &str, user: Option<&str>) -> Option<(String, String)> {
        let t = self.settings.topics.iter().find(|t| topic::covers(&t.filter, name))?;
        let part = |p: &Part| match p {
            Part::Level(n) => name.split('/').nth(*n).map(str::to_owned),
            Part::User => user.map(str::to_owned),
            Part::Is(name) => Some(name.clone()),
        };
        Some((part(&t.account)?, part(&t.class)?))
    }
}

/// A publish whose answer is awaited.
struct Waiting {
    id: RequestId,
    qos: QoS,
    packet: u16,
    answer_to: Option<(String, Option<Bytes>)>,
    account: u64,
    preferred: bool,
}

struct Conn {
    shelf: Arc<Shelf>,
    context: FrontendContext,
    permit: Permit,
    waiting: HashMap<u32, Waiting>,
    next: u32,
    reply: Sender<Response>,
    filters: Vec<String>,
    user: Option<String>,
    client: String,
    /// This connection's number among those that had sessions.
    number: u64,
    kick: Option<Receiver<()>>,
    will: Option<Will>,
    /// Microseconds that the session outlives the connection.
    expiry: Micros,
    draining: bool,
    /// The client said that it goes.
    gone: bool,
}

type Link = Pipe<Response, Server>;

async fn serve(shelf: Arc<Shelf>, context: FrontendContext, stream: Box<dyn Stream>, permit: Permit) {
    let (runtime, peer) = (context.runtime.clone(), stream.peer());
    let (reply, replies) = async_channel::unbounded(); // as many as `waiting` has, below
    let signal = permit.signal.clone();
    let server = Server::new(shelf.limits());
    let mut pipe = Pipe::new(runtime.clone(), stream, server, replies.clone(), signal);
    let most = 2 * usize::from(shelf.settings.receive_maximum);
    let mut c = Conn {
        shelf,
        context,
        permit,
        waiting: HashMap::new(),
        next: 0,
        reply,
        filters: Vec::new(),
        user: None,
        client: String::new(),
        number: 0,
        kick: None,
        will: None,
        expiry: 0,
        draining: false,
        gone: false,
    };
    let begun = runtime.now();
    let (mut heard, mut received) = (begun, 0);
    loop {
        if c.draining && c.waiting.is_empty() {
            pipe.conn.disconnect(reason::SERVER_BUSY, Some("this ingress drains"));
        }
        if pipe.conn.closed() {
            break;
        }
        let pace = c.permit.pace();
        let quiet = if pipe.conn.open() {
            pipe.conn.patience().map(|s| heard + (s * 1e6) as Micros)
        } else {
            Some(begun + pace.grace_period)
        };
        let unread = pipe.backlog().map(|(since, written)| pace.deadline(since, written));
        let until = [quiet, unread].into_iter().flatten().min();
        let read = !c.draining && c.waiting.len() < most;
        // Whoever takes the session over is waited for beside the connection.
        let kicked = async {
            match &c.kick {
                Some(kick) => drop(kick.recv().await),
                None => future::pending().await,
            }
            None
        };
        let turn = future::or(kicked, async { Some(pipe.turn(until, read).await) }).await;
        match turn {
            None => {
                add(&c.context.telemetry.mqtt_taken_over);
                pipe.conn.disconnect(reason::SESSION_TAKEN_OVER, None);
                c.will = None; // its client is there
                break;
            }
            Some(Turn::Read) => {}
            Some(Turn::Command(r)) => {
                c.answer(r, &mut pipe);
                while let Some(r) = pipe.command() {
                    c.answer(r, &mut pipe);
                }
            }
            Some(Turn::Time) => {
                let now = runtime.now();
                if pipe.backlog().is_some_and(|(since, written)| pace.is_too_slow(now, since, written)) {
                    add(&c.context.telemetry.too_slow);
                    break;
                }
                if quiet.is_some_and(|q| now >= q) {
                    pipe.conn.disconnect(reason::KEEP_ALIVE_TIMEOUT, None);
                    break;
                }
            }
            Some(Turn::Signal) => {
                if c.permit.draining() {
                    c.draining = true;
                } else if c.waiting.is_empty() {
                    pipe.conn.disconnect(reason::SERVER_BUSY, Some("idle, and others need the room"));
                    break;
                } else {
                    let signal = c.permit.stays();
                    pipe.watch(signal);
                }
            }
            Some(Turn::Bad(e)) => {
                add(&c.context.telemetry.connections_bad);
                tracing::debug!(%peer, error = %e, "client's connection given up");
                if pipe.conn.version().is_none() || c.client.is_empty() {
                    pipe.conn.refuse(chalkgap_wire::mqtt::server::connect_code(&e), Properties::default());
                }
                break;
            }
            Some(Turn::Closed) => break,
        }
        if pipe.conn.received() != received {
            (received, heard) = (pipe.conn.received(), runtime.now());
        }
        c.events(&mut pipe).await;
    }
    c.leave(pipe, replies).await;
}

impl Conn {
    async fn events(&mut self, pipe: &mut Link) {
        while let Some(event) = pipe.conn.event() {
            match event {
                Event::Connect(connect) => self.connect(*connect, pipe).await,
                Event::Publish(p) => self.publish(p, pipe).await,
                Event::Repeated(p) => {
                    // Another ingress may have run it, or be about to: never twice.
                    add(&self.context.telemetry.mqtt_repeated);
                    let why = "it came again, and may have run elsewhere".to_owned();
                    let properties = Properties(vec![Property::ReasonString(why)]);
                    pipe.conn.answer(p.qos, p.packet, reason::IMPLEMENTATION_SPECIFIC, properties);
                }
                Event::Subscribe(s) => self.subscribe(&s, pipe),
                Event::Unsubscribe(u) => {
                    let code = |f: &String| match self.filters.iter().position(|known| known == f) {
                        Some(at) => {
                            self.filters.swap_remove(at);
                            reason::SUCCESS
                        }
                        None => reason::NO_SUBSCRIPTION_EXISTED,
                    };
                    let codes = u.filters.iter().map(code).collect();
                    pipe.conn.unsubscribed(u.packet, codes);
                }
                Event::Disconnect { will, expiry } => {
                    self.gone = true;
                    if !will {
                        self.will = None; // [MQTT-3.1.2-10]
                    }
                    if let Some(seconds) = expiry.filter(|_| self.expiry > 0) {
                        self.expiry = self.bounded(seconds);
                    }
                }
            }
        }
    }

    fn bounded(&self, seconds: u32) -> Micros {
        Micros::from(seconds.min(self.shelf.settings.session_s)) * 1_000_000
    }

    async fn connect(&mut self, c: Connect, pipe: &mut Link) {
        let shelf = self.shelf.clone();
        let s = &shelf.settings;
        if c.properties.find(|p| matches!(p, Property::AuthenticationMethod(_)).then_some(())).is_some() {
            return pipe.conn.refuse(reason::BAD_AUTHENTICATION_METHOD, Properties::default());
        }
        let v5 = c.version == Version::V5;
        // 3.1.1: [MQTT-3.1.3-8], an empty identifier only for a clean session.
        if c.client.len() > CLIENT || (c.client.is_empty() && !v5 && !c.clean_start) {
            return pipe.conn.refuse(reason::CLIENT_IDENTIFIER_NOT_VALID, Properties::default());
        }
        match shelf.authentic(&c, self.context.runtime.now()) {
            Some(true) => {}
            Some(false) => {
                add(&self.context.telemetry.mqtt_denied);
                return pipe.conn.refuse(reason::BAD_USER_NAME_OR_PASSWORD, Properties::default());
            }
            None => return pipe.conn.refuse(reason::SERVER_BUSY, retry(1_000_000)),
        }
        if c.will.as_ref().is_some_and(|w| w.retain) {
            return pipe.conn.refuse(reason::RETAIN_NOT_SUPPORTED, Properties::default());
        }
        let assigned = c.client.is_empty();
        // Sessions are their user's: another user's client of the same name has another one.
        let name = if assigned { format!("{:016x}", self.context.runtime.random()) } else { c.client };
        let user = c.user.clone().unwrap_or_default();
        let key = session_key(&user, &name);
        let expiry = c.properties.find(|p| if let Property::SessionExpiry(n) = p { Some(*n) } else { None });
        // 3.1.1 has no expiry: a session that is not clean stays as long as the settings let any.
        let wanted = if v5 { expiry.unwrap_or(0) } else { u32::from(!c.clean_start) * u32::MAX };
        self.expiry = self.bounded(wanted);
        let session = self.take_session(&key, c.clean_start).await;
        (self.user, self.client, self.will) = (c.user, key, c.will);
        let mut list = vec![
            Property::ReceiveMaximum(s.receive_maximum),
            Property::RetainAvailable(0),
            Property::MaximumPacketSize(u32::try_from(s.most_packet).unwrap_or(u32::MAX)),
            Property::TopicAliasMaximum(s.topic_aliases),
            Property::SubscriptionIdentifierAvailable(0),
            Property::SharedSubscriptionAvailable(0),
        ];
        if assigned {
            list.push(Property::AssignedClientIdentifier(name));
        }
        let kept = (self.expiry / 1_000_000) as u32;
        if expiry.is_some_and(|e| e != kept) {
            list.push(Property::SessionExpiry(kept));
        }
        if c.keep_alive == 0 || c.keep_alive > s.keep_alive_s {
            list.push(Property::ServerKeepAlive(s.keep_alive_s));
            pipe.conn.keep_alive(s.keep_alive_s);
        }
        pipe.conn.accept(session, Properties(list));
        self.permit.handshaken();
        add(&self.context.telemetry.mqtt_connected);
    }

    /// The session of a client, from whoever has it.
    async fn take_session(&mut self, key: &str, clean: bool) -> Option<Session> {
        let (kick, kicked) = async_channel::bounded(1);
        self.kick = Some(kicked);
        let old = {
            let mut s = lock(&self.shelf.sessions);
            s.next += 1;
            self.number = s.next;
            let number = s.next;
            s.live.insert(key.to_owned(), (kick, number))
        };
        if let Some((signal, _)) = old {
            drop(signal);
            // It gives the session up when it has seen the signal; a client with QoS 2 under way needs it.
            let end = self.context.runtime.now() + HAND_OVER;
            while self.context.runtime.now() < end && !lock(&self.shelf.sessions).idle.contains_key(key) {
                self.context.runtime.sleep_until(self.context.runtime.now() + 5000).await;
            }
        }
        let kept = lock(&self.shelf.sessions).take(key);
        let fresh = kept.filter(|(_, until)| *until > self.context.runtime.now()).map(|k| k.0);
        fresh.filter(|_| !clean)
    }

    fn subscribe(&mut self, s: &Subscribe, pipe: &mut Link) {
        let code = |f: &chalkgap_wire::mqtt::packet::Filter| {
            if f.filter.starts_with("$share/") {
                return reason::SHARED_SUBSCRIPTIONS_NOT_SUPPORTED;
            }
            if self.filters.contains(&f.filter) {
                return reason::SUCCESS;
            }
            if self.filters.len() >= FILTERS {
                return reason::QUOTA_EXCEEDED;
            }
            self.filters.push(f.filter.clone());
            reason::SUCCESS // answers come with QoS 0
        };
        let codes = s.filters.iter().map(code).collect();
        pipe.conn.subscribed(s.packet, codes);
    }

    /// A publish as a demand.
    fn demand(&self, topic: &str, properties: &Properties, payload: Bytes) -> Result<Demand, u8> {
        let meaning = self.shelf.meaning(topic, self.user.as_deref());
        let (account, class) = meaning.ok_or(reason::NOT_AUTHORIZED)?;
        let (mut units, mut key, mut timeout, mut expiry) = (1, None, None, None);
        let mut entries = Vec::new();
        for p in &properties.0 {
            match p {
                Property::User(k, v) if k == UNITS => {
                    units = v.parse().map_err(|_| reason::IMPLEMENTATION_SPECIFIC)?;
                }
                Property::User(k, v) if k == KEY => key = Some(v.clone()),
                Property::User(k, v) if k == TIMEOUT => {
                    let ms: Micros = v.parse().map_err(|_| reason::IMPLEMENTATION_SPECIFIC)?;
                    timeout = Some(ms.saturating_mul(1000));
                }
                Property::User(k, v) => entries.push(Entry { key: k.clone(), value: v.clone() }),
                Property::MessageExpiry(seconds) => expiry = Some(Micros::from(*seconds) * 1_000_000),
                _ => {}
            }
        }
        let timeout = timeout.into_iter().chain(expiry).min();
        let arrived = self.permit.came();
        let units = units.max(1);
        Ok(Demand { account, class: Some(class), key, units, arrived, timeout, entries, payload })
    }

    async fn publish(&mut self, p: Publish, pipe: &mut Link) {
        if p.retain {
            // CONNACK said that it is not available (3.2.2.3.5).
            return pipe.conn.disconnect(reason::RETAIN_NOT_SUPPORTED, None);
        }
        let find = |p: &Properties| {
            let to = p.find(|p| if let Property::ResponseTopic(t) = p { Some(t.clone()) } else { None })?;
            let data = p.find(|p| if let Property::CorrelationData(b) = p { Some(b.clone()) } else { None });
            Some((to, data))
        };
        let answer_to = find(&p.properties);
        let id = RequestId(self.context.ids.fetch_add(1, Ordering::Relaxed));
        self.next = self.next.wrapping_add(1);
        let token = self.next;
        let asked = self.demand(&p.topic, &p.properties, p.payload).and_then(|demand| {
            self.context.ask(id, demand, token, self.reply.clone()).map_err(|e| match e {
                Bad::Account(_) | Bad::Class { .. } => reason::NOT_AUTHORIZED,
                Bad::Units { .. } => reason::IMPLEMENTATION_SPECIFIC,
            })
        });
        match asked {
            Ok(ask) => {
                let account = ask.customer.id.0;
                let preferred = self.context.settings.preferred[usize::from(ask.customer.plan)];
                let (qos, packet) = (p.qos, p.packet);
                self.waiting.insert(token, Waiting { id, qos, packet, answer_to, account, preferred });
                self.permit.request();
                let _ = self.context.driver.send(DriverEvent::Request(Box::new(ask))).await;
                // closed: the instance has stopped
            }
            Err(code) => {
                add(&self.context.telemetry.invalid);
                self.end(p.qos, p.packet, code, Properties::default(), pipe);
            }
        }
    }

    /// The publish that a word is for; the gate hears how it ended.
    fn known(&mut self, r: &Response) -> Option<Waiting> {
        let w = self.waiting.remove(&r.token)?;
        let served = matches!(r.answer, Answer::Served { .. }).then_some((w.account, w.preferred));
        self.permit.ended(served, matches!(r.answer, Answer::Rejected { .. }));
        Some(w)
    }

    /// The one word on a request.
    fn answer(&mut self, r: Response, pipe: &mut Link) {
        let Some(w) = self.known(&r) else { return };
        let (code, status, mut properties, body) = said(r.answer);
        if let Some((to, data)) = w.answer_to {
            // A message goes to whom has subscribed to its topic: that is the client itself or nobody.
            if self.filters.iter().any(|f| topic::covers(f, &to)) {
                let mut list = properties.clone();
                list.0.extend(data.map(Property::CorrelationData));
                list.0.push(Property::User(STATUS.into(), status.into()));
                pipe.conn.publish_to(&to, body, list);
            }
        }
        if code >= 0x80 && status == "failed" {
            properties.0.push(Property::ReasonString("no answer; it may have run".into()));
        }
        self.end(w.qos, w.packet, code, properties, pipe);
    }

    /// Ends a publish. 3.1.1 has no words for no: what did not run is left without an answer on a connection that is
    /// closed, so that it comes again; what may have run is acknowledged, so that it does not.
    fn end(&mut self, qos: QoS, packet: u16, code: u8, properties: Properties, pipe: &mut Link) {
        if pipe.conn.version() != Some(Version::V311) || code < 0x80 || qos == QoS::AtMostOnce {
            return pipe.conn.answer(qos, packet, code, properties);
        }
        if code == reason::IMPLEMENTATION_SPECIFIC {
            return pipe.conn.answer(qos, packet, reason::SUCCESS, Properties::default());
        }
        pipe.conn.forget(qos, packet);
        pipe.conn.disconnect(code, None);
    }

    /// The connection is over: its session is put away when all in it is known, its will becomes a request.
    async fn leave(mut self, mut pipe: Link, replies: Receiver<Response>) {
        let runtime = self.context.runtime.clone();
        if !self.gone {
            // A client that broke off waits for no answer of QoS 1 and sends it again; QoS 0 and 2 go on.
            let list: Vec<RequestId> =
                self.waiting.values().filter(|w| w.qos == QoS::AtLeastOnce).map(|w| w.id).collect();
            for id in list {
                let _ = self.context.driver.send(DriverEvent::ClientGone(id)).await;
                // closed: the instance has stopped
            }
        }
        let mut session = pipe.conn.take_session();
        self.permit.linger(pipe.close(runtime.now() + LINGER)).await;
        if self.client.is_empty() {
            return; // it was never let in
        }
        // Whoever comes meanwhile waits for it a while: each request has its answer by its deadline.
        while !self.waiting.is_empty() {
            let Ok(r) = replies.recv().await else { break };
            let Some(w) = self.known(&r) else { continue };
            let (code, _, properties, _) = said(r.answer);
            if w.qos == QoS::ExactlyOnce {
                session.said(w.packet, code, properties);
            }
        }
        let now = runtime.now();
        let kept = (self.expiry > 0).then(|| (session, now + self.expiry));
        lock(&self.shelf.sessions).leave(&self.client, self.number, kept, now, &self.shelf.settings);
        if let Some(will) = self.will.take() {
            self.will(will).await;
        }
    }

    /// A will is a request that nobody waits for.
    async fn will(&self, will: Will) {
        let delay = will.properties.find(|p| if let Property::WillDelay(n) = p { Some(*n) } else { None });
        // At the end of the session at the latest [MQTT-3.1.3-9], and not if its client is back.
        let delay = (Micros::from(delay.unwrap_or(0)) * 1_000_000).min(self.expiry);
        if delay > 0 {
            self.context.runtime.sleep_until(self.context.runtime.now() + delay).await;
            if lock(&self.shelf.sessions).live.contains_key(&self.client) {
                return;
            }
        }
        let id = RequestId(self.context.ids.fetch_add(1, Ordering::Relaxed));
        let Ok(demand) = self.demand(&will.topic, &will.properties, will.payload) else { return };
        let demand = Demand { arrived: self.context.runtime.now(), ..demand };
        let asked: Result<PendingRequest, Bad> = self.context.ask(id, demand, 0, self.reply.clone());
        if let Ok(ask) = asked {
            let _ = self.context.driver.send(DriverEvent::Request(Box::new(ask))).await;
            // closed: the instance has stopped
        }
    }
}

/// What an answer is in MQTT: the code, the status of a message, properties, a body.
fn said(answer: Answer) -> (u8, &'static str, Properties, Bytes) {
    match answer {
        Answer::Served { body, .. } => (reason::SUCCESS, "served", Properties::default(), body),
        Answer::Rejected { retry_after: pause } => {
            (reason::QUOTA_EXCEEDED, "refused", retry(pause), Bytes::new())
        }
        Answer::Failed { .. } | Answer::ClientGone => {
            (reason::IMPLEMENTATION_SPECIFIC, "failed", Properties::default(), Bytes::new())
        }
    }
}

//! Following discovery on a world without a system: how long what counts as told takes to reach the driver, by path, beside
//! the bound; and how often the agent is asked.

use async_channel::{Receiver, Sender};
use chalkgap::frontend::DriverEvent;
use chalkgap_core::{Availability, Discovery};
use chalkgap_platform::discovery::{DiscoveryFollower, DiscoveryTimeouts};
use chalkgap_platform::endpoint_list::backend_id;
use chalkgap_platform::endpoint_set::EndpointSet;
use chalkgap_platform::request::ForwardedCommand;
use chalkgap_runtime::simulated_runtime::{address, HostGuard, Simulation};
use chalkgap_runtime::{Micros, Runtime, Shared, Stream};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

const BEGIN: Micros = 1_800_000_000_000_000;
const GRACE: Micros = 2_000_000;
/// For connections and bytes in a world whose links take 0.3 ms at most.
const ROUND: Micros = 5_000;
/// How long a call may wait for its turn where lists are asked for, by the platform's page.
const WHOLE_TURN: Micros = 2_000_000;
/// How often the agent looks whether it has something to say.
const LOOK: Micros = 10_000;

/// What the agent does.
#[derive(Clone, Copy, PartialEq)]
enum Mood {
    Well,
    /// It takes connections and says nothing on them, then or later.
    Down,
    /// It leaves out each list's last bracket and goes on with empty lines.
    Half,
    /// A service that is asked for lists, during an outage: calls are refused when they have waited for their whole turn.
    Refusing,
}

struct Agent {
    seq: u64,
    mood: Mood,
    indent: bool,
    /// Watches of an earlier life stay open and say nothing more.
    life: u64,
    /// So many further calls are taken and never answered.
    deaf: usize,
    /// So many are refused at once.
    busy: usize,
    wholes: usize,
    watches: usize,
    /// Calls are taken in turn, and each takes so long; when the line before the next one ends.
    turn: Micros,
    line: Micros,
}

#[derive(Clone)]
struct Handle(Arc<Mutex<Agent>>);

impl Handle {
    fn at(&self) -> MutexGuard<'_, Agent> {
        self.0.lock().unwrap()
    }

    /// A list that names one backend, after the version.
    fn list(&self, whole: bool) -> String {
        let a = self.at();
        let host =
            serde_json::json!({"host": format!("s-{}", a.seq), "dial": "10.0.0.9:1", "health": "ready"});
        let list = serde_json::json!({"seq": a.seq, "whole": whole, "hosts": [host]});
        let text = if a.indent { serde_json::to_string_pretty(&list).unwrap() } else { list.to_string() };
        let part = text.len() - usize::from(a.mood == Mood::Half);
        text[..part].to_owned() + "\n"
    }

    #[expect(clippy::too_many_lines, reason = "one scenario in its order")]
    async fn serve(self, runtime: Shared, mut stream: Box<dyn Stream>) {
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).await.is_ok_and(|n| n > 0) {
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let watch = head.contains("watch=1");
        let from =
            head.split("from=").nth(1).and_then(|f| f.split(' ').next()?.parse().ok()).unwrap_or(u64::MAX);
        let (life, mut seq) = {
            let mut a = self.at();
            let mute = a.mood == Mood::Down || a.deaf > 0;
            a.deaf = a.deaf.saturating_sub(1);
            *if watch { &mut a.watches } else { &mut a.wholes } += 1;
            (if mute { u64::MAX } else { a.life }, a.seq)
        };
        if life == u64::MAX {
            return future::pending().await;
        }
        let (refusing, busy) = {
            let mut a = self.at();
            let busy = a.mood != Mood::Refusing && a.busy > 0;
            a.busy -= usize::from(busy);
            (a.mood == Mood::Refusing, busy)
        };
        if refusing || busy {
            runtime.sleep_until(runtime.now() + if refusing { WHOLE_TURN } else { 0 }).await;
            let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n").await;
            return;
        }
        let turn = {
            let mut a = self.at();
            a.line = a.line.max(runtime.now()) + a.turn;
            a.line
        };
        runtime.sleep_until(turn).await;
        // What came while it waited is told first.
        seq = if watch { from.min(seq) } else { seq };
        if !watch {
            let text = self.list(true);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
            let _ = stream.write_all((head + &text).as_bytes()).await;
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await;
        let mut said = runtime.now();
        loop {
            runtime.sleep_until(runtime.now() + LOOK).await;
            if self.at().life != life {
                return future::pending().await;
            }
            let news = self.at().seq != seq;
            let text = match news {
                true => self.list(false),
                false if runtime.now() < said + 2_000_000 => continue,
                false => "\n".to_owned(),
            };
            (said, seq) = (runtime.now(), self.at().seq);
            if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// One who follows the agent at an address.
fn follower(
    world: &Simulation,
    no: u32,
    mode: Discovery,
    at: SocketAddr,
) -> (Shared, HostGuard, Sender<SocketAddr>, Receiver<DriverEvent<ForwardedCommand>>) {
    let (host, power) = world.host(no, 0);
    let runtime: Shared = host;
    let (moves, moved) = async_channel::bounded(4);
    let (driver, input) = async_channel::bounded(64);
    let (first, _) = async_channel::bounded(1);
    let follower = DiscoveryFollower {
        runtime: runtime.clone(),
        endpoints: EndpointSet::new(Vec::new(), Vec::new()),
        address: at,
        timeouts: DiscoveryTimeouts::new(GRACE, mode),
        driver,
        first_list: first,
    };
    let task = follower.run(moved);
    runtime.spawn(Box::pin(task)).detach();
    (runtime, power, moves, input)
}

/// A world with agents and one who follows them.
struct Rig {
    runtime: Shared,
    world: Simulation,
    agents: Vec<(Handle, SocketAddr)>,
    others: Vec<Sender<SocketAddr>>,
    moves: Sender<SocketAddr>,
    input: Receiver<DriverEvent<ForwardedCommand>>,
    power: Vec<HostGuard>,
}

impl Rig {
    fn new(world: &Simulation, indent: bool, mode: Discovery) -> Rig {
        let (mut agents, mut powers) = (Vec::new(), Vec::new());
        for no in 1..=2 {
            let (host, power) = world.host(no, 0);
            let agent = Agent {
                seq: 1,
                mood: Mood::Well,
                indent,
                life: 0,
                deaf: 0,
                busy: 0,
                wholes: 0,
                watches: 0,
                turn: 0,
                line: 0,
            };
            let handle = Handle(Arc::new(Mutex::new(agent)));
            let at = SocketAddr::new(address(no), 8500);
            let (listener, runtime, served) = (host.listen(at).unwrap(), host as Shared, handle.clone());
            let to = runtime.clone();
            let serve = async move {
                while let Ok(stream) = listener.accept().await {
                    to.spawn(Box::pin(served.clone().serve(to.clone(), stream))).detach();
                }
            };
            runtime.spawn(Box::pin(serve)).detach();
            agents.push((handle, at));
            powers.push(power);
        }
        let (runtime, power, moves, input) = follower(world, 3, mode, agents[0].1);
        powers.push(power);
        let others = Vec::new();
        Rig { runtime, world: world.clone(), agents, others, moves, input, power: powers }
    }

    /// One more that follows the same agent, where lists are asked for.
    fn further(&mut self, no: u32) -> Receiver<DriverEvent<ForwardedCommand>> {
        let (_, power, moves, input) = follower(&self.world, no, Discovery::Poll, self.agents[0].1);
        self.power.push(power);
        self.others.push(moves);
        input
    }

    fn agent(&self) -> MutexGuard<'_, Agent> {
        self.agents[0].0.at()
    }

    async fn rest(&self, span: Micros) {
        self.runtime.sleep_until(self.runtime.now() + span).await;
    }

    /// Silence on all that is open; changes come, and `mood` goes for later calls.
    fn silence(&self, mood: Mood) {
        let mut a = self.agent();
        (a.life, a.mood) = (a.life + 1, mood);
    }

    /// Until the driver is told of this version.
    async fn told(&self, version: u64) -> Micros {
        let begin = self.runtime.now();
        let want = backend_id(&format!("s-{version}"));
        let told = async {
            while let Ok(input) = self.input.recv().await {
                let DriverEvent::Endpoints { endpoints: lines, .. } = input else { continue };
                if lines.iter().any(|l| l.0.backend == want && l.0.availability == Availability::Ready) {
                    return self.runtime.now() - begin;
                }
            }
            panic!("the follower has ended");
        };
        let never = async {
            self.rest(60_000_000).await;
            panic!("version {version} was never told");
        };
        future::or(told, never).await
    }
}

fn play<F: std::future::Future<Output = ()> + 'static>(
    seed: u64,
    indent: bool,
    act: impl FnOnce(Rig) -> F + 'static,
) {
    play_mode(seed, indent, Discovery::Push, act);
}

/// The same where lists are asked for, or not.
fn play_mode<F: std::future::Future<Output = ()> + 'static>(
    seed: u64,
    indent: bool,
    mode: Discovery,
    act: impl FnOnce(Rig) -> F + 'static,
) {
    let world = Simulation::new(seed, BEGIN);
    let inside = world.clone();
    let done = world.run(async move {
        let rig = Rig::new(&inside, indent, mode);
        rig.told(1).await;
        rig.rest(1_000_000).await;
        act(rig).await;
    });
    assert!(done.is_some(), "it came to its end");
}

/// Against an agent that indents its lists one ingress asked for the whole list 161 times in six seconds, and no change
/// ever came by the watch.
#[test]
fn indented_changes_arrive_by_the_watch() {
    for indent in [false, true] {
        play(1, indent, |rig| async move {
            for version in 2..10 {
                rig.agent().seq = version;
                let took = rig.told(version).await;
                assert!(took <= LOOK + ROUND, "{took} us");
                rig.rest(700_000).await;
            }
            let agent = rig.agent();
            assert_eq!((agent.wholes, agent.watches), (1, 1));
        });
    }
}

/// Calls in a row that hang after a watch that fell silent.
const CALLS: usize = 3;

/// The one clock: what a silent watch misses counts as told 6 s after it fell silent, and three calls in a row that fall silent
/// as well leave that standing.
#[test]
fn a_silent_watch_costs_less_than_six_seconds() {
    let mut worst = 0;
    for seed in 0..80 {
        let deaf = seed as usize % (CALLS + 1);
        let seen = Arc::new(Mutex::new(0));
        let out = seen.clone();
        play(seed, seed % 3 == 0, move |rig| async move {
            rig.rest(seed * 53_000).await;
            rig.silence(Mood::Well);
            rig.agent().deaf = deaf;
            rig.agent().seq = 2;
            *out.lock().unwrap() = rig.told(2).await;
        });
        worst = worst.max(*seen.lock().unwrap());
    }
    let bound = 2_600_000
        + CALLS as u64 * DiscoveryTimeouts::new(GRACE, Discovery::Push).call
        + 50_000
        + 100_000
        + 200_000
        + 250_000
        + ROUND;
    assert!(worst <= bound && bound < 6_000_000, "{worst} us, bound {bound}");
    assert!(worst > bound * 8 / 10, "a search that reaches the bound: {worst} us of {bound}");
}

/// Calls made in an outage are never answered, and when it ends what the agent has counts at once: work sent to a backend
/// that drains must have ended two seconds later. With a pause of up to a second and a call of one it took up to 2.0 s.
#[test]
fn after_an_outage_the_list_arrives_well_within_the_drain_grace() {
    let mut worst = 0;
    for seed in 0..60 {
        let seen = Arc::new(Mutex::new(0));
        let out = seen.clone();
        play(seed, false, move |rig| async move {
            rig.silence(Mood::Down);
            rig.rest(8_000_000 + seed * 37_000).await;
            rig.agent().seq = 2;
            rig.agent().mood = Mood::Well;
            *out.lock().unwrap() = rig.told(2).await;
            // Calls in all: each takes a second, and half a pause at least.
            assert!(rig.agent().wholes < 14, "{} calls", rig.agent().wholes);
        });
        worst = worst.max(*seen.lock().unwrap());
    }
    let bound = DiscoveryTimeouts::new(GRACE, Discovery::Push).call
        + DiscoveryTimeouts::new(GRACE, Discovery::Push).max_backoff
        + ROUND;
    assert!(worst <= bound && bound < GRACE * 2 / 3, "{worst} us, bound {bound}");
    assert!(worst > bound / 2, "a search that reaches half of the bound: {worst} us of {bound}");
}

/// Where lists are asked for, a call in an outage is refused when it has waited for its whole turn. At the outage's end the
/// service may refuse the next one at once, as all come back together, and let the one after that wait: what it has is known
/// within 6 s all the same.
#[test]
fn after_an_outage_a_polled_service_is_followed_within_six_seconds() {
    let (mut worst, turn) = (0, 2_000_000);
    for seed in 0..60 {
        let seen = Arc::new(Mutex::new(0));
        let out = seen.clone();
        play_mode(seed, false, Discovery::Poll, move |rig| async move {
            rig.silence(Mood::Refusing);
            rig.rest(8_000_000 + seed * 37_000).await;
            {
                let mut a = rig.agent();
                (a.seq, a.mood, a.busy, a.turn) = (2, Mood::Well, 1, turn);
            }
            *out.lock().unwrap() = rig.told(2).await;
            // Each took two seconds at least.
            assert!(rig.agent().watches < 9, "{} calls", rig.agent().watches);
        });
        worst = worst.max(*seen.lock().unwrap());
    }
    let bound = WHOLE_TURN
        + DiscoveryTimeouts::new(GRACE, Discovery::Poll).max_backoff
        + 1_000_000
        + turn
        + LOOK
        + 2 * ROUND;
    assert!(worst <= bound && bound < 6_000_000, "{worst} us, bound {bound}");
    assert!(worst > bound * 8 / 10, "a search that reaches the bound: {worst} us of {bound}");
}

/// A new configuration is followed at once, whatever the old address does.
#[test]
fn a_new_address_is_called_at_once() {
    for mood in [Mood::Well, Mood::Down] {
        play(3, false, move |rig| async move {
            rig.silence(mood);
            rig.rest(6_300_000).await;
            rig.agents[1].0.at().seq = 5;
            rig.moves.send(rig.agents[1].1).await.unwrap();
            let took = rig.told(5).await;
            assert!(took <= ROUND, "{took} us");
        });
    }
}

/// A list that begins and does not end: empty lines behind it are no sign of life, and the half is never taken.
#[test]
fn a_partial_list_is_abandoned_after_the_call_timeout() {
    play(4, true, |rig| async move {
        rig.agent().mood = Mood::Half;
        rig.agent().seq = 2;
        rig.rest(400_000).await;
        rig.agent().mood = Mood::Well;
        let took = rig.told(2).await;
        assert!(took <= DiscoveryTimeouts::new(GRACE, Discovery::Push).call + 50_000 + ROUND, "{took} us");
        assert_eq!(rig.agent().wholes, 2, "by a new list, not by the watch");
    });
}

/// A watch that is reset is opened again after the least pause.
#[test]
fn a_reset_watch_is_opened_again_at_once() {
    play(5, false, |rig| async move {
        let cut = Some(chalkgap_runtime::link_faults::Cut::Reset);
        let weather = chalkgap_runtime::simulated_runtime::DEFAULT_LINK;
        rig.world.set_link(1, 3, Some(chalkgap_runtime::link_faults::LinkFaults { cut, ..weather }));
        rig.world.set_link(1, 3, None);
        rig.agent().seq = 2;
        let took = rig.told(2).await;
        assert!(took <= 50_000 + ROUND, "{took} us");
    });
}

/// Where no list is held yet, a watch would give the changes to nothing: the whole list is asked for until it is there.
#[test]
fn changes_are_not_watched_before_a_complete_list() {
    let world = Simulation::new(9, BEGIN);
    let inside = world.clone();
    let done = world.run(async move {
        let mut rig = Rig::new(&inside, false, Discovery::Poll);
        {
            let mut a = rig.agent();
            (a.deaf, a.seq) = (2, 3);
        }
        let input = rig.further(4);
        rig.input = input;
        rig.told(3).await;
        let agent = rig.agent();
        assert!(agent.wholes >= 3, "{} calls for a whole list", agent.wholes);
    });
    assert!(done.is_some(), "it came to its end");
}

/// Where lists are asked for, discovery takes calls in turn. A fleet that lost its watches together asks once each, waits for
/// its turn, and is told; calls that are given up and made anew are work for the same service, which it never gets done:
/// with 0.75 s for a call, and two calls for each, the last of six heard after 7 s and more.
#[test]
fn a_polled_service_gets_one_request_from_each_follower() {
    let world = Simulation::new(7, BEGIN);
    let inside = world.clone();
    let done = world.run(async move {
        let mut rig = Rig::new(&inside, false, Discovery::Poll);
        let mut others = Vec::new();
        for no in 4..9 {
            others.push(rig.further(no));
        }
        rig.told(1).await;
        rig.rest(3_000_000).await;
        {
            let mut a = rig.agent();
            (a.wholes, a.watches, a.turn) = (0, 0, 250_000);
        }
        rig.silence(Mood::Well);
        rig.agent().seq = 2;
        let begin = rig.runtime.now();
        let took = rig.told(2).await;
        assert!(took < 6_000_000, "{took} us");
        for other in others {
            rig.input = other;
            rig.told(2).await;
        }
        let last = rig.runtime.now() - begin;
        let bound = 2_600_000 + 6 * 250_000 + 250_000 + 6 * ROUND;
        assert!(last <= bound && bound < 6_000_000, "the last one was told after {last} us, bound {bound}");
        let agent = rig.agent();
        assert_eq!((agent.wholes, agent.watches), (0, 6));
    });
    assert!(done.is_some(), "it came to its end");
}

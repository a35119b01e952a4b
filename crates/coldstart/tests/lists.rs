//! Simulates fleets whose members start at once: the calls to the service in any second against the bound, the effect of
//! peers that send forged lists, and the use of stored lists.

use chalkgap_coldstart::{
    Action, CallSchedule, Config, FleetView, ListError, ListId, ListLoader, MemberId, Micros, Source,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_800_000_000_000_000;
const STEP: Micros = 20_000;
/// C, the calls to the service per second.
const CALLS_PER_SECOND: u32 = 10;
const UNCONFIRMED_LIFETIME: Micros = 5 * SECOND;

fn config(member: MemberId, max_members: u16) -> Config {
    Config {
        member,
        max_members,
        calls_per_second: CALLS_PER_SECOND,
        unconfirmed_lifetime: UNCONFIRMED_LIFETIME,
        fetch_timeout: SECOND / 2,
        refresh_after: 30 * SECOND,
    }
}

/// How a simulated member behaves.
#[derive(Clone, Copy, PartialEq)]
enum Behavior {
    Honest,
    /// Announces and sends a forged list with a version far ahead of all others.
    ForgedVersion,
    /// Announces the service's list and sends other bytes.
    ForgedBody,
}

struct Simulation {
    rng: SmallRng,
    now: Micros,
    members: Vec<Option<ListLoader>>,
    behaviors: Vec<Behavior>,
    start_times: Vec<Micros>,
    /// Whether members know the number of members; otherwise they assume the maximum number.
    is_view_known: bool,
    /// Injected defect: every member calls the service when it starts.
    call_at_start: bool,
    is_service_up: bool,
    /// Times of the calls to the service.
    calls: Vec<Micros>,
    /// Time from the start of each member until it used the service's list.
    time_to_list: Vec<Option<Micros>>,
    /// Total time for which honest members used a forged list.
    forged_list_time: Micros,
    /// Answers in flight: time of arrival, member that receives it, source.
    answers: Vec<(Micros, usize, Source)>,
}

/// Version and bytes of the service's list.
const GENUINE: (u64, &[u8]) = (41, b"the list");
/// Version and bytes of the forged list.
const FORGED: (u64, &[u8]) = (1 << 40, b"a forged list");

impl Simulation {
    fn new(seed: u64, behaviors: Vec<Behavior>) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let n = behaviors.len();
        let start_times = (0..n).map(|_| START + rng.random_range(0..SECOND)).collect();
        Simulation {
            rng,
            now: START,
            members: (0..n).map(|_| None).collect(),
            behaviors,
            start_times,
            is_view_known: true,
            call_at_start: false,
            is_service_up: true,
            calls: Vec::new(),
            time_to_list: vec![None; n],
            forged_list_time: 0,
            answers: Vec::new(),
        }
    }

    fn perform(&mut self, member: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::CallService => {
                    self.calls.push(self.now);
                    self.answers.push((self.now + 50_000, member, Source::Service));
                }
                Action::FetchFromPeer(peer) => {
                    self.answers.push((self.now + 20_000, member, Source::Peer(peer)))
                }
                Action::UseCurrent => {}
            }
        }
    }

    fn receive_answer(&mut self, member: usize, source: Source) {
        let mut actions = Vec::new();
        let answer = match source {
            Source::Service => self.is_service_up.then_some(GENUINE),
            Source::Peer(peer) => match self.behaviors[usize::from(peer)] {
                Behavior::ForgedVersion => Some(FORGED),
                Behavior::ForgedBody => Some((GENUINE.0, FORGED.1)),
                Behavior::Honest => {
                    let loader = self.members[usize::from(peer)].as_ref();
                    let version = loader.and_then(|loader| loader.current()).map(|list| list.id.version);
                    version.filter(|version| *version == GENUINE.0).map(|version| (version, GENUINE.1))
                }
            },
            Source::Stored => None,
        };
        let Some(loader) = self.members[member].as_mut() else { return };
        match answer {
            Some((version, body)) => {
                let _ = loader.list_received(self.now, source, version, body.to_vec(), &mut actions);
            }
            None => loader.request_failed(self.now, source, &mut actions),
        }
        self.perform(member, actions);
    }

    fn step(&mut self) {
        self.now += STEP;
        let n = self.members.len();
        for member in 0..n {
            if self.members[member].is_none() && self.now >= self.start_times[member] {
                self.members[member] = Some(ListLoader::new(config(member as u16, n as u16), None, self.now));
                if self.call_at_start {
                    self.perform(member, vec![Action::CallService]);
                }
            }
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.answers).into_iter().partition(|answer| answer.0 <= now);
        self.answers = later;
        let due: Vec<(Micros, usize, Source)> = due;
        due.into_iter().for_each(|(_, member, source)| self.receive_answer(member, source));
        for member in 0..n {
            let fleet = match self.is_view_known {
                true => FleetView::Known { members: n as u16, rank: member as u16 },
                false => FleetView::Unknown,
            };
            let mut actions = Vec::new();
            let Some(loader) = self.members[member].as_mut() else { continue };
            loader.wake(now, fleet, &mut actions);
            let current = loader.current().map(|list| list.id);
            let announced = match self.behaviors[member] {
                Behavior::Honest => loader.id_to_announce(),
                Behavior::ForgedVersion => Some(ListId::of(FORGED.0, FORGED.1)),
                Behavior::ForgedBody => Some(ListId::of(GENUINE.0, GENUINE.1)),
            };
            self.perform(member, actions);
            if self.behaviors[member] == Behavior::Honest {
                let is_forged = current == Some(ListId::of(FORGED.0, FORGED.1));
                self.forged_list_time += STEP * u64::from(is_forged);
                if current == Some(ListId::of(GENUINE.0, GENUINE.1)) {
                    self.time_to_list[member].get_or_insert(now - self.start_times[member]);
                }
            }
            // The id is announced with the four membership messages that a member sends per second.
            if let Some(id) = announced.filter(|_| self.rng.random_bool(4.0 * STEP as f64 / SECOND as f64)) {
                let receiver = self.rng.random_range(0..n);
                let mut actions = Vec::new();
                if let Some(loader) = self.members[receiver].as_mut().filter(|_| receiver != member) {
                    loader.peer_announced(now, member as u16, id, &mut actions);
                    self.perform(receiver, actions);
                }
            }
        }
    }

    fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// The maximum number of calls to the service in any second.
    fn max_calls_per_second(&self) -> usize {
        let in_second_from = |start: &Micros| {
            self.calls.iter().filter(|call| **call >= *start && **call < *start + SECOND).count()
        };
        self.calls.iter().map(in_second_from).max().unwrap_or(0)
    }

    /// The longest time until an honest member used the service's list; `None` if one does not use it.
    fn max_time_to_list(&self) -> Option<Micros> {
        let honest = (0..self.behaviors.len()).filter(|n| self.behaviors[*n] == Behavior::Honest);
        honest.map(|n| self.time_to_list[n]).collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

/// The calls to the service stay within C per second from 3 to 300 members, and every member has a list within seconds.
#[test]
fn calls_to_the_service_do_not_grow_with_the_fleet() {
    for (n, is_view_known, max_time) in
        [(3, true, SECOND), (24, true, 3 * SECOND), (300, true, 6 * SECOND), (300, false, 6 * SECOND)]
    {
        for seed in 0..2 {
            let mut simulation = Simulation::new(seed, vec![Behavior::Honest; n]);
            simulation.is_view_known = is_view_known;
            simulation.run(20 * SECOND);
            let max_calls = simulation.max_calls_per_second();
            let time_to_list = simulation.max_time_to_list();
            let calls = simulation.calls.len();
            let case = format!("{n} members, seed {seed}");
            assert!(max_calls <= CALLS_PER_SECOND as usize + 1, "{case}: {max_calls} calls in a second");
            assert!(
                time_to_list.is_some_and(|time| time < max_time),
                "{case}: {time_to_list:?} us until the list"
            );
            assert!(calls <= 60, "{case}: {calls} calls, although most members can fetch from a peer");
        }
    }
}

/// Checks that the measured maximum of calls exceeds the bound if every member calls at its start.
#[test]
fn the_simulation_detects_calls_outside_the_schedule() {
    let mut simulation = Simulation::new(1, vec![Behavior::Honest; 300]);
    simulation.call_at_start = true;
    simulation.run(5 * SECOND);
    assert!(
        simulation.max_calls_per_second() > 200,
        "{} calls in a second",
        simulation.max_calls_per_second()
    );
}

/// While the service is down, the members do not call more often; when it is up again, they load the list within the bound.
#[test]
fn members_load_the_list_within_the_bound_after_an_outage() {
    let mut simulation = Simulation::new(2, vec![Behavior::Honest; 300]);
    simulation.is_service_up = false;
    simulation.run(40 * SECOND);
    assert!(
        simulation.max_calls_per_second() <= CALLS_PER_SECOND as usize + 1
            && simulation.max_time_to_list().is_none()
    );
    simulation.is_service_up = true;
    simulation.start_times = vec![simulation.now; 300];
    simulation.run(8 * SECOND);
    let time_to_list = simulation.max_time_to_list();
    assert!(
        time_to_list.is_some_and(|time| time < 6 * SECOND),
        "{time_to_list:?} us from the end of the outage until the list"
    );
    assert!(simulation.max_calls_per_second() <= CALLS_PER_SECOND as usize + 1);
}

/// A list that does not match the announced id is never used. A list that only one peer holds is used once, for the
/// unconfirmed lifetime.
#[test]
fn forged_lists_are_used_for_the_unconfirmed_lifetime_at_most() {
    for seed in 0..10 {
        let mut behaviors = vec![Behavior::Honest; 24];
        behaviors[3] = Behavior::ForgedVersion;
        behaviors[9] = Behavior::ForgedBody;
        let mut simulation = Simulation::new(seed, behaviors);
        simulation.run(60 * SECOND);
        let honest = 22;
        let forged_list_time = simulation.forged_list_time;
        assert!(
            forged_list_time <= honest * (UNCONFIRMED_LIFETIME + 2 * STEP),
            "{honest} members used a forged list for {forged_list_time} us in total"
        );
        assert!(forged_list_time > 0, "no member used the forged list, so the limit was not tested");
        let forged = ListId::of(FORGED.0, FORGED.1);
        for (n, loader) in simulation
            .members
            .iter()
            .enumerate()
            .filter(|(n, _)| simulation.behaviors[*n] == Behavior::Honest)
        {
            let current = loader.as_ref().and_then(|loader| loader.current());
            let current = current.map(|list| (list.id, list.confirmed));
            assert_eq!(
                current,
                Some((ListId::of(GENUINE.0, GENUINE.1), true)),
                "member {n}; the forged list is {forged:?}"
            );
        }
    }
}

/// Slots depend on the clock and not on the start of a member, so restarts do not cause additional calls.
#[test]
fn a_member_that_restarts_all_the_time_calls_once_per_round() {
    let fleet = FleetView::Known { members: 50, rank: 7 };
    let mut calls = Vec::new();
    let mut now = START;
    for _ in 0..2000 {
        let mut schedule = CallSchedule::new(7, 300, CALLS_PER_SECOND); // a restart every 50 ms
        if schedule.next_call(now, fleet) < now + 50_000 {
            calls.push(schedule.next_call(now, fleet));
            schedule.record_call(now);
        }
        now += 50_000;
    }
    assert_eq!(CallSchedule::new(7, 300, CALLS_PER_SECOND).round(fleet), 5 * SECOND);
    assert_eq!(calls.len(), 20, "100 s in rounds of 5 s");
    assert_eq!(
        CallSchedule::new(7, 300, CALLS_PER_SECOND).round(FleetView::Unknown),
        30 * SECOND,
        "the maximum number of members is assumed"
    );
}

#[test]
fn lists_that_are_not_accepted_return_their_error() {
    let mut loader = ListLoader::new(config(0, 9), Some((40, b"stored".to_vec())), START);
    let mut actions = Vec::new();
    assert!(
        loader.current().is_some_and(|list| !list.confirmed) && loader.id_to_announce().is_none(),
        "the stored list is used but not announced"
    );
    let unrequested = loader.list_received(START, Source::Peer(2), 50, b"x".to_vec(), &mut actions);
    assert_eq!(unrequested, Err(ListError::Unrequested { peer: 2 }));
    loader.list_received(START, Source::Service, 41, b"current".to_vec(), &mut actions).unwrap();
    let older = loader.list_received(START, Source::Service, 39, b"older".to_vec(), &mut actions);
    assert_eq!(older, Err(ListError::Older { received: 39, confirmed: 41 }));
    loader.peer_announced(START, 3, ListId::of(42, b"next"), &mut actions);
    assert_eq!(actions.last(), Some(&Action::FetchFromPeer(3)));
    let mismatch = loader.list_received(START, Source::Peer(3), 42, b"other".to_vec(), &mut actions);
    assert_eq!(mismatch, Err(ListError::Mismatch { peer: 3 }));
    assert_eq!(loader.current().map(|list| list.id.version), Some(41));
    // Two other peers hold the list: it is confirmed without the service.
    loader.peer_announced(START, 4, ListId::of(42, b"next"), &mut actions);
    loader.peer_announced(START, 5, ListId::of(42, b"next"), &mut actions);
    let Some(Action::FetchFromPeer(peer)) = actions.last().cloned() else { panic!("{actions:?}") };
    loader.list_received(START, Source::Peer(peer), 42, b"next".to_vec(), &mut actions).unwrap();
    assert!(loader.current().is_some_and(|list| list.confirmed && list.id.version == 42));
}

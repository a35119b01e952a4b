//! Members on an in-memory network with a simulated clock.

use chalkgap_membership::{
    Config, Event, MemberId, MemberState, Membership, Micros, PartitionStatus, ANY_MEMBER,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{IpAddr, SocketAddr};

pub const PROTOCOL_PERIOD: Micros = 500_000;
pub const SECOND: Micros = 1_000_000;
/// Bytes that the header and the hash of a datagram add to a message.
const DATAGRAM_OVERHEAD: u64 = 53;
const CLOCK_STEP: Micros = 10_000;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Datagram {
    /// The time of arrival and the sequence number, reversed because the heap pops the greatest element first.
    arrival: Reverse<(Micros, u64)>,
    /// The member that sent the datagram.
    from: MemberId,
    /// The sender's address.
    source: SocketAddr,
    /// The member for which the datagram is sealed. Other members cannot open it.
    recipient: MemberId,
    /// The address to which the datagram is delivered.
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// Totals of the messages that a node has sent. Bytes include [`DATAGRAM_OVERHEAD`].
#[derive(Default, Clone, Copy)]
pub struct SentTotals {
    pub messages: u64,
    pub bytes: u64,
}

pub struct Node {
    pub member: Membership,
    /// The process is stopped until this time: it receives nothing, and its timeouts do not run.
    pub stopped_until: Micros,
    pub sent: SentTotals,
}

/// An event that a member emitted.
pub struct ReportedEvent {
    pub at: Micros,
    pub by: SocketAddr,
    pub event: Event,
}

/// Returns true if datagrams from the first member to the second are lost.
type Partition = Box<dyn Fn(MemberId, MemberId) -> bool>;

pub struct Network {
    pub now: Micros,
    rng: SmallRng,
    /// The fraction of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    pub partition: Partition,
    pub in_flight: BinaryHeap<Datagram>,
    sequence: u64,
    /// The running processes by address, as an old process and its replacement with the same id may run at once.
    pub nodes: BTreeMap<SocketAddr, Node>,
    pub reported: Vec<ReportedEvent>,
    /// A process that gets a tenth of the CPU time: it runs for 50 ms of each 500 ms.
    pub starved: Option<SocketAddr>,
}

/// Returns the address of the member with an id.
pub fn address_of(id: MemberId) -> SocketAddr {
    ([10, 0, (id >> 8) as u8, id as u8], 7000).into()
}

/// Returns the id of the member with an address.
fn id_of(address: SocketAddr) -> MemberId {
    match address.ip() {
        IpAddr::V4(ip) => u16::from_be_bytes([ip.octets()[2], ip.octets()[3]]),
        IpAddr::V6(_) => 0,
    }
}

impl Network {
    pub fn new(seed: u64) -> Network {
        Network {
            now: 1_800_000_000 * SECOND,
            rng: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            partition: Box::new(|_, _| false),
            in_flight: BinaryHeap::new(),
            sequence: 0,
            nodes: BTreeMap::new(),
            reported: Vec::new(),
            starved: None,
        }
    }

    /// Starts a fleet and runs it until all views agree.
    pub fn with_members(seed: u64, count: MemberId) -> Network {
        let mut network = Network::new(seed);
        (0..count).for_each(|id| network.start(id, address_of(id)));
        network.run(60 * SECOND);
        assert_eq!(network.agreed_live_count(), Some(usize::from(count)), "all members know each other");
        network
    }

    pub fn start(&mut self, self_id: MemberId, address: SocketAddr) {
        let config = Config {
            self_id,
            incarnation: self.now,
            address,
            seeds: vec![address_of(0), address_of(1), address_of(2)],
            max_members: 1000,
            protocol_period: PROTOCOL_PERIOD,
            min_suspicion_timeout: 0,
            max_messages_per_second: 40.0,
            rng_seed: self.rng.random(),
        };
        let member = Membership::new(self.now, config);
        self.nodes.insert(address, Node { member, stopped_until: 0, sent: SentTotals::default() });
    }

    pub fn node(&mut self, address: SocketAddr) -> &mut Node {
        self.nodes.get_mut(&address).unwrap()
    }

    pub fn member(&self, id: MemberId) -> &Membership {
        &self.nodes[&address_of(id)].member
    }

    pub fn run(&mut self, duration: Micros) {
        self.run_until(self.now + duration, |_| false);
    }

    /// Runs until a condition holds and returns the time that it took, or returns `None` at the time `end`.
    pub fn run_until(&mut self, end: Micros, done: impl Fn(&Network) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < end {
            let next = self.now + CLOCK_STEP;
            self.deliver_until(next);
            self.now = next;
            self.run_timeouts();
            if done(self) {
                return Some(self.now - start);
            }
        }
        None
    }

    fn deliver_until(&mut self, end: Micros) {
        while self.in_flight.peek().is_some_and(|datagram| datagram.arrival.0 .0 <= end) {
            let Some(datagram) = self.in_flight.pop() else { break };
            let now = datagram.arrival.0 .0.max(self.now);
            let paused_until = self.paused_until(datagram.to, now);
            let Some(node) = self.nodes.get_mut(&datagram.to) else { continue };
            if let Some(until) = paused_until {
                self.push(until, datagram);
                continue;
            }
            if datagram.recipient != ANY_MEMBER && datagram.recipient != node.member.id() {
                continue;
            }
            node.member.handle_message(now, datagram.from, datagram.source, &datagram.bytes).unwrap();
            self.collect(datagram.to, now);
        }
    }

    fn run_timeouts(&mut self) {
        let now = self.now;
        let due = self.nodes.iter().filter(|(_, node)| node.member.next_timeout() <= now);
        let due: Vec<SocketAddr> = due.map(|(address, _)| *address).collect();
        for address in due {
            if self.paused_until(address, now).is_none() {
                self.node(address).member.handle_timeout(now);
                self.collect(address, now);
            }
        }
    }

    /// Returns the time until which the process at `address` does not run, or `None` if it runs.
    fn paused_until(&self, address: SocketAddr, now: Micros) -> Option<Micros> {
        let stopped_until = self.nodes.get(&address).map_or(0, |node| node.stopped_until);
        if stopped_until > now {
            return Some(stopped_until);
        }
        // A starved process runs for 50 ms and is paused for 450 ms.
        let is_paused = self.starved == Some(address) && now % 500_000 >= 50_000;
        is_paused.then(|| (now / 500_000 + 1) * 500_000)
    }

    /// Puts the messages of a member on the network and records its events.
    pub fn collect(&mut self, address: SocketAddr, now: Micros) {
        let node = self.nodes.get_mut(&address).unwrap();
        let from = node.member.id();
        while let Some(transmit) = node.member.poll_transmit() {
            node.sent.messages += 1;
            node.sent.bytes += transmit.bytes.len() as u64 + DATAGRAM_OVERHEAD;
            let to = transmit.address;
            if (self.partition)(from, id_of(to)) || self.rng.random::<f64>() < self.loss {
                continue;
            }
            self.sequence += 1;
            let latency = self.rng.random_range(500..4500);
            self.in_flight.push(Datagram {
                arrival: Reverse((now + latency, self.sequence)),
                from,
                source: address,
                recipient: transmit.to,
                to,
                bytes: transmit.bytes,
            });
        }
        while let Some(event) = node.member.poll_event() {
            self.reported.push(ReportedEvent { at: now, by: address, event });
        }
    }

    /// Puts a datagram on the network that arrives at the time `arrival`.
    fn push(&mut self, arrival: Micros, datagram: Datagram) {
        self.sequence += 1;
        self.in_flight.push(Datagram { arrival: Reverse((arrival, self.sequence)), ..datagram });
    }

    /// Delivers a datagram, such as a copy of an earlier one, after a millisecond.
    pub fn inject(&mut self, datagram: Datagram) {
        self.push(self.now + 1000, datagram);
    }

    /// Sends a message that the test has made up from one member to another.
    pub fn forge(&mut self, from: MemberId, to: MemberId, bytes: Vec<u8>) {
        self.inject(Datagram {
            arrival: Reverse((0, 0)),
            from,
            source: address_of(from),
            recipient: to,
            to: address_of(to),
            bytes,
        });
    }

    /// Returns the number of live members if all views agree, else `None`.
    pub fn agreed_live_count(&self) -> Option<usize> {
        let mut views = self.nodes.values().map(|node| {
            let view = node.member.view();
            (view.live_count(), view.digest(), view.version())
        });
        let first = views.next()?;
        let (live_count, ..) = first;
        views.all(|view| view == first).then_some(live_count)
    }

    pub fn kill(&mut self, ids: &[MemberId]) {
        for id in ids {
            self.nodes.remove(&address_of(*id));
        }
    }

    /// Returns, by address of the reporting process, the time from `from` until it reported the member `id` dead. Only
    /// running processes are included.
    pub fn death_reports(&self, id: MemberId, from: Micros) -> BTreeMap<SocketAddr, Micros> {
        let mut reports = BTreeMap::new();
        for reported in self.reported.iter().filter(|reported| reported.at >= from) {
            let Event::MemberChanged(record) = &reported.event else { continue };
            let is_report = record.id == id && record.state == MemberState::Dead;
            if is_report && self.nodes.contains_key(&reported.by) {
                reports.entry(reported.by).or_insert(reported.at - from);
            }
        }
        reports
    }

    /// Returns all members that any member has reported in a state since the start of the network.
    pub fn ever_reported(&self, state: MemberState) -> Vec<MemberId> {
        let matching = |reported: &ReportedEvent| match &reported.event {
            Event::MemberChanged(record) if record.state == state => Some(record.id),
            _ => None,
        };
        let ids: BTreeSet<MemberId> = self.reported.iter().filter_map(matching).collect();
        ids.into_iter().collect()
    }

    /// Returns all members that any member has reported dead since the start of the network.
    pub fn ever_reported_dead(&self) -> Vec<MemberId> {
        self.ever_reported(MemberState::Dead)
    }

    pub fn partition_status(&self, id: MemberId) -> PartitionStatus {
        self.member(id).partition_status()
    }
}

//! The state machine of one member: what it keeps, and the order in which timeouts and messages are handled.

use crate::anti_entropy::AntiEntropy;
use crate::dissemination::Broadcasts;
use crate::local_health::LocalHealth;
use crate::outbox::{Outbox, Transmit};
use crate::partition_status::{Contact, PartitionStatus, Voters};
use crate::probing::Probe;
use crate::suspicion::Suspicion;
use crate::view::{MemberRecord, MemberState, View};
use crate::wire::{Kind, Malformed, Message, ViewSummary};
use crate::{MemberId, Micros, OBSERVER};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Protocol periods without any answer after which a member takes itself for cut off.
const MAX_UNANSWERED_PERIODS: u64 = 4;
/// Members that are notified at once of a graceful leave; they notify the rest.
const LEAVE_NOTIFICATIONS: usize = 6;
/// Messages that the last probe of a suspect costs each member when many are dead, as sender and as intermediary.
const MESSAGES_PER_LAST_PROBE: f64 = 5.0;
/// The timeout of a superseded member, in protocol periods: nothing is left for it to do.
const SUPERSEDED_TIMEOUT_PERIODS: u64 = 1000;

/// The parameters of a member.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its id.
    pub self_id: MemberId,
    /// The incarnation of its process: later than at all starts before. The time of the start in microseconds will do.
    pub incarnation: u64,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Where other members may be. Its own address among them does no harm.
    pub seeds: Vec<SocketAddr>,
    /// All ids are below this; records of others are ignored.
    pub max_members: MemberId,
    /// In each protocol period a member probes one other. All other durations of the protocol are multiples of it.
    pub protocol_period: Micros,
    /// The least time that a suspect has to refute, whatever the size of the fleet.
    pub min_suspicion_timeout: Micros,
    /// Messages that it sends in a second at most. What is beyond that is not sent, and not made up for.
    pub max_messages_per_second: f64,
    /// Seed of its random choices.
    pub rng_seed: u64,
}

/// Something that has changed in the view.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member is new, or its state, process or address has changed.
    MemberChanged(MemberRecord),
    /// The part of the fleet that this member can reach has changed.
    PartitionStatusChanged(PartitionStatus),
    /// A later process has this member's id: this one has to end, and sends nothing any more.
    Superseded,
}

/// One member of the fleet.
pub struct Membership {
    pub(crate) config: Config,
    pub(crate) rng: SmallRng,
    pub(crate) view: View,
    voters: Voters,
    partition_status: PartitionStatus,
    /// The view has changed since the partition status was last derived.
    pub(crate) view_changed: bool,
    contact: Contact,
    /// What this member last announced of itself.
    pub(crate) own_record: MemberRecord,
    pub(crate) superseded: bool,
    pub(crate) suspicions: BTreeMap<MemberId, Suspicion>,
    pub(crate) probes: BTreeMap<u32, Probe>,
    /// Members that sent an outdated record of themselves: the next message to them has the current one.
    pub(crate) outdated_members: BTreeSet<MemberId>,
    pub(crate) broadcasts: Broadcasts,
    pub(crate) anti_entropy: AntiEntropy,
    pub(crate) health: LocalHealth,
    next_period: Micros,
    /// When this member was to wake next, as of the last time that it was awake.
    pub(crate) expected_wake: Micros,
    pub(crate) periods: u64,
    /// Which of the dead members and seeds was last probed.
    pub(crate) reconnect_index: usize,
    /// When a member last answered a probe.
    pub(crate) last_answer: Micros,
    /// When a message of another member last arrived.
    pub(crate) last_message: Micros,
    pub(crate) outbox: Outbox,
    pub(crate) events: VecDeque<Event>,
}

impl Membership {
    /// A member that has just started, at `now`.
    pub fn new(now: Micros, config: Config) -> Membership {
        let self_id = config.self_id;
        let own_record = MemberRecord {
            id: self_id,
            state: MemberState::Alive,
            version: 0,
            incarnation: config.incarnation,
            address: config.address,
            reported_by: self_id,
        };
        let mut view = View::default();
        view.put(own_record, now);
        let rng_seed = config.rng_seed ^ config.incarnation.rotate_left(17) ^ u64::from(self_id);
        let mut rng = SmallRng::seed_from_u64(rng_seed);
        // Spreads the probes of members that were started at the same time.
        let next_period = now + rng.random_range(0..=config.protocol_period / 2);
        // A member that has seeds and has reached none of them is not a fleet by itself.
        let has_other_seeds = config.seeds.iter().any(|seed| *seed != config.address);
        let contact = if has_other_seeds { Contact::Unanswered } else { Contact::Answered };
        let mut voters = Voters::default();
        let partition_status = voters.update(&view, contact);
        Membership {
            rng,
            view,
            voters,
            partition_status,
            view_changed: false,
            contact,
            own_record,
            superseded: false,
            suspicions: BTreeMap::new(),
            probes: BTreeMap::new(),
            outdated_members: BTreeSet::new(),
            broadcasts: Broadcasts::default(),
            anti_entropy: AntiEntropy::new(now),
            health: LocalHealth::default(),
            next_period,
            expected_wake: next_period,
            periods: 0,
            reconnect_index: 0,
            last_answer: if has_other_seeds { 0 } else { now },
            last_message: now,
            outbox: Outbox::new(now, config.max_messages_per_second),
            events: VecDeque::new(),
            config,
        }
    }

    /// This member's id.
    pub fn id(&self) -> MemberId {
        self.config.self_id
    }

    /// The view as it is now.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Which part of the fleet this member can reach.
    pub fn partition_status(&self) -> PartitionStatus {
        self.partition_status
    }

    /// Among how many members a majority is counted.
    pub fn voter_count(&self) -> usize {
        self.voters.count()
    }

    /// What observers are shown of the view besides its records.
    pub fn view_summary(&self) -> ViewSummary {
        let saturating_u16 = |count: usize| count.min(usize::from(u16::MAX)) as u16;
        ViewSummary {
            owner: self.config.self_id,
            version: self.view.version(),
            live_count: saturating_u16(self.view.live_count()),
            voter_count: saturating_u16(self.voters.count()),
            partition_status: self.partition_status as u8,
            detection_bound: self.detection_bound(1),
            next: None,
        }
    }

    /// How long it may take until a death shows in the view, where a fifth of all messages is lost or fewer and half of
    /// the fleet dies or less: one period until the member is probed, one more if the prober has died too, one until
    /// the probe fails, the periods that dissemination takes, the longest time to refute, the last probe.
    ///
    /// The suspects of `simultaneous_deaths` get their last probe one by one, as the rate limit allows.
    pub fn detection_bound(&self, simultaneous_deaths: usize) -> Micros {
        let dissemination_periods = 2 * u64::from(self.log_fleet_size());
        let last_probe_seconds =
            simultaneous_deaths as f64 * MESSAGES_PER_LAST_PROBE / self.config.max_messages_per_second;
        let last_probes = last_probe_seconds * 1e6;
        self.scaled_period() * (5 + dissemination_periods) + self.suspicion_timeout(1) + last_probes as Micros
    }

    /// The next message to send.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.outbox.pop()
    }

    /// The next change.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// When [`Membership::handle_timeout`] is due.
    pub fn next_timeout(&self) -> Micros {
        let probes = self.probes.values().map(Probe::next_timeout);
        let suspicions = self.suspicions.values().filter(|suspicion| !suspicion.last_probe_sent);
        let last_probes = suspicions.map(|suspicion| self.last_probe_due(suspicion));
        probes.chain(last_probes).fold(self.next_period, Micros::min)
    }

    /// Leaves gracefully: some members are notified now, the others with each answer as long as this member is probed.
    pub fn leave(&mut self, now: Micros) {
        self.account_for_stall(now);
        if !self.own_record.state.is_live() {
            return;
        }
        self.announce(now, MemberState::Left, self.own_record.version + 1);
        // Several at once, as this process may end at any moment.
        let others: Vec<MemberId> = self.live_others().collect();
        let notified = others.len().min(LEAVE_NOTIFICATIONS);
        for step in 0..notified {
            self.send(now, others[(step * others.len()) / notified], Kind::Records, 0);
        }
        self.update_partition_status(now);
    }

    /// Does what is due at `now`.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.superseded {
            self.next_period = now + self.config.protocol_period * SUPERSEDED_TIMEOUT_PERIODS;
            return;
        }
        self.account_for_stall(now);
        self.send_indirect_probes(now);
        self.expire_probes(now);
        self.send_last_probes(now);
        if now >= self.next_period {
            // Periods go by the clock, not from the last one: a slightly late call does not shift the next.
            let period = self.scaled_period();
            self.next_period = (self.next_period + period).max(now + period / 2);
            self.start_period(now);
        }
        self.update_partition_status(now);
    }

    fn start_period(&mut self, now: Micros) {
        self.periods += 1;
        if !self.own_record.state.is_live() {
            return; // after it has left it answers, and probes no member
        }
        self.probe_next_member(now);
        self.reconnect_if_due(now);
        // Updates that no probe has carried yet.
        if !self.broadcasts.is_empty() {
            if let Some(receiver) = self.random_member(&[]) {
                self.send(now, receiver, Kind::Records, 0);
            }
        }
    }

    /// Handles a message that arrived at `now` from the address `source`. `from` is the member that signed it; the
    /// caller has verified that.
    ///
    /// # Errors
    /// The bytes are no message of this protocol; nothing has changed.
    pub fn handle_message(
        &mut self,
        now: Micros,
        from: MemberId,
        source: SocketAddr,
        bytes: &[u8],
    ) -> Result<(), Malformed> {
        let message = Message::decode(bytes)?;
        if self.superseded {
            return Ok(());
        }
        self.account_for_stall(now);
        if from == OBSERVER {
            if let Kind::ViewRequest { from } = message.kind {
                self.send_view_page(now, source, message.nonce, from);
            }
            return Ok(());
        }
        self.last_message = now;
        for (record, _) in &message.records {
            self.merge(now, *record, from);
            if self.superseded {
                return Ok(());
            }
        }
        self.handle_kind(now, from, source, &message);
        self.compare_digest(now, from, message.digest);
        self.update_partition_status(now);
        Ok(())
    }

    fn handle_kind(&mut self, now: Micros, from: MemberId, source: SocketAddr, message: &Message) {
        let nonce = message.nonce;
        match message.kind {
            Kind::Ping => self.answer_ping(now, from, source, message),
            Kind::Ack => self.handle_ack(now, nonce, from),
            Kind::IndirectAck => self.handle_answer(now, nonce),
            Kind::IndirectNack => self.handle_indirect_nack(now, nonce),
            Kind::PingRequest { target, address } => {
                self.handle_ping_request(now, from, target, address, nonce);
            }
            Kind::Digests { reply_requested, digests } => {
                self.send_differing_records(now, from, &digests);
                if reply_requested {
                    let digests = self.view.bucket_digests();
                    self.send(now, from, Kind::Digests { reply_requested: false, digests }, 0);
                }
            }
            Kind::Records | Kind::ViewRequest { .. } | Kind::ViewPage(_) => {}
        }
    }

    fn send_view_page(&mut self, now: Micros, address: SocketAddr, nonce: u32, from: MemberId) {
        let summary = self.view_summary();
        let mut page = Message::new(Kind::ViewPage(summary), nonce, self.view.digest());
        let remaining = self.view.members().filter(|member| member.record.id >= from);
        let mut next = None;
        for member in remaining {
            if !page.add(member.record, now.saturating_sub(member.since)) {
                next = Some(member.record.id);
                break;
            }
        }
        page.kind = Kind::ViewPage(ViewSummary { next, ..summary });
        self.transmit(now, OBSERVER, address, &page);
    }

    /// The live members besides this one.
    pub(crate) fn live_others(&self) -> impl Iterator<Item = MemberId> + '_ {
        let self_id = self.config.self_id;
        self.view.live().map(|member| member.record.id).filter(move |id| *id != self_id)
    }

    /// A random live member that is not suspected, and none of `excluded`.
    pub(crate) fn random_member(&mut self, excluded: &[MemberId]) -> Option<MemberId> {
        let eligible = |id: &MemberId| !excluded.contains(id) && !self.suspicions.contains_key(id);
        let candidates: Vec<MemberId> = self.live_others().filter(eligible).collect();
        let index = self.rng.random_range(0..candidates.len().max(1));
        candidates.get(index).copied()
    }

    /// The logarithm of the fleet's size, 1 or more: dissemination takes a multiple of so many periods.
    pub(crate) fn log_fleet_size(&self) -> u32 {
        (self.view.live_count().max(2) as u32).ilog2() + 1
    }

    /// The protocol period as this member's own slowness stretches it.
    pub(crate) fn scaled_period(&self) -> Micros {
        self.config.protocol_period * u64::from(self.health.multiplier())
    }

    /// Derives the partition status, where something has changed, and notes when this member is to wake next.
    fn update_partition_status(&mut self, now: Micros) {
        self.expected_wake = self.next_timeout().max(now);
        let contact = self.contact(now);
        if !self.view_changed && contact == self.contact {
            return;
        }
        self.view_changed = false;
        self.contact = contact;
        let status = self.voters.update(&self.view, contact);
        if status != self.partition_status {
            self.partition_status = status;
            self.events.push_back(Event::PartitionStatusChanged(status));
        }
    }

    fn contact(&self, now: Micros) -> Contact {
        // No answer is expected where all others left gracefully, or where there never was another member.
        let has_met_others = self.view.known_count() > 1;
        let expects_answers = if has_met_others {
            self.voters.count() > 1
        } else {
            self.config.seeds.iter().any(|seed| *seed != self.config.address)
        };
        let max_silence = MAX_UNANSWERED_PERIODS * self.scaled_period();
        let is_overdue = now.saturating_sub(self.last_answer) > max_silence;
        if expects_answers && self.own_record.state.is_live() && is_overdue {
            Contact::Unanswered
        } else {
            Contact::Answered
        }
    }
}

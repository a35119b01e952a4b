//! The state machine of one member: its state, and the order in which timeouts and messages are handled.

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

/// Number of protocol periods without any answer after which a member considers itself cut off from the fleet.
const MAX_UNANSWERED_PERIODS: u64 = 4;
/// Maximum number of members that a leaving member notifies directly; they disseminate the update.
const LEAVE_NOTIFICATIONS: usize = 6;
/// Messages that each member sends per suspect for the final probes when many members are dead, including those that
/// it sends as an intermediary.
const MESSAGES_PER_FINAL_PROBE: f64 = 5.0;
/// Interval between the timeouts of a superseded member, in protocol periods. Its timeouts do nothing.
const SUPERSEDED_TIMEOUT_PERIODS: u64 = 1000;

/// Configuration of a member.
#[derive(Clone, Debug)]
pub struct Config {
    /// The member's id.
    pub self_id: MemberId,
    /// The incarnation of the member's process. It must be greater than at every earlier start with the same id; the
    /// start time in microseconds meets that.
    pub incarnation: u64,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
    /// Addresses at which other members may be found. The member's own address may be among them and is skipped.
    pub seeds: Vec<SocketAddr>,
    /// Exclusive upper bound of member ids. Records with other ids are ignored.
    pub max_members: MemberId,
    /// The interval between two probes, in microseconds. The other durations of the protocol are derived from it.
    pub protocol_period: Micros,
    /// The minimum time that a suspect has to refute the suspicion, in microseconds, regardless of the fleet's size.
    pub min_suspicion_timeout: Micros,
    /// Maximum number of messages sent per second. Messages above the limit are dropped and not sent later.
    pub max_messages_per_second: f64,
    /// Seed of the random number generator.
    pub rng_seed: u64,
}

/// A change that the member reports to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member was added to the view, or its state, process or address has changed.
    MemberChanged(MemberRecord),
    /// The partition status of this member has changed.
    PartitionStatusChanged(PartitionStatus),
    /// A process that started later uses this member's id. This member sends no more messages, and its process has to
    /// exit.
    Superseded,
}

/// The membership protocol as run by one member of the fleet.
pub struct Membership {
    pub(crate) config: Config,
    pub(crate) rng: SmallRng,
    pub(crate) view: View,
    voters: Voters,
    partition_status: PartitionStatus,
    /// Whether the view has changed since the partition status was last computed.
    pub(crate) view_changed: bool,
    contact: Contact,
    /// The record of itself that this member announced last.
    pub(crate) own_record: MemberRecord,
    pub(crate) superseded: bool,
    pub(crate) suspicions: BTreeMap<MemberId, Suspicion>,
    pub(crate) probes: BTreeMap<u32, Probe>,
    /// Members that sent an outdated record of themselves. The next message to each carries the current record.
    pub(crate) outdated_members: BTreeSet<MemberId>,
    pub(crate) broadcasts: Broadcasts,
    pub(crate) anti_entropy: AntiEntropy,
    pub(crate) health: LocalHealth,
    next_period: Micros,
    /// The time at which the process should be scheduled next, as computed when it last ran. A later call shows by how
    /// much the process was delayed.
    pub(crate) expected_wake: Micros,
    /// Number of protocol periods since the start.
    pub(crate) periods: u64,
    /// Index of the candidate, a dead member or a seed, that was last probed to reconnect.
    pub(crate) reconnect_index: usize,
    /// The time of the last answer to a probe.
    pub(crate) last_answer: Micros,
    /// The time at which the last message from another member arrived.
    pub(crate) last_message: Micros,
    pub(crate) outbox: Outbox,
    pub(crate) events: VecDeque<Event>,
}

impl Membership {
    /// Creates a member that starts at `now`.
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
        // A random offset spreads the probes of members that were started at the same time.
        let next_period = now + rng.random_range(0..=config.protocol_period / 2);
        // A member that has seeds and has not reached any of them must not consider itself a complete fleet.
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

    /// Returns this member's id.
    pub fn id(&self) -> MemberId {
        self.config.self_id
    }

    /// Returns this member's current view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns which part of the fleet this member can reach.
    pub fn partition_status(&self) -> PartitionStatus {
        self.partition_status
    }

    /// Returns the number of voters, the members that count towards a majority.
    pub fn voter_count(&self) -> usize {
        self.voters.count()
    }

    /// Returns the summary that observers receive with each page of records.
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

    /// Returns the maximum time in microseconds from the death of a member until the view shows it. The bound holds
    /// while at most a fifth of all messages is lost and at most half of the fleet dies.
    ///
    /// It is the sum of one period until the member is probed, one more if the prober has died too, one until the probe
    /// fails, the periods of dissemination, the longest suspicion timeout and the final probe. If several members die
    /// at once (`simultaneous_deaths`), the rate limit spreads their final probes over time.
    pub fn detection_bound(&self, simultaneous_deaths: usize) -> Micros {
        let dissemination_periods = 2 * u64::from(self.log_fleet_size());
        let final_probe_seconds =
            simultaneous_deaths as f64 * MESSAGES_PER_FINAL_PROBE / self.config.max_messages_per_second;
        let final_probe_micros = final_probe_seconds * 1e6;
        self.scaled_period() * (5 + dissemination_periods)
            + self.suspicion_timeout(1)
            + final_probe_micros as Micros
    }

    /// Returns the next message to send, if any.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.outbox.pop()
    }

    /// Returns the next event, if any.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Returns the time at which [`Membership::handle_timeout`] has to be called.
    pub fn next_timeout(&self) -> Micros {
        let probes = self.probes.values().map(Probe::next_timeout);
        let suspicions = self.suspicions.values().filter(|suspicion| !suspicion.final_probe_sent);
        let final_probes = suspicions.map(|suspicion| self.final_probe_due(suspicion));
        probes.chain(final_probes).fold(self.next_period, Micros::min)
    }

    /// Leaves the fleet gracefully. Some members are notified at once; the others learn of it from answers to their
    /// probes, as long as the process runs, and by dissemination.
    pub fn leave(&mut self, now: Micros) {
        self.account_for_stall(now);
        if !self.own_record.state.is_live() {
            return;
        }
        self.announce(now, MemberState::Left, self.own_record.version + 1);
        // Notifies several members, as the process may exit right after the call.
        let others: Vec<MemberId> = self.live_others().collect();
        let notified = others.len().min(LEAVE_NOTIFICATIONS);
        for step in 0..notified {
            self.send(now, others[(step * others.len()) / notified], Kind::Records, 0);
        }
        self.update_partition_status(now);
    }

    /// Runs all timeouts that are due at `now`: indirect probes, expired probes, final probes and the protocol period.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.superseded {
            self.next_period = now + self.config.protocol_period * SUPERSEDED_TIMEOUT_PERIODS;
            return;
        }
        self.account_for_stall(now);
        self.send_indirect_probes(now);
        self.expire_probes(now);
        self.send_final_probes(now);
        if now >= self.next_period {
            // The next period is counted from the scheduled start of this one, so that a late call causes no drift.
            let period = self.scaled_period();
            self.next_period = (self.next_period + period).max(now + period / 2);
            self.start_period(now);
        }
        self.update_partition_status(now);
    }

    fn start_period(&mut self, now: Micros) {
        self.periods += 1;
        if !self.own_record.state.is_live() {
            return; // a member that has left still answers probes, but sends none
        }
        self.probe_next_member(now);
        self.reconnect_if_due(now);
        // Updates that are still pending are sent to one random member.
        if !self.broadcasts.is_empty() {
            if let Some(receiver) = self.random_member(&[]) {
                self.send(now, receiver, Kind::Records, 0);
            }
        }
    }

    /// Handles a message that arrived at `now` from the address `source`. `from` is the member that signed it; the
    /// caller must have verified the signature.
    ///
    /// # Errors
    /// Returns [`Malformed`] if the bytes are not a message of this protocol. The state is unchanged then.
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

    /// Returns the ids of all live members other than this one.
    pub(crate) fn live_others(&self) -> impl Iterator<Item = MemberId> + '_ {
        let self_id = self.config.self_id;
        self.view.live().map(|member| member.record.id).filter(move |id| *id != self_id)
    }

    /// Picks a random live member that is neither suspected nor in `excluded`.
    pub(crate) fn random_member(&mut self, excluded: &[MemberId]) -> Option<MemberId> {
        let eligible = |id: &MemberId| !excluded.contains(id) && !self.suspicions.contains_key(id);
        let candidates: Vec<MemberId> = self.live_others().filter(eligible).collect();
        let index = self.rng.random_range(0..candidates.len().max(1));
        candidates.get(index).copied()
    }

    /// Returns the binary logarithm of the number of live members (at least 2), rounded down, plus 1. The number of
    /// periods that dissemination takes is proportional to it.
    pub(crate) fn log_fleet_size(&self) -> u32 {
        (self.view.live_count().max(2) as u32).ilog2() + 1
    }

    /// Returns the protocol period, multiplied by the local health multiplier.
    pub(crate) fn scaled_period(&self) -> Micros {
        self.config.protocol_period * u64::from(self.health.multiplier())
    }

    /// Recomputes the partition status if the view or the contact with other members has changed, and sets the time
    /// at which the process should run next.
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
        // No answer is expected if all other members have left gracefully, or if there never was another member.
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

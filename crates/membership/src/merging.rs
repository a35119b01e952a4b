//! Merging received records into the view, and refuting wrong records about this member.

use crate::membership::{Event, Membership};
use crate::view::{MemberRecord, MemberState, VERSION_LIMIT};
use crate::{MemberId, Micros};

impl Membership {
    /// Stores a record in the view, emits an event and queues the record for dissemination.
    pub(crate) fn apply(&mut self, now: Micros, record: MemberRecord) {
        self.view.put(record, now);
        self.view_changed = true;
        self.anti_entropy.equal_digests = 0;
        if !record.state.is_live() {
            self.suspicions.remove(&record.id);
        }
        self.events.push_back(Event::MemberChanged(record));
        self.broadcasts.add(record.id);
    }

    /// Announces a new state and version of this member itself.
    pub(crate) fn announce(&mut self, now: Micros, state: MemberState, version: u32) {
        self.own_record.state = state;
        self.own_record.version = version;
        self.apply(now, self.own_record);
    }

    /// Merges a record received from the member `from`.
    pub(crate) fn merge(&mut self, now: Micros, record: MemberRecord, from: MemberId) {
        if record.id == self.config.self_id {
            self.refute(now, record);
            return;
        }
        if record.id >= self.config.max_members {
            return;
        }
        let Some(known) = self.view.get(record.id).map(|member| member.record) else {
            self.merge_unknown(now, record);
            return;
        };
        if record.id == from {
            self.note_if_outdated(from, &record, &known);
        }
        match record.state {
            MemberState::Alive => self.merge_alive(now, record, &known),
            MemberState::Suspect => self.merge_suspect(now, record, &known),
            MemberState::Dead | MemberState::Left => self.merge_not_live(now, record, &known, from),
        }
    }

    fn merge_unknown(&mut self, now: Micros, record: MemberRecord) {
        if record.state != MemberState::Suspect {
            self.apply(now, record);
            return;
        }
        self.apply(now, MemberRecord { state: MemberState::Alive, ..record });
        self.suspect(now, record.id, record.reported_by, None);
    }

    /// Records whether a member's record of itself is older than the known one. If so, the next message to that member
    /// carries the known record.
    fn note_if_outdated(&mut self, from: MemberId, record: &MemberRecord, known: &MemberRecord) {
        if record.precedence() < known.precedence() {
            self.outdated_members.insert(from);
        } else {
            self.outdated_members.remove(&from);
        }
    }

    fn merge_alive(&mut self, now: Micros, record: MemberRecord, known: &MemberRecord) {
        if record.precedence() > known.precedence() {
            self.suspicions.remove(&record.id);
            self.apply(now, record);
        }
    }

    fn merge_suspect(&mut self, now: Micros, record: MemberRecord, known: &MemberRecord) {
        let reported = (record.version, record.incarnation);
        let current = (known.version, known.incarnation);
        if reported > current {
            self.suspicions.remove(&record.id);
            self.apply(now, MemberRecord { state: MemberState::Alive, ..record });
        }
        if reported >= current {
            self.suspect(now, record.id, record.reported_by, None);
        }
    }

    fn merge_not_live(&mut self, now: Micros, record: MemberRecord, known: &MemberRecord, from: MemberId) {
        if !known.state.is_live() || record.id == from {
            if record.precedence() > known.precedence() {
                self.apply(now, record);
            }
            return;
        }
        // A member that is live in this view is reported dead or left by another member. The report only starts a
        // suspicion: this member notifies the suspect and probes it itself.
        if record.version > known.version + 1 {
            let version = record.version - 1;
            let incarnation = record.incarnation;
            self.apply(now, MemberRecord { state: MemberState::Alive, version, incarnation, ..*known });
        }
        if record.version > known.version {
            self.suspect(now, record.id, from, Some(record.state));
        }
    }

    /// Refutes a wrong record about this member by announcing a higher version.
    fn refute(&mut self, now: Micros, record: MemberRecord) {
        if record.incarnation > self.own_record.incarnation {
            self.superseded = true;
            self.outbox.clear();
            self.events.push_back(Event::Superseded);
            return;
        }
        if record.version < self.own_record.version || record.version + 2 >= VERSION_LIMIT {
            return;
        }
        let is_newer = record.version > self.own_record.version;
        if !self.own_record.state.is_live() {
            if is_newer {
                self.announce(now, MemberState::Left, record.version | 1);
            }
            return;
        }
        let is_correct =
            record.state == MemberState::Alive && record.incarnation == self.own_record.incarnation;
        if !is_newer && is_correct {
            return;
        }
        if !is_newer && record.state == MemberState::Suspect {
            self.health.degrade(); // this member did not answer some member in time
        }
        self.announce(now, MemberState::Alive, (record.version | 1) + 1);
    }
}

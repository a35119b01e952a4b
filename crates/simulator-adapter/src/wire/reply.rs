//! Encodes replies: the actions that answer a batch.

use super::layout::{
    action_code, add_to_counter, backend_action, cancel, final_answer, log, record, send_gossip, set_timer,
    start_attempt, watch_endpoints, ACTION_BYTES, ALL_GATEWAYS, BACKEND_BYTES, REPLY_HEADER_BYTES,
};
use chalkgap_core::{Action, BackendId, Micros};

/// A reply under construction.
pub struct Reply {
    batch_number: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Creates an empty reply to the batch with this number.
    pub fn new(batch_number: u32) -> Self {
        Reply { batch_number, records: Vec::new(), tail: Vec::new() }
    }

    /// Appends the actions of a gateway, in their order.
    pub fn push(&mut self, instance: u16, actions: &[Action]) {
        for action in actions {
            let record = self.encode(instance, action);
            self.records.extend_from_slice(&record.0);
        }
    }

    /// Returns the whole frame.
    #[must_use]
    pub fn finish(self) -> Vec<u8> {
        let length = REPLY_HEADER_BYTES + self.records.len() + self.tail.len();
        let record_count = self.records.len() / ACTION_BYTES;
        let mut frame = Vec::with_capacity(length);
        frame.extend_from_slice(&(record_count as u32).to_le_bytes());
        frame.extend_from_slice(&(length as u32).to_le_bytes());
        frame.extend_from_slice(&self.batch_number.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }

    fn encode(&mut self, instance: u16, action: &Action) -> ActionRecord {
        let record = |code: u8| ActionRecord::new(code, instance);
        match action {
            // The simulator begins every attempt at once, which is never later than `start_by`.
            Action::StartAttempt { id, backend, give_up_at, start_by: _ } => {
                record(action_code::START_ATTEMPT)
                    .u64(start_attempt::REQUEST_ID, id.0)
                    .u64(start_attempt::GIVE_UP_AT, *give_up_at)
                    .backend(start_attempt::BACKEND, *backend)
            }
            Action::Reject { id, retry_after } => record(action_code::REJECT)
                .u64(final_answer::REQUEST_ID, id.0)
                .u32(final_answer::RETRY_AFTER, saturate(*retry_after)),
            Action::Fail(id) => record(action_code::FAIL).u64(final_answer::REQUEST_ID, id.0),
            Action::Cancel { id, attempt } => {
                record(action_code::CANCEL).u64(cancel::REQUEST_ID, id.0).u16(cancel::ATTEMPT, *attempt)
            }
            Action::SetTimer { delay, token } => record(action_code::SET_TIMER)
                .u32(set_timer::DELAY, saturate(*delay))
                .u32(set_timer::TOKEN, *token),
            Action::CheckHealth(backend) => {
                record(action_code::CHECK_HEALTH).backend(backend_action::BACKEND, *backend)
            }
            Action::CloseIdle(backend) => {
                record(action_code::CLOSE_IDLE).backend(backend_action::BACKEND, *backend)
            }
            Action::SendGossip { to, bytes } => {
                let receiver = to.map_or(ALL_GATEWAYS, |peer| peer.0);
                let record = record(action_code::SEND_GOSSIP).u16(send_gossip::RECEIVER, receiver);
                self.append_to_tail(record, send_gossip::MESSAGE, bytes)
            }
            Action::Log(line) => self.append_to_tail(record(action_code::LOG), log::MESSAGE, line.as_bytes()),
            Action::WatchEndpoints(enabled) => {
                record(action_code::WATCH_ENDPOINTS).put(watch_endpoints::ENABLED, &[u8::from(*enabled)])
            }
            Action::FetchEndpoints => record(action_code::FETCH_ENDPOINTS),
            Action::AddToCounter { name, delta, lifetime } => record(action_code::ADD_TO_COUNTER)
                .u32(add_to_counter::LIFETIME, saturate(*lifetime))
                .put(add_to_counter::DELTA, &(*delta as f32).to_le_bytes())
                .u64(add_to_counter::NAME, *name),
        }
    }

    /// Appends bytes to the tail and writes their offset and length to `at` in the record.
    fn append_to_tail(&mut self, record: ActionRecord, at: usize, bytes: &[u8]) -> ActionRecord {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(bytes);
        record.u32(at, offset).u32(at + size_of::<u32>(), bytes.len() as u32)
    }
}

/// Converts a duration to the protocol's 32 bits; a longer one becomes `u32::MAX` microseconds.
fn saturate(micros: Micros) -> u32 {
    u32::try_from(micros).unwrap_or(u32::MAX)
}

/// The record of an action. Bytes outside its fields are zero.
struct ActionRecord([u8; ACTION_BYTES]);

impl ActionRecord {
    fn new(code: u8, instance: u16) -> Self {
        ActionRecord([0; ACTION_BYTES]).put(record::CODE, &[code]).u16(record::INSTANCE, instance)
    }

    fn put(mut self, at: usize, bytes: &[u8]) -> Self {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
        self
    }

    fn u16(self, at: usize, value: u16) -> Self {
        self.put(at, &value.to_le_bytes())
    }

    fn u32(self, at: usize, value: u32) -> Self {
        self.put(at, &value.to_le_bytes())
    }

    fn u64(self, at: usize, value: u64) -> Self {
        self.put(at, &value.to_le_bytes())
    }

    fn backend(self, at: usize, backend: BackendId) -> Self {
        self.put(at, &backend.0.to_le_bytes()[..BACKEND_BYTES])
    }
}

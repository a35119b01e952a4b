//! Detection of clients that make no progress.
//!
//! Timeouts are measured in *client time*, which does not advance while this process stalls. Bytes that a client sends
//! during a stall are read only afterwards, so the stall must not count against the client.

use super::calls::Call;
use super::connection::{ClientConnection, ClientPipe};
use crate::telemetry::add;
use chalkgap_runtime::Micros;
use chalkgap_wire::grpc::{Code, Status};

/// Minimum interval between two checks. After a stall, a check may be due by the clock but not in client time.
const MIN_CHECK_INTERVAL: Micros = 1000;
/// A time in the far future, with headroom for additions.
const NEVER: Micros = u64::MAX / 2;

/// A frame that is partly received.
struct PartialFrame {
    since: Micros,
    /// Bytes that the connection had received at `since`.
    received_before: u64,
}

/// Output that the client has not read.
struct UnreadOutput {
    /// Start of the backlog by the pipe's clock.
    since_by_pipe: Micros,
    /// Start of the backlog in client time.
    since: Micros,
    /// Bytes written to the client since then.
    written: u64,
}

/// State of the detection for a connection. Times are client time unless stated otherwise.
pub(super) struct ProgressWatch {
    opened_at: Micros,
    partial_frame: Option<PartialFrame>,
    unread_output: Option<UnreadOutput>,
    /// Time of the next check of calls with incomplete messages; `None` without such calls.
    pub next_message_check: Option<Micros>,
    pub idle_since: Micros,
    goaway_sent: bool,
    /// Difference between the clock and client time, as of the last check.
    stalled: Micros,
}

impl ProgressWatch {
    /// Creates the state of a connection that opens now, which is `opened_at` in client time and `now` by the clock.
    pub fn new(opened_at: Micros, now: Micros) -> Self {
        ProgressWatch {
            opened_at,
            partial_frame: None,
            unread_output: None,
            next_message_check: None,
            idle_since: opened_at,
            goaway_sent: false,
            stalled: now.saturating_sub(opened_at),
        }
    }
}

impl ClientConnection {
    /// Returns client time, without stalls since the last check.
    pub(super) fn client_time(&self) -> Micros {
        self.context.runtime.now().saturating_sub(self.progress.stalled)
    }

    fn idle_timeout(&self) -> Micros {
        self.context.settings.settings.admission.idle_ms * 1000
    }

    /// Returns the time by the clock of the next check: the earliest time at which the client can be too slow.
    pub(super) fn next_progress_check(&mut self, pipe: &ClientPipe) -> Micros {
        let minimum = self.permit.minimum_throughput();
        let received = pipe.conn.received();
        let now = self.client_time();
        let idle_deadline = self.progress.idle_since + self.idle_timeout();
        let progress = &mut self.progress;
        if !pipe.conn.has_partial_input() {
            progress.partial_frame = None;
        } else if progress.partial_frame.is_none() {
            progress.partial_frame = Some(PartialFrame { since: now, received_before: received });
        }
        progress.unread_output = pipe.backlog().map(|(since_by_pipe, written)| {
            let known = progress.unread_output.as_ref();
            let known = known.filter(|unread| unread.since_by_pipe == since_by_pipe);
            UnreadOutput { since_by_pipe, since: known.map_or(now, |unread| unread.since), written }
        });
        let handshake = (!pipe.conn.settings_received()).then_some(progress.opened_at + minimum.grace_period);
        let frame = progress.partial_frame.as_ref();
        let frame = frame.map(|frame| minimum.deadline(frame.since, received - frame.received_before));
        let unread = progress.unread_output.as_ref();
        let unread = unread.map(|unread| minimum.deadline(unread.since, unread.written));
        let idle = self.calls.is_empty().then_some(idle_deadline);
        let deadlines = [handshake, frame, unread, progress.next_message_check, idle];
        let next = deadlines.into_iter().flatten().min().unwrap_or(NEVER);
        next.max(now + MIN_CHECK_INTERVAL) + progress.stalled
    }

    /// Ends calls whose messages arrive too slowly. Returns the reason if the whole connection is to be closed.
    pub(super) fn check_progress(&mut self, pipe: &mut ClientPipe) -> Option<&'static str> {
        let minimum = self.permit.minimum_throughput();
        let now = self.permit.time_without_stalls();
        let received = pipe.conn.received();
        let idle_timeout = self.idle_timeout();
        let progress = &mut self.progress;
        progress.stalled = self.context.runtime.now().saturating_sub(now);
        if !pipe.conn.settings_received() && now >= progress.opened_at + minimum.grace_period {
            return Some("no SETTINGS in time");
        }
        let frame = progress.partial_frame.as_ref();
        if frame.is_some_and(|frame| minimum.is_too_slow(now, frame.since, received - frame.received_before))
        {
            return Some("a frame that does not come to its end");
        }
        let unread = progress.unread_output.as_ref();
        if unread.is_some_and(|unread| minimum.is_too_slow(now, unread.since, unread.written)) {
            return Some("answers lie unread");
        }
        if self.calls.is_empty() && now >= progress.idle_since + idle_timeout {
            if progress.goaway_sent {
                return Some("idle, and did not go when it was told to");
            }
            progress.goaway_sent = true;
            pipe.conn.shutdown();
            // The client has one grace period to close the connection.
            progress.idle_since = (now + minimum.grace_period).saturating_sub(idle_timeout);
        }
        self.end_slow_messages(now, pipe);
        None
    }

    fn end_slow_messages(&mut self, now: Micros, pipe: &mut ClientPipe) {
        let minimum = self.permit.minimum_throughput();
        self.progress.next_message_check = None;
        let mut too_slow = Vec::new();
        for (stream, call) in &self.calls {
            let Call::Reading { opened_at, bytes, .. } = call else { continue };
            if minimum.is_too_slow(now, *opened_at, *bytes) {
                too_slow.push(*stream);
                continue;
            }
            let deadline = minimum.deadline(*opened_at, *bytes);
            let next = self.progress.next_message_check;
            self.progress.next_message_check = Some(next.map_or(deadline, |next| next.min(deadline)));
        }
        // In the order in which the calls were opened, as the order of the map is random.
        too_slow.sort_unstable();
        for stream in too_slow {
            add(&self.context.telemetry.too_slow);
            let text = "the message came too slowly: it was not taken";
            self.end_invalid(stream, &Status::new(Code::DeadlineExceeded, text), pipe);
        }
    }
}

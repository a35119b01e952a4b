//! gRPC calls on a connection: sends attempts as calls, and converts their responses to results.

use super::connection::ConnectionTask;
use super::{Command, OutboundAttempt};
use crate::messages::{node_request_id, AttemptResult};
use bytes::Bytes;
use chalkgap_core::{LoadReport, Outcome};
use chalkgap_runtime::Micros;
use chalkgap_transport::Pipe;
use chalkgap_wire::grpc::{self, Deframer, Status};
use chalkgap_wire::http2::{Code, Event, Field};
use chalkgap_wire::intake::{self, Done};
use chalkgap_wire::{orca, truth};
use prost::Message;
use std::sync::atomic::Ordering;

/// A call that was written and whose response is not complete.
pub(super) struct OpenCall {
    pub call: Box<OutboundAttempt>,
    body: Deframer,
    message: Option<Bytes>,
    /// The response headers have arrived, and their status was 200.
    status_ok: bool,
}

/// Returns the result of an attempt that received no answer.
pub(super) fn result_without_answer(call: &OutboundAttempt, outcome: Outcome) -> AttemptResult {
    AttemptResult::without_answer(call.id, call.attempt, outcome)
}

impl ConnectionTask {
    /// Opens streams for the attempts that are not written yet, up to the node's limit on concurrent streams.
    pub(super) fn write_unsent(&mut self, pipe: &mut Pipe<Command>) {
        while pipe.conn.settings_received() && pipe.conn.can_open().is_ok() {
            let Some(call) = self.unsent.pop_front() else { return };
            let now = self.shared.runtime.now();
            let time_left = call.deadline.saturating_sub(now);
            if time_left == 0 || !call.may_be_written(now) {
                self.results.push(result_without_answer(&call, Outcome::NotSent));
                continue;
            }
            let Ok(stream) = pipe.conn.open(&self.headers(&call, time_left), false) else {
                self.results.push(result_without_answer(&call, Outcome::NotSent));
                continue;
            };
            call.record_written(now);
            // Cannot fail: the stream is new and its buffer empty.
            let _ = pipe.conn.data(stream, call.work.body.clone(), true);
            let body = Deframer::new(self.shared.settings.settings.upstream.most_message);
            self.open.insert(stream, OpenCall { call, body, message: None, status_ok: false });
        }
    }

    fn headers(&self, call: &OutboundAttempt, timeout: Micros) -> Vec<Field> {
        let class = &self.shared.settings.settings.classes[usize::from(call.class)].name;
        let mut fields = vec![
            Field::constant(":method", "POST"),
            Field::constant(":scheme", "http"),
            Field::new(":path", format!("{}{class}", intake::PATH_PREFIX)),
            Field::new(":authority", self.address.to_string()),
            Field::constant("content-type", "application/grpc"),
            Field::constant("te", "trailers"),
            Field::new("grpc-timeout", grpc::format_timeout(timeout)),
            Field::new(intake::REQUEST_ID_HEADER, node_request_id(&self.shared.instance_name, call.id)),
        ];
        if let Some(at) = call.ledger_entry_at {
            fields.push(Field::new(truth::ACCEPTED_AT_HEADER, at.to_string()));
        }
        if let Some(key) = &call.work.idempotency_key {
            fields.push(Field::new(intake::IDEMPOTENCY_KEY_HEADER, key.clone()));
        }
        fields
    }

    pub(super) fn handle_events(&mut self, pipe: &mut Pipe<Command>) {
        while let Some(event) = pipe.conn.event() {
            match event {
                Event::Headers { stream, fields, end } => self.on_headers(stream, &fields, end, pipe),
                Event::Data { stream, data, end } => {
                    pipe.conn.consumed(stream, data.len());
                    self.on_data(stream, &data, end, pipe);
                }
                Event::Reset { stream, code, local } => {
                    let Some(open) = self.open.remove(&stream) else { continue };
                    // RFC 9113, section 8.7: with REFUSED_STREAM the node has not processed the request.
                    let not_processed = code == Code::REFUSED_STREAM && !local;
                    let outcome = if not_processed { Outcome::Rejected } else { Outcome::Reset };
                    self.results.push(result_without_answer(&open.call, outcome));
                    self.idle_since = self.shared.runtime.now();
                }
                Event::GoAway(code) => {
                    self.accepts_calls.store(false, Ordering::Relaxed);
                    tracing::debug!(node = %self.address, %code, "goaway from node");
                }
                Event::Ready | Event::Pong => {}
            }
        }
    }

    /// Handles response headers or trailers.
    fn on_headers(&mut self, stream: u32, fields: &[Field], end: bool, pipe: &mut Pipe<Command>) {
        let Some(open) = self.open.get_mut(&stream) else { return };
        if !open.status_ok {
            open.status_ok = fields.iter().any(|field| field.name == ":status" && field.value == "200");
        }
        if end || !open.status_ok {
            self.finish(stream, fields, pipe);
        }
    }

    fn on_data(&mut self, stream: u32, data: &Bytes, end: bool, pipe: &mut Pipe<Command>) {
        let Some(open) = self.open.get_mut(&stream) else { return };
        open.body.push(data);
        match open.body.message() {
            Ok(Some(message)) if open.message.is_none() && !end => open.message = Some(message),
            Ok(None) if !end => {}
            // The message is too large, or is a second one, or the stream ended without trailers: the node ran the
            // request, but there is no usable answer.
            _ => self.finish(stream, &[], pipe),
        }
    }

    /// Ends a call whose response is complete or cannot become complete.
    fn finish(&mut self, stream: u32, trailers: &[Field], pipe: &mut Pipe<Command>) {
        let Some(open) = self.open.remove(&stream) else { return };
        pipe.conn.reset(stream, Code::CANCEL); // no effect on a closed stream
        self.idle_since = self.shared.runtime.now();
        let status = Status::from_fields(trailers);
        let complete = open.status_ok && status.code == grpc::Code::Ok && !open.body.partial();
        let answer = open.message.filter(|_| complete).and_then(|message| Done::decode(message).ok());
        let outcome = if answer.is_some() { Outcome::Ok } else { Outcome::Error };
        let Done { body, units, repeat } = answer.unwrap_or_default();
        self.results.push(AttemptResult {
            report: load_report(trailers),
            body,
            used_units: units,
            deduplicated: repeat,
            ..result_without_answer(&open.call, outcome)
        });
    }
}

/// Returns the ORCA load report in the trailers of a call, if there is one.
fn load_report(trailers: &[Field]) -> Option<LoadReport> {
    let field = trailers.iter().find(|field| field.name == orca::TRAILER)?;
    let load = orca::parse(&field.value)?;
    Some(LoadReport {
        in_flight: load.in_flight,
        queued: load.queue,
        utilization: load.cpu_utilization.or(load.application_utilization),
        latency_ms: load.latency_ms,
        requests_per_second: load.rps,
        errors_per_second: load.eps,
    })
}

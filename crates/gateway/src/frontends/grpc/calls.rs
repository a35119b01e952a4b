//! Calls of a gRPC client, from their headers to their answer.

use super::connection::{ClientConnection, ClientPipe};
use super::request::parse_request;
use super::responses::{self, Outcome};
use crate::connection_gate::RequestEnd;
use crate::frontends::request_end;
use crate::messages::{PendingRequest, Response};
use crate::telemetry::add;
use bytes::Bytes;
use chalkgap_core::RequestId;
use chalkgap_runtime::Micros;
use chalkgap_wire::grpc::{self, Code, Deframer, Status};
use chalkgap_wire::http2::Field;
use chalkgap_wire::ratelimit::{
    HealthCheckRequest, HealthCheckResponse, RateLimitRequest, HEALTH_CHECK, SHOULD_RATE_LIMIT,
};
use prost::Message;

const RATE_LIMIT_SERVICE: &str = "envoy.service.ratelimit.v3.RateLimitService";
/// Value of `grpc.health.v1.HealthCheckResponse.ServingStatus`.
const SERVING: i32 = 1;
/// Value of `grpc.health.v1.HealthCheckResponse.ServingStatus`.
const NOT_SERVING: i32 = 2;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Method {
    ShouldRateLimit,
    HealthCheck,
}

/// An open call.
pub(super) enum Call {
    /// The call's message is incomplete.
    Reading {
        method: Method,
        body: Deframer,
        /// Earliest time at which the headers may have arrived.
        arrived_at: Micros,
        timeout: Option<Micros>,
        /// Client time at which the headers were read.
        opened_at: Micros,
        /// Number of bytes of the message received so far.
        bytes: u64,
    },
    /// The driver handles the call's request.
    Waiting { id: RequestId, descriptors: usize, account: u64, preferred: bool },
}

impl Call {
    /// Returns the number of bytes of the call's message that were received while it is incomplete.
    pub(super) fn unfinished_bytes(&self) -> usize {
        match self {
            Call::Reading { bytes, .. } => *bytes as usize,
            Call::Waiting { .. } => 0,
        }
    }
}

/// Reason for which a call is rejected by its headers.
enum HeaderError {
    /// The request is not gRPC and is answered with this HTTP status.
    Http(&'static str),
    Grpc(Status),
}

impl ClientConnection {
    /// Checks a call's headers and opens the call. Returns false if the headers are invalid and the call is answered.
    pub(super) fn open_call(&mut self, stream: u32, fields: &[Field], pipe: &mut ClientPipe) -> bool {
        let (method, timeout) = match parse_headers(fields) {
            Ok(parsed) => parsed,
            Err(HeaderError::Http(status)) => {
                let _ = pipe.conn.headers(stream, vec![Field::constant(":status", status)], true);
                return false;
            }
            Err(HeaderError::Grpc(status)) => {
                self.end_invalid(stream, &status, pipe);
                return false;
            }
        };
        let body = Deframer::new(self.context.settings.settings.front.most_message);
        let arrived_at = self.permit.earliest_arrival();
        let opened_at = self.client_time();
        let first_check = opened_at + self.permit.minimum_throughput().grace_period;
        self.progress.next_message_check.get_or_insert(first_check);
        let call = Call::Reading { method, body, arrived_at, timeout, opened_at, bytes: 0 };
        self.calls.insert(stream, call);
        true
    }

    /// Ends an invalid call, which is not passed to the driver.
    pub(super) fn end_invalid(&mut self, stream: u32, status: &Status, pipe: &mut ClientPipe) {
        add(&self.context.telemetry.invalid);
        self.calls.remove(&stream);
        responses::send_status(pipe, stream, status);
    }

    /// Reads bytes of a call's message. Once the message is complete, answers a health check or returns the request for
    /// the driver.
    pub(super) fn read_message(
        &mut self,
        stream: u32,
        data: &Bytes,
        end: bool,
        pipe: &mut ClientPipe,
    ) -> Result<Option<Box<PendingRequest>>, Status> {
        let Some(Call::Reading { method, body, arrived_at, timeout, bytes, .. }) =
            self.calls.get_mut(&stream)
        else {
            return Ok(None);
        };
        *bytes += data.len() as u64;
        body.push(data);
        let Some(message) = body.message()? else {
            let incomplete = Status::new(Code::InvalidArgument, "expected a whole message");
            return if end { Err(incomplete) } else { Ok(None) };
        };
        let arrived_at = *arrived_at;
        let timeout = *timeout;
        match *method {
            Method::HealthCheck => self.check_health(stream, message, pipe).map(|()| None),
            Method::ShouldRateLimit => self.start_request(stream, message, arrived_at, timeout).map(Some),
        }
    }

    fn check_health(&mut self, stream: u32, message: Bytes, pipe: &mut ClientPipe) -> Result<(), Status> {
        let request = HealthCheckRequest::decode(message).map_err(undecodable)?;
        if !request.service.is_empty() && request.service != RATE_LIMIT_SERVICE {
            let text = format!("no service {:?} here", request.service);
            return Err(Status::new(Code::NotFound, text));
        }
        self.calls.remove(&stream);
        let status = if self.draining { NOT_SERVING } else { SERVING };
        responses::send_message(pipe, stream, &HealthCheckResponse { status });
        Ok(())
    }

    fn start_request(
        &mut self,
        stream: u32,
        message: Bytes,
        arrived_at: Micros,
        timeout: Option<Micros>,
    ) -> Result<Box<PendingRequest>, Status> {
        let message = RateLimitRequest::decode(message).map_err(undecodable)?;
        let descriptors = message.descriptors.len();
        let id = self.context.next_request_id();
        let request = parse_request(&self.context.settings.settings.front, message, arrived_at, timeout)?;
        let request = self.context.pending_request(id, request, stream, self.response_sender.clone());
        let request = request.map_err(|error| responses::invalid_request(&error))?;
        let call = Call::Waiting {
            id,
            descriptors,
            account: request.customer.id.0,
            preferred: self.context.is_preferred(&request),
        };
        self.calls.insert(stream, call);
        Ok(Box::new(request))
    }

    /// Sends the driver's response to the client.
    pub(super) fn answer(&mut self, response: Response, pipe: &mut ClientPipe) {
        self.awaiting_response -= 1;
        if self.calls.len() <= 1 {
            self.progress.idle_since = self.client_time();
        }
        let stream = response.token;
        let is_its_call = |call: &Call| matches!(call, Call::Waiting { id, .. } if *id == response.id);
        if !self.calls.get(&stream).is_some_and(is_its_call) {
            // The client has reset this call.
            return self.permit.request_ended(RequestEnd::Other);
        }
        let Some(Call::Waiting { descriptors, account, preferred, .. }) = self.calls.remove(&stream) else {
            return;
        };
        self.permit.request_ended(request_end(&response.answer, account, preferred));
        match responses::outcome(response.answer, descriptors) {
            Some(Outcome::Message(message)) => responses::send_message(pipe, stream, &*message),
            Some(Outcome::Status(status)) => responses::send_status(pipe, stream, &status),
            None => {}
        }
    }
}

fn undecodable(error: prost::DecodeError) -> Status {
    Status::new(Code::InvalidArgument, format!("message: {error}"))
}

/// Parses the method and the timeout from a call's headers.
fn parse_headers(fields: &[Field]) -> Result<(Method, Option<Micros>), HeaderError> {
    let field = |name: &str| fields.iter().find(|field| field.name == name).map(|field| &field.value[..]);
    let invalid = |code, text: String| HeaderError::Grpc(Status::new(code, text));
    if field(":method") != Some(b"POST") {
        return Err(HeaderError::Http("405"));
    }
    if !field("content-type").is_some_and(|value| value.starts_with(b"application/grpc")) {
        return Err(HeaderError::Http("415"));
    }
    let path = field(":path").unwrap_or_default();
    let method = if path == SHOULD_RATE_LIMIT.as_bytes() {
        Method::ShouldRateLimit
    } else if path == HEALTH_CHECK.as_bytes() {
        Method::HealthCheck
    } else {
        let path = String::from_utf8_lossy(path);
        let text = format!("{path}: expected {SHOULD_RATE_LIMIT} or {HEALTH_CHECK}");
        return Err(invalid(Code::Unimplemented, text));
    };
    if let Some(encoding) = field("grpc-encoding").filter(|encoding| *encoding != b"identity") {
        let encoding = String::from_utf8_lossy(encoding);
        let text = format!("grpc-encoding {encoding}: only identity is taken");
        return Err(invalid(Code::Unimplemented, text));
    }
    let Some(timeout) = field("grpc-timeout") else { return Ok((method, None)) };
    let timeout = grpc::parse_timeout(timeout).ok_or_else(|| {
        let text = "grpc-timeout: expected one to eight digits and a unit of H, M, S, m, u or n";
        invalid(Code::InvalidArgument, text.into())
    })?;
    Ok((method, Some(timeout)))
}

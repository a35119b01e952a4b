//! Decodes records into events of the decision module.

use super::batch::Record;
use super::bytes::{backend_at, f64_at, u16_at, u32_at, u64_at};
use super::error::{FieldError, WireError};
use super::layout::{
    attempt_finished, client_cancelled, counter_updated, endpoint, endpoints, event_code, first_byte,
    gossip_received, health_checked, outcome_code, record, request, start, timer, ENDPOINT_BYTES,
    MAX_REPORT_VALUES,
};
use chalkgap_core::{
    Availability, CustomerId, Endpoint, EndpointUpdate, Event, GatewayId, LoadReport, Outcome, Request,
    RequestId,
};

/// The content of a record.
#[derive(Debug)]
pub enum Decoded<'a> {
    /// The gateway starts. It replaces an earlier gateway with the same number.
    Start {
        /// Seed of the gateway's random numbers.
        seed: u64,
        /// The gateway's settings, as lines of `path=value`.
        settings: &'a str,
    },
    /// The gateway was killed.
    Stop,
    /// An event for the gateway to handle.
    Event(Event),
}

impl<'a> Record<'a> {
    /// Decodes the record. Returns `None` if the adapter does not know its code. `load_report_fields` are the names
    /// of the values in load reports, from the settings of the record's gateway.
    ///
    /// # Errors
    /// Returns [`WireError::Field`] if a field is invalid.
    pub fn decode(&self, load_report_fields: &[String]) -> Result<Option<Decoded<'a>>, WireError> {
        let body = self.body;
        let event = match body[record::CODE] {
            event_code::START => return self.start().map(Some),
            event_code::STOP => return Ok(Some(Decoded::Stop)),
            event_code::ENDPOINTS => self.endpoint_update()?,
            event_code::REQUEST => self.request(),
            event_code::HEALTH_CHECKED => self.health_checked(load_report_fields)?,
            event_code::ATTEMPT_FINISHED => self.attempt_finished(load_report_fields)?,
            event_code::COUNTER_UPDATED => Event::CounterUpdated {
                name: u64_at(body, counter_updated::NAME),
                outcome: self.outcome(counter_updated::OUTCOME)?,
                total: f64_at(body, counter_updated::TOTAL),
            },
            event_code::CLIENT_CANCELLED => {
                Event::ClientCancelled(RequestId(u64_at(body, client_cancelled::REQUEST_ID)))
            }
            event_code::TIMER => Event::Timer(u32_at(body, timer::TOKEN)),
            event_code::FIRST_BYTE => Event::FirstByte {
                id: RequestId(u64_at(body, first_byte::REQUEST_ID)),
                attempt: u16_at(body, first_byte::ATTEMPT),
            },
            event_code::GOSSIP_RECEIVED => Event::GossipReceived {
                from: GatewayId(u16_at(body, gossip_received::SENDER)),
                bytes: self.tail_range(gossip_received::MESSAGE, "octets", 1)?.to_vec(),
            },
            _ => return Ok(None),
        };
        Ok(Some(Decoded::Event(event)))
    }

    fn start(&self) -> Result<Decoded<'a>, WireError> {
        let bytes = self.tail_range(start::SETTINGS, "conf", 1)?;
        let settings =
            std::str::from_utf8(bytes).map_err(|error| self.error("conf", FieldError::NotUtf8(error)))?;
        Ok(Decoded::Start { seed: u64_at(self.body, start::SEED), settings })
    }

    fn request(&self) -> Event {
        let body = self.body;
        Event::Request(Request {
            id: RequestId(u64_at(body, request::ID)),
            class: body[request::CLASS],
            plan: u16_at(body, request::PLAN),
            customer: CustomerId(u64_at(body, request::CUSTOMER)),
            deadline: u64_at(body, request::DEADLINE),
            units: f64_at(body, request::UNITS),
            gateway_count: f64_at(body, request::GATEWAY_COUNT),
            first_gateway: f64_at(body, request::FIRST_GATEWAY),
        })
    }

    fn health_checked(&self, load_report_fields: &[String]) -> Result<Event, WireError> {
        let body = self.body;
        Ok(Event::HealthChecked {
            backend: backend_at(body, health_checked::BACKEND),
            outcome: self.outcome(health_checked::OUTCOME)?,
            elapsed: u64::from(u32_at(body, health_checked::ELAPSED)),
            report: self.load_report(health_checked::LOAD_REPORT, load_report_fields),
        })
    }

    fn attempt_finished(&self, load_report_fields: &[String]) -> Result<Event, WireError> {
        let body = self.body;
        let metered = u16_at(body, attempt_finished::METERED);
        let charged_units = u16_at(body, attempt_finished::CHARGED_UNITS);
        Ok(Event::AttemptFinished {
            id: RequestId(u64_at(body, attempt_finished::REQUEST_ID)),
            elapsed: u64::from(u32_at(body, attempt_finished::ELAPSED)),
            outcome: self.outcome(attempt_finished::OUTCOME)?,
            answered: body[attempt_finished::ANSWERED] != 0,
            attempt: u16_at(body, attempt_finished::ATTEMPT),
            metered: (metered > 0).then(|| f64::from(metered - 1) / 100.0),
            backend: backend_at(body, attempt_finished::BACKEND),
            charged_units: (charged_units > 0).then(|| f64::from(charged_units)),
            report: self.load_report(attempt_finished::LOAD_REPORT, load_report_fields),
        })
    }

    fn outcome(&self, at: usize) -> Result<Outcome, WireError> {
        match u16_at(self.body, at) {
            outcome_code::OK => Ok(Outcome::Ok),
            outcome_code::ERROR => Ok(Outcome::Error),
            outcome_code::REJECTED => Ok(Outcome::Rejected),
            outcome_code::TIMED_OUT => Ok(Outcome::TimedOut),
            outcome_code::CONNECT_FAILED => Ok(Outcome::ConnectFailed),
            outcome_code::RESET => Ok(Outcome::Reset),
            outcome_code::CANCELLED => Ok(Outcome::Cancelled),
            outcome_code::NOT_SENT => Ok(Outcome::NotSent),
            other => Err(self.error("outcome", FieldError::UnknownOutcome(other))),
        }
    }

    /// Decodes the load report at `at`. Returns `None` if it has no values. Values that are not finite are skipped.
    fn load_report(&self, at: usize, fields: &[String]) -> Option<LoadReport> {
        let count = usize::from(self.body[at]).min(MAX_REPORT_VALUES);
        if count == 0 {
            return None;
        }
        let values_start = at + 1;
        let named = fields.iter().take(count).enumerate();
        let values = named
            .map(|(index, name)| (name.as_str(), f64_at(self.body, values_start + index * size_of::<f32>())));
        Some(chalkgap_deployment_config::report(values.filter(|(_, value)| value.is_finite())))
    }

    fn endpoint_update(&self) -> Result<Event, WireError> {
        let update = match self.body[endpoints::UPDATE_KIND] {
            0 => EndpointUpdate::Delta,
            1 => EndpointUpdate::Snapshot,
            2 => EndpointUpdate::Cached,
            3 => EndpointUpdate::Failed,
            other => return Err(self.error("scope", FieldError::UnknownUpdateKind(other))),
        };
        let rows = self.tail_range(endpoints::ROWS, "rows", ENDPOINT_BYTES)?;
        let mut list = Vec::with_capacity(rows.len() / ENDPOINT_BYTES);
        for row in rows.chunks_exact(ENDPOINT_BYTES) {
            list.push(self.endpoint(row)?);
        }
        Ok(Event::Endpoints(update, list))
    }

    fn endpoint(&self, row: &[u8]) -> Result<Endpoint, WireError> {
        let availability = match row[endpoint::AVAILABILITY] {
            0 => Availability::Draining,
            1 => Availability::Ready,
            2 => Availability::Gone,
            other => {
                return Err(self.error("rows.availability", FieldError::UnknownAvailability(other)));
            }
        };
        Ok(Endpoint {
            backend: backend_at(row, endpoint::BACKEND),
            zone: row[endpoint::ZONE],
            kind: u16_at(row, endpoint::MACHINE_KIND),
            cell: u16_at(row, endpoint::CELL),
            availability,
            weight: f64_at(row, endpoint::WEIGHT),
            started_at: u64_at(row, endpoint::STARTED_AT),
        })
    }
}

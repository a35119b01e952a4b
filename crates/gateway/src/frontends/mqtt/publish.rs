//! Conversion of publishes and wills to requests.

use super::answers::acknowledge;
use super::connection::{ClientPipe, MqttConnection};
use super::{lock, topics};
use crate::frontends::context::{ClientRequest, InvalidRequest};
use crate::messages::{DriverEvent, PendingRequest};
use crate::telemetry::add;
use bytes::Bytes;
use chalkgap_core::RequestId;
use chalkgap_runtime::Micros;
use chalkgap_wire::mqtt::packet::{Publish, Will};
use chalkgap_wire::mqtt::{reason, Properties, Property, QoS};
use chalkgap_wire::ratelimit::Entry;

// User properties of publishes that the gateway reads. Other user properties are forwarded to the node.

/// Number of units.
const UNITS: &str = "units";
/// Idempotency key.
const IDEMPOTENCY_KEY: &str = "key";
/// Timeout in milliseconds. The message expiry interval, in contrast, has whole seconds.
const TIMEOUT_MS: &str = "timeout-ms";
/// Token of requests whose response is ignored.
const NO_TOKEN: u32 = 0;

/// A publish that waits for the driver's response.
pub(super) struct OpenPublish {
    pub id: RequestId,
    pub qos: QoS,
    pub packet: u16,
    pub response_target: Option<ResponseTarget>,
    pub account: u64,
    pub preferred: bool,
}

/// Topic and correlation data for a response message.
pub(super) struct ResponseTarget {
    pub topic: String,
    pub correlation_data: Option<Bytes>,
}

impl ResponseTarget {
    fn new(properties: &Properties) -> Option<ResponseTarget> {
        let topic = properties.find(|property| match property {
            Property::ResponseTopic(topic) => Some(topic.clone()),
            _ => None,
        })?;
        let correlation_data = properties.find(|property| match property {
            Property::CorrelationData(data) => Some(data.clone()),
            _ => None,
        });
        Some(ResponseTarget { topic, correlation_data })
    }
}

/// Values of a request that are in the properties of its publish.
struct RequestProperties {
    units: u32,
    idempotency_key: Option<String>,
    timeout: Option<Micros>,
    entries: Vec<Entry>,
}

impl RequestProperties {
    /// Reads the properties of a publish.
    ///
    /// # Errors
    /// The reason code to answer with, if a numeric property is not a number.
    fn parse(properties: &Properties) -> Result<RequestProperties, u8> {
        let mut parsed =
            RequestProperties { units: 1, idempotency_key: None, timeout: None, entries: Vec::new() };
        let mut message_expiry = None;
        for property in &properties.0 {
            match property {
                Property::User(key, value) if key == UNITS => {
                    parsed.units = value.parse().map_err(|_| reason::IMPLEMENTATION_SPECIFIC)?;
                }
                Property::User(key, value) if key == IDEMPOTENCY_KEY => {
                    parsed.idempotency_key = Some(value.clone());
                }
                Property::User(key, value) if key == TIMEOUT_MS => {
                    let timeout_ms: Micros = value.parse().map_err(|_| reason::IMPLEMENTATION_SPECIFIC)?;
                    parsed.timeout = Some(timeout_ms.saturating_mul(1000));
                }
                Property::User(key, value) => {
                    parsed.entries.push(Entry { key: key.clone(), value: value.clone() });
                }
                Property::MessageExpiry(seconds) => {
                    message_expiry = Some(Micros::from(*seconds) * 1_000_000);
                }
                _ => {}
            }
        }
        parsed.timeout = parsed.timeout.into_iter().chain(message_expiry).min();
        Ok(parsed)
    }
}

impl MqttConnection {
    /// Converts a publish or a will to a request.
    ///
    /// # Errors
    /// The reason code to answer with, if the topic maps to no account or a property is invalid.
    fn client_request(
        &self,
        topic: &str,
        properties: &Properties,
        payload: Bytes,
        arrived_at: Micros,
    ) -> Result<ClientRequest, u8> {
        let target = topics::resolve(&self.shared.settings, topic, self.user.as_deref());
        let target = target.ok_or(reason::NOT_AUTHORIZED)?;
        let parsed = RequestProperties::parse(properties)?;
        Ok(ClientRequest {
            account: target.account,
            class: Some(target.class),
            idempotency_key: parsed.idempotency_key,
            units: parsed.units.max(1),
            arrived_at,
            timeout: parsed.timeout,
            entries: parsed.entries,
            payload,
        })
    }

    /// Handles a publish that is not a duplicate.
    pub(super) async fn on_publish(&mut self, publish: Publish, pipe: &mut ClientPipe) {
        if publish.retain {
            // CONNACK has announced that retain is not available (MQTT 5.0, section 3.2.2.3.5).
            return pipe.conn.disconnect(reason::RETAIN_NOT_SUPPORTED, None);
        }
        let Publish { qos, packet, .. } = publish;
        let response_target = ResponseTarget::new(&publish.properties);
        let id = self.context.next_request_id();
        self.last_token = self.last_token.wrapping_add(1);
        let token = self.last_token;
        let request = match self.pending_request(id, token, publish) {
            Ok(request) => request,
            Err(code) => {
                add(&self.context.telemetry.invalid);
                return acknowledge(qos, packet, code, Properties::default(), pipe);
            }
        };
        let account = request.customer.id.0;
        let preferred = self.context.is_preferred(&request);
        let open = OpenPublish { id, qos, packet, response_target, account, preferred };
        self.open_publishes.insert(token, open);
        self.permit.request_started();
        self.send_to_driver(request).await;
    }

    fn pending_request(&self, id: RequestId, token: u32, publish: Publish) -> Result<PendingRequest, u8> {
        let arrived_at = self.permit.earliest_arrival();
        let request =
            self.client_request(&publish.topic, &publish.properties, publish.payload, arrived_at)?;
        let request = self.context.pending_request(id, request, token, self.response_sender.clone());
        request.map_err(|error| match error {
            InvalidRequest::Account(_) | InvalidRequest::Class { .. } => reason::NOT_AUTHORIZED,
            InvalidRequest::Units { .. } => reason::IMPLEMENTATION_SPECIFIC,
        })
    }

    async fn send_to_driver(&self, request: PendingRequest) {
        // Fails if the instance has stopped.
        let _ = self.context.driver.send(DriverEvent::Request(Box::new(request))).await;
    }

    /// Rejects a publish with the DUP flag that this session does not know. Another gateway may have run it or may still
    /// run it, so that running it here could run it twice.
    pub(super) fn reject_unknown_duplicate(&self, publish: &Publish, pipe: &mut ClientPipe) {
        add(&self.context.telemetry.mqtt_repeated);
        let text = "it came again, and may have run elsewhere".to_owned();
        let properties = Properties(vec![Property::ReasonString(text)]);
        pipe.conn.answer(publish.qos, publish.packet, reason::IMPLEMENTATION_SPECIFIC, properties);
    }

    /// Publishes a will after its delay. The response to its request is ignored.
    pub(super) async fn publish_will(&self, will: Will) {
        let delay_seconds = will.properties.find(|property| match property {
            Property::WillDelay(seconds) => Some(*seconds),
            _ => None,
        });
        // A will is published at the end of the session at the latest, and not at all if the client reconnects before
        // (MQTT 5.0, section 3.1.3.2.2).
        let delay = (Micros::from(delay_seconds.unwrap_or(0)) * 1_000_000).min(self.session_expiry);
        let runtime = &self.context.runtime;
        if delay > 0 {
            runtime.sleep_until(runtime.now() + delay).await;
            if lock(&self.shared.sessions).has_owner(&self.session_key) {
                return;
            }
        }
        let id = self.context.next_request_id();
        let request = self.client_request(&will.topic, &will.properties, will.payload, runtime.now());
        let Ok(request) = request else { return };
        let request = self.context.pending_request(id, request, NO_TOKEN, self.response_sender.clone());
        if let Ok(request) = request {
            self.send_to_driver(request).await;
        }
    }
}

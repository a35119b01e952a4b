//! Conversion of the driver's answers to MQTT.

use super::connection::{ClientPipe, MqttConnection};
use super::publish::{OpenPublish, ResponseTarget};
use crate::frontends::request_end;
use crate::messages::{Answer, Response};
use bytes::Bytes;
use chalkgap_runtime::Micros;
use chalkgap_wire::mqtt::{reason, topic, Properties, Property, QoS, Version};

/// User property with the time after which to retry, in milliseconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";
/// User property with the status of a response message.
const STATUS: &str = "status";
/// Lowest reason code of an error (MQTT 5.0, section 2.4).
const FIRST_ERROR_CODE: u8 = 0x80;

/// A driver's answer in the terms of MQTT.
pub(super) struct MqttAnswer {
    /// Reason code of the PUBACK or PUBREC.
    pub code: u8,
    /// Value of the user property `status` of a response message.
    pub status: &'static str,
    pub properties: Properties,
    /// Body of a response message.
    pub body: Bytes,
}

impl From<Answer> for MqttAnswer {
    fn from(answer: Answer) -> MqttAnswer {
        match answer {
            Answer::Served { body, .. } => MqttAnswer {
                code: reason::SUCCESS,
                status: "served",
                properties: Properties::default(),
                body,
            },
            Answer::Rejected { retry_after } => MqttAnswer {
                code: reason::QUOTA_EXCEEDED,
                status: "refused",
                properties: retry_after_property(retry_after),
                body: Bytes::new(),
            },
            Answer::Failed { .. } | Answer::ClientGone => MqttAnswer {
                code: reason::IMPLEMENTATION_SPECIFIC,
                status: "failed",
                properties: Properties::default(),
                body: Bytes::new(),
            },
        }
    }
}

/// Returns the user property for a `retry_after` in microseconds; no property for 0.
pub(super) fn retry_after_property(retry_after: Micros) -> Properties {
    if retry_after == 0 {
        return Properties::default();
    }
    let milliseconds = retry_after.div_ceil(1000).to_string();
    Properties(vec![Property::User(RETRY_AFTER_MS.into(), milliseconds)])
}

impl MqttConnection {
    /// Removes and returns the open publish that a response belongs to, and reports its end to the connection gate.
    pub(super) fn close_publish(&mut self, response: &Response) -> Option<OpenPublish> {
        let publish = self.open_publishes.remove(&response.token)?;
        self.permit.request_ended(request_end(&response.answer, publish.account, publish.preferred));
        Some(publish)
    }

    /// Sends the driver's response to the client.
    pub(super) fn answer(&mut self, response: Response, pipe: &mut ClientPipe) {
        let Some(publish) = self.close_publish(&response) else { return };
        let failed = matches!(response.answer, Answer::Failed { .. } | Answer::ClientGone);
        let MqttAnswer { code, status, mut properties, body } = response.answer.into();
        if let Some(target) = publish.response_target {
            self.send_response_message(target, status, properties.clone(), body, pipe);
        }
        if failed {
            properties.0.push(Property::ReasonString("no answer; it may have run".into()));
        }
        acknowledge(publish.qos, publish.packet, code, properties, pipe);
    }

    /// Publishes an answer to the response topic if this client has subscribed to it. Other clients never receive it.
    fn send_response_message(
        &self,
        target: ResponseTarget,
        status: &str,
        mut properties: Properties,
        body: Bytes,
        pipe: &mut ClientPipe,
    ) {
        if !self.subscriptions.iter().any(|filter| topic::covers(filter, &target.topic)) {
            return;
        }
        properties.0.extend(target.correlation_data.map(Property::CorrelationData));
        properties.0.push(Property::User(STATUS.into(), status.into()));
        pipe.conn.publish_to(&target.topic, body, properties);
    }
}

/// Acknowledges a publish with a reason code.
///
/// MQTT 3.1.1 has no reason codes for errors. A publish that did not run is left unacknowledged and the connection is
/// closed, so that the client repeats the publish. A publish that may have run is acknowledged, so that the client does
/// not repeat it.
pub(super) fn acknowledge(qos: QoS, packet: u16, code: u8, properties: Properties, pipe: &mut ClientPipe) {
    let is_error = code >= FIRST_ERROR_CODE;
    let has_codes = pipe.conn.version() != Some(Version::V311);
    if has_codes || !is_error || qos == QoS::AtMostOnce {
        return pipe.conn.answer(qos, packet, code, properties);
    }
    if code == reason::IMPLEMENTATION_SPECIFIC {
        return pipe.conn.answer(qos, packet, reason::SUCCESS, Properties::default());
    }
    pipe.conn.forget(qos, packet);
    pipe.conn.disconnect(code, None);
}

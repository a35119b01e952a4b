//! CONNECT: authentication, session takeover, negotiated limits.

use super::answers::retry_after_property;
use super::authentication::Authentication;
use super::connection::{ClientPipe, MqttConnection};
use super::lock;
use super::sessions::session_key;
use crate::telemetry::add;
use chalkgap_runtime::Micros;
use chalkgap_wire::mqtt::packet::Connect;
use chalkgap_wire::mqtt::server::Session;
use chalkgap_wire::mqtt::{reason, Properties, Property, Version};

/// Maximum length of a client identifier.
const MAX_CLIENT_IDENTIFIER_BYTES: usize = 256;
/// Maximum time to wait for the former owner of a session to release it.
const TAKEOVER_TIMEOUT: Micros = 2_000_000;
/// Interval between checks of whether the former owner has released the session.
const TAKEOVER_POLL_INTERVAL: Micros = 5000;
/// Time after which a client may retry if the limit on password hashes per second is reached.
const AUTHENTICATION_RETRY_AFTER: Micros = 1_000_000;

impl MqttConnection {
    /// Handles CONNECT: accepts the client, or refuses it with a reason code.
    pub(super) async fn on_connect(&mut self, connect: Connect, pipe: &mut ClientPipe) {
        if let Err(refusal) = self.check_connect(&connect) {
            return pipe.conn.refuse(refusal.code, refusal.properties);
        }
        let assigned_identifier =
            connect.client.is_empty().then(|| format!("{:016x}", self.context.runtime.random()));
        let client = assigned_identifier.as_ref().unwrap_or(&connect.client);
        let key = session_key(connect.user.as_deref().unwrap_or_default(), client);
        let expiry_property = session_expiry_property(&connect.properties);
        self.session_expiry = self.bounded_expiry(effective_requested_expiry(&connect));
        let session = self.take_over_session(&key, connect.clean_start).await;
        self.user = connect.user;
        self.session_key = key;
        self.will = connect.will;
        let mut properties = self.connack_limits();
        properties.extend(assigned_identifier.map(Property::AssignedClientIdentifier));
        let granted_expiry = (self.session_expiry / 1_000_000) as u32;
        if expiry_property.is_some_and(|requested| requested != granted_expiry) {
            properties.push(Property::SessionExpiry(granted_expiry));
        }
        let max_keep_alive = self.shared.settings.keep_alive_s;
        if connect.keep_alive == 0 || connect.keep_alive > max_keep_alive {
            properties.push(Property::ServerKeepAlive(max_keep_alive));
            pipe.conn.keep_alive(max_keep_alive);
        }
        pipe.conn.accept(session, Properties(properties));
        self.permit.handshake_completed();
        add(&self.context.telemetry.mqtt_connected);
    }

    fn check_connect(&self, connect: &Connect) -> Result<(), Refusal> {
        let extended_authentication = connect
            .properties
            .find(|property| matches!(property, Property::AuthenticationMethod(_)).then_some(()));
        if extended_authentication.is_some() {
            return Err(Refusal::new(reason::BAD_AUTHENTICATION_METHOD));
        }
        // MQTT 3.1.1 requires a clean session if the client identifier is empty [MQTT-3.1.3-8].
        let needs_identifier = connect.version != Version::V5 && !connect.clean_start;
        if connect.client.len() > MAX_CLIENT_IDENTIFIER_BYTES || connect.client.is_empty() && needs_identifier
        {
            return Err(Refusal::new(reason::CLIENT_IDENTIFIER_NOT_VALID));
        }
        let now = self.context.runtime.now();
        match self.shared.authenticator.authenticate(&self.shared.settings, connect, now) {
            Authentication::Accepted => {}
            Authentication::Denied => {
                add(&self.context.telemetry.mqtt_denied);
                return Err(Refusal::new(reason::BAD_USER_NAME_OR_PASSWORD));
            }
            Authentication::Busy => {
                let properties = retry_after_property(AUTHENTICATION_RETRY_AFTER);
                return Err(Refusal { code: reason::SERVER_BUSY, properties });
            }
        }
        if connect.will.as_ref().is_some_and(|will| will.retain) {
            return Err(Refusal::new(reason::RETAIN_NOT_SUPPORTED));
        }
        Ok(())
    }

    /// Bounds a session expiry interval, in seconds, by the maximum in the settings.
    pub(super) fn bounded_expiry(&self, seconds: u32) -> Micros {
        Micros::from(seconds.min(self.shared.settings.session_s)) * 1_000_000
    }

    /// Makes this connection the owner of a client's session. Returns the session that the former owner or an earlier
    /// connection has left, or `None` if a new session starts.
    async fn take_over_session(&mut self, key: &str, clean_start: bool) -> Option<Session> {
        let (takeover, taken_over) = async_channel::bounded(1);
        self.taken_over = Some(taken_over);
        let claim = lock(&self.shared.sessions).claim(key, takeover);
        self.connection_number = claim.connection;
        let runtime = self.context.runtime.clone();
        if let Some(former_owner) = claim.former {
            drop(former_owner);
            // The drop makes the former owner release the session, which holds the state of QoS 2 publishes.
            let deadline = runtime.now() + TAKEOVER_TIMEOUT;
            while runtime.now() < deadline && !lock(&self.shared.sessions).is_idle(key) {
                runtime.sleep_until(runtime.now() + TAKEOVER_POLL_INTERVAL).await;
            }
        }
        let idle = lock(&self.shared.sessions).take(key)?;
        let is_valid = idle.expires_at > runtime.now() && !clean_start;
        is_valid.then_some(idle.session)
    }

    /// Returns the properties of CONNACK that announce limits and unavailable features.
    fn connack_limits(&self) -> Vec<Property> {
        let settings = &self.shared.settings;
        vec![
            Property::ReceiveMaximum(settings.receive_maximum),
            Property::RetainAvailable(0),
            Property::MaximumPacketSize(u32::try_from(settings.most_packet).unwrap_or(u32::MAX)),
            Property::TopicAliasMaximum(settings.topic_aliases),
            Property::SubscriptionIdentifierAvailable(0),
            Property::SharedSubscriptionAvailable(0),
        ]
    }
}

/// Reason code and properties with which a client is refused.
struct Refusal {
    code: u8,
    properties: Properties,
}

impl Refusal {
    fn new(code: u8) -> Refusal {
        Refusal { code, properties: Properties::default() }
    }
}

fn session_expiry_property(properties: &Properties) -> Option<u32> {
    properties.find(|property| match property {
        Property::SessionExpiry(seconds) => Some(*seconds),
        _ => None,
    })
}

/// Returns the session expiry interval that a client requests, in seconds. MQTT 3.1.1 has no such interval: a session
/// that is not clean lasts as long as the settings permit.
fn effective_requested_expiry(connect: &Connect) -> u32 {
    match connect.version {
        Version::V5 => session_expiry_property(&connect.properties).unwrap_or(0),
        _ if connect.clean_start => 0,
        _ => u32::MAX,
    }
}

//! Checks of single values that several sections use.

/// A key of 32 bytes as hexadecimal digits. The complaint does not repeat the value, which is a secret.
pub(super) fn hex_key(key: &str, _: &()) -> garde::Result {
    let valid = key.len() == 64 && key.bytes().all(|byte| byte.is_ascii_hexdigit());
    valid.then_some(()).ok_or_else(|| garde::Error::new("expected 64 hexadecimal digits"))
}

/// An MQTT topic filter.
pub(super) fn topic_filter(text: &str, _: &()) -> garde::Result {
    let valid = chalkgap_wire::mqtt::topic::is_filter(text);
    valid.then_some(()).ok_or_else(|| garde::Error::new("expected a topic filter"))
}

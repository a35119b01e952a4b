//! Checks of single values that several sections use.

/// Checks that `key` is 32 bytes in hexadecimal. The complaint does not quote the value, which is secret.
pub(super) fn hex_key(key: &str, _: &()) -> garde::Result {
    let valid = key.len() == 64 && key.bytes().all(|byte| byte.is_ascii_hexdigit());
    valid.then_some(()).ok_or_else(|| garde::Error::new("expected 64 hexadecimal digits"))
}

/// Checks that `text` is a valid MQTT topic filter.
pub(super) fn topic_filter(text: &str, _: &()) -> garde::Result {
    let valid = chalkgap_wire::mqtt::topic::is_filter(text);
    valid.then_some(()).ok_or_else(|| garde::Error::new("expected a topic filter"))
}

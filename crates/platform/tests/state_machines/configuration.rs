//! Valid and invalid configurations.

use crate::common;
use chalkgap_platform::Config;

#[test]
fn invalid_configurations_are_rejected_with_their_cause() {
    let parse_error = |text: &str| Config::parse("c.json", text.as_bytes()).unwrap_err().to_string();
    let valid = common::config(3, 0, &[]);
    assert!(parse_error("{").starts_with("c.json: EOF"));
    assert!(parse_error(&valid.replace("\"discovery\"", "\"x\"")).contains("missing field `discovery`"));
    assert!(parse_error(&valid.replace("\"seed\":\"8c", "\"seed\":\"xx")).contains("seed: expected 16 hex"));
    assert!(parse_error(&valid.replace("\"sockets\":256", "\"sockets\":9"))
        .contains("sockets: expected 64 or more, found 9"));
    assert!(parse_error(&valid.replace("\"quota_rate\":2.0", "\"quota_rate\":-2.0"))
        .contains("contracts.0.quota_rate"));
    let config = Config::parse("c.json", valid.as_bytes()).unwrap();
    assert_eq!(config.deployment.class_names, ["sig-check", "report-upload"]);
    assert_eq!(config.deployment.settings.plans[0].quota_rate, 2.0);
    assert_eq!(config.deployment.load_report_fields, ["depth"]);
}

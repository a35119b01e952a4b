//! Configurations that are valid, and that are not.

use crate::common;
use chalkgap_platform::Config;

#[test]
fn invalid_configurations_are_rejected_with_their_cause() {
    let said = |text: &str| Config::parse("c.json", text.as_bytes()).unwrap_err().to_string();
    let good = common::config(3, 0, &[]);
    assert!(said("{").starts_with("c.json: EOF"));
    assert!(said(&good.replace("\"discovery\"", "\"x\"")).contains("missing field `discovery`"));
    assert!(said(&good.replace("\"seed\":\"8c", "\"seed\":\"xx")).contains("seed: expected 16 hex"));
    assert!(said(&good.replace("\"sockets\":256", "\"sockets\":9"))
        .contains("sockets: expected 64 or more, found 9"));
    assert!(
        said(&good.replace("\"quota_rate\":2.0", "\"quota_rate\":-2.0")).contains("contracts.0.quota_rate")
    );
    let config = Config::parse("c.json", good.as_bytes()).unwrap();
    assert_eq!(config.deployment.class_names, ["sig-check", "report-upload"]);
    assert_eq!(config.deployment.settings.plans[0].quota_rate, 2.0);
    assert_eq!(config.deployment.load_report_fields, ["depth"]);
}

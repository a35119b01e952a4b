//! Checks that errors name the key or line at fault.

use super::parse;

fn error_message(text: &str) -> String {
    parse(text).unwrap_err().to_string()
}

#[test]
fn errors_name_missing_and_malformed_settings() {
    let message = error_message("grades.count=1\n");
    assert!(message.contains("grades.0.effect"), "{message}");
    let message = error_message("grades.count=0\ngrades.0.worth=1\n");
    assert!(message.contains("grades.count"), "{message}");
    let message = error_message("nonsense\n");
    assert!(message.contains("line 1"), "{message}");
    let message = error_message("grades.count=0\ncontracts.count=1\ncontracts.0.quota_rate=inf\n");
    assert!(message.contains("contracts.0.quota_rate"), "{message}");
}

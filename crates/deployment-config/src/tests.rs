//! Errors name the key or the line at fault.

use super::parse;

fn complaint(text: &str) -> String {
    parse(text).unwrap_err().to_string()
}

#[test]
fn errors_name_missing_and_malformed_settings() {
    let message = complaint("grades.count=1\n");
    assert!(message.contains("grades.0.effect"), "{message}");
    let message = complaint("grades.count=0\ngrades.0.worth=1\n");
    assert!(message.contains("grades.count"), "{message}");
    let message = complaint("nonsense\n");
    assert!(message.contains("line 1"), "{message}");
    let message = complaint("grades.count=0\ncontracts.count=1\ncontracts.0.quota_rate=inf\n");
    assert!(message.contains("contracts.0.quota_rate"), "{message}");
}

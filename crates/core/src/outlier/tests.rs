//! Failure rates and ejections.

use super::*;

const SECOND: Micros = 1_000_000;

fn fail(detector: &mut OutlierDetector, now: Micros) {
    detector.update_ejection(now, true);
    detector.record(now, true, OWN_SAMPLE_WEIGHT);
}

#[test]
fn an_endpoint_is_ejected_when_a_quarter_of_recent_answers_failed() {
    let mut detector = OutlierDetector::default();
    fail(&mut detector, SECOND);
    assert!(!detector.is_ejected(SECOND, 0), "a single failure does not eject the endpoint");
    fail(&mut detector, SECOND);
    assert!(detector.is_ejected(SECOND, 0));
    assert!(
        !detector.is_ejected(SECOND + BASE_EJECTION_TIME, 0),
        "one attempt may be sent after the ejection time"
    );
    assert!(
        detector.is_ejected(SECOND + BASE_EJECTION_TIME, 1),
        "a second one may not, while the first is in flight"
    );
}

#[test]
fn ejections_in_a_row_last_longer_up_to_a_limit() {
    let mut detector = OutlierDetector::default();
    let mut durations = Vec::new();
    for _ in 0..6 {
        detector.eject(SECOND);
        durations.push((detector.ejected_until - SECOND) / BASE_EJECTION_TIME);
    }
    assert_eq!(durations, [1, 2, 4, 8, 8, 8]);
}

#[test]
fn a_success_ends_the_ejections_once_the_failure_rate_is_low() {
    let mut detector = OutlierDetector::default();
    (0..4).for_each(|_| fail(&mut detector, SECOND));
    detector.update_ejection(SECOND, false);
    assert!(detector.consecutive_ejections > 0, "the failure rate is still high");
    detector.update_ejection(SECOND + 10 * SECOND, false);
    assert_eq!(detector.consecutive_ejections, 0);
}

#[test]
fn the_failure_rate_decays() {
    let mut detector = OutlierDetector::default();
    detector.record(SECOND, true, 1.0);
    assert_eq!(detector.failure_rate(SECOND), 1.0);
    let later = detector.failure_rate(SECOND + 4 * SECOND);
    assert!((0.36..0.37).contains(&later), "{later} after one time constant");
}

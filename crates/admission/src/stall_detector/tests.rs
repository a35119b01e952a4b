use super::*;

#[test]
fn bytes_read_after_a_stall_may_have_arrived_during_it() {
    const MILLISECOND: Micros = 1000;
    let mut detector = StallDetector::new(0, 100 * MILLISECOND);
    for tick in 1..=10 {
        detector.tick(tick * 100 * MILLISECOND);
    }
    assert_eq!(detector.earliest_arrival(1050 * MILLISECOND), 1050 * MILLISECOND, "no tick is overdue");
    assert_eq!(
        detector.earliest_arrival(1125 * MILLISECOND),
        1125 * MILLISECOND,
        "the tick is late by less than the allowed delay"
    );
    assert_eq!(
        detector.earliest_arrival(2200 * MILLISECOND),
        1000 * MILLISECOND,
        "read while the tick is overdue"
    );
    detector.tick(2200 * MILLISECOND);
    assert_eq!(
        detector.earliest_arrival(2201 * MILLISECOND),
        1000 * MILLISECOND,
        "read shortly after the overdue tick"
    );
    assert_eq!(
        detector.earliest_arrival(2250 * MILLISECOND),
        2250 * MILLISECOND,
        "read long enough after the stall"
    );
    detector.tick(2300 * MILLISECOND);
    assert_eq!(detector.earliest_arrival(2310 * MILLISECOND), 2310 * MILLISECOND);
}

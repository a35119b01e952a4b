use super::*;

#[test]
fn what_was_read_after_a_stall_arrived_before_it_at_the_earliest() {
    const MILLISECOND: Micros = 1000;
    let mut detector = StallDetector::new(0, 100 * MILLISECOND);
    for tick in 1..=10 {
        detector.tick(tick * 100 * MILLISECOND);
    }
    assert_eq!(detector.earliest_arrival(1050 * MILLISECOND), 1050 * MILLISECOND, "in time");
    assert_eq!(detector.earliest_arrival(1125 * MILLISECOND), 1125 * MILLISECOND, "a little late");
    assert_eq!(
        detector.earliest_arrival(2200 * MILLISECOND),
        1000 * MILLISECOND,
        "read before the overdue tick"
    );
    detector.tick(2200 * MILLISECOND);
    assert_eq!(detector.earliest_arrival(2201 * MILLISECOND), 1000 * MILLISECOND, "read right after it");
    assert_eq!(detector.earliest_arrival(2250 * MILLISECOND), 2250 * MILLISECOND, "arrived now");
    detector.tick(2300 * MILLISECOND);
    assert_eq!(detector.earliest_arrival(2310 * MILLISECOND), 2310 * MILLISECOND);
}

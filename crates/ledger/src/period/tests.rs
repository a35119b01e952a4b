use super::*;
use proptest::prelude::*;

#[test]
fn months_end_where_the_calendar_says() {
    let february = 2024 * 12 + 1;
    assert_eq!(Periods::Months.of(1_709_164_799_000_000), february); // 2024-02-28T23:59:59
    assert_eq!(Periods::Months.of(1_709_251_199_999_999), february); // the last microsecond of 2024-02-29
    assert_eq!(Periods::Months.end(february), 1_709_251_200_000_000);
    assert_eq!(Periods::Months.of(1_709_251_200_000_000), february + 1);
    assert_eq!(Periods::Every(10).end(3), 40);
}

proptest! {
    #[test]
    fn a_time_is_before_the_end_of_its_period_and_not_before_the_end_of_the_previous_one(
        at in any::<u64>(),
        length in 1u64..1 << 50,
    ) {
        for periods in [Periods::Every(length), Periods::Months] {
            let period = periods.of(at);
            prop_assert!(at < periods.end(period) || periods.end(period) == u64::MAX || at / 1_000_000 > LAST_SECOND);
            prop_assert!(period == 0 || at >= periods.end(period - 1));
        }
    }
}

use super::*;
use proptest::prelude::*;

#[test]
fn months_have_their_lengths() {
    let feb = 2024 * 12 + 1;
    assert_eq!(Periods::Months.of(1_709_164_799_000_000), feb); // 2024-02-28T23:59:59
    assert_eq!(Periods::Months.of(1_709_251_199_999_999), feb); // the 29th's last
    assert_eq!(Periods::Months.end(feb), 1_709_251_200_000_000);
    assert_eq!(Periods::Months.of(1_709_251_200_000_000), feb + 1);
    assert_eq!(Periods::Every(10).end(3), 40);
}

proptest! {
    #[test]
    fn a_time_is_before_its_periods_end_and_not_before_the_last_ones(at in any::<u64>(), length in 1u64..1 << 50) {
        for p in [Periods::Every(length), Periods::Months] {
            let n = p.of(at);
            prop_assert!(at < p.end(n) || p.end(n) == u64::MAX || at / 1_000_000 > LAST_SECOND);
            prop_assert!(n == 0 || at >= p.end(n - 1));
        }
    }
}

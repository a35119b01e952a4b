//! Periods of billing: of one length, counted from 1970, or calendar months; in UTC.

use crate::Micros;
use time::{Date, Month, OffsetDateTime};

/// How time is cut into periods. A period's number grows with time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Periods {
    /// Of this length.
    Every(Micros),
    /// Calendar months; the number is twelve times the year and the month, from 0.
    Months,
}

/// The last second that the library's calendar has.
const LAST: u64 = 253_402_300_799;

impl Periods {
    /// The period of a time.
    pub fn of(self, at: Micros) -> u64 {
        match self {
            Periods::Every(length) => at / length.max(1),
            Periods::Months => {
                let seconds = (at / 1_000_000).min(LAST) as i64;
                let t = OffsetDateTime::from_unix_timestamp(seconds).unwrap_or(OffsetDateTime::UNIX_EPOCH);
                t.year().unsigned_abs() as u64 * 12 + u64::from(u8::from(t.month())) - 1
            }
        }
    }

    /// When a period is over: the first time that is not in it.
    pub fn end(self, period: u64) -> Micros {
        match self {
            Periods::Every(length) => (period.saturating_add(1)).saturating_mul(length.max(1)),
            Periods::Months => {
                let next = period.saturating_add(1);
                let month = Month::try_from((next % 12 + 1) as u8).unwrap_or(Month::January);
                let year = i32::try_from(next / 12).unwrap_or(i32::MAX);
                let first = Date::from_calendar_date(year, month, 1).map(|d| d.midnight().assume_utc());
                // Past the library's years there is no end.
                first.map_or(u64::MAX, |t| u64::try_from(t.unix_timestamp()).unwrap_or(0) * 1_000_000)
            }
        }
    }
}

#[cfg(test)]
mod tests {
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
                prop_assert!(at < p.end(n) || p.end(n) == u64::MAX || at / 1_000_000 > LAST);
                prop_assert!(n == 0 || at >= p.end(n - 1));
            }
        }
    }
}

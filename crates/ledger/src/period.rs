//! Billing periods in UTC: of a fixed length, counted from 1970, or calendar months.

use crate::Micros;
use time::{Date, Month, OffsetDateTime};

/// How time is cut into periods. Periods are numbered; the number grows with time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Periods {
    /// Periods of this length, numbered from 1970.
    Every(Micros),
    /// Calendar months; the number is twelve times the year plus the month, which counts from 0.
    Months,
}

/// The last second of the year 9999, where the calendar of the `time` crate ends.
const LAST_SECOND: u64 = 253_402_300_799;

impl Periods {
    /// The period that a time is in.
    pub fn of(self, at: Micros) -> u64 {
        match self {
            Periods::Every(length) => at / length.max(1),
            Periods::Months => {
                let seconds = (at / 1_000_000).min(LAST_SECOND) as i64;
                let date = OffsetDateTime::from_unix_timestamp(seconds).unwrap_or(OffsetDateTime::UNIX_EPOCH);
                let month = u64::from(u8::from(date.month()));
                date.year().unsigned_abs() as u64 * 12 + month - 1
            }
        }
    }

    /// The end of a period: the first time after it. `u64::MAX` past the year 9999.
    pub fn end(self, period: u64) -> Micros {
        match self {
            Periods::Every(length) => (period.saturating_add(1)).saturating_mul(length.max(1)),
            Periods::Months => {
                let next = period.saturating_add(1);
                let month = Month::try_from((next % 12 + 1) as u8).unwrap_or(Month::January);
                let year = i32::try_from(next / 12).unwrap_or(i32::MAX);
                let first = Date::from_calendar_date(year, month, 1).map(|d| d.midnight().assume_utc());
                first.map_or(u64::MAX, |first| u64::try_from(first.unix_timestamp()).unwrap_or(0) * 1_000_000)
            }
        }
    }
}

#[cfg(test)]
mod tests;

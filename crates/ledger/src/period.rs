//! Billing periods in UTC: a fixed length counted from 1970-01-01, or calendar months.

use crate::Micros;
use time::{Date, Month, OffsetDateTime};

/// Maps times to billing periods, which are numbered in ascending order of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Periods {
    /// Periods of this length in microseconds; period 0 starts at 1970-01-01T00:00:00Z.
    Every(Micros),
    /// Calendar months. The period is `12 * year + month`, with January as month 0.
    Months,
}

/// The last second of the year 9999, in seconds since 1970. The calendar of the `time` crate ends there.
const LAST_SECOND: u64 = 253_402_300_799;

impl Periods {
    /// Returns the period that contains a time.
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

    /// Returns the end of a period: the first time after it. `u64::MAX` for months that end after the year 9999.
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

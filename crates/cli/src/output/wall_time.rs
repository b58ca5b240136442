//! Formats wall-clock times.

const DAY_SECONDS: u64 = 86_400;

/// Days in 400 years, after which the Gregorian calendar repeats.
const ERA_DAYS: u64 = 146_097;

/// Days from 0000-03-01 to 1970-01-01. Years are counted from 1 March, so that a
/// leap day is the last day of its year.
const EPOCH_DAYS: u64 = 719_468;

/// Formats a UTC time given in milliseconds since 1970, such as `2026-12-04 06:05:00Z`.
pub fn utc_text(wall_millis: u64) -> String {
    let seconds = wall_millis / 1_000;
    let (year, month, day) = civil_date(seconds / DAY_SECONDS);
    let rest = seconds % DAY_SECONDS;
    let (hour, minute, second) = (rest / 3_600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}Z")
}

/// Converts days since 1970-01-01 to year, month and day.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let (era, day_of_era) = (days / ERA_DAYS, days % ERA_DAYS);
    let leap_days = day_of_era / 1_460 + day_of_era / 146_096;
    let year_of_era = (day_of_era + day_of_era / 36_524 - leap_days) / 365;
    let year_start = 365 * year_of_era + year_of_era / 4 - year_of_era / 100;
    let day_of_year = day_of_era - year_start;
    let from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * from_march + 2) / 5 + 1;
    let month = if from_march < 10 {
        from_march + 3
    } else {
        from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

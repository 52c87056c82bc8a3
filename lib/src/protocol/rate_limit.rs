//! Rate limit that an upstream sets for the requests sent to it by all nodes together.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use snafu::OptionExt;
use snafu::Snafu;

/// Result of parsing a rate limit.
pub type Result<T, E = RateLimitError> = std::result::Result<T, E>;

const MILLIREQUESTS: f64 = 1_000.0;
/// Microseconds in the time in which `millirequests_per_s` requests are allowed.
const MICROS_PER_1000_S: u64 = 1_000_000_000;

/// The text of a rate limit is not a decimal number of at least 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a rate limit is a decimal number of requests per second, 0 or more"))]
pub struct RateLimitError;

/// Maximum rate of requests, with a resolution of a thousandth of a request per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit {
    /// Rate in thousandths of a request per second.
    pub millirequests_per_s: u64,
}

impl RateLimit {
    /// Returns the mean time between two requests at this rate; `None` if no request is allowed.
    #[must_use]
    pub const fn interval(self) -> Option<Duration> {
        match MICROS_PER_1000_S.checked_div(self.millirequests_per_s) {
            Some(micros) => Some(Duration::from_micros(micros)),
            None => None,
        }
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.millirequests_per_s / 1_000, self.millirequests_per_s % 1_000)
    }
}

impl FromStr for RateLimit {
    type Err = RateLimitError;

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is not negative, and one out of range saturates"
    )]
    fn from_str(text: &str) -> Result<Self> {
        let requests_per_s: f64 = text.trim().parse().ok().context(RateLimitSnafu)?;
        let is_rate = requests_per_s.is_finite() && requests_per_s >= 0.0;
        is_rate
            .then(|| Self { millirequests_per_s: (requests_per_s * MILLIREQUESTS).floor() as u64 })
            .context(RateLimitSnafu)
    }
}

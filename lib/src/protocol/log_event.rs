//! Format of log lines (a fixed message followed by `key=value` fields) and their rate limit.

use std::fmt;
use std::fmt::Display;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Writes a log line with a fixed message and fields.
///
/// For example, `log_event!(Info, "published", service = name, revision = 7)`.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $message:literal $(, $key:ident = $value:expr)* $(,)?) => {
        ::log::log!(
            ::log::Level::$level,
            concat!($message, ";" $(, " ", stringify!($key), "={}")*)
            $(, $crate::protocol::log_event::LogValue($value))*
        )
    };
}

/// Writes a line like [`log_event!`], with a rate limit for each call site.
///
/// The field `left_out` gives the number of lines that were suppressed since the last one written.
#[macro_export]
macro_rules! log_event_limited {
    ($level:ident, $message:literal $(, $key:ident = $value:expr)* $(,)?) => {{
        static LIMIT: $crate::protocol::log_event::LogRateLimit = $crate::protocol::log_event::LogRateLimit::new();
        if ::log::log_enabled!(::log::Level::$level)
            && let Some(left_out) = LIMIT.admit(::tokio::time::Instant::now())
        {
            $crate::log_event!($level, $message $(, $key = $value)*, left_out = left_out);
        }
    }};
}

/// Maximum number of lines that a call site may write in one window.
const MAX_LINES_PER_WINDOW: u32 = 10;
/// Length of the window of the rate limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// Value of a field; quoted if it is empty or contains white space, control characters or quotes.
#[derive(Clone, Copy, Debug)]
pub struct LogValue<T>(pub T);

impl<T> Display for LogValue<T>
where
    T: Display,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let needs_quotes =
            text.is_empty() || text.contains(|c: char| c.is_whitespace() || c.is_control() || c == '"');
        if needs_quotes { write!(f, "{text:?}") } else { f.write_str(&text) }
    }
}

/// Rate limit for the log lines of one call site, so that a repeated fault cannot flood the log.
#[derive(Debug)]
pub struct LogRateLimit {
    max_lines: u32,
    window: Mutex<Option<Window>>,
}

/// Lines of one call site in the current window.
#[derive(Clone, Copy, Debug)]
struct Window {
    started: Instant,
    written: u32,
    left_out: u64,
}

impl Default for LogRateLimit {
    fn default() -> Self {
        Self::new()
    }
}

impl LogRateLimit {
    /// Creates a limit with an empty window.
    #[must_use]
    pub const fn new() -> Self {
        Self::with_max_lines(MAX_LINES_PER_WINDOW)
    }

    /// Creates a limit of `max_lines` a second with an empty window.
    #[must_use]
    pub const fn with_max_lines(max_lines: u32) -> Self {
        Self { max_lines, window: Mutex::new(None) }
    }

    /// Returns the number of lines suppressed since the last one, or `None` if this line is to be suppressed.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        let mut window = self.window.lock();
        let new_window = |left_out| Window { started: now, written: 0, left_out };
        let current = window.get_or_insert_with(|| new_window(0));
        if now.saturating_duration_since(current.started) >= LIMIT_WINDOW {
            *current = new_window(current.left_out);
        }
        if current.written >= self.max_lines {
            current.left_out += 1;
            return None;
        }
        current.written += 1;
        Some(std::mem::take(&mut current.left_out))
    }
}

//! One form for every line of the log: a fixed message and then `key=value` fields.

use std::fmt;
use std::fmt::Display;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Writes a line with a fixed message and fields, as in
/// `log_event!(Info, "published", service = name, revision = 7)`.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $message:literal $(, $key:ident = $value:expr)* $(,)?) => {
        ::log::log!(
            ::log::Level::$level,
            concat!($message, ";" $(, " ", stringify!($key), "={}")*)
            $(, $crate::protocol::log_event::Field($value))*
        )
    };
}

/// Writes a line like [`log_event!`], unless its place in the code wrote too many just now.
///
/// The next line that is written says how many were left out.
#[macro_export]
macro_rules! log_event_limited {
    ($level:ident, $message:literal $(, $key:ident = $value:expr)* $(,)?) => {{
        static LIMIT: $crate::protocol::log_event::LineLimit = $crate::protocol::log_event::LineLimit::new();
        if ::log::log_enabled!(::log::Level::$level)
            && let Some(left_out) = LIMIT.admit(::tokio::time::Instant::now())
        {
            $crate::log_event!($level, $message $(, $key = $value)*, left_out = left_out);
        }
    }};
}

/// Lines that one place in the code may write in one window.
const MAX_LINES: u32 = 10;
const WINDOW: Duration = Duration::from_secs(1);

/// The value of a field, quoted when it would not read as one word.
#[derive(Clone, Copy, Debug)]
pub struct Field<T>(pub T);

impl<T> Display for Field<T>
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

/// Counts the lines of one place in the code, so that a fault can't flood the log.
#[derive(Debug)]
pub struct LineLimit {
    window: Mutex<Option<Window>>,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    started: Instant,
    written: u32,
    left_out: u64,
}

impl Default for LineLimit {
    fn default() -> Self {
        Self::new()
    }
}

impl LineLimit {
    /// A limit of which nothing is used up.
    #[must_use]
    pub const fn new() -> Self {
        Self { window: Mutex::new(None) }
    }

    /// Whether a line may be written now, and how many were left out since the last one.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        let mut window = self.window.lock();
        let fresh = |left_out| Window { started: now, written: 0, left_out };
        let current = window.get_or_insert_with(|| fresh(0));
        if now.saturating_duration_since(current.started) >= WINDOW {
            *current = fresh(current.left_out);
        }
        if current.written >= MAX_LINES {
            current.left_out += 1;
            return None;
        }
        current.written += 1;
        Some(std::mem::take(&mut current.left_out))
    }
}

//! The load that a gate puts on every answer.

use std::fmt;
use std::str::FromStr;

/// Exact state of a gate at the moment that it answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that hold a slot.
    pub running: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Slots that the gate grants at present.
    pub limit: u32,
    /// Time that a good answer costs at present, in microseconds; 0 when nothing is known.
    pub service_time_us: u64,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.running, self.queued, self.limit, self.service_time_us)
    }
}

impl FromStr for LoadReport {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.split('/');
        let mut next = || parts.next().and_then(|part| part.parse().ok()).ok_or(());
        let (running, queued, limit) = (next()?, next()?, next()?);
        let service_time_us = parts.next().and_then(|part| part.parse().ok()).ok_or(())?;
        Ok(Self { running, queued, limit, service_time_us })
    }
}

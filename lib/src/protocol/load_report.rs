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
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.running, self.queued, self.limit)
    }
}

impl FromStr for LoadReport {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.split('/').map(|part| part.parse().ok());
        let mut next = || parts.next().flatten().ok_or(());
        Ok(Self { running: next()?, queued: next()?, limit: next()? })
    }
}

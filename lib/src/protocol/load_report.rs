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
    /// Time that a call takes at present against the usual of its kind, in thousandths; 0 when not known.
    pub slowness_permille: u64,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { running, queued, limit, service_time_us, slowness_permille } = self;
        write!(f, "{running}/{queued}/{limit}/{service_time_us}")?;
        if *slowness_permille > 0 {
            write!(f, "/{slowness_permille}")?;
        }
        Ok(())
    }
}

impl FromStr for LoadReport {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.split('/');
        let mut next = || parts.next().and_then(|part| part.parse().ok()).ok_or(());
        let (running, queued, limit) = (next()?, next()?, next()?);
        let service_time_us = parts.next().and_then(|part| part.parse().ok()).ok_or(())?;
        let slowness_permille = parts.next().map_or(Ok(0), |part| part.parse().map_err(drop))?;
        Ok(Self { running, queued, limit, service_time_us, slowness_permille })
    }
}

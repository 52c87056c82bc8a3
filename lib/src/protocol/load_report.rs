//! Load report that a gate attaches to its answers, by which ingresses compare gates.

use std::fmt;
use std::str::FromStr;

/// Load of a gate at the moment of an answer.
///
/// The text form is `running/queued/limit/service_time_us`, followed by `/slowness_permille` and
/// `/start_delay_us`; zeros at the end are left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that occupy a slot.
    pub running: u32,
    /// Calls that are queued for a slot.
    pub queued: u32,
    /// Current concurrency limit: number of slots that the gate grants.
    pub limit: u32,
    /// Current estimate of the service time per good answer, in microseconds; 0 if unknown.
    pub service_time_us: u64,
    /// Current service time relative to the typical one of the same calls, in thousandths; 0 if unknown.
    pub slowness_permille: u64,
    /// Time until the rate limit of the upstream lets a new call start, in microseconds; 0 without a limit.
    pub start_delay_us: u64,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { running, queued, limit, service_time_us, slowness_permille, start_delay_us } = self;
        write!(f, "{running}/{queued}/{limit}/{service_time_us}")?;
        if *slowness_permille > 0 || *start_delay_us > 0 {
            write!(f, "/{slowness_permille}")?;
        }
        if *start_delay_us > 0 {
            write!(f, "/{start_delay_us}")?;
        }
        Ok(())
    }
}

impl FromStr for LoadReport {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.split('/');
        let mut next_count = || parts.next().and_then(|part| part.parse().ok()).ok_or(());
        let (running, queued, limit) = (next_count()?, next_count()?, next_count()?);
        let service_time_us = parts.next().and_then(|part| part.parse().ok()).ok_or(())?;
        let mut optional_number = || parts.next().map_or(Ok(0), |part| part.parse().map_err(drop));
        let (slowness_permille, start_delay_us) = (optional_number()?, optional_number()?);
        Ok(Self { running, queued, limit, service_time_us, slowness_permille, start_delay_us })
    }
}

//! Timeout that most callers of a route start with, from which the age of a repeated call is inferred.

use std::time::Duration;

use parking_lot::Mutex;

/// Largest lead of the usual timeout over other ones, so that callers can change theirs.
const MAX_LEAD: u32 = 64;

/// Majority vote over the timeouts of a route's calls.
///
/// Callers that begin a call send the same timeout each time. One that repeats a call after a failure sends what
/// is left of it, a different value each time, which never gains a majority.
#[derive(Debug, Default)]
pub struct UsualTimeout {
    vote: Mutex<Vote>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Vote {
    candidate: Duration,
    /// Calls with the candidate's timeout, less those with another one.
    lead: u32,
}

impl UsualTimeout {
    /// Records the timeout of a call, and returns how long its caller has already waited.
    ///
    /// That is zero for a call with the usual timeout or a longer one.
    pub fn record(&self, timeout: Duration) -> Duration {
        let mut vote = self.vote.lock();
        if vote.lead == 0 {
            vote.candidate = timeout;
        }
        vote.lead = if vote.candidate == timeout {
            (vote.lead + 1).min(MAX_LEAD)
        } else {
            vote.lead.saturating_sub(1)
        };
        vote.candidate.saturating_sub(timeout)
    }

    /// Returns what [`Self::record`] would return for a call with this timeout, without recording it.
    pub fn waited(&self, timeout: Duration) -> Duration {
        let vote = self.vote.lock();
        if vote.lead == 0 { Duration::ZERO } else { vote.candidate.saturating_sub(timeout) }
    }
}

//! Which upstreams get no work for a while because they are much worse than the others.

use crate::coordination::routing::Candidate;

const SLOW_FACTOR: u64 = 3;
const CONSECUTIVE_FAILURES: u32 = 5;
const PERCENT: usize = 100;

/// Marks the candidates to leave out: the worst first, and no more than the cap allows.
///
/// A candidate is an outlier when a good answer costs several times the median, or when
/// failures came one after another. What is known of it loses force with age, so that it
/// is tried again without any timer.
#[must_use]
pub fn ejected(candidates: &[Candidate], max_ejected_percent: u32) -> Vec<bool> {
    let mut out = vec![false; candidates.len()];
    let most = candidates.len() * max_ejected_percent as usize / PERCENT;
    let most = most.min(candidates.len().saturating_sub(1));
    if most == 0 {
        return out;
    }
    let usual_us = usual_service_time_us(candidates);
    let mut outliers: Vec<usize> =
        (0..candidates.len()).filter(|index| is_outlier(&candidates[*index], usual_us)).collect();
    outliers.sort_by_key(|index| std::cmp::Reverse(badness(&candidates[*index])));
    for index in outliers.into_iter().take(most) {
        out[index] = true;
    }
    out
}

/// The lower median of the service times that are known, in microseconds; 0 when none is.
#[must_use]
pub fn usual_service_time_us(candidates: &[Candidate]) -> u64 {
    let known = candidates.iter().map(|candidate| candidate.load.service_time_us).filter(|time| *time > 0);
    let mut known: Vec<u64> = known.collect();
    known.sort_unstable();
    known.get(known.len().saturating_sub(1) / 2).copied().unwrap_or(0)
}

const fn is_outlier(candidate: &Candidate, usual_us: u64) -> bool {
    let slow = usual_us > 0 && candidate.load.service_time_us > usual_us * SLOW_FACTOR;
    slow || candidate.load.consecutive_failures >= CONSECUTIVE_FAILURES
}

const fn badness(candidate: &Candidate) -> (u32, u64) {
    (candidate.load.consecutive_failures / CONSECUTIVE_FAILURES, candidate.load.service_time_us)
}

//! Outlier ejection: excludes upstreams that are much slower than the others or fail repeatedly.

use crate::coordination::routing::Candidate;

/// Multiple of the median service time above which a candidate is an outlier.
const SLOW_MEDIAN_FACTOR: u64 = 3;
/// Failures in a row from which a candidate is an outlier.
const OUTLIER_FAILURES: u32 = 5;
const PERCENT: usize = 100;

/// Returns a flag for each candidate that tells whether it is ejected.
///
/// A candidate is an outlier when its service time is several times the median, or after several
/// consecutive failures. The worst outliers are ejected, up to `max_ejected_percent` of the candidates and
/// never all of them. Load reports decay with age, so that an ejected upstream gets calls again without a
/// timer.
#[must_use]
pub fn ejection_flags(candidates: &[Candidate], max_ejected_percent: u32) -> Vec<bool> {
    let mut ejection_flags = vec![false; candidates.len()];
    let max_ejected = candidates.len() * max_ejected_percent as usize / PERCENT;
    let max_ejected = max_ejected.min(candidates.len().saturating_sub(1));
    if max_ejected == 0 {
        return ejection_flags;
    }
    let median_us = median_service_time_us(candidates);
    let mut outliers: Vec<usize> =
        (0..candidates.len()).filter(|index| is_outlier(&candidates[*index], median_us)).collect();
    outliers.sort_by_key(|index| std::cmp::Reverse(severity(&candidates[*index])));
    for index in outliers.into_iter().take(max_ejected) {
        ejection_flags[index] = true;
    }
    ejection_flags
}

/// Returns the lower median of the known service times, in microseconds, or 0 if none is known.
#[must_use]
pub fn median_service_time_us(candidates: &[Candidate]) -> u64 {
    let known = candidates.iter().map(|candidate| candidate.load.service_time_us).filter(|time| *time > 0);
    let mut known: Vec<u64> = known.collect();
    known.sort_unstable();
    known.get(known.len().saturating_sub(1) / 2).copied().unwrap_or(0)
}

const fn is_outlier(candidate: &Candidate, median_us: u64) -> bool {
    let slow = median_us > 0 && candidate.load.service_time_us > median_us * SLOW_MEDIAN_FACTOR;
    slow || candidate.load.consecutive_failures >= OUTLIER_FAILURES
}

/// Returns the sort key by which the worst outliers are ejected first.
const fn severity(candidate: &Candidate) -> (u32, u64) {
    (candidate.load.consecutive_failures / OUTLIER_FAILURES, candidate.load.service_time_us)
}

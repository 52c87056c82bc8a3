//! Statistics of one upstream, which an ingress gathers from its own calls and the gate's load reports.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::protocol::load_report::LoadReport;

/// Right shift that weights a new sample in a moving average: a shift of 3 gives it a weight of 1/8.
const SMOOTHING_SHIFT: u32 = 3;
/// Age of a report after which the excess of its service time is halved, in microseconds.
const SERVICE_TIME_HALF_LIFE_US: u64 = 500_000;
/// Age of a report after which the deviation of its slowness is halved, in microseconds.
const SLOWNESS_HALF_LIFE_US: u64 = 200_000;

/// Lock-free statistics of one incarnation of an upstream.
#[derive(Debug)]
pub struct UpstreamStats {
    first_seen_at: Instant,
    in_flight: AtomicU32,
    reported_calls: AtomicU32,
    reported_queued: AtomicU32,
    reported_slots: AtomicU32,
    reported_start_delay_us: AtomicU64,
    /// Time of the latest report, in microseconds since `first_seen_at`.
    reported_at_us: AtomicU64,
    reported_service_time_us: AtomicU64,
    /// Moving average over this node's own calls.
    service_time_us: AtomicU64,
    reported_slowness_permille: AtomicU64,
    /// Moving average of the reported values.
    mean_slowness_permille: AtomicU64,
    consecutive_failures: AtomicU32,
}

/// The statistics of an upstream at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Calls that this node has in flight at the upstream.
    pub in_flight: u32,
    /// Calls running and queued, from the gate's latest load report.
    pub reported_calls: u32,
    /// Calls queued, from the gate's latest load report.
    pub reported_queued: u32,
    /// Slots, from the gate's latest load report; 0 before the first one.
    pub reported_slots: u32,
    /// Time until the upstream's rate limit lets a call start, by the gate's latest load report, in microseconds.
    pub start_delay_us: u64,
    /// Age of the gate's latest load report, in microseconds.
    pub report_age_us: u64,
    /// Estimated time until a successful answer, in microseconds; 0 if unknown.
    pub service_time_us: u64,
    /// Ratio of the service time to the typical time of the same calls, in thousandths; 0 if unknown.
    pub slowness_permille: u64,
    /// Failures since the last successful answer.
    pub consecutive_failures: u32,
}

impl UpstreamStats {
    /// Creates the statistics of an upstream first seen at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            first_seen_at: now,
            in_flight: AtomicU32::new(0),
            reported_calls: AtomicU32::new(0),
            reported_queued: AtomicU32::new(0),
            reported_slots: AtomicU32::new(0),
            reported_start_delay_us: AtomicU64::new(0),
            reported_at_us: AtomicU64::new(0),
            reported_service_time_us: AtomicU64::new(0),
            service_time_us: AtomicU64::new(0),
            reported_slowness_permille: AtomicU64::new(0),
            mean_slowness_permille: AtomicU64::new(0),
            consecutive_failures: AtomicU32::new(0),
        }
    }

    /// Returns the time at which the upstream was first seen.
    #[must_use]
    pub const fn first_seen_at(&self) -> Instant {
        self.first_seen_at
    }

    /// Records the start of a call.
    pub fn record_start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the end of a call, whatever its outcome.
    pub fn record_end(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records the load report of an answer.
    pub fn record_load_report(&self, load: LoadReport, now: Instant) {
        self.reported_calls.store(load.running + load.queued, Ordering::Relaxed);
        self.reported_queued.store(load.queued, Ordering::Relaxed);
        self.reported_slots.store(load.limit, Ordering::Relaxed);
        self.reported_start_delay_us.store(load.start_delay_us, Ordering::Relaxed);
        self.reported_service_time_us.store(load.service_time_us, Ordering::Relaxed);
        if load.slowness_permille > 0 {
            self.reported_slowness_permille.store(load.slowness_permille, Ordering::Relaxed);
            update_average(&self.mean_slowness_permille, load.slowness_permille);
        }
        self.reported_at_us.store(micros(now - self.first_seen_at), Ordering::Relaxed);
    }

    /// Records a successful answer and the time that it took, which ends a run of failures.
    pub fn record_success(&self, latency: Duration) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
        update_average(&self.service_time_us, micros(latency));
    }

    /// Records a failure attributed to the upstream.
    pub fn record_failure(&self) {
        self.consecutive_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Forgets how slow and how often failing the upstream was, as after a time without calls.
    pub fn reset_slowness(&self) {
        self.reported_service_time_us.store(0, Ordering::Relaxed);
        self.service_time_us.store(0, Ordering::Relaxed);
        self.reported_slowness_permille.store(0, Ordering::Relaxed);
        self.mean_slowness_permille.store(0, Ordering::Relaxed);
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }

    /// Returns the statistics at `now`.
    #[must_use]
    pub fn load(&self, now: Instant) -> UpstreamLoad {
        let first_seen_age_us = micros(now - self.first_seen_at);
        let report_age_us = first_seen_age_us.saturating_sub(self.reported_at_us.load(Ordering::Relaxed));
        let start_delay_us = self.reported_start_delay_us.load(Ordering::Relaxed);
        UpstreamLoad {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            reported_calls: self.reported_calls.load(Ordering::Relaxed),
            reported_queued: self.reported_queued.load(Ordering::Relaxed),
            reported_slots: self.reported_slots.load(Ordering::Relaxed),
            start_delay_us: start_delay_us.saturating_sub(report_age_us),
            report_age_us,
            service_time_us: self.service_time_us(first_seen_age_us),
            slowness_permille: self.slowness_permille(first_seen_age_us),
            consecutive_failures: self.consecutive_failures.load(Ordering::Relaxed),
        }
    }
}

impl UpstreamStats {
    /// Returns the reported service time; its excess over the own average decays with the report's age.
    ///
    /// A reported time below the own average is returned unchanged. If only one of them is known, returns it.
    fn service_time_us(&self, first_seen_age_us: u64) -> u64 {
        let own_average = self.service_time_us.load(Ordering::Relaxed);
        let reported = self.reported_service_time_us.load(Ordering::Relaxed);
        if reported == 0 || own_average == 0 {
            return reported.max(own_average);
        }
        let age_us = first_seen_age_us.saturating_sub(self.reported_at_us.load(Ordering::Relaxed));
        let halvings = u32::try_from(age_us / SERVICE_TIME_HALF_LIFE_US).unwrap_or(u32::MAX);
        let excess = reported.saturating_sub(own_average).checked_shr(halvings).unwrap_or(0);
        reported.min(own_average) + excess
    }

    /// Returns the reported slowness; its deviation from its moving average decays with the report's age.
    fn slowness_permille(&self, first_seen_age_us: u64) -> u64 {
        let mean = self.mean_slowness_permille.load(Ordering::Relaxed);
        let reported = self.reported_slowness_permille.load(Ordering::Relaxed);
        let age_us = first_seen_age_us.saturating_sub(self.reported_at_us.load(Ordering::Relaxed));
        let halvings = u32::try_from(age_us / SLOWNESS_HALF_LIFE_US).unwrap_or(u32::MAX);
        let deviation = reported.abs_diff(mean).checked_shr(halvings).unwrap_or(0);
        if reported > mean { mean + deviation } else { mean - deviation }
    }
}

/// Updates an exponential moving average with a sample; the first sample becomes the average.
fn update_average(average: &AtomicU64, sample: u64) {
    let old = average.load(Ordering::Relaxed);
    let new = if old == 0 { sample } else { old - (old >> SMOOTHING_SHIFT) + (sample >> SMOOTHING_SHIFT) };
    average.store(new, Ordering::Relaxed);
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

//! What an ingress learned about one upstream from its own calls.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::protocol::load_report::LoadReport;

const SMOOTHING_SHIFT: u32 = 3;
const SERVICE_TIME_HALF_LIFE_US: u64 = 500_000;
const SLOWNESS_HALF_LIFE_US: u64 = 200_000;

/// Live figures about one incarnation of an upstream, written without locks.
#[derive(Debug)]
pub struct UpstreamStats {
    epoch: Instant,
    in_flight: AtomicU32,
    reported_busy: AtomicU32,
    reported_limit: AtomicU32,
    reported_at_us: AtomicU64,
    reported_service_time_us: AtomicU64,
    service_time_us: AtomicU64,
    reported_slowness_permille: AtomicU64,
    mean_slowness_permille: AtomicU64,
    consecutive_failures: AtomicU32,
}

/// The figures at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Calls that this node has under way there.
    pub in_flight: u32,
    /// Calls running and queued by the gate's last word.
    pub reported_busy: u32,
    /// Slots by the gate's last word; 0 when it has not spoken yet.
    pub reported_limit: u32,
    /// Age of the gate's last word, in microseconds.
    pub report_age_us: u64,
    /// Time that a good answer costs there, in microseconds; 0 when nothing is known.
    pub service_time_us: u64,
    /// Time that a call takes there against the usual of its kind, in thousandths; 0 when not known.
    pub slowness_permille: u64,
    /// Failures since the last good answer.
    pub consecutive_failures: u32,
}

impl UpstreamStats {
    /// Figures of an upstream first seen at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            epoch: now,
            in_flight: AtomicU32::new(0),
            reported_busy: AtomicU32::new(0),
            reported_limit: AtomicU32::new(0),
            reported_at_us: AtomicU64::new(0),
            reported_service_time_us: AtomicU64::new(0),
            service_time_us: AtomicU64::new(0),
            reported_slowness_permille: AtomicU64::new(0),
            mean_slowness_permille: AtomicU64::new(0),
            consecutive_failures: AtomicU32::new(0),
        }
    }

    /// When the upstream was first seen.
    #[must_use]
    pub const fn first_seen(&self) -> Instant {
        self.epoch
    }

    /// Counts a call in.
    pub fn start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call out.
    pub fn finish(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Takes in the load that an answer carried.
    pub fn report(&self, load: LoadReport, now: Instant) {
        self.reported_busy.store(load.running + load.queued, Ordering::Relaxed);
        self.reported_limit.store(load.limit, Ordering::Relaxed);
        self.reported_service_time_us.store(load.service_time_us, Ordering::Relaxed);
        if load.slowness_permille > 0 {
            self.reported_slowness_permille.store(load.slowness_permille, Ordering::Relaxed);
            smooth_in(&self.mean_slowness_permille, load.slowness_permille);
        }
        self.reported_at_us.store(micros(now - self.epoch), Ordering::Relaxed);
    }

    /// Takes in the time that a good answer took.
    pub fn observe(&self, took: Duration) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
        smooth_in(&self.service_time_us, micros(took));
    }

    /// Counts a failure that speaks against the upstream.
    pub fn fail(&self) {
        self.consecutive_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// The figures at `now`.
    #[must_use]
    pub fn load(&self, now: Instant) -> UpstreamLoad {
        let since = micros(now - self.epoch);
        UpstreamLoad {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            reported_busy: self.reported_busy.load(Ordering::Relaxed),
            reported_limit: self.reported_limit.load(Ordering::Relaxed),
            report_age_us: since.saturating_sub(self.reported_at_us.load(Ordering::Relaxed)),
            service_time_us: self.service_time_us(since),
            slowness_permille: self.slowness_permille(since),
            consecutive_failures: self.consecutive_failures.load(Ordering::Relaxed),
        }
    }
}

impl UpstreamStats {
    /// The gate's word, which returns to this node's own figure as it ages.
    fn service_time_us(&self, since_epoch_us: u64) -> u64 {
        let own = self.service_time_us.load(Ordering::Relaxed);
        let reported = self.reported_service_time_us.load(Ordering::Relaxed);
        if reported == 0 || own == 0 {
            return reported.max(own);
        }
        let age_us = since_epoch_us.saturating_sub(self.reported_at_us.load(Ordering::Relaxed));
        let halvings = u32::try_from(age_us / SERVICE_TIME_HALF_LIFE_US).unwrap_or(u32::MAX);
        let above = reported.saturating_sub(own).checked_shr(halvings).unwrap_or(0);
        reported.min(own) + above
    }

    /// The gate's word, which returns to the mean of its words as it ages, whichever way.
    fn slowness_permille(&self, since_epoch_us: u64) -> u64 {
        let mean = self.mean_slowness_permille.load(Ordering::Relaxed);
        let reported = self.reported_slowness_permille.load(Ordering::Relaxed);
        let age_us = since_epoch_us.saturating_sub(self.reported_at_us.load(Ordering::Relaxed));
        let halvings = u32::try_from(age_us / SLOWNESS_HALF_LIFE_US).unwrap_or(u32::MAX);
        let distance = reported.abs_diff(mean).checked_shr(halvings).unwrap_or(0);
        if reported > mean { mean + distance } else { mean - distance }
    }
}

/// Takes one more sample into a smoothed figure; the first stands for itself.
fn smooth_in(figure: &AtomicU64, sample: u64) {
    let old = figure.load(Ordering::Relaxed);
    let new = if old == 0 { sample } else { old - (old >> SMOOTHING_SHIFT) + (sample >> SMOOTHING_SHIFT) };
    figure.store(new, Ordering::Relaxed);
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

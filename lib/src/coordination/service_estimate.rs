//! How long an upstream takes for a call at present, by what its gate sees.

use std::time::Duration;

use tokio::time::Instant;

const SMOOTHING: u64 = 16;
const TRIAL_SMOOTHING: u64 = 2;
const FAILURE_SMOOTHING: u64 = 8;
const ALL_FAILING_PERMILLE: u64 = 1_000;
const MIN_GOOD_PERMILLE: u64 = 60;
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
const TRIAL_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// How a call ended for the upstream that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With a good answer whose header section took this long.
    Good(Duration),
    /// With an error of the upstream's own.
    Failed,
    /// The caller left first, so it says nothing about the upstream.
    Abandoned,
}

/// Live estimate of service time and failures, fed with starts and ends.
#[derive(Debug)]
pub struct ServiceEstimate {
    epoch: Instant,
    mean_us: u64,
    failing_permille: u64,
    running: u32,
    sum_of_starts_us: u64,
    trial_interval: Duration,
    next_trial: Instant,
    on_trial: bool,
}

impl ServiceEstimate {
    /// An estimate that has seen nothing yet.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            epoch: now,
            mean_us: 0,
            failing_permille: 0,
            running: 0,
            sum_of_starts_us: 0,
            trial_interval: Duration::ZERO,
            next_trial: now,
            on_trial: false,
        }
    }

    /// A call takes a slot.
    pub fn start(&mut self, now: Instant) {
        self.running += 1;
        self.sum_of_starts_us += self.since_epoch_us(now);
    }

    /// A call that started at `started` lets go of its slot.
    pub fn finish(&mut self, started: Instant, ended: Ended, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.sum_of_starts_us = self.sum_of_starts_us.saturating_sub(self.since_epoch_us(started));
        let trial = std::mem::take(&mut self.on_trial);
        match ended {
            Ended::Good(took) => self.good(micros(took), trial),
            Ended::Failed => self.failed(trial, now),
            Ended::Abandoned => {}
        }
    }

    /// Smoothed service time of good answers, in microseconds; 0 before the first one.
    #[must_use]
    pub const fn mean_us(&self) -> u64 {
        self.mean_us
    }

    /// Time that a good answer costs at present, in microseconds.
    ///
    /// Calls that run longer than usual count before they end, and failures raise it,
    /// so that neither a sudden slowdown nor failing fast looks like speed.
    #[must_use]
    pub fn live_us(&self, now: Instant) -> u64 {
        let base_us = self.mean_us.max(self.mean_age_us(now));
        let good_permille = ALL_FAILING_PERMILLE.saturating_sub(self.failing_permille).max(MIN_GOOD_PERMILLE);
        base_us.saturating_mul(ALL_FAILING_PERMILLE) / good_permille
    }

    /// Whether one call may try an upstream that looks worse than others; claims the trial.
    pub fn claim_trial(&mut self, now: Instant) -> bool {
        if self.running > 0 || now < self.next_trial {
            return false;
        }
        self.on_trial = true;
        self.next_trial = now + self.trial_interval;
        true
    }

    fn good(&mut self, sample_us: u64, trial: bool) {
        let smoothing = if trial { TRIAL_SMOOTHING } else { SMOOTHING };
        self.mean_us = match self.mean_us {
            0 => sample_us,
            mean_us => (mean_us * (smoothing - 1) + sample_us) / smoothing,
        };
        let fading = if trial { TRIAL_SMOOTHING } else { FAILURE_SMOOTHING };
        self.failing_permille -= self.failing_permille.div_ceil(fading);
        self.trial_interval = Duration::ZERO;
    }

    fn failed(&mut self, trial: bool, now: Instant) {
        self.failing_permille += (ALL_FAILING_PERMILLE - self.failing_permille) / FAILURE_SMOOTHING;
        if trial {
            let doubled = (self.trial_interval * 2).max(TRIAL_INTERVAL);
            self.trial_interval = doubled.min(TRIAL_INTERVAL_MAX);
            self.next_trial = now + self.trial_interval;
        }
    }

    fn mean_age_us(&self, now: Instant) -> u64 {
        let running = u64::from(self.running);
        if running == 0 {
            return 0;
        }
        (running * self.since_epoch_us(now)).saturating_sub(self.sum_of_starts_us) / running
    }

    fn since_epoch_us(&self, now: Instant) -> u64 {
        micros(now.saturating_duration_since(self.epoch))
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

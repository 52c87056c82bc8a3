//! How long an upstream takes for a call at present, by what its gate sees.

use std::time::Duration;

use tokio::time::Instant;

const SMOOTHING: u64 = 16;
const TRIAL_SMOOTHING: u64 = 2;
const FAILURE_SMOOTHING: u64 = 8;
const ALL_FAILING_PERMILLE: u64 = 1_000;
const MIN_GOOD_PERMILLE: u64 = 60;
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
const TRIAL_INTERVAL_MAX: Duration = Duration::from_secs(1);
const PRECIOUS_TRIAL_DELAY: Duration = Duration::from_secs(1);

/// Time in which what an upstream said of its pace loses half of its force.
const PACE_HALF_LIFE: Duration = Duration::from_millis(150);
const PACE_SMOOTHING: u64 = 32;
const MIN_PACE_PERCENT: u64 = 10;

/// How a call ended for the upstream that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With a good answer whose header section took this long.
    Good(Duration),
    /// With an error of the upstream's own.
    Failed,
    /// The sender gave it up first, so it only says that it takes at least so long.
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
    trial_patience: Option<Duration>,
    pace: Option<Pace>,
}

/// How fast the upstream's VM works, by the upstream's own word.
#[derive(Clone, Copy, Debug)]
struct Pace {
    percent: u64,
    usual_percent: u64,
    told_at: Instant,
}

impl Pace {
    /// The pace expected at `now`: the last word, which loses force with age against the usual.
    fn percent(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.told_at);
        let halvings = u32::try_from(age.as_micros() / PACE_HALF_LIFE.as_micros()).unwrap_or(u32::MAX);
        let fades = |distance: u64| distance.checked_shr(halvings).unwrap_or(0);
        if self.percent > self.usual_percent {
            self.usual_percent + fades(self.percent - self.usual_percent)
        } else {
            self.usual_percent - fades(self.usual_percent - self.percent)
        }
    }
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
            trial_patience: None,
            pace: None,
        }
    }

    /// Takes in the pace at which the upstream says that its VM works, 100 the usual.
    pub fn note_pace(&mut self, percent: u32, now: Instant) {
        let percent = u64::from(percent).max(MIN_PACE_PERCENT);
        let usual_percent = self
            .pace
            .map_or(percent, |pace| (pace.usual_percent * (PACE_SMOOTHING - 1) + percent) / PACE_SMOOTHING);
        self.pace = Some(Pace { percent, usual_percent, told_at: now });
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
        let trial = self.trial_patience.take();
        match ended {
            Ended::Good(took) => self.good(micros(took), trial.is_some()),
            Ended::Failed => self.failed(),
            Ended::Abandoned => self.abandoned(micros(now.saturating_duration_since(started))),
        }
        if let Some(patience) = trial {
            self.judge_trial(matches!(ended, Ended::Good(took) if took <= patience), now);
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
        let paced_us = self
            .pace
            .map_or(self.mean_us, |pace| self.mean_us.saturating_mul(pace.percent(now)) / pace.usual_percent);
        let base_us = paced_us.max(self.mean_age_us(now));
        let good_permille = ALL_FAILING_PERMILLE.saturating_sub(self.failing_permille).max(MIN_GOOD_PERMILLE);
        base_us.saturating_mul(ALL_FAILING_PERMILLE) / good_permille
    }

    /// Whether one call may try an upstream that looks worse than others; claims the trial.
    ///
    /// Calls that may run more than once go first, since an ingress can race them elsewhere.
    pub fn claim_trial(&mut self, patience: Duration, idempotent: bool, now: Instant) -> bool {
        let due = if idempotent { self.next_trial } else { self.next_trial + PRECIOUS_TRIAL_DELAY };
        if self.running > 0 || now < due {
            return false;
        }
        self.trial_patience = Some(patience);
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
    }

    /// A call given up after longer than usual took at least that long.
    const fn abandoned(&mut self, age_us: u64) {
        if self.mean_us > 0 && age_us > self.mean_us {
            self.mean_us = (self.mean_us * (SMOOTHING - 1) + age_us) / SMOOTHING;
        }
    }

    const fn failed(&mut self) {
        self.failing_permille += (ALL_FAILING_PERMILLE - self.failing_permille) / FAILURE_SMOOTHING;
    }

    fn judge_trial(&mut self, passed: bool, now: Instant) {
        let longer = (self.trial_interval * 2).clamp(TRIAL_INTERVAL, TRIAL_INTERVAL_MAX);
        self.trial_interval = if passed { Duration::ZERO } else { longer };
        self.next_trial = now + self.trial_interval;
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

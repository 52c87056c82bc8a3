//! How long an upstream takes for a call at present, by what its gate sees.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::run_exposure::Exposure;
use crate::coordination::run_exposure::Run;
use crate::coordination::run_exposure::micros;

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
const PERMILLE: u64 = 1_000;
const PERCENT: u64 = 100;
/// Smoothing of the time that the calls of an upstream usually take, which changes with their mix only.
const MIX_SMOOTHING: u64 = 64;

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
///
/// Calls differ in how long they usually take. Where that is known, what counts of a call is its time
/// against the usual, so that a change of the mix does not look like a change of the upstream. A call
/// keeps the pace that it started at, so its time is divided by that before it is learned from.
#[derive(Debug)]
pub struct ServiceEstimate {
    epoch: Instant,
    mean_us: u64,
    /// Usual time of the calls that come here, and their time against it at the usual pace.
    ///
    /// Both are 0 before the first such call has ended.
    usual_us: u64,
    slowness_permille: u64,
    exposure: Exposure,
    failing_permille: u64,
    running: u32,
    unweighed: u32,
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
            usual_us: 0,
            slowness_permille: 0,
            exposure: Exposure::new(),
            failing_permille: 0,
            running: 0,
            unweighed: 0,
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

    /// Pace expected of the upstream's VM, 100 the usual, or that when nothing is known.
    #[must_use]
    pub fn pace_percent(&self, now: Instant) -> u64 {
        self.pace.map_or(PERCENT, |pace| pace.percent(now))
    }

    /// Time that a call takes at present against the usual of its kind, in thousandths.
    ///
    /// It is 0 while neither the upstream nor a call has told anything.
    #[must_use]
    pub fn slowness_permille(&self, now: Instant) -> u64 {
        if self.slowness_permille == 0 && self.pace.is_none() {
            return 0;
        }
        let learned = if self.slowness_permille == 0 { PERMILLE } else { self.slowness_permille };
        let paced = learned * self.pace_percent(now) / PERCENT;
        self.per_good_answer(paced.max(learned + self.overdue_permille(now) / SMOOTHING))
    }

    /// Whether the upstream said nothing of its pace within the given time.
    #[must_use]
    pub fn pace_is_older_than(&self, age: Duration, now: Instant) -> bool {
        self.pace.is_none_or(|pace| now.saturating_duration_since(pace.told_at) > age)
    }

    /// A call takes a slot.
    pub fn start(&mut self, run: Run) {
        self.running += 1;
        let start_us = self.since_epoch_us(run.started);
        if let Some(expected_us) = run.expected_us() {
            self.exposure.add(expected_us, start_us);
        } else {
            self.unweighed += 1;
            self.sum_of_starts_us += start_us;
        }
    }

    /// A call lets go of its slot.
    pub fn finish(&mut self, run: Run, ended: Ended, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let start_us = self.since_epoch_us(run.started);
        if let Some(expected_us) = run.expected_us() {
            self.exposure.remove(expected_us, start_us);
        } else {
            self.unweighed = self.unweighed.saturating_sub(1);
            self.sum_of_starts_us = self.sum_of_starts_us.saturating_sub(start_us);
        }
        let trial = self.trial_patience.take();
        match ended {
            Ended::Good(took) => self.good(micros(took), run, trial.is_some()),
            Ended::Failed => self.failed(),
            Ended::Abandoned => {
                let age_us = micros(now.saturating_duration_since(run.started));
                self.abandoned(age_us, run);
            }
        }
        if let Some(patience) = trial {
            self.judge_trial(matches!(ended, Ended::Good(took) if took <= patience), now);
        }
    }

    /// Smoothed service time of good answers, in microseconds; 0 before the first one.
    #[must_use]
    pub const fn mean_us(&self) -> u64 {
        if self.usual_us == 0 {
            return self.mean_us;
        }
        self.usual_us.saturating_mul(self.slowness_permille) / PERMILLE
    }

    /// Time that a good answer costs at present, in microseconds.
    ///
    /// Calls that run longer than usual count before they end, and failures raise it,
    /// so that neither a sudden slowdown nor failing fast looks like speed.
    #[must_use]
    pub fn live_us(&self, now: Instant) -> u64 {
        if self.usual_us > 0 {
            return self.usual_us.saturating_mul(self.slowness_permille(now)) / PERMILLE;
        }
        self.per_good_answer(self.mean_us.max(self.mean_age_us(now)))
    }

    /// What one good answer costs where failures have to be made up for.
    fn per_good_answer(&self, cost: u64) -> u64 {
        let good_permille = ALL_FAILING_PERMILLE.saturating_sub(self.failing_permille).max(MIN_GOOD_PERMILLE);
        cost.saturating_mul(ALL_FAILING_PERMILLE) / good_permille
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

    fn good(&mut self, sample_us: u64, run: Run, trial: bool) {
        let smoothing = if trial { TRIAL_SMOOTHING } else { SMOOTHING };
        match run.usual_us() {
            None => self.mean_us = smoothed(self.mean_us, sample_us, smoothing),
            Some(usual_us) => {
                self.usual_us = smoothed(self.usual_us, usual_us, MIX_SMOOTHING);
                let slowness_permille = run.slowness_permille(sample_us, usual_us).max(1);
                self.slowness_permille = smoothed(self.slowness_permille, slowness_permille, smoothing);
            }
        }
        let fading = if trial { TRIAL_SMOOTHING } else { FAILURE_SMOOTHING };
        self.failing_permille -= self.failing_permille.div_ceil(fading);
    }

    /// A call given up after longer than usual took at least that long.
    fn abandoned(&mut self, age_us: u64, run: Run) {
        match run.usual_us() {
            None if self.mean_us > 0 && age_us > self.mean_us => {
                self.mean_us = smoothed(self.mean_us, age_us, SMOOTHING);
            }
            Some(usual_us) if self.slowness_permille > 0 => {
                let slowness_permille = run.slowness_permille(age_us, usual_us);
                if slowness_permille > self.slowness_permille {
                    self.slowness_permille = smoothed(self.slowness_permille, slowness_permille, SMOOTHING);
                }
            }
            _ => {}
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
        let running = u64::from(self.unweighed);
        if running == 0 {
            return 0;
        }
        (running * self.since_epoch_us(now)).saturating_sub(self.sum_of_starts_us) / running
    }

    /// Usual times that the runs are overdue, all together, in thousandths.
    ///
    /// A single long call among several says little.
    fn overdue_permille(&self, now: Instant) -> u64 {
        let expected = self.exposure.runs() * self.slowness_permille.max(PERMILLE);
        self.exposure.passed_permille(self.since_epoch_us(now)).saturating_sub(expected)
    }

    fn since_epoch_us(&self, now: Instant) -> u64 {
        micros(now.saturating_duration_since(self.epoch))
    }
}

/// A smoothed figure with one more sample; the first sample stands for itself.
const fn smoothed(old: u64, sample: u64, smoothing: u64) -> u64 {
    if old == 0 { sample } else { (old * (smoothing - 1) + sample) / smoothing }
}

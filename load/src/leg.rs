//! One leg of a comparison: calls to one address, at a rate or from a fixed number of callers.

use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::runtime::Handle;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::caller::CallPlan;
use crate::caller::Caller;

const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_LATENCY_NS: u64 = 60_000_000_000;
const NANOS_PER_MILLI: f64 = 1_000_000.0;

/// How calls of a leg are spread over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// So many calls per second at exponentially distributed gaps, whatever the answers.
    OpenLoop {
        /// Calls per second.
        calls_per_second: f64,
        /// Seed of the gaps.
        seed: u64,
    },
    /// So many callers, each sending its next call when the last was answered.
    ClosedLoop {
        /// Callers.
        callers: u32,
    },
}

/// What the calls of a leg took.
#[derive(Clone, Debug)]
pub struct LegResult {
    latency_ns: Histogram<u64>,
    /// Calls without a good answer.
    pub failed: u64,
    /// From the first call to the last answer.
    pub elapsed: Duration,
}

impl LegResult {
    fn new() -> Option<Self> {
        let latency_ns = Histogram::new_with_bounds(1, MAX_LATENCY_NS, SIGNIFICANT_DIGITS).ok()?;
        Some(Self { latency_ns, failed: 0, elapsed: Duration::ZERO })
    }

    /// The latency at a quantile, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "latencies of a leg are far below 2^52 ns")]
        let nanos = self.latency_ns.value_at_quantile(quantile) as f64;
        nanos / NANOS_PER_MILLI
    }

    /// Calls with a good answer.
    #[must_use]
    pub fn answered(&self) -> u64 {
        self.latency_ns.len()
    }

    /// Adds the calls of another leg.
    pub fn add(&mut self, other: &Self) {
        self.latency_ns += &other.latency_ns;
        self.failed += other.failed;
        self.elapsed += other.elapsed;
    }

    fn record(&mut self, took: Option<Duration>) {
        match took {
            Some(took) => {
                self.latency_ns.saturating_record(u64::try_from(took.as_nanos()).unwrap_or(u64::MAX));
            }
            None => self.failed += 1,
        }
    }
}

/// One call and its answer, repeated by a leg.
pub trait Exchange: Send + Sync + 'static {
    /// Sends one call; true when the whole answer came and was good.
    fn exchange(&self) -> impl Future<Output = bool> + Send;
}

/// The same call again and again.
#[derive(Debug)]
pub struct RepeatedCall {
    /// Who calls.
    pub caller: Arc<Caller>,
    /// What is asked.
    pub plan: CallPlan,
}

impl Exchange for RepeatedCall {
    async fn exchange(&self) -> bool {
        let outcome = self.caller.call(&self.plan).await;
        outcome.is_ok_and(|outcome| outcome.error.is_none() && outcome.status.is_success())
    }
}

/// Sends the calls of one leg and waits for every answer.
///
/// Latency counts from the moment that a call is handed to the runtime. An own
/// thread paces an open loop, since timers of the runtime tick once a millisecond.
///
/// # Panics
///
/// When the histogram's bounds are wrong.
pub async fn run_leg<E>(exchange: Arc<E>, pace: Pace, duration: Duration) -> LegResult
where
    E: Exchange,
{
    let result = Arc::new(Mutex::new(LegResult::new().expect("the bounds are valid")));
    let started = Instant::now();
    match pace {
        Pace::OpenLoop { calls_per_second, seed } => {
            let gaps = Gaps { rng: Pcg64Mcg::seed_from_u64(seed), calls_per_second };
            let result = Arc::clone(&result);
            let runtime = Handle::current();
            let paced = move || open_loop(&exchange, gaps, duration, &result, &runtime);
            let calls = tokio::task::spawn_blocking(paced).await.unwrap_or_default();
            calls.join_all().await;
        }
        Pace::ClosedLoop { callers } => {
            let mut loops = JoinSet::new();
            for _ in 0..callers {
                loops.spawn(closed_loop(Arc::clone(&exchange), started + duration, Arc::clone(&result)));
            }
            loops.join_all().await;
        }
    }
    let mut result = result.lock().clone();
    result.elapsed = started.elapsed();
    result
}

struct Gaps {
    rng: Pcg64Mcg,
    calls_per_second: f64,
}

impl Gaps {
    fn next(&mut self) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.calls_per_second)
    }
}

fn open_loop<E>(
    exchange: &Arc<E>,
    mut gaps: Gaps,
    duration: Duration,
    result: &Arc<Mutex<LegResult>>,
    runtime: &Handle,
) -> JoinSet<()>
where
    E: Exchange,
{
    let mut calls = JoinSet::new();
    let start = Instant::now();
    let mut at = gaps.next();
    while at < duration {
        std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
        let issued = Instant::now();
        let (exchange, result) = (Arc::clone(exchange), Arc::clone(result));
        let call = async move {
            let took = timed(exchange.as_ref(), issued).await;
            result.lock().record(took);
        };
        calls.spawn_on(call, runtime);
        while calls.try_join_next().is_some() {}
        at += gaps.next();
    }
    calls
}

async fn closed_loop<E>(exchange: Arc<E>, until: Instant, result: Arc<Mutex<LegResult>>)
where
    E: Exchange,
{
    let Some(mut own) = LegResult::new() else {
        return;
    };
    while Instant::now() < until {
        own.record(timed(exchange.as_ref(), Instant::now()).await);
    }
    result.lock().add(&own);
}

async fn timed<E>(exchange: &E, issued: Instant) -> Option<Duration>
where
    E: Exchange,
{
    exchange.exchange().await.then(|| issued.elapsed())
}

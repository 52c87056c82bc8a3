//! A load run: repeated exchanges with one target, at a fixed rate or from a fixed number of callers.

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

/// Precision of the histogram, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Highest latency that the histogram distinguishes, in nanoseconds: one minute.
const MAX_LATENCY_NS: u64 = 60_000_000_000;
const NANOS_PER_MILLI: f64 = 1_000_000.0;

/// How the calls of a load run are spread over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadModel {
    /// A fixed rate with exponentially distributed inter-arrival times, independent of the responses.
    OpenLoop {
        /// Calls per second.
        calls_per_second: f64,
        /// Seed of the inter-arrival times.
        seed: u64,
    },
    /// A fixed number of callers, each of which sends its next call after the previous response.
    ClosedLoop {
        /// Number of callers.
        callers: u32,
    },
}

/// Latencies and failures of a load run.
#[derive(Clone, Debug)]
pub struct LoadResult {
    latency_ns: Histogram<u64>,
    /// Number of calls without a successful response.
    pub failed: u64,
    /// Time from the start to the last response.
    pub elapsed: Duration,
}

impl LoadResult {
    fn new() -> Option<Self> {
        let latency_ns = Histogram::new_with_bounds(1, MAX_LATENCY_NS, SIGNIFICANT_DIGITS).ok()?;
        Some(Self { latency_ns, failed: 0, elapsed: Duration::ZERO })
    }

    /// Returns the latency of answered calls at a quantile, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "latencies of a run are far below 2^52 ns")]
        let nanos = self.latency_ns.value_at_quantile(quantile) as f64;
        nanos / NANOS_PER_MILLI
    }

    /// Returns the number of calls with a successful response.
    #[must_use]
    pub fn answered(&self) -> u64 {
        self.latency_ns.len()
    }

    /// Adds the calls and the elapsed time of another run.
    pub fn add(&mut self, other: &Self) {
        self.latency_ns += &other.latency_ns;
        self.failed += other.failed;
        self.elapsed += other.elapsed;
    }

    /// Records a call; `None` is a failed one.
    fn record(&mut self, latency: Option<Duration>) {
        match latency {
            Some(latency) => {
                self.latency_ns.saturating_record(u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX));
            }
            None => self.failed += 1,
        }
    }
}

/// A request and its response, which a load run repeats.
pub trait Exchange: Send + Sync + 'static {
    /// Sends one request, and returns whether a complete and successful response came back.
    fn exchange(&self) -> impl Future<Output = bool> + Send;
}

/// An exchange that always sends the same call.
#[derive(Debug)]
pub struct RepeatedCall {
    /// Caller that sends the call.
    pub caller: Arc<Caller>,
    /// Call to send.
    pub plan: CallPlan,
}

impl Exchange for RepeatedCall {
    async fn exchange(&self) -> bool {
        let outcome = self.caller.call(&self.plan).await;
        outcome.is_ok_and(|outcome| outcome.error.is_none() && outcome.status.is_success())
    }
}

/// Sends the calls of one run and waits for every response.
///
/// Latency is measured from the time at which a call is handed to the runtime. An open loop runs on a
/// thread of its own, since the timers of the runtime have a resolution of one millisecond.
///
/// # Panics
///
/// When the bounds of the histogram are invalid.
pub async fn run_load<E>(exchange: Arc<E>, load_model: LoadModel, duration: Duration) -> LoadResult
where
    E: Exchange,
{
    let result = Arc::new(Mutex::new(LoadResult::new().expect("the histogram bounds are valid")));
    let started = Instant::now();
    match load_model {
        LoadModel::OpenLoop { calls_per_second, seed } => {
            let inter_arrival_times =
                InterArrivalTimes { rng: Pcg64Mcg::seed_from_u64(seed), calls_per_second };
            let result = Arc::clone(&result);
            let runtime = Handle::current();
            let send_calls = move || open_loop(&exchange, inter_arrival_times, duration, &result, &runtime);
            let calls = tokio::task::spawn_blocking(send_calls).await.unwrap_or_default();
            calls.join_all().await;
        }
        LoadModel::ClosedLoop { callers } => {
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

/// Generator of exponentially distributed inter-arrival times.
struct InterArrivalTimes {
    rng: Pcg64Mcg,
    calls_per_second: f64,
}

impl InterArrivalTimes {
    fn next(&mut self) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.calls_per_second)
    }
}

/// Spawns calls at their arrival times, and returns those that are still running after `duration`.
fn open_loop<E>(
    exchange: &Arc<E>,
    mut inter_arrival_times: InterArrivalTimes,
    duration: Duration,
    result: &Arc<Mutex<LoadResult>>,
    runtime: &Handle,
) -> JoinSet<()>
where
    E: Exchange,
{
    let mut calls = JoinSet::new();
    let start = Instant::now();
    let mut offset = inter_arrival_times.next();
    while offset < duration {
        std::thread::sleep((start + offset).saturating_duration_since(Instant::now()));
        let sent_at = Instant::now();
        let (exchange, result) = (Arc::clone(exchange), Arc::clone(result));
        let call = async move {
            let latency = time_exchange(exchange.as_ref(), sent_at).await;
            result.lock().record(latency);
        };
        calls.spawn_on(call, runtime);
        while calls.try_join_next().is_some() {}
        offset += inter_arrival_times.next();
    }
    calls
}

/// Sends calls back to back until the deadline.
async fn closed_loop<E>(exchange: Arc<E>, deadline: Instant, result: Arc<Mutex<LoadResult>>)
where
    E: Exchange,
{
    let Some(mut own_result) = LoadResult::new() else {
        return;
    };
    while Instant::now() < deadline {
        own_result.record(time_exchange(exchange.as_ref(), Instant::now()).await);
    }
    result.lock().add(&own_result);
}

/// Returns the time from `sent_at` to the response, or `None` if the exchange failed.
async fn time_exchange<E>(exchange: &E, sent_at: Instant) -> Option<Duration>
where
    E: Exchange,
{
    exchange.exchange().await.then(|| sent_at.elapsed())
}

//! Callers whose calls come at their own times, whatever the answers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::caller::CallPlan;
use crate::caller::Caller;
use crate::latency_table::LatencyTable;

/// One stream of calls.
#[derive(Clone, Debug)]
pub struct StreamPlan {
    /// Service called.
    pub service: Arc<str>,
    /// Priority named.
    pub priority: Arc<str>,
    /// Method of the calls.
    pub method: Method,
    /// Calls per second, at exponentially distributed gaps.
    pub calls_per_second: f64,
    /// Latency objective that answers are held against.
    pub objective: Duration,
    /// Seed of the gaps.
    pub seed: u64,
}

/// What became of one call of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamCall<'a> {
    /// The stream.
    pub plan: &'a StreamPlan,
    /// When the call was due.
    pub due: Instant,
    /// From then to the last byte of its answer, or the name of its error.
    pub result: Result<Duration, &'a str>,
}

/// Takes down what became of calls.
pub trait CallRecorder: Send + Sync + 'static {
    /// Takes down one call.
    fn record(&self, call: StreamCall<'_>);
}

impl CallRecorder for Mutex<LatencyTable> {
    fn record(&self, call: StreamCall<'_>) {
        let plan = call.plan;
        match call.result {
            Ok(took) => self.lock().answered(&plan.service, &plan.priority, took, plan.objective),
            Err(error) => self.lock().failed(&plan.service, &plan.priority, error),
        }
    }
}

/// Sends one stream of calls for a time, over the callers in turn.
pub async fn run_stream<R>(plan: StreamPlan, callers: Vec<Arc<Caller>>, duration: Duration, recorder: Arc<R>)
where
    R: CallRecorder,
{
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let plan = Arc::new(plan);
    let mut calls = JoinSet::new();
    let start = Instant::now();
    let mut at = Duration::ZERO;
    for sequence in 0_usize.. {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / plan.calls_per_second);
        if at >= duration {
            break;
        }
        tokio::time::sleep_until(start + at).await;
        let caller = Arc::clone(&callers[sequence % callers.len()]);
        calls.spawn(call_once(Arc::clone(&plan), caller, sequence, start + at, Arc::clone(&recorder)));
        while calls.try_join_next().is_some() {}
    }
    calls.join_all().await;
}

async fn call_once<R>(
    plan: Arc<StreamPlan>,
    caller: Arc<Caller>,
    sequence: usize,
    due: Instant,
    recorder: Arc<R>,
) where
    R: CallRecorder,
{
    let call = CallPlan {
        method: plan.method.clone(),
        target: format!("/{}/{sequence}", plan.priority),
        service: plan.service.to_string(),
        priority: plan.priority.to_string(),
        body: Bytes::new(),
    };
    let error = match caller.call(&call).await {
        Ok(outcome) if outcome.error.is_none() && outcome.status.is_success() => {
            recorder.record(StreamCall { plan: &plan, due, result: Ok(due.elapsed()) });
            return;
        }
        Ok(outcome) => outcome.error.unwrap_or_else(|| format!("status_{}", outcome.status.as_u16())),
        Err(error) => {
            log::debug!("call failed; service={} error={error}", plan.service);
            "no_answer".to_owned()
        }
    };
    recorder.record(StreamCall { plan: &plan, due, result: Err(&error) });
}

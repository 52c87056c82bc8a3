//! Open-loop load: calls are sent at times that don't depend on the responses.

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
use crate::caller::CallerError;
use crate::latency_table::LatencyTable;

/// Stream of calls to one service at one priority.
#[derive(Clone, Debug)]
pub struct StreamPlan {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the priority.
    pub priority: Arc<str>,
    /// HTTP method of the calls.
    pub method: Method,
    /// Calls per second, with exponentially distributed inter-arrival times.
    pub calls_per_second: f64,
    /// Latency objective of the calls.
    pub objective: Duration,
    /// Seed of the inter-arrival times.
    pub seed: u64,
}

/// One completed call of a stream.
#[derive(Clone, Copy, Debug)]
pub struct CompletedCall<'a> {
    /// Stream of the call.
    pub plan: &'a StreamPlan,
    /// Time at which the call was due.
    pub due: Instant,
    /// Latency from `due` to the last byte of the response, or the error kind.
    pub result: Result<Duration, &'a str>,
}

/// Records completed calls.
pub trait CallRecorder: Send + Sync + 'static {
    /// Records one call.
    fn record(&self, call: CompletedCall<'_>);
}

impl CallRecorder for Mutex<LatencyTable> {
    fn record(&self, call: CompletedCall<'_>) {
        let plan = call.plan;
        match call.result {
            Ok(latency) => self.lock().add_answered(&plan.service, &plan.priority, latency, plan.objective),
            Err(error) => self.lock().add_failed(&plan.service, &plan.priority, error),
        }
    }
}

/// Sends a stream of calls for `duration`, round-robin over the callers, and waits for every response.
pub async fn run_stream<R>(plan: StreamPlan, callers: Vec<Arc<Caller>>, duration: Duration, recorder: Arc<R>)
where
    R: CallRecorder,
{
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let plan = Arc::new(plan);
    let mut calls = JoinSet::new();
    let start = Instant::now();
    let mut offset = Duration::ZERO;
    for sequence in 0_usize.. {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        offset += Duration::from_secs_f64(-uniform.ln() / plan.calls_per_second);
        if offset >= duration {
            break;
        }
        tokio::time::sleep_until(start + offset).await;
        let caller = Arc::clone(&callers[sequence % callers.len()]);
        calls.spawn(call_once(Arc::clone(&plan), caller, sequence, start + offset, Arc::clone(&recorder)));
        while calls.try_join_next().is_some() {}
    }
    calls.join_all().await;
}

/// Sends one call and records its outcome.
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
            recorder.record(CompletedCall { plan: &plan, due, result: Ok(due.elapsed()) });
            return;
        }
        Ok(outcome) => outcome.error.unwrap_or_else(|| format!("status_{}", outcome.status.as_u16())),
        Err(CallerError::ConnectionLimit) => "caller_busy".to_owned(),
        Err(error) => {
            log::debug!("call failed; service={} error={error}", plan.service);
            "no_answer".to_owned()
        }
    };
    recorder.record(CompletedCall { plan: &plan, due, result: Err(&error) });
}

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

/// Sends one stream of calls for a time, over the callers in turn.
pub async fn run_stream(
    plan: StreamPlan,
    callers: Vec<Arc<Caller>>,
    duration: Duration,
    table: Arc<Mutex<LatencyTable>>,
) {
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
        calls.spawn(call_once(Arc::clone(&plan), caller, sequence, start + at, Arc::clone(&table)));
        while calls.try_join_next().is_some() {}
    }
    calls.join_all().await;
}

async fn call_once(
    plan: Arc<StreamPlan>,
    caller: Arc<Caller>,
    sequence: usize,
    due: Instant,
    table: Arc<Mutex<LatencyTable>>,
) {
    let call = CallPlan {
        method: plan.method.clone(),
        target: format!("/{}/{sequence}", plan.priority),
        service: plan.service.to_string(),
        priority: plan.priority.to_string(),
        body: Bytes::new(),
    };
    let outcome = caller.call(&call).await;
    let mut table = table.lock();
    match outcome {
        Ok(outcome) if outcome.error.is_none() && outcome.status.is_success() => {
            table.answered(&plan.service, &plan.priority, due.elapsed(), plan.objective);
        }
        Ok(outcome) => {
            let error = outcome.error.unwrap_or_else(|| format!("status_{}", outcome.status.as_u16()));
            table.failed(&plan.service, &plan.priority, &error);
        }
        Err(error) => {
            log::debug!("call failed; service={} error={error}", plan.service);
            table.failed(&plan.service, &plan.priority, "no_answer");
        }
    }
}

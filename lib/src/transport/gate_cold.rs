//! Keeps the cold limit of a gate up to date with what is learned of the upstream, and reports changes.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::cold_limit::ColdCause;
use crate::coordination::cold_limit::ColdChange;
use crate::coordination::cold_limit::ColdLimit;
use crate::coordination::cold_limit::ColdState;
use crate::coordination::cold_limit::HealthProbe;
use crate::log_event;
use crate::log_event_limited;
use crate::protocol::route::ColdStart;
use crate::state::metrics::Metrics;
use crate::transport::gate::Gate;
use crate::transport::upstream_pool::UpstreamPool;

impl Gate {
    /// Sets how upstreams of the service behave after their start; `None` lifts the cold limit.
    ///
    /// Only upstreams of an external dialect say whether they are cold.
    pub fn set_cold_start(&self, cold_start: Option<ColdStart>) {
        let cold_start = cold_start.filter(|_| self.external_fields.is_some());
        let max_starts = cold_start.map(|cold_start| cold_start.max_requests_per_s);
        if !self.update_cold_limit(|limit, now| limit.set_max_starts(max_starts, now)) {
            return;
        }
        if let Some(ColdStart { duration_ms, max_requests_per_s }) = cold_start {
            log_event!(
                Info,
                "cold limit declared",
                max_requests_per_s = max_requests_per_s,
                cold_start_ms = duration_ms,
            );
        }
    }

    /// Treats the upstream as possibly cold until its next health response.
    ///
    /// This is for an upstream that may have been restarted while it got no calls. It has no effect unless the
    /// service declares a cold rate.
    pub fn suspect_cold(&self) {
        self.suspect_cold_after(ColdCause::OutOfUse);
    }

    /// Treats the upstream as possibly cold until its next health response, for the given reason.
    pub(super) fn suspect_cold_after(&self, cause: ColdCause) {
        self.update_cold_limit(|limit, now| limit.suspect(cause, now));
    }

    /// Treats the upstream behind `pool`, unless it was replaced, as possibly cold after a connection failed.
    pub(crate) fn record_connection_failure(&self, pool: &UpstreamPool) {
        if self.is_current(pool) {
            self.suspect_cold_after(ColdCause::ConnectionFailed);
        }
    }

    /// Records for how long the upstream stays cold by its heartbeat.
    pub(super) fn record_cold_heartbeat(&self, cold_for: Duration) {
        self.update_cold_limit(|limit, now| limit.record_heartbeat(cold_for, now));
    }

    /// Records that a probe is sent now.
    pub(super) fn begin_health_probe(&self) -> HealthProbe {
        self.queue.lock().admission.cold_limit_mut().begin_probe()
    }

    /// Records for how long the upstream behind `pool` stays cold by its health response.
    ///
    /// `None` stands for a probe without a readable response.
    pub(super) fn record_health(&self, pool: &UpstreamPool, probe: HealthProbe, cold_for: Option<Duration>) {
        if !self.is_current(pool) {
            return;
        }
        self.update_cold_limit(|limit, now| match cold_for {
            Some(cold_for) => limit.record_health(probe, cold_for, now),
            None => limit.record_probe_failure(probe, now),
        });
    }

    /// Waits until a health response is needed to learn whether the upstream is cold.
    pub async fn cold_probe_due(&self) {
        loop {
            let (due, cold_until) = {
                let queue = self.queue.lock();
                let now = Instant::now();
                if queue.needs_cold_probe(now) {
                    return;
                }
                (Arc::clone(&queue.cold_probe_due), queue.admission.cold_limit().cold_until(now))
            };
            let end_of_cold_time = async {
                match cold_until {
                    Some(until) => tokio::time::sleep_until(until).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due.notified() => {}
                () = end_of_cold_time => {}
            }
        }
    }

    /// Updates the cold limit, starts queued calls that it permits, and returns whether the state changed.
    fn update_cold_limit<F>(&self, update: F) -> bool
    where
        F: FnOnce(&mut ColdLimit, Instant) -> Option<ColdChange>,
    {
        let mut queue = self.queue.lock();
        let now = Instant::now();
        let was_declared = queue.admission.cold_limit().is_declared();
        let change = update(queue.admission.cold_limit_mut(), now);
        if !was_declared && !queue.admission.cold_limit().is_declared() {
            return false;
        }
        let outcomes = queue.admission.start_held_calls(now);
        queue.deliver(outcomes);
        queue.request_cold_probe(now);
        drop(queue);
        self.next_start_changed.notify_one();
        if let Some(change) = change {
            self.report_cold_change(change, now);
        }
        change.is_some()
    }

    fn report_cold_change(&self, change: ColdChange, now: Instant) {
        Metrics::count(&self.metrics.cold_states, change.state.name());
        let pool = self.pool.load();
        let instance = pool.as_ref().and_then(|pool| pool.instance()).map_or("none", AsRef::as_ref);
        let (cause, unconfirmed_starts) = (change.cause.name(), change.unconfirmed_starts);
        match change.state {
            ColdState::Warm => {
                self.metrics.cold_starts.inc_by(change.limited_starts);
                log_event_limited!(
                    Info,
                    "upstream is warm",
                    instance = instance,
                    cause = cause,
                    limited_ms = change.limited_for.as_millis(),
                    limited_starts = change.limited_starts,
                );
            }
            ColdState::Cold(until) => log_event_limited!(
                Info,
                "upstream is cold, its calls are limited",
                instance = instance,
                cause = cause,
                cold_ms = until.saturating_duration_since(now).as_millis(),
                unconfirmed_starts = unconfirmed_starts,
                limited_starts = change.limited_starts,
            ),
            ColdState::Unconfirmed => log_event_limited!(
                Info,
                "upstream may be cold, its calls are limited",
                instance = instance,
                cause = cause,
                unconfirmed_starts = unconfirmed_starts,
            ),
        }
    }
}

//! Requests that a gate itself makes to its upstream, for its load or its slowdown.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time::Instant;

use crate::log_event_limited;
use crate::transport::call_body::CallBody;
use crate::transport::gate::Gate;
use crate::transport::gate_notice::NoticeSource;
use crate::transport::upstream_pool::UpstreamPool;

/// Time limit of a request that the gate itself makes to the upstream.
const UPSTREAM_QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of a probe while calls may have to wait for its answer.
const COLD_PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest response body accepted for a request that the gate itself makes, in bytes.
const MAX_QUERY_BODY_BYTES: usize = 16_384;

impl Gate {
    /// Probes an upstream of an external dialect for its slowdown and returns whether it reported one.
    pub async fn probe_slowdown(&self, path: &str) -> bool {
        self.probe(path, UPSTREAM_QUERY_TIMEOUT).await
    }

    /// Probes an upstream that may be cold, and returns whether it reported its slowdown.
    pub async fn probe_cold(&self, path: &str) -> bool {
        self.probe(path, COLD_PROBE_TIMEOUT).await
    }

    /// Requests the health path of an upstream of an external dialect and records what its answer says.
    async fn probe(&self, path: &str, time_limit: Duration) -> bool {
        let Some(fields) = &self.external_fields else {
            return false;
        };
        let Some(pool) = self.pool.load_full() else {
            return false;
        };
        let probe = self.begin_health_probe();
        let response = self.query(&pool, path, time_limit).await.filter(|response| {
            let is_own = fields.is_health_of(pool.instance().map(AsRef::as_ref), response.headers());
            if !is_own {
                log_event_limited!(Info, "probe answered by another instance", addr = pool.addr());
            }
            is_own
        });
        let cold_time =
            response.as_ref().and_then(|response| fields.cold_time(response.status(), response.headers()));
        self.record_health(&pool, probe, cold_time);
        let Some(response) = response else {
            return false;
        };
        self.observe_notice(&pool, fields.notice(response.headers()), NoticeSource::Probe);
        let Some(report) = fields.upstream_load(response.headers()) else {
            return false;
        };
        self.record_slowdown(report.slowdown_percent);
        true
    }

    /// Fetches a small document from the upstream.
    ///
    /// Returns `None` if there is no upstream, the request fails or times out, or the body is too large.
    pub async fn query_upstream(&self, path: &str) -> Option<Response<Bytes>> {
        self.query(&self.pool.load_full()?, path, UPSTREAM_QUERY_TIMEOUT).await
    }

    /// Fetches a small document from the upstream of a pool within a time limit.
    async fn query(
        &self,
        pool: &Arc<UpstreamPool>,
        path: &str,
        time_limit: Duration,
    ) -> Option<Response<Bytes>> {
        let request = Request::get(path).header(HOST, pool.addr().to_string());
        let request = request.body(CallBody::from(Bytes::new())).ok()?;
        let answer_by = Instant::now() + time_limit;
        let query = async {
            let mut connection = None;
            let sent = pool.send(request, answer_by, || true, &mut connection).await;
            let response =
                sent.inspect_err(|error| self.record_no_final_response(&path, "query", error)).ok()?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_QUERY_BODY_BYTES).collect().await.ok()?;
            if let Some(connection) = connection {
                pool.return_connection(connection, answer_by);
            }
            Some(Response::from_parts(head, body.to_bytes()))
        };
        tokio::time::timeout_at(answer_by, query).await.ok()?
    }
}

//! Authentication of requests at an ingress, and the header fields that follow from it.

use std::sync::Arc;

use http::HeaderMap;
use http::HeaderValue;
use http::header::TRAILER;
use tokio::time::Instant;

use crate::coordination::authentication;
use crate::coordination::authentication::AuthenticationRequest;
use crate::coordination::authentication::CallerIdentity;
use crate::coordination::authentication::IdentitySource;
use crate::coordination::authentication::KeyRules;
use crate::coordination::authentication::OUTCOMES;
use crate::coordination::authentication::Refusal;
use crate::coordination::authentication::authenticate;
use crate::log_event_limited;
use crate::protocol::external_fields::CallerFields;
use crate::state::config_table::ConfigTable;
use crate::state::metrics::SharedMetrics;
use crate::state::route_table::Route;
use crate::state::route_table::RouteTable;
use crate::transport::gate::Gate;
use crate::transport::ingress::Result;

/// Authenticates the requests that reach an ingress.
#[derive(Debug)]
pub(super) struct CallerAuthentication {
    pub(super) fields: CallerFields,
    pub(super) rules: KeyRules,
    pub(super) config: Arc<ConfigTable>,
    pub(super) gate: Arc<Gate>,
    pub(super) metrics: SharedMetrics,
}

impl CallerAuthentication {
    /// Returns the identity of the caller under the version of `table`, to which `route` belongs.
    ///
    /// # Errors
    ///
    /// When the request is refused; it has not reached a queue then.
    pub(super) fn authenticate(
        &self,
        table: &RouteTable,
        route: &Route,
        fields: &HeaderMap,
        request_id: Option<&HeaderValue>,
    ) -> Result<CallerIdentity> {
        if table.tenants().is_none() {
            return Ok(CallerIdentity::NOT_REQUIRED);
        }
        let now = Instant::now();
        let confirmed_at = self.config.confirmed_at();
        let result = self.decide(table, route, fields, request_id, confirmed_at, now);
        let outcome = result.as_ref().map_or_else(|refusal| refusal.name(), |caller| caller.source.name());
        self.metrics.authentications.count(outcome, table.version(), &OUTCOMES);
        result.map_err(|refusal| {
            log_refusal(refusal, table, route, request_id, confirmed_at, now);
            refusal.answer()
        })
    }

    /// Returns the identity of the caller like [`Self::authenticate`], but neither counts nor logs the outcome.
    pub(super) fn decide(
        &self,
        table: &RouteTable,
        route: &Route,
        fields: &HeaderMap,
        request_id: Option<&HeaderValue>,
        confirmed_at: Option<Instant>,
        now: Instant,
    ) -> authentication::Result<CallerIdentity> {
        let Some(tenants) = table.tenants() else {
            return Ok(CallerIdentity::NOT_REQUIRED);
        };
        let request = AuthenticationRequest {
            credentials: self.fields.read_credentials(fields),
            route_is_public: route.spec.public,
            parent_tenant: self.parent_tenant(request_id),
        };
        authenticate(tenants, &request, &self.rules, confirmed_at, now)
    }

    /// Sets the fields towards the upstream: no credentials, and no tenant but that of an authenticated request.
    ///
    /// The fields of the caller's connection have been removed before.
    ///
    /// Where requests need no key, the fields of the caller stay as they are.
    pub(super) fn set_fields(&self, caller: &CallerIdentity, fields: &mut HeaderMap) {
        if caller.source == IdentitySource::NotRequired {
            return;
        }
        self.remove_announced_trailers(fields);
        fields.remove(&self.fields.credentials);
        fields.remove(&self.fields.tenant);
        let name =
            caller.authenticated_tenant().map(|tenant| HeaderValue::from_bytes(tenant.name.as_bytes()));
        if let Some(Ok(name)) = name {
            fields.insert(self.fields.tenant.clone(), name);
        }
    }

    /// Removes the announcement of trailers that hold credentials or a tenant.
    ///
    /// A gate sends no trailers to its upstream that were not announced.
    fn remove_announced_trailers(&self, fields: &mut HeaderMap) {
        let reserved = [&self.fields.credentials, &self.fields.tenant];
        let is_reserved =
            |name: &str| reserved.iter().any(|field| name.trim().eq_ignore_ascii_case(field.as_str()));
        let announces_reserved = |value: &HeaderValue| {
            let text = String::from_utf8_lossy(value.as_bytes());
            text.split(',').any(is_reserved)
        };
        if fields.get_all(TRAILER).iter().any(announces_reserved) {
            fields.remove(TRAILER);
        }
    }

    /// Returns the tenant of the running request that a request is made for.
    fn parent_tenant(&self, request_id: Option<&HeaderValue>) -> Option<Arc<str>> {
        let parent = request_id?.to_str().ok().and_then(self.fields.parent_request)?;
        self.gate.running_request(parent)?.tenant
    }
}

fn log_refusal(
    refusal: Refusal,
    table: &RouteTable,
    route: &Route,
    request_id: Option<&HeaderValue>,
    confirmed_at: Option<Instant>,
    now: Instant,
) {
    let confirmed_ms_ago = confirmed_at.map(|at| now.saturating_duration_since(at).as_millis());
    log_event_limited!(
        Info,
        "request not authenticated",
        request = request_id.and_then(|id| id.to_str().ok()).unwrap_or("none"),
        route = &route.spec.name,
        config = table.version(),
        reason = refusal.name(),
        confirmed_ms_ago = format_args!("{confirmed_ms_ago:?}"),
    );
}

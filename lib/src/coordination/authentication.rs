//! Decides to which tenant a request belongs, or why it is refused.
//!
//! A node that knows a key accepts it. A node that does not know it refuses it for good only if it can tell that its
//! configuration is the latest; otherwise a newer one may hold the key, and the caller has to try again.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::credentials::Credentials;
use crate::protocol::error_kind::ErrorKind;
use crate::state::tenant_table::Tenant;
use crate::state::tenant_table::TenantTable;

/// Time after which a request may be sent again that was refused because the configuration is unconfirmed.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of authenticating a request.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// How long a confirmation of the configuration counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRules {
    /// Age of the confirmation up to which a key that is not found counts as unknown.
    pub max_refusal_age: Duration,
    /// Age of the confirmation from which no key is accepted; `None` if keys stay valid without one.
    pub revoke_after: Option<Duration>,
}

/// What a request says of its caller.
#[derive(Clone, Debug)]
pub struct AuthenticationRequest<'a> {
    /// Credentials in its header section.
    pub credentials: Credentials<'a>,
    /// Whether its route needs no key.
    pub route_is_public: bool,
    /// Name of the tenant of the running request for which the upstream beside the node makes this one.
    pub parent_tenant: Option<Arc<str>>,
}

/// How a request came to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentitySource {
    /// The configuration has no tenants.
    NotRequired,
    /// The route is public.
    PublicRoute,
    /// The request has the key of a tenant.
    Key,
    /// An upstream makes the request while it executes one of the tenant.
    RunningRequest,
}

/// Identity of the caller of an accepted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// How the request came to be accepted.
    pub source: IdentitySource,
    /// Tenant that the request belongs to.
    ///
    /// On a public route, it is that of the running request for which the request is made.
    pub tenant: Option<Tenant>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has several credentials.
    RepeatedCredentials,
    /// It has no credentials.
    NoKey,
    /// Its credentials hold no key.
    UnreadableKey,
    /// Its key belongs to no tenant.
    UnknownKey,
    /// Its key was not found, in a configuration that may not be the latest.
    Unconfirmed,
    /// The configuration was not confirmed for so long that no key is accepted.
    Revoked,
}

/// Names of all outcomes of an authentication under a configuration with tenants.
pub const OUTCOMES: [&str; 9] = [
    IdentitySource::PublicRoute.name(),
    IdentitySource::Key.name(),
    IdentitySource::RunningRequest.name(),
    Refusal::RepeatedCredentials.name(),
    Refusal::NoKey.name(),
    Refusal::UnreadableKey.name(),
    Refusal::UnknownKey.name(),
    Refusal::Unconfirmed.name(),
    Refusal::Revoked.name(),
];

impl IdentitySource {
    /// Returns the stable name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRequired => "not_required",
            Self::PublicRoute => "public_route",
            Self::Key => "key",
            Self::RunningRequest => "running_request",
        }
    }
}

impl CallerIdentity {
    /// Identity of all callers where the configuration has no tenants.
    pub const NOT_REQUIRED: Self = Self { source: IdentitySource::NotRequired, tenant: None };

    /// Returns the tenant on whose behalf the request is made, or `None` if its route is public.
    #[must_use]
    pub fn authenticated_tenant(&self) -> Option<&Tenant> {
        let is_authenticated = matches!(self.source, IdentitySource::Key | IdentitySource::RunningRequest);
        self.tenant.as_ref().filter(|_| is_authenticated)
    }

    /// Returns the priority of the tenant, which takes precedence over that of the route.
    #[must_use]
    pub fn priority(&self) -> Option<u8> {
        self.authenticated_tenant().and_then(|tenant| tenant.priority)
    }
}

impl Refusal {
    /// Returns the stable name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::RepeatedCredentials => "repeated_credentials",
            Self::NoKey => "no_key",
            Self::UnreadableKey => "unreadable_key",
            Self::UnknownKey => "unknown_key",
            Self::Unconfirmed => "unconfirmed",
            Self::Revoked => "revoked",
        }
    }

    /// Returns the answer to the caller.
    #[must_use]
    pub fn answer(self) -> ErrorAnswer {
        let (kind, message) = match self {
            Self::RepeatedCredentials => (ErrorKind::MalformedRequest, "the request has several credentials"),
            Self::NoKey => (ErrorKind::Unauthenticated, "the request needs an API key"),
            Self::UnreadableKey => (ErrorKind::Unauthenticated, "the credentials hold no readable API key"),
            Self::UnknownKey => (ErrorKind::Unauthenticated, "the API key is not known"),
            Self::Unconfirmed => (
                ErrorKind::NoConfiguration,
                "the API key is not in the node's configuration, which may not be the latest",
            ),
            Self::Revoked => (
                ErrorKind::NoConfiguration,
                "the configuration with the API keys has been unconfirmed for too long",
            ),
        };
        let answer = ErrorAnswer::new(kind, message);
        match kind {
            ErrorKind::NoConfiguration => answer.retry_after(UNCONFIRMED_RETRY_AFTER),
            _ => answer,
        }
    }
}

/// Returns the identity of a request's caller under a configuration with tenants.
///
/// `confirmed_at` is the latest time at which the configuration was known to be the latest.
///
/// # Errors
///
/// When the request is refused.
pub fn authenticate(
    tenants: &TenantTable,
    request: &AuthenticationRequest<'_>,
    rules: &KeyRules,
    confirmed_at: Option<Instant>,
    now: Instant,
) -> Result<CallerIdentity> {
    if request.credentials == Credentials::Repeated {
        return Err(Refusal::RepeatedCredentials);
    }
    let inherited = request.parent_tenant.as_ref().map(|name| inherited_tenant(tenants, name));
    if request.route_is_public {
        return Ok(CallerIdentity { source: IdentitySource::PublicRoute, tenant: inherited });
    }
    // The running request was authenticated, so its nested calls need no current confirmation.
    if request.credentials == Credentials::Absent && inherited.is_some() {
        return Ok(CallerIdentity { source: IdentitySource::RunningRequest, tenant: inherited });
    }
    let age = confirmed_at.map(|confirmed_at| now.saturating_duration_since(confirmed_at));
    let is_confirmed_within = |limit: Duration| age.is_some_and(|age| age < limit);
    if rules.revoke_after.is_some_and(|limit| !is_confirmed_within(limit)) {
        return Err(Refusal::Revoked);
    }
    match request.credentials {
        Credentials::Key(key) => match tenants.find_by_key(key.as_bytes()) {
            Some(tenant) => Ok(CallerIdentity { source: IdentitySource::Key, tenant: Some(tenant.clone()) }),
            None if is_confirmed_within(rules.max_refusal_age) => Err(Refusal::UnknownKey),
            None => Err(Refusal::Unconfirmed),
        },
        Credentials::Absent => Err(Refusal::NoKey),
        Credentials::Unreadable | Credentials::Repeated => Err(Refusal::UnreadableKey),
    }
}

/// Returns the tenant of a running request, which may be absent from a newer configuration.
fn inherited_tenant(tenants: &TenantTable, name: &Arc<str>) -> Tenant {
    let known = tenants.find_by_name(name).cloned();
    known.unwrap_or_else(|| Tenant { name: Arc::clone(name), priority: None, rate: None })
}

//! Error kinds of calls and the properties of the answer for each.
//!
//! The operators' reference is generated from this table.

use std::fmt;

use http::StatusCode;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::Visitor;

/// Reason why a call got an error answer from a node in place of an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ErrorKind {
    /// The request breaks a rule of the protocol or names no service.
    MalformedRequest,
    /// No published configuration knows the service.
    UnknownService,
    /// No route of the configuration in force takes the request.
    UnknownRoute,
    /// The node knows no configuration yet, or can't confirm that the one it knows is the latest.
    NoConfiguration,
    /// The request needs the API key of a tenant and has none that is known.
    Unauthenticated,
    /// The service declares no such priority.
    UnknownPriority,
    /// The header section is larger than the node accepts.
    HeadersTooLarge,
    /// The body is larger than the service accepts.
    BodyTooLarge,
    /// The request asks to change the protocol of the connection.
    UpgradeRefused,
    /// The caller used more than its own share.
    CallerLimited,
    /// The tenant used up its limit over all nodes.
    QuotaExceeded,
    /// No quota server answered in time whether the tenant's limit allows the call.
    QuotaUnavailable,
    /// Every candidate was full or its queue for the priority was.
    Overloaded,
    /// The upstream itself refused the call before it ran.
    UpstreamRefused,
    /// The upstream ran the call and failed it.
    UpstreamFailed,
    /// The objective could not be met any more before a slot was free.
    ObjectiveMissed,
    /// No upstream of the service is known to be able to serve.
    NoUpstream,
    /// The node or its upstream is draining.
    Draining,
    /// Every upstream that could serve the call is in a zone that operators have evacuated.
    ZoneEvacuated,
    /// The deadline passed before the call reached an upstream.
    DeadlineBeforeStart,
    /// The deadline passed while an upstream may have been running the call.
    DeadlineWhileRunning,
    /// The call may have run and its answer is lost.
    OutcomeUnknown,
    /// A call with the same idempotency key is running or has run.
    DuplicateCall,
    /// The node met a fault of its own before the call reached an upstream.
    Internal,
}

/// What an answer proves about the execution of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No byte of the call reached an upstream, and none ever will.
    NotExecuted,
    /// The call may have been executed or may still be running.
    OutcomeUnknown,
}

/// Properties of the answer for one error kind.
#[derive(Clone, Copy, Debug)]
pub struct ErrorProperties {
    /// Stable name on the wire, in logs and in metrics.
    pub name: &'static str,
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// What the kind proves about execution unless an answer states otherwise.
    pub execution: Execution,
    /// Whether the same request may succeed when sent again later.
    pub retryable: bool,
}

const fn row(
    name: &'static str,
    status: StatusCode,
    execution: Execution,
    retryable: bool,
) -> ErrorProperties {
    ErrorProperties { name, status, execution, retryable }
}

impl ErrorKind {
    /// Every kind, in the order of the table.
    pub const ALL: [Self; 24] = [
        Self::MalformedRequest,
        Self::UnknownService,
        Self::UnknownRoute,
        Self::NoConfiguration,
        Self::Unauthenticated,
        Self::UnknownPriority,
        Self::HeadersTooLarge,
        Self::BodyTooLarge,
        Self::UpgradeRefused,
        Self::CallerLimited,
        Self::QuotaExceeded,
        Self::QuotaUnavailable,
        Self::Overloaded,
        Self::UpstreamRefused,
        Self::UpstreamFailed,
        Self::ObjectiveMissed,
        Self::NoUpstream,
        Self::Draining,
        Self::ZoneEvacuated,
        Self::DeadlineBeforeStart,
        Self::DeadlineWhileRunning,
        Self::OutcomeUnknown,
        Self::DuplicateCall,
        Self::Internal,
    ];

    /// Returns the properties of the answer for this kind.
    #[must_use]
    pub const fn properties(self) -> ErrorProperties {
        use Execution::NotExecuted;
        use Execution::OutcomeUnknown;
        match self {
            Self::MalformedRequest => row("malformed_request", StatusCode::BAD_REQUEST, NotExecuted, false),
            Self::UnknownService => row("unknown_service", StatusCode::NOT_FOUND, NotExecuted, false),
            Self::UnknownRoute => row("unknown_route", StatusCode::NOT_FOUND, NotExecuted, false),
            Self::NoConfiguration => {
                row("no_configuration", StatusCode::SERVICE_UNAVAILABLE, NotExecuted, true)
            }
            Self::Unauthenticated => row("unauthenticated", StatusCode::UNAUTHORIZED, NotExecuted, false),
            Self::UnknownPriority => row("unknown_priority", StatusCode::BAD_REQUEST, NotExecuted, false),
            Self::HeadersTooLarge => {
                row("headers_too_large", StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, NotExecuted, false)
            }
            Self::BodyTooLarge => row("body_too_large", StatusCode::PAYLOAD_TOO_LARGE, NotExecuted, false),
            Self::UpgradeRefused => row("upgrade_refused", StatusCode::NOT_IMPLEMENTED, NotExecuted, false),
            Self::CallerLimited => row("caller_limited", StatusCode::TOO_MANY_REQUESTS, NotExecuted, true),
            Self::QuotaExceeded => row("quota_exceeded", StatusCode::TOO_MANY_REQUESTS, NotExecuted, true),
            Self::QuotaUnavailable => {
                row("quota_unavailable", StatusCode::SERVICE_UNAVAILABLE, NotExecuted, true)
            }
            Self::Overloaded => row("overloaded", StatusCode::SERVICE_UNAVAILABLE, NotExecuted, true),
            Self::UpstreamRefused => {
                row("upstream_refused", StatusCode::SERVICE_UNAVAILABLE, NotExecuted, true)
            }
            Self::UpstreamFailed => row("upstream_failed", StatusCode::BAD_GATEWAY, OutcomeUnknown, true),
            Self::ObjectiveMissed => {
                row("objective_missed", StatusCode::SERVICE_UNAVAILABLE, NotExecuted, true)
            }
            Self::NoUpstream => row("no_upstream", StatusCode::SERVICE_UNAVAILABLE, NotExecuted, true),
            Self::Draining => row("draining", StatusCode::SERVICE_UNAVAILABLE, NotExecuted, true),
            Self::ZoneEvacuated => row("zone_evacuated", StatusCode::SERVICE_UNAVAILABLE, NotExecuted, true),
            Self::DeadlineBeforeStart => {
                row("deadline_before_start", StatusCode::GATEWAY_TIMEOUT, NotExecuted, true)
            }
            Self::DeadlineWhileRunning => {
                row("deadline_while_running", StatusCode::GATEWAY_TIMEOUT, OutcomeUnknown, false)
            }
            Self::OutcomeUnknown => row("outcome_unknown", StatusCode::BAD_GATEWAY, OutcomeUnknown, false),
            Self::DuplicateCall => row("duplicate_call", StatusCode::CONFLICT, OutcomeUnknown, false),
            Self::Internal => row("internal", StatusCode::INTERNAL_SERVER_ERROR, NotExecuted, true),
        }
    }

    /// Returns the stable name of the kind.
    #[must_use]
    pub const fn name(self) -> &'static str {
        self.properties().name
    }

    /// Returns the kind with the given stable name, if there is one.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

impl Serialize for ErrorKind {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(self.name())
    }
}

impl<'de> Deserialize<'de> for ErrorKind {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_str(NameVisitor)
    }
}

/// Visitor that deserializes a kind from its stable name.
#[derive(Debug)]
struct NameVisitor;

impl Visitor<'_> for NameVisitor {
    type Value = ErrorKind;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the name of an error kind")
    }

    fn visit_str<E>(self, name: &str) -> Result<ErrorKind, E>
    where
        E: Error,
    {
        ErrorKind::from_name(name).ok_or_else(|| E::custom(format!("no error kind is named {name:?}")))
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Execution {
    /// Returns the stable name on the wire.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotExecuted => "not_executed",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }
}

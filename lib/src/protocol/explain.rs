//! Explanation of where a node would send a request now, made without sending it.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::error_kind::ErrorKind;
use crate::protocol::route::Destination;

/// Path of the admin port whose POST explains a request.
pub const EXPLAIN_PATH: &str = "/v1/explain";
/// Largest body that describes a request, in bytes.
pub const MAX_EXPLAIN_BYTES: usize = 64 * 1024;

/// Head of the request to explain. The values of its fields appear in no `Debug` output, since one may be a key.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainRequest {
    /// Method.
    pub method: String,
    /// Host, with a port or without one.
    pub host: String,
    /// Path, with the query if there is one.
    pub path: String,
    /// Names and values of the header fields.
    #[serde(default)]
    pub fields: Vec<(String, String)>,
}

impl fmt::Debug for ExplainRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ExplainRequest")
            .field("method", &self.method)
            .field("host", &self.host)
            .field("fields", &self.fields.len())
            .finish_non_exhaustive()
    }
}

/// Where a node would send a request now, and why.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the node.
    pub node: Arc<str>,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Availability zone of the node.
    pub zone: Arc<str>,
    /// Configuration by which the request is handled.
    pub config: ConfigState,
    /// Route of the request; none without a matching one, or where callers name the service.
    pub route: Option<RouteState>,
    /// Tenant of the request; none without a route.
    pub tenant: Option<TenantState>,
    /// Quota of the tenant; none without a limit.
    pub quota: Option<QuotaState>,
    /// Parameters of the call; none if no service was found.
    pub call: Option<CallState>,
    /// Upstreams of the service, and members without an announced upstream.
    pub candidates: Vec<CandidateState>,
    /// Node whose upstream would be chosen, also if the request would be rejected for another reason.
    pub choice: Option<Arc<str>>,
    /// Answer that the node would give instead of sending the request; the first one of several.
    pub rejection: Option<Rejection>,
}

/// Configuration in force at a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Operators' name of the version; none where each service has its own revision.
    pub version: Option<Arc<str>>,
    /// Revision.
    pub revision: u64,
    /// Time since the node has it, in milliseconds, if recorded.
    pub applied_ms_ago: Option<u64>,
    /// Time since it was last known to be the latest one, in milliseconds, if it ever was.
    pub confirmed_ms_ago: Option<u64>,
}

/// Route of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteState {
    /// Name.
    pub name: Arc<str>,
    /// Host.
    pub host: Arc<str>,
    /// Prefix of the path.
    pub path_prefix: Arc<str>,
    /// Whether requests need no API key.
    pub public: bool,
    /// Maximum number of upstreams to which one request is sent.
    pub max_attempts: u32,
    /// Destinations with their weights.
    pub destinations: Vec<Destination>,
    /// Destination of the next request.
    pub next_service: Option<Arc<str>>,
}

/// Tenant of a request, or why it is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantState {
    /// How the request comes to be accepted, or why it is refused.
    pub outcome: Arc<str>,
    /// Whether it is accepted.
    pub accepted: bool,
    /// Name of the tenant, if there is one.
    pub name: Option<Arc<str>>,
}

/// State of a quota server as an ingress knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaServerState {
    /// No member can be the server.
    #[default]
    Unknown,
    /// This process has not asked it for this tenant.
    NotAsked,
    /// It was asked for this tenant, and has left no ask unanswered since its last answer.
    Responsive,
    /// It left the last ask unanswered.
    Unresponsive,
}

/// Quota of a tenant as an ingress knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaState {
    /// Rate over all nodes together, in thousandths of a request per second.
    pub millirequests_per_s: u64,
    /// Requests beyond the rate after a time without requests.
    pub burst: u64,
    /// Whether this request needs a token.
    pub takes_token: bool,
    /// Name of the server that the node would ask for a token.
    pub server: Option<Arc<str>>,
    /// State of this server.
    pub server_state: QuotaServerState,
    /// Requests at this node that wait for a token.
    pub waiting: u64,
    /// Time after which a token is expected, in milliseconds, while the node rejects requests by itself.
    pub exceeded_retry_after_ms: Option<u64>,
}

/// Parameters of the call that the request makes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallState {
    /// Service.
    pub service: Arc<str>,
    /// Rank of the priority at gates; 0 is the most urgent.
    pub priority: u8,
    /// Whether it may be executed more than once.
    pub idempotent: bool,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Part of the objective that is left after what the caller has waited, in milliseconds.
    pub objective_left_ms: u64,
    /// Timeout, in milliseconds.
    pub timeout_ms: u64,
    /// Typical service time of such calls, in microseconds; 0 if unknown.
    pub typical_us: u64,
}

/// What became of a candidate in a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It was chosen.
    Chosen,
    /// Another one that it was compared with is better, or as good.
    Outranked,
    /// It is not in the random sample that was compared.
    NotSampled,
    /// It joined recently and was left out of this choice, as of most others.
    RampingUp,
    /// It is much slower than the others or has failed repeatedly.
    Ejected,
    /// Its zone is evacuated.
    EvacuatedZone,
    /// It is draining.
    Draining,
    /// Its node has announced that it stops.
    Leaving,
    /// Its node is considered failed.
    Dead,
    /// Its node has no upstream: the announcement expired, or there was none.
    NotAnnounced,
}

/// Upstream as a node knows it, and what became of it in the choice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateState {
    /// Name of the node beside the upstream.
    pub node: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Membership state of the node; a suspected one still gets calls.
    pub member_state: Arc<str>,
    /// Slots that the upstream announced.
    pub slots: u32,
    /// What became of it.
    pub verdict: Verdict,
    /// Expected latency of this call, in microseconds; none if it was no candidate.
    pub expected_latency_us: Option<u64>,
    /// Known load.
    pub load: LoadState,
}

/// Load of an upstream as an ingress knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadState {
    /// Calls that the explaining node has in flight there.
    pub own_calls: u32,
    /// Calls that occupy a slot, by the latest load report.
    pub running: u32,
    /// Calls that are queued, by the latest load report.
    pub queued: u32,
    /// Slots that the gate grants, by the latest load report; 0 before the first one.
    pub limit: u32,
    /// Estimated time until a successful answer, in microseconds; 0 if unknown.
    pub service_time_us: u64,
    /// Ratio of the service time to the typical one, in thousandths; 0 if unknown.
    pub slowness_permille: u64,
    /// Time until a call may start under the cold or rate limit, in microseconds.
    pub start_delay_us: u64,
    /// Failures since the last successful answer.
    pub consecutive_failures: u32,
    /// Age of the latest load report, in microseconds; none before the first one.
    pub report_age_us: Option<u64>,
}

/// Error answer that a request would get from the node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Kind of the error.
    pub error: ErrorKind,
    /// Status of the answer.
    pub status: u16,
    /// Reason.
    pub message: String,
    /// Time after which the request may be sent again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Verdict {
    /// Returns the description for operators.
    #[must_use]
    pub const fn description(self) -> &'static str {
        match self {
            Self::Chosen => "chosen",
            Self::Outranked => "another is as good or better",
            Self::NotSampled => "not in the sample",
            Self::RampingUp => "ramping up",
            Self::Ejected => "ejected",
            Self::EvacuatedZone => "zone evacuated",
            Self::Draining => "draining",
            Self::Leaving => "node leaving",
            Self::Dead => "node dead",
            Self::NotAnnounced => "no announcement, or it expired",
        }
    }
}

//! Settings of a node, read from a file of JSON with comments and validated as a whole at start.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::protocol::checked_json::Result;
use crate::protocol::checked_json::addr_list_schema;
use crate::protocol::checked_json::addr_schema;
use crate::protocol::checked_json::checked_from_value;
use crate::protocol::checked_json::parse_jsonc;
use crate::protocol::checked_json::read_file;
use crate::protocol::checked_json::reject;
use crate::protocol::published::FieldProblem;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name and location of the node.
    pub node: NodeSettings,
    /// Addresses at which the node listens.
    pub listen: ListenSettings,
    /// Peer addresses to join through, in addition to those in the platform's seed registry.
    #[serde(default)]
    #[schemars(schema_with = "addr_list_schema")]
    pub seeds: Vec<SocketAddr>,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Interface that callers, the upstream and the platform use with the node.
    #[serde(default)]
    pub dialect: DialectName,
    /// Upstream beside the node, if it is known in advance.
    #[serde(default)]
    pub upstream: Option<UpstreamSettings>,
    /// Limits on what the node accepts.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Gossip between nodes.
    #[serde(default)]
    pub gossip: GossipSettings,
    /// Authentication between nodes; without it any host may join the fleet.
    #[serde(default)]
    pub peer_security: Option<PeerSecuritySettings>,
    /// Resources of the VM that the node may use.
    #[serde(default)]
    pub process: ProcessSettings,
    /// Behavior while upstreams have too few slots.
    #[serde(default)]
    pub overload: OverloadSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Authentication between the nodes of a fleet.
///
/// The files are read again every few seconds, so that keys can be rotated without a restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerSecuritySettings {
    /// Files with a secret of at least 32 bytes each; the first signs datagrams, all are accepted.
    #[schemars(length(min = 1))]
    pub datagram_key_files: Vec<Arc<str>>,
    /// PEM file with the node's certificate, whose subject names include `yuccatray-peer`.
    pub certificate_file: Arc<str>,
    /// PEM file with the certificate's private key.
    pub private_key_file: Arc<str>,
    /// PEM file with the certificates of the authorities that sign the nodes' certificates.
    pub authority_file: Arc<str>,
}

/// Interface that callers, the upstream and the platform use with a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum DialectName {
    /// The native interface of yuccatray.
    #[default]
    Own,
    /// The platform's external dialect: routed requests and check-ins.
    Platform,
}

/// Upstream beside a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Service that the upstream serves.
    #[schemars(length(min = 1, max = 255))]
    pub service: Arc<str>,
}

/// Name and location of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the VM, unique in the fleet: letters, digits and hyphens.
    #[schemars(regex(pattern = r"^[a-zA-Z0-9-]{1,63}$"))]
    pub name: Arc<str>,
    /// Region of the VM.
    #[schemars(length(min = 1, max = 63))]
    pub region: Arc<str>,
    /// Availability zone of the VM.
    #[schemars(length(min = 1, max = 63))]
    pub zone: Arc<str>,
}

/// Addresses at which a node listens; port 0 selects a free port.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers.
    #[schemars(schema_with = "addr_schema")]
    pub ingress_addr: SocketAddr,
    /// Address for the other nodes.
    #[schemars(schema_with = "addr_schema")]
    pub peer_addr: SocketAddr,
    /// Address at which the other nodes reach `peer_addr`, if it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_peer_addr: Option<SocketAddr>,
    /// Address for announcements of the node's own upstream; a loopback address.
    #[schemars(schema_with = "addr_schema")]
    pub announce_addr: SocketAddr,
    /// Address for operators: metrics, readiness and status.
    #[schemars(schema_with = "addr_schema")]
    pub admin_addr: SocketAddr,
}

/// Access to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the object API.
    #[schemars(schema_with = "addr_schema")]
    pub addr: SocketAddr,
    /// Timeout of one request to the object API, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    #[schemars(range(min = 10, max = 60_000))]
    pub timeout_ms: u64,
    /// Maximum time that one watch request waits for a change, in milliseconds.
    #[serde(default = "default_watch_wait_ms")]
    #[schemars(range(min = 100, max = 30_000))]
    pub watch_wait_ms: u64,
    /// Bounds of the deployment in the notation of the external dialect; the limits that follow from them replace
    /// those of these settings.
    #[serde(default)]
    pub bounds: Arc<str>,
    /// Maximum time that a watch of evacuated zones waits, in milliseconds; `None` if zones are not evacuated.
    ///
    /// It follows from the bounds.
    #[serde(skip)]
    pub evacuation_wait_ms: Option<u64>,
}

/// Limits on what a node accepts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of a header section, in bytes.
    #[schemars(range(min = 8_192, max = 1_048_576))]
    pub max_header_bytes: u32,
    /// Maximum number of concurrent connections from callers.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub max_caller_connections: u32,
    /// Maximum time for a caller to send a header section, in milliseconds.
    #[schemars(range(min = 10, max = 600_000))]
    pub header_timeout_ms: u64,
    /// Maximum size of a request body that is buffered for a retry, in bytes.
    #[schemars(range(min = 0, max = 16_777_216))]
    pub max_replay_bytes: u64,
    /// Time at shutdown between reporting not ready and rejecting new calls, in milliseconds.
    #[schemars(range(min = 0, max = 3_600_000))]
    pub unready_notice_ms: u64,
    /// Maximum time that the whole shutdown may take, calls in flight included, in milliseconds.
    #[schemars(range(min = 0, max = 3_600_000))]
    pub shutdown_timeout_ms: u64,
}

/// Gossip between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct GossipSettings {
    /// Interval between two rounds of gossip updates, in milliseconds.
    #[schemars(range(min = 10, max = 60_000))]
    pub interval_ms: u64,
    /// Interval between two probes, in milliseconds.
    #[schemars(range(min = 50, max = 60_000))]
    pub probe_interval_ms: u64,
    /// Timeout of a direct probe, after which other nodes are asked to probe the target, in milliseconds.
    #[schemars(range(min = 10, max = 60_000))]
    pub probe_timeout_ms: u64,
    /// Time to refute a suspicion in a fleet of ten nodes, in milliseconds; grows with the logarithm of the
    /// fleet size.
    #[schemars(range(min = 50, max = 600_000))]
    pub suspicion_ms: u64,
    /// Interval between two attempts to reach dead members and seeds, in milliseconds.
    #[schemars(range(min = 50, max = 600_000))]
    pub rejoin_interval_ms: u64,
    /// Time after which a dead member is forgotten, in milliseconds.
    #[schemars(range(min = 1_000, max = 86_400_000))]
    pub forget_after_ms: u64,
    /// Maximum rate of gossip updates sent, in bytes per second; probes do not count.
    #[schemars(range(min = 500, max = 10_000_000))]
    pub max_news_bytes_per_second: u32,
}

/// Resources of the VM that a node may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ProcessSettings {
    /// Worker threads for calls, in addition to the thread reserved for control tasks.
    #[schemars(range(min = 1, max = 256))]
    pub worker_threads: u32,
}

/// Behavior of a node while its upstream has too few slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct OverloadSettings {
    /// By what calls are delayed or rejected.
    pub shedding: Shedding,
}

/// By what calls are delayed or rejected while slots are short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Shedding {
    /// By priority and deadline; each priority may occupy only its share of the slots.
    #[default]
    ByPriority,
    /// By what a delay or rejection costs callers: priority, spare time until the objective, and work already done.
    ByCost,
}

/// Logging of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Faults that require an operator.
    Error,
    /// Faults that the node handles itself.
    Warn,
    /// Changes of state.
    Info,
    /// Decisions about individual calls.
    Debug,
    /// Everything.
    Trace,
}

impl Settings {
    /// Reads and validates the settings in a file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, is not JSON with comments, or a field is invalid.
    pub fn load(path: &Path) -> Result<Self> {
        Self::parse(&read_file(path)?)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// When the text is not JSON with comments or a field is invalid.
    pub fn parse(text: &str) -> Result<Self> {
        let value = parse_jsonc(text)?;
        let settings: Self = checked_from_value(&value)?;
        let problems = settings.cross_field_problems();
        if problems.is_empty() { Ok(settings) } else { reject(problems) }
    }

    /// Returns the problems that depend on several fields and that the schema cannot express.
    fn cross_field_problems(&self) -> Vec<FieldProblem> {
        let mut problems = Vec::new();
        if self.dialect == DialectName::Own && !self.listen.announce_addr.ip().is_loopback() {
            problems.push(FieldProblem {
                field: "/listen/announce_addr".to_owned(),
                problem: "has to be a loopback address, since only the upstream beside the node may announce"
                    .to_owned(),
            });
        }
        if self.dialect == DialectName::Own && !self.platform.bounds.is_empty() {
            problems.push(FieldProblem {
                field: "/platform/bounds".to_owned(),
                problem: "has no meaning without an external dialect".to_owned(),
            });
        }
        if self.gossip.probe_timeout_ms >= self.gossip.probe_interval_ms {
            problems.push(FieldProblem {
                field: "/gossip/probe_timeout_ms".to_owned(),
                problem: "has to be less than /gossip/probe_interval_ms".to_owned(),
            });
        }
        problems
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_header_bytes: 65_536,
            max_caller_connections: 2_000,
            header_timeout_ms: 10_000,
            max_replay_bytes: 65_536,
            unready_notice_ms: 0,
            shutdown_timeout_ms: 30_000,
        }
    }
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            interval_ms: 200,
            probe_interval_ms: 1_000,
            probe_timeout_ms: 300,
            suspicion_ms: 3_000,
            rejoin_interval_ms: 5_000,
            forget_after_ms: 3_600_000,
            max_news_bytes_per_second: 2_000,
        }
    }
}

impl Default for ProcessSettings {
    fn default() -> Self {
        Self { worker_threads: 1 }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LogLevel::Info }
    }
}

const fn default_watch_wait_ms() -> u64 {
    20_000
}

const fn default_platform_timeout_ms() -> u64 {
    2_000
}

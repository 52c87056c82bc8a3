//! The settings of a node: JSON with comments, checked whole at start.

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
use crate::protocol::checked_json::read_text;
use crate::protocol::checked_json::refuse;
use crate::protocol::published::FieldProblem;

/// Everything that a node is told at start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the node is and where it stands.
    pub node: NodeSettings,
    /// Where the node listens.
    pub listen: ListenSettings,
    /// Peer addresses to join through, besides those that the platform lists.
    #[serde(default)]
    #[schemars(schema_with = "addr_list_schema")]
    pub seeds: Vec<SocketAddr>,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// What callers, the upstream and the platform speak with the node.
    #[serde(default)]
    pub dialect: DialectName,
    /// The upstream beside the node, where it is known beforehand.
    #[serde(default)]
    pub upstream: Option<UpstreamSettings>,
    /// Bounds on what the node accepts.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How nodes talk to one another.
    #[serde(default)]
    pub gossip: GossipSettings,
    /// How nodes prove to one another that they belong to the fleet; without it any host may join.
    #[serde(default)]
    pub peer_security: Option<PeerSecuritySettings>,
    /// What the node may use of its VM.
    #[serde(default)]
    pub process: ProcessSettings,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
}

/// How nodes prove to one another that they belong to the fleet.
///
/// The files are read again every few seconds, so that keys are rotated without a restart.
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

/// What callers, the upstream and the platform speak with a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum DialectName {
    /// The interface of this project.
    #[default]
    Own,
    /// Routed requests and check-ins of the users' platform.
    Platform,
}

/// The upstream beside a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Service that it serves.
    #[schemars(length(min = 1, max = 255))]
    pub service: Arc<str>,
}

/// Who a node is.
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

/// Where a node listens; port 0 takes a free one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    #[schemars(schema_with = "addr_schema")]
    pub ingress_addr: SocketAddr,
    /// For the other nodes.
    #[schemars(schema_with = "addr_schema")]
    pub peer_addr: SocketAddr,
    /// Where the other nodes reach `peer_addr`, when that is another address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_peer_addr: Option<SocketAddr>,
    /// For the node's own upstream; a loopback address.
    #[schemars(schema_with = "addr_schema")]
    pub announce_addr: SocketAddr,
    /// For operators: metrics, readiness, status.
    #[schemars(schema_with = "addr_schema")]
    pub admin_addr: SocketAddr,
}

/// How to reach the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the object API.
    #[schemars(schema_with = "addr_schema")]
    pub addr: SocketAddr,
    /// Time that one call of it may take, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    #[schemars(range(min = 10, max = 60_000))]
    pub timeout_ms: u64,
    /// Time for which a watch waits for a change, in milliseconds.
    #[serde(default = "default_watch_wait_ms")]
    #[schemars(range(min = 100, max = 30_000))]
    pub watch_wait_ms: u64,
}

/// Bounds on what a node accepts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest header section, in bytes.
    #[schemars(range(min = 8_192, max = 1_048_576))]
    pub max_header_bytes: u32,
    /// Connections of callers at once.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub max_caller_connections: u32,
    /// Time for a caller to send its header section, in milliseconds.
    #[schemars(range(min = 10, max = 600_000))]
    pub header_timeout_ms: u64,
    /// Largest request body kept for a retry, in bytes.
    #[schemars(range(min = 0, max = 16_777_216))]
    pub max_replay_bytes: u64,
    /// Time between saying that the node is not ready and taking no more calls, in milliseconds.
    #[schemars(range(min = 0, max = 3_600_000))]
    pub unready_notice_ms: u64,
    /// Time for calls in flight at shutdown, in milliseconds.
    #[schemars(range(min = 0, max = 3_600_000))]
    pub shutdown_timeout_ms: u64,
}

/// How nodes talk to one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct GossipSettings {
    /// Time between two sendings of news, in milliseconds.
    #[schemars(range(min = 10, max = 60_000))]
    pub interval_ms: u64,
    /// Time between two probes, in milliseconds.
    #[schemars(range(min = 50, max = 60_000))]
    pub probe_interval_ms: u64,
    /// Time for a direct answer before others are asked to probe, in milliseconds.
    #[schemars(range(min = 10, max = 60_000))]
    pub probe_timeout_ms: u64,
    /// Time to refute a suspicion among ten nodes, in milliseconds; grows with the logarithm.
    #[schemars(range(min = 50, max = 600_000))]
    pub suspicion_ms: u64,
    /// Time between two attempts to reach dead members and seeds, in milliseconds.
    #[schemars(range(min = 50, max = 600_000))]
    pub rejoin_interval_ms: u64,
    /// Time for which a dead member is remembered, in milliseconds.
    #[schemars(range(min = 1_000, max = 86_400_000))]
    pub forget_after_ms: u64,
    /// News sent per second at most, in bytes, probes apart.
    #[schemars(range(min = 500, max = 10_000_000))]
    pub max_news_bytes_per_second: u32,
}

/// What a node may use of its VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ProcessSettings {
    /// Threads that carry calls, besides the one that control has to itself.
    #[schemars(range(min = 1, max = 256))]
    pub worker_threads: u32,
}

/// What is logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least serious level that is written.
    pub level: LogLevel,
}

/// Seriousness of a line in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Faults that need a person.
    Error,
    /// Faults that the node works round.
    Warn,
    /// Changes of state.
    Info,
    /// Decisions about single calls.
    Debug,
    /// Everything.
    Trace,
}

impl Settings {
    /// Reads and checks the settings in a file.
    ///
    /// # Errors
    ///
    /// When the file can't be read, is not JSON with comments, or any field is wrong.
    pub fn load(path: &Path) -> Result<Self> {
        Self::parse(&read_text(path)?)
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// When the text is not JSON with comments or any field is wrong.
    pub fn parse(text: &str) -> Result<Self> {
        let value = parse_jsonc(text)?;
        let settings: Self = checked_from_value(&value)?;
        let problems = settings.cross_field_problems();
        if problems.is_empty() { Ok(settings) } else { refuse(problems) }
    }

    fn cross_field_problems(&self) -> Vec<FieldProblem> {
        let mut problems = Vec::new();
        if self.dialect == DialectName::Own && !self.listen.announce_addr.ip().is_loopback() {
            problems.push(FieldProblem {
                field: "/listen/announce_addr".to_owned(),
                problem: "has to be a loopback address, since only the upstream beside the node may announce"
                    .to_owned(),
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

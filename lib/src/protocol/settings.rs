//! The settings of a node: JSON with comments, checked whole at start.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use jsonc_parser::ParseOptions;
use schemars::JsonSchema;
use schemars::schema_for;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

use crate::protocol::published::FieldProblem;

/// Result of reading settings.
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;

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
    pub seeds: Vec<SocketAddr>,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Bounds on what the node accepts.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How nodes talk to one another.
    #[serde(default)]
    pub gossip: GossipSettings,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
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
    pub ingress_addr: SocketAddr,
    /// For the other nodes.
    pub peer_addr: SocketAddr,
    /// Where the other nodes reach `peer_addr`, when that is another address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_peer_addr: Option<SocketAddr>,
    /// For the node's own upstream; a loopback address.
    pub announce_addr: SocketAddr,
    /// For operators: metrics, readiness, status.
    pub admin_addr: SocketAddr,
}

/// How to reach the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the object API.
    pub addr: SocketAddr,
    /// Time that one call of it may take, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    #[schemars(range(min = 10, max = 60_000))]
    pub timeout_ms: u64,
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
    /// Time for calls in flight at shutdown, in milliseconds.
    #[schemars(range(min = 0, max = 3_600_000))]
    pub shutdown_timeout_ms: u64,
}

/// How nodes talk to one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct GossipSettings {
    /// Time between two rounds, in milliseconds.
    #[schemars(range(min = 10, max = 60_000))]
    pub interval_ms: u64,
    /// Silence after which a member is suspected, in milliseconds.
    #[schemars(range(min = 50, max = 600_000))]
    pub suspect_after_ms: u64,
    /// Suspicion after which a member is taken for dead, in milliseconds.
    #[schemars(range(min = 50, max = 600_000))]
    pub dead_after_ms: u64,
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

/// Why settings were refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("cannot read {path}"))]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text is not JSON with comments.
    #[snafu(display("not JSON with comments: {source}"))]
    Syntax {
        /// Where and what.
        source: jsonc_parser::errors::ParseError,
    },
    /// The file holds nothing.
    #[snafu(display("the file holds no value"))]
    Empty,
    /// Fields are wrong; every one of them is listed.
    #[snafu(display("{} problem(s)", problems.len()))]
    Problems {
        /// The faults, in the order of the fields.
        problems: Vec<FieldProblem>,
    },
}

impl SettingsError {
    /// The faults by field, when that is what is wrong.
    #[must_use]
    pub fn problems(&self) -> &[FieldProblem] {
        match self {
            Self::Problems { problems } => problems,
            _ => &[],
        }
    }
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
        if problems.is_empty() { Ok(settings) } else { ProblemsSnafu { problems }.fail() }
    }

    fn cross_field_problems(&self) -> Vec<FieldProblem> {
        let mut problems = Vec::new();
        if !self.listen.announce_addr.ip().is_loopback() {
            problems.push(FieldProblem {
                field: "/listen/announce_addr".to_owned(),
                problem: "has to be a loopback address, since only the upstream beside the node may announce"
                    .to_owned(),
            });
        }
        if self.gossip.dead_after_ms < self.gossip.interval_ms {
            problems.push(FieldProblem {
                field: "/gossip/dead_after_ms".to_owned(),
                problem: "has to be at least /gossip/interval_ms".to_owned(),
            });
        }
        problems
    }
}

/// Reads a file as text.
///
/// # Errors
///
/// When the file can't be read.
pub fn read_text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).context(ReadSnafu { path: path.display().to_string() })
}

/// Reads JSON with comments into a value.
///
/// # Errors
///
/// When the text is not JSON with comments or holds no value.
pub fn parse_jsonc(text: &str) -> Result<Value> {
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    jsonc_parser::parse_to_serde_value::<Option<Value>>(text, &options)
        .context(SyntaxSnafu)?
        .context(EmptySnafu)
}

/// Reads a value as a type after checking it against the type's schema.
///
/// # Errors
///
/// When fields are unknown, missing or out of range; all of them are listed.
pub fn checked_from_value<T>(value: &Value) -> Result<T>
where
    T: DeserializeOwned + JsonSchema,
{
    let problems = schema_problems::<T>(value);
    if !problems.is_empty() {
        return ProblemsSnafu { problems }.fail();
    }
    serde_json::from_value(value.clone()).map_err(|error| SettingsError::Problems {
        problems: vec![FieldProblem { field: String::new(), problem: error.to_string() }],
    })
}

fn schema_problems<T>(value: &Value) -> Vec<FieldProblem>
where
    T: JsonSchema,
{
    let schema = schema_for!(T);
    match jsonschema::validator_for(schema.as_value()) {
        Ok(validator) => validator
            .iter_errors(value)
            .map(|error| FieldProblem {
                field: error.instance_path().to_string(),
                problem: error.to_string(),
            })
            .collect(),
        Err(error) => vec![FieldProblem { field: String::new(), problem: error.to_string() }],
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_header_bytes: 65_536,
            max_caller_connections: 2_000,
            header_timeout_ms: 10_000,
            max_replay_bytes: 65_536,
            shutdown_timeout_ms: 30_000,
        }
    }
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self { interval_ms: 200, suspect_after_ms: 1_500, dead_after_ms: 4_000 }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LogLevel::Info }
    }
}

const fn default_platform_timeout_ms() -> u64 {
    2_000
}

//! What an experiment does: a deployment, events at given times, ways to decide.

use std::path::Path;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use yuccatray::protocol::checked_json::Result;
use yuccatray::protocol::checked_json::checked_from_value;
use yuccatray::protocol::checked_json::parse_jsonc;
use yuccatray::protocol::checked_json::read_text;

use crate::deployment::Deployment;
use crate::policy_variant::PolicyVariant;

/// An experiment as its file describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The fleet and what its callers ask of it.
    pub deployment: Deployment,
    /// One-way delay between callers and nodes, in milliseconds.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1_000))]
    pub client_delay_ms: u64,
    /// Parts of the run that are reported apart.
    #[schemars(length(min = 1))]
    pub phases: Vec<Phase>,
    /// What happens while callers call.
    #[serde(default)]
    pub events: Vec<Event>,
    /// The ways to decide, each run on a fresh fleet with the same seeds.
    #[schemars(length(min = 1))]
    pub policies: Vec<PolicyVariant>,
    /// Services that are reported; all when empty.
    #[serde(default)]
    pub report_services: Vec<Arc<str>>,
}

/// A part of the run; a call belongs to it by the time at which it was due.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Name in the table of results.
    pub name: Arc<str>,
    /// Start, in milliseconds from the first call.
    pub from_ms: u64,
    /// End, in milliseconds from the first call.
    pub until_ms: u64,
}

/// Something that happens for a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// When it starts, in milliseconds from the first call.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// Service that it concerns.
    pub service: Arc<str>,
    /// What happens.
    pub action: Action,
}

/// What an event does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Action {
    /// Service times of the upstreams grow by a factor.
    Slowdown {
        /// Which upstreams.
        upstreams: UpstreamChoice,
        /// Factor on each service time.
        #[schemars(range(min = 0.01, max = 1_000.0))]
        factor: f64,
    },
    /// The upstreams answer 500 at once.
    FailFast {
        /// Which upstreams.
        upstreams: UpstreamChoice,
    },
    /// The upstreams announce that they take no new work.
    Drain {
        /// Which upstreams.
        upstreams: UpstreamChoice,
    },
    /// Calls of one priority come at a multiple of the service's capacity.
    Overload {
        /// Which priority.
        priority: Arc<str>,
        /// Calls per second on top of the usual ones.
        #[schemars(range(min = 0.1, max = 100_000.0))]
        calls_per_second: f64,
    },
}

/// Which upstreams of a service an event concerns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamChoice {
    /// The one at this position.
    Index(usize),
    /// All that stand in this availability zone.
    Zone(Arc<str>),
}

impl Experiment {
    /// Reads and checks an experiment's file.
    ///
    /// # Errors
    ///
    /// When the file can't be read or any field is wrong.
    pub fn load(path: &Path) -> Result<Self> {
        checked_from_value(&parse_jsonc(&read_text(path)?)?)
    }
}

impl UpstreamChoice {
    /// Whether the upstream at that position and zone is meant.
    #[must_use]
    pub fn contains(&self, index: usize, zone: &str) -> bool {
        match self {
            Self::Index(chosen) => *chosen == index,
            Self::Zone(chosen) => chosen.as_ref() == zone,
        }
    }
}

//! Experiment file: a deployment, timed events, and the policy variants to compare.

use std::path::Path;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use yuccatray::protocol::checked_json::Result;
use yuccatray::protocol::checked_json::checked_from_value;
use yuccatray::protocol::checked_json::parse_jsonc;
use yuccatray::protocol::checked_json::read_file;

use crate::deployment::Deployment;
use crate::policy_variant::PolicyVariant;

/// An experiment, as its file describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Fleet and load.
    pub deployment: Deployment,
    /// One-way delay between callers and nodes, in milliseconds.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1_000))]
    pub client_delay_ms: u64,
    /// Time ranges of the run that are reported separately.
    #[schemars(length(min = 1))]
    pub phases: Vec<Phase>,
    /// Disturbances during the load.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Policy variants, each run on a new fleet with the same seeds.
    #[schemars(length(min = 1))]
    pub policies: Vec<PolicyVariant>,
    /// Services to report; all if empty.
    #[serde(default)]
    pub report_services: Vec<Arc<str>>,
}

/// Time range of the run; a call belongs to the phase in which it was due.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Name in the results table.
    pub name: Arc<str>,
    /// Start, in milliseconds from the start of the load.
    pub from_ms: u64,
    /// End, in milliseconds from the start of the load.
    pub until_ms: u64,
}

/// A disturbance of limited duration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Start, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// Duration, in milliseconds.
    pub for_ms: u64,
    /// Service to which it applies.
    pub service: Arc<str>,
    /// Effect of the event.
    pub action: Action,
}

/// Effect of an event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Action {
    /// Multiplies the service times of the upstreams.
    Slowdown {
        /// Affected upstreams.
        upstreams: UpstreamChoice,
        /// Factor on each service time.
        #[schemars(range(min = 0.01, max = 1_000.0))]
        factor: f64,
    },
    /// Makes the upstreams respond with status 500 at once.
    FailFast {
        /// Affected upstreams.
        upstreams: UpstreamChoice,
    },
    /// Makes the load endpoints of the upstreams report more calls than are running.
    LyingLoad {
        /// Affected upstreams.
        upstreams: UpstreamChoice,
        /// Reported calls in excess of the running ones.
        claimed_extra: u32,
    },
    /// Makes the upstreams announce that they are draining.
    Drain {
        /// Affected upstreams.
        upstreams: UpstreamChoice,
    },
    /// Adds calls of one priority to the load of the service.
    Overload {
        /// Priority of the added calls.
        priority: Arc<str>,
        /// Added calls per second.
        #[schemars(range(min = 0.1, max = 100_000.0))]
        calls_per_second: f64,
    },
}

/// Selects upstreams of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamChoice {
    /// The upstream at this position among those of the service, from 0.
    Index(usize),
    /// All upstreams in this availability zone.
    Zone(Arc<str>),
}

impl Experiment {
    /// Reads and validates an experiment file.
    ///
    /// # Errors
    ///
    /// When the file can't be read or a field is invalid.
    pub fn load(path: &Path) -> Result<Self> {
        checked_from_value(&parse_jsonc(&read_file(path)?)?)
    }
}

impl UpstreamChoice {
    /// Returns whether the upstream at this position and zone is selected.
    #[must_use]
    pub fn contains(&self, index: usize, zone: &str) -> bool {
        match self {
            Self::Index(chosen) => *chosen == index,
            Self::Zone(chosen) => chosen.as_ref() == zone,
        }
    }
}

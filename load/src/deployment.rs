//! What a fleet looks like and what its callers ask of it.

use std::path::Path;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use yuccatray::protocol::checked_json::Result;
use yuccatray::protocol::checked_json::checked_from_value;
use yuccatray::protocol::checked_json::parse_jsonc;
use yuccatray::protocol::checked_json::read_text;
use yuccatray_standin::upstream::UpstreamBehaviour;

/// A fleet and its load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Region of every node.
    pub region: Arc<str>,
    /// Availability zones; upstreams of a service are spread over them in turn.
    #[schemars(length(min = 1))]
    pub zones: Vec<Arc<str>>,
    /// File with the objects to apply, beside the deployment's own file.
    pub objects: Arc<str>,
    /// The services and their upstreams.
    #[schemars(length(min = 1))]
    pub services: Vec<ServiceLoad>,
    /// How long callers call, in milliseconds.
    #[schemars(range(min = 100, max = 600_000))]
    pub duration_ms: u64,
    /// Seed of arrivals and service times.
    pub seed: u64,
}

/// One service of a deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceLoad {
    /// Name of the `Service` object.
    pub name: Arc<str>,
    /// Upstreams, each with a node beside it.
    #[schemars(range(min = 1, max = 100))]
    pub upstreams: u32,
    /// Calls that each upstream runs at once.
    #[schemars(range(min = 1, max = 1_000))]
    pub slots: u32,
    /// Mean service time, in microseconds; 0 answers at once.
    #[schemars(range(min = 0, max = 10_000_000))]
    pub mean_service_us: u64,
    /// Exponential stages that make up one service time; more stages vary less.
    #[serde(default = "default_service_stages")]
    #[schemars(range(min = 1, max = 100))]
    pub service_stages: u32,
    /// What callers ask of it.
    pub streams: Vec<CallStream>,
}

/// Calls of one priority to one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallStream {
    /// Priority of the calls.
    pub priority: Arc<str>,
    /// Method of the calls.
    #[serde(default = "default_method")]
    pub method: Arc<str>,
    /// Calls per second, at exponentially distributed gaps.
    #[schemars(range(min = 0.1, max = 100_000.0))]
    pub calls_per_second: f64,
}

impl Deployment {
    /// Reads and checks a deployment's file.
    ///
    /// # Errors
    ///
    /// When the file can't be read or any field is wrong.
    pub fn load(path: &Path) -> Result<Self> {
        checked_from_value(&parse_jsonc(&read_text(path)?)?)
    }
}

impl ServiceLoad {
    /// How its upstreams behave while nothing disturbs them.
    #[must_use]
    pub fn behaviour(&self) -> UpstreamBehaviour {
        UpstreamBehaviour {
            mean_service_us: self.mean_service_us,
            service_stages: self.service_stages,
            ..UpstreamBehaviour::default()
        }
    }
}

const fn default_service_stages() -> u32 {
    1
}

fn default_method() -> Arc<str> {
    Arc::from("GET")
}

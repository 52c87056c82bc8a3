//! Deployment file: the nodes and upstreams of a fleet, and the load on them.

use std::path::Path;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use yuccatray::protocol::checked_json::Result;
use yuccatray::protocol::checked_json::checked_from_value;
use yuccatray::protocol::checked_json::parse_jsonc;
use yuccatray::protocol::checked_json::read_file;
use yuccatray_standin::upstream::UpstreamBehaviour;

/// A fleet and its load, as a deployment file describes them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Region of every node.
    pub region: Arc<str>,
    /// Availability zones; upstreams of a service are spread over them in turn.
    #[schemars(length(min = 1))]
    pub zones: Vec<Arc<str>>,
    /// File with the objects to apply, relative to the directory of the deployment file.
    pub objects: Arc<str>,
    /// Services and their upstreams.
    #[schemars(length(min = 1))]
    pub services: Vec<ServiceLoad>,
    /// Duration of the load, in milliseconds.
    #[schemars(range(min = 100, max = 600_000))]
    pub duration_ms: u64,
    /// Seed of arrival times and service times.
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
    /// Calls that each upstream runs concurrently.
    #[schemars(range(min = 1, max = 1_000))]
    pub slots: u32,
    /// Mean service time, in microseconds; at 0, upstreams respond at once.
    #[schemars(range(min = 0, max = 10_000_000))]
    pub mean_service_us: u64,
    /// Exponential stages that make up one service time; more stages vary less.
    #[serde(default = "default_service_stages")]
    #[schemars(range(min = 1, max = 100))]
    pub service_stages: u32,
    /// Call streams to the service.
    pub streams: Vec<CallStream>,
}

/// Stream of calls of one priority to one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallStream {
    /// Priority of the calls.
    pub priority: Arc<str>,
    /// HTTP method of the calls.
    #[serde(default = "default_method")]
    pub method: Arc<str>,
    /// Calls per second, with exponentially distributed inter-arrival times.
    #[schemars(range(min = 0.1, max = 100_000.0))]
    pub calls_per_second: f64,
}

impl Deployment {
    /// Reads and validates a deployment file.
    ///
    /// # Errors
    ///
    /// When the file can't be read or a field is invalid.
    pub fn load(path: &Path) -> Result<Self> {
        checked_from_value(&parse_jsonc(&read_file(path)?)?)
    }
}

impl ServiceLoad {
    /// Returns the behaviour of the upstreams while no event changes it.
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

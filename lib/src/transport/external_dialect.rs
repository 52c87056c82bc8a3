//! Interface to an external dialect: a platform with its own names, formats and protocols.

use bytes::Bytes;
use http::Response;
use http::request::Parts;
use serde_json::Value;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::check_in::CheckIn;
use crate::protocol::deployment_bounds::DeploymentBounds;
use crate::protocol::external_fields::CallerFields;
use crate::protocol::external_fields::UpstreamFields;
use crate::protocol::route::RouteSet;
use crate::protocol::settings::PlatformSettings;
use crate::transport::platform::Platform;

/// Result of parsing data of an external dialect; the error describes what is invalid.
pub type Result<T, E = String> = std::result::Result<T, E>;

/// Field names, formats and store client of an external dialect; it makes no decisions, the node does.
pub trait ExternalDialect: Send + Sync + 'static {
    /// Client of the platform's store.
    type Store: Platform;

    /// Creates a client of the store named in the settings.
    fn new_store(settings: &PlatformSettings) -> Self::Store;

    /// Parses the bounds of the deployment; those that the node does not use are ignored.
    ///
    /// # Errors
    ///
    /// Returns a description of the invalid bound.
    fn parse_bounds(text: &str) -> Result<DeploymentBounds>;

    /// Returns the header fields of callers' requests.
    fn caller_fields() -> CallerFields;

    /// Returns the header fields exchanged between a gate and its upstream.
    fn upstream_fields() -> UpstreamFields;

    /// Returns the response to a caller for a call that failed without an upstream's answer.
    fn error_response(answer: &ErrorAnswer) -> Response<Bytes>;

    /// Parses an upstream's check-in.
    ///
    /// # Errors
    ///
    /// Returns a description of the invalid part; no part of the check-in may be used then.
    fn parse_check_in(head: &Parts, body: &[u8]) -> Result<CheckIn>;

    /// Returns the response that acknowledges a check-in.
    fn acknowledgement() -> Response<Bytes>;

    /// Parses the configuration written by operators.
    ///
    /// # Errors
    ///
    /// Returns a description of the invalid part.
    fn parse_routes(value: &Value) -> Result<RouteSet>;
}

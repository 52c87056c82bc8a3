//! The narrow interface through which a platform of its own dialect is met.

use bytes::Bytes;
use http::Response;
use http::request::Parts;
use serde_json::Value;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::check_in::CheckIn;
use crate::protocol::foreign_fields::CallerFields;
use crate::protocol::foreign_fields::UpstreamFields;
use crate::protocol::route::RouteSet;
use crate::protocol::settings::PlatformSettings;
use crate::transport::platform::Platform;

/// Result of reading something of another dialect: what it says, or what is wrong with it.
pub type Result<T, E = String> = std::result::Result<T, E>;

/// Names, formats and calls of a platform; whatever has to be decided is decided by the node.
pub trait Interface: Send + Sync + 'static {
    /// The platform's store.
    type Store: Platform;

    /// A client of the store that the settings name.
    fn store(settings: &PlatformSettings) -> Self::Store;

    /// Fields of callers' requests.
    fn caller_fields() -> CallerFields;

    /// Fields between a gate and its upstream.
    fn upstream_fields() -> UpstreamFields;

    /// The answer to a caller in place of an upstream's.
    fn refusal(answer: &ErrorAnswer) -> Response<Bytes>;

    /// Reads what an upstream says of itself.
    ///
    /// # Errors
    ///
    /// With what can't be read; nothing of it may be used then.
    fn check_in(head: &Parts, body: &[u8]) -> Result<CheckIn>;

    /// The acknowledgement of a check-in.
    fn acknowledgement() -> Response<Bytes>;

    /// Reads the configuration that operators wrote.
    ///
    /// # Errors
    ///
    /// With what can't be read.
    fn routes(value: &Value) -> Result<RouteSet>;
}

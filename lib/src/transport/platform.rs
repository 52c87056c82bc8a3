//! Interface to the platform's object API, through which nodes and tools read and write all its objects.

use serde_json::Value;
use snafu::Snafu;

use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;

/// Result of a platform request.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// Error of a platform request.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The precondition of a write or delete does not hold.
    #[snafu(display("conflict: the object has changed"))]
    Conflict {
        /// Current object, if it exists and the platform returned it.
        current: Option<Box<Object>>,
    },
    /// The platform rejected the request, or the request is malformed and was not sent.
    #[snafu(display("the platform rejected the request with status {status}: {message}"))]
    Rejected {
        /// HTTP status; 0 if the request was not sent.
        status: u16,
        /// Explanation of the rejection.
        message: String,
    },
    /// The request could not be sent or its response was lost, so a write may have taken effect.
    #[snafu(display("the platform gave no answer: {reason}"))]
    NoResponse {
        /// Cause of the failure.
        reason: String,
    },
    /// The response cannot be parsed.
    #[snafu(display("the platform sent an invalid response: {reason}"))]
    InvalidResponse {
        /// Cause of the failure.
        reason: String,
    },
}

/// All objects of a kind as of one version of the store.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// Store version from which to start a watch.
    pub version: u64,
    /// Store epoch to which the version belongs.
    #[serde(default)]
    pub epoch: u64,
    /// Objects of the kind.
    pub objects: Vec<Object>,
}

/// One change of an object, as reported by a watch.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// New state of the object, or its last state if it was deleted.
    pub object: Object,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// Changes after the store version given to a watch.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Changes {
    /// Store version from which to continue the watch.
    pub version: u64,
    /// Store epoch to which the version belongs.
    #[serde(default)]
    pub epoch: u64,
    /// Changes, oldest first; empty if the watch timed out.
    pub changes: Vec<Change>,
    /// Whether changes after the given version are missing, so that the kind has to be listed again.
    #[serde(default)]
    pub expired: bool,
}

/// Client of the platform's object API.
///
/// A store that is restored from a copy starts a new epoch: it has lost the latest writes, and gives their
/// versions out again. Versions are comparable only within an epoch.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Returns a client whose watches may report changes seconds late, if the platform offers cheaper ones.
    #[must_use]
    fn with_stale_watches(&self) -> Self {
        self.clone()
    }

    /// Returns an object, or `None` if it does not exist.
    fn get(&self, kind: ObjectKind, name: &str) -> impl Future<Output = Result<Option<Object>>> + Send;

    /// Returns all objects of a kind.
    fn list(&self, kind: ObjectKind) -> impl Future<Output = Result<Listing>> + Send;

    /// Waits for changes of a kind after the store version `after`.
    fn watch(&self, kind: ObjectKind, after: u64) -> impl Future<Output = Result<Changes>> + Send;

    /// Writes an object if the precondition holds, and returns the object as stored.
    fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        value: &Value,
        precondition: Precondition,
    ) -> impl Future<Output = Result<Object>> + Send;

    /// Deletes an object if it is still at the given version.
    fn delete(&self, kind: ObjectKind, name: &str, version: u64) -> impl Future<Output = Result<()>> + Send;
}

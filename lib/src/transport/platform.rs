//! The one narrow interface to the platform's object API.

use serde_json::Value;
use snafu::Snafu;

use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;

/// Result of a call of the platform.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// Why a call of the platform failed.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The write's precondition does not hold; here is what is there now.
    #[snafu(display("conflict: the object has changed"))]
    Conflict {
        /// The object as it stands, if there is one.
        current: Option<Box<Object>>,
    },
    /// The platform refused the call.
    #[snafu(display("the platform refused with status {status}: {message}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Its explanation.
        message: String,
    },
    /// The call was not sent, or its answer was lost: a write may have taken effect.
    #[snafu(display("the platform gave no answer: {reason}"))]
    NoAnswer {
        /// What went wrong.
        reason: String,
    },
    /// The answer can't be read.
    #[snafu(display("the platform's answer can't be read: {reason}"))]
    BadAnswer {
        /// What is wrong with it.
        reason: String,
    },
}

/// Objects of a kind and the version of the store that they show.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// Version of the store, to watch from.
    pub version: u64,
    /// The objects.
    pub objects: Vec<Object>,
}

/// One change that a watch reported.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// The object as it is now, or as it was last when it is gone.
    pub object: Object,
    /// Whether it was deleted.
    pub deleted: bool,
}

/// Changes since the version watched from.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Changes {
    /// Version of the store to watch from next.
    pub version: u64,
    /// The changes, oldest first; empty when the wait ran out.
    pub changes: Vec<Change>,
    /// Whether the platform no longer knows every change since then; list again.
    #[serde(default)]
    pub expired: bool,
}

/// The platform's object API.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads one object.
    fn get(&self, kind: ObjectKind, name: &str) -> impl Future<Output = Result<Option<Object>>> + Send;

    /// Reads all objects of a kind.
    fn list(&self, kind: ObjectKind) -> impl Future<Output = Result<Listing>> + Send;

    /// Waits for changes of a kind after a version.
    fn watch(&self, kind: ObjectKind, after: u64) -> impl Future<Output = Result<Changes>> + Send;

    /// Writes an object if the precondition holds.
    fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        value: &Value,
        precondition: Precondition,
    ) -> impl Future<Output = Result<Object>> + Send;

    /// Deletes an object that is still at the given version.
    fn delete(&self, kind: ObjectKind, name: &str, version: u64) -> impl Future<Output = Result<()>> + Send;
}

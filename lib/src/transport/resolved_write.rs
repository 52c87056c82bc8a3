//! Conditional writes whose lost responses are resolved by reading the object, not by repeating the write.

use serde_json::Value;

use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;
use crate::transport::platform::Platform;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect and gave the object this version.
    Written(u64),
    /// The write did not take effect and never will. Contains the current object, if any.
    Rejected(Option<Box<Object>>),
    /// The object has changed, and whether the write took effect before that is unknown.
    ///
    /// Contains the current object, if any.
    Unknown(Option<Box<Object>>),
}

/// Writes an object under a precondition and determines the outcome.
///
/// The value has to identify its writer and write, so that no other write can store an equal value:
/// a lease by holder, epoch and renewal, a publication by epoch and revision.
///
/// # Errors
///
/// Returns an error if the platform rejects the write, or if the outcome can't be determined. In the
/// latter case the write may still take effect, but only while its precondition holds, so that
/// repeating the same write takes effect at most once.
pub async fn write_resolved<P>(
    platform: &P,
    kind: ObjectKind,
    name: &str,
    value: &Value,
    precondition: Precondition,
) -> Result<WriteOutcome>
where
    P: Platform,
{
    match platform.put(kind, name, value, precondition).await {
        Ok(object) => Ok(WriteOutcome::Written(object.version)),
        Err(PlatformError::Conflict { current }) => Ok(WriteOutcome::Rejected(current)),
        Err(unresolved @ (PlatformError::NoResponse { .. } | PlatformError::InvalidResponse { .. })) => {
            let current = platform.get(kind, name).await?;
            let unchanged = match (precondition, &current) {
                (Precondition::Absent, None) => true,
                (Precondition::Version(version), Some(current)) => current.version == version,
                _ => false,
            };
            match current {
                _ if unchanged => Err(unresolved),
                Some(current) if current.value == *value => Ok(WriteOutcome::Written(current.version)),
                current => Ok(WriteOutcome::Unknown(current.map(Box::new))),
            }
        }
        Err(error) => Err(error),
    }
}

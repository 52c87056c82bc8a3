//! Writes whose lost answers are resolved by reading back, never by writing blind again.

use serde_json::Value;

use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;
use crate::transport::platform::Platform;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;

/// What became of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// It took effect at this version.
    Written(u64),
    /// It never takes effect; this is there instead.
    Lost(Option<Box<Object>>),
    /// This is there now; whether the write was there before it can't be known any more.
    Overtaken(Option<Box<Object>>),
}

/// Writes on a condition and finds out what became of it.
///
/// The value has to name its writer and write, so that no other write could have made it: a lease
/// by holder, epoch and renewal, a publication by epoch and revision.
///
/// # Errors
///
/// When that can't be found out. The write may then still take effect, but only on its condition,
/// so that the same write tried again does so at most once.
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
        Err(PlatformError::Conflict { current }) => Ok(WriteOutcome::Lost(current)),
        Err(lost @ (PlatformError::NoAnswer { .. } | PlatformError::BadAnswer { .. })) => {
            let current = platform.get(kind, name).await?;
            let untouched = match (precondition, &current) {
                (Precondition::Absent, None) => true,
                (Precondition::Version(version), Some(current)) => current.version == version,
                _ => false,
            };
            match current {
                _ if untouched => Err(lost),
                Some(current) if current.value == *value => Ok(WriteOutcome::Written(current.version)),
                current => Ok(WriteOutcome::Overtaken(current.map(Box::new))),
            }
        }
        Err(refused) => Err(refused),
    }
}

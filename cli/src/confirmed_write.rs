//! Conditional writes that are confirmed by reading the object back when the response is lost.
//!
//! A write is never sent a second time.

use std::time::Duration;

use serde_json::Value;
use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform::PlatformError;

use crate::cli_error::CliError;
use crate::cli_error::Result;

/// Number of reads after a write whose response was lost.
const READ_BACK_ATTEMPTS: u32 = 5;
/// Pause between two reads after a lost response.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(200);

/// Writes an object if the precondition holds.
///
/// If the response is lost, the write counts as successful when the object has the written value afterwards.
/// Fails with [`CliError::Conflict`] if another writer came first, and with [`CliError::Unconfirmed`] if the
/// object is unchanged or cannot be read.
pub async fn put_confirmed<P>(
    platform: &P,
    kind: ObjectKind,
    name: &str,
    value: &Value,
    precondition: Precondition,
) -> Result<()>
where
    P: Platform,
{
    match platform.put(kind, name, value, precondition).await {
        Ok(_) => Ok(()),
        Err(PlatformError::Conflict { current }) => Err(conflict(kind, name, current.as_deref())),
        Err(PlatformError::NoResponse { .. }) => {
            let current = read_back(platform, kind, name).await?;
            match current {
                Some(current) if current.value == *value => Ok(()),
                current if still_holds(precondition, current.as_ref()) => Err(unconfirmed(kind, name)),
                current => Err(conflict(kind, name, current.as_ref())),
            }
        }
        Err(error) => Err(error.into()),
    }
}

/// Deletes an object if it still has the given version.
///
/// If the response is lost, the deletion counts as successful when the object no longer exists afterwards.
/// Errors are those of [`put_confirmed`].
pub async fn delete_confirmed<P>(platform: &P, kind: ObjectKind, name: &str, version: u64) -> Result<()>
where
    P: Platform,
{
    match platform.delete(kind, name, version).await {
        Ok(()) => Ok(()),
        Err(PlatformError::Conflict { current }) => Err(conflict(kind, name, current.as_deref())),
        Err(PlatformError::NoResponse { .. }) => match read_back(platform, kind, name).await? {
            None => Ok(()),
            Some(current) if current.version == version => Err(unconfirmed(kind, name)),
            Some(current) => Err(conflict(kind, name, Some(&current))),
        },
        Err(error) => Err(error.into()),
    }
}

/// Returns whether the precondition holds for the object as read back, so that no write has taken effect.
fn still_holds(precondition: Precondition, current: Option<&Object>) -> bool {
    match precondition {
        Precondition::Absent => current.is_none(),
        Precondition::Version(version) => current.is_some_and(|current| current.version == version),
    }
}

/// Reads an object after a write whose response was lost.
///
/// Fails with [`CliError::Unconfirmed`] if no attempt succeeds.
async fn read_back<P>(platform: &P, kind: ObjectKind, name: &str) -> Result<Option<Object>>
where
    P: Platform,
{
    for attempt in 1..=READ_BACK_ATTEMPTS {
        if let Ok(current) = platform.get(kind, name).await {
            return Ok(current);
        }
        if attempt < READ_BACK_ATTEMPTS {
            tokio::time::sleep(READ_BACK_INTERVAL).await;
        }
    }
    Err(unconfirmed(kind, name))
}

/// Returns the error for a write that another writer preceded.
fn conflict(kind: ObjectKind, name: &str, current: Option<&Object>) -> CliError {
    CliError::Conflict {
        name: format!("{kind}/{name}"),
        current: current
            .map_or_else(|| "deleted".to_owned(), |current| format!("at version {}", current.version)),
    }
}

/// Returns the error for a write whose effect is unknown or absent.
fn unconfirmed(kind: ObjectKind, name: &str) -> CliError {
    CliError::Unconfirmed { name: format!("{kind}/{name}") }
}

//! Writes whose lost answers are resolved by reading back, never by writing again.

use std::time::Duration;

use serde_json::Value;
use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform::PlatformError;

use crate::cli_error::CliError;
use crate::cli_error::Result;

const READ_BACK_ATTEMPTS: u32 = 5;
const READ_BACK_PAUSE: Duration = Duration::from_millis(200);

/// Writes an object on a condition; the value that stands afterwards decides.
pub async fn put_settled<P>(
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
        Err(PlatformError::NoAnswer { .. }) => {
            let current = read_back(platform, kind, name).await?;
            match current {
                Some(current) if current.value == *value => Ok(()),
                current if untouched(precondition, current.as_ref()) => Err(unsettled(kind, name)),
                current => Err(conflict(kind, name, current.as_ref())),
            }
        }
        Err(error) => Err(error.into()),
    }
}

/// Deletes an object at a version; that it is gone afterwards decides.
pub async fn delete_settled<P>(platform: &P, kind: ObjectKind, name: &str, version: u64) -> Result<()>
where
    P: Platform,
{
    match platform.delete(kind, name, version).await {
        Ok(()) => Ok(()),
        Err(PlatformError::Conflict { current }) => Err(conflict(kind, name, current.as_deref())),
        Err(PlatformError::NoAnswer { .. }) => match read_back(platform, kind, name).await? {
            None => Ok(()),
            Some(current) if current.version == version => Err(unsettled(kind, name)),
            Some(current) => Err(conflict(kind, name, Some(&current))),
        },
        Err(error) => Err(error.into()),
    }
}

fn untouched(precondition: Precondition, current: Option<&Object>) -> bool {
    match precondition {
        Precondition::Absent => current.is_none(),
        Precondition::Version(version) => current.is_some_and(|current| current.version == version),
    }
}

/// Reads an object after a write whose answer was lost.
async fn read_back<P>(platform: &P, kind: ObjectKind, name: &str) -> Result<Option<Object>>
where
    P: Platform,
{
    for attempt in 1..=READ_BACK_ATTEMPTS {
        if let Ok(current) = platform.get(kind, name).await {
            return Ok(current);
        }
        if attempt < READ_BACK_ATTEMPTS {
            tokio::time::sleep(READ_BACK_PAUSE).await;
        }
    }
    Err(unsettled(kind, name))
}

fn conflict(kind: ObjectKind, name: &str, current: Option<&Object>) -> CliError {
    CliError::Conflict {
        name: format!("{kind}/{name}"),
        current: current
            .map_or_else(|| "deleted".to_owned(), |current| format!("at version {}", current.version)),
    }
}

fn unsettled(kind: ObjectKind, name: &str) -> CliError {
    CliError::Unsettled { name: format!("{kind}/{name}") }
}

//! Entries of a store's listing or watch, parsed one by one so that an unreadable one costs only itself.

use std::borrow::Cow;

use http::Response;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::log_event_limited;
use crate::protocol::object::ObjectKind;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;

/// An entry that has not been parsed; it may hold any JSON value, nested to any depth.
pub type RawEntry = Box<RawValue>;

/// Parses the body of a response; bytes that are not UTF-8 spoil only the texts that hold them.
///
/// # Errors
///
/// Fails if the body is not JSON of the expected form.
pub fn parse_body<B, T>(response: &Response<B>) -> Result<T>
where
    B: AsRef<[u8]>,
    T: DeserializeOwned,
{
    let text: Cow<'_, str> = String::from_utf8_lossy(response.body().as_ref());
    serde_json::from_str(&text).map_err(|error| PlatformError::InvalidResponse { reason: error.to_string() })
}

/// Parses the entries and leaves out the unreadable ones, which another writer may have left in the store.
#[must_use]
pub fn readable_entries<T>(kind: ObjectKind, entries: &[RawEntry]) -> Vec<T>
where
    T: DeserializeOwned,
{
    entries.iter().filter_map(|entry| parse_entry(kind, entry)).collect()
}

fn parse_entry<T>(kind: ObjectKind, entry: &RawEntry) -> Option<T>
where
    T: DeserializeOwned,
{
    match serde_json::from_str(entry.get()) {
        Ok(parsed) => Some(parsed),
        Err(error) => {
            log_event_limited!(Warn, "unreadable entry of the store ignored", kind = kind, error = error);
            None
        }
    }
}

//! Client of the project's own object API over HTTP and JSON; only this module knows the wire format.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::IF_MATCH;
use http::header::IF_NONE_MATCH;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;
use crate::transport::platform::Changes;
use crate::transport::platform::Listing;
use crate::transport::platform::Platform;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;
use crate::transport::raw_entries::RawEntry;
use crate::transport::raw_entries::parse_body;
use crate::transport::raw_entries::readable_entries;
use crate::transport::store_client::StoreClient;

/// Time after which the platform answers a watch even without changes.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// [`Platform`] implementation for the project's own object API.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: StoreClient,
    timeout: Duration,
}

/// A [`Listing`] whose entries are not parsed yet.
#[derive(Debug, Deserialize)]
struct RawListing {
    version: u64,
    #[serde(default)]
    epoch: u64,
    objects: Vec<RawEntry>,
}

/// A [`Changes`] whose entries are not parsed yet.
#[derive(Debug, Deserialize)]
struct RawChanges {
    version: u64,
    #[serde(default)]
    epoch: u64,
    changes: Vec<RawEntry>,
    #[serde(default)]
    expired: bool,
}

impl HttpPlatform {
    /// Creates a client of the object API at `addr`.
    ///
    /// `timeout` limits each request; a watch gets its wait in addition.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { client: StoreClient::new(addr), timeout }
    }

    async fn send_get(&self, target: &str, timeout: Duration) -> Result<Response<Bytes>> {
        self.client.send(self.client.request(Method::GET, target), Bytes::new(), timeout).await
    }
}

impl Platform for HttpPlatform {
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>> {
        let response = self.send_get(&object_path(kind, name), self.timeout).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        parse_response(&response).map(Some)
    }

    async fn list(&self, kind: ObjectKind) -> Result<Listing> {
        let listing: RawListing = parse_response(&self.send_get(&kind_path(kind), self.timeout).await?)?;
        let objects = readable_entries(kind, &listing.objects);
        Ok(Listing { version: listing.version, epoch: listing.epoch, objects })
    }

    async fn watch(&self, kind: ObjectKind, after: u64) -> Result<Changes> {
        let wait_ms = WATCH_WAIT.as_millis();
        let target = format!("/v1/watch/{kind}?after={after}&wait_ms={wait_ms}");
        let raw: RawChanges = parse_response(&self.send_get(&target, self.timeout + WATCH_WAIT).await?)?;
        let changes = readable_entries(kind, &raw.changes);
        Ok(Changes { version: raw.version, epoch: raw.epoch, changes, expired: raw.expired })
    }

    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        value: &Value,
        precondition: Precondition,
    ) -> Result<Object> {
        let builder = self.client.request(Method::PUT, &object_path(kind, name));
        let builder = builder.header(CONTENT_TYPE, "application/json");
        let builder = match precondition {
            Precondition::Absent => builder.header(IF_NONE_MATCH, "*"),
            Precondition::Version(version) => builder.header(IF_MATCH, format!("\"{version}\"")),
        };
        parse_response(&self.client.send(builder, Bytes::from(value.to_string()), self.timeout).await?)
    }

    async fn delete(&self, kind: ObjectKind, name: &str, version: u64) -> Result<()> {
        let builder = self.client.request(Method::DELETE, &object_path(kind, name));
        let builder = builder.header(IF_MATCH, format!("\"{version}\""));
        let response = self.client.send(builder, Bytes::new(), self.timeout).await?;
        if response.status().is_success() { Ok(()) } else { Err(error_from_response(&response)) }
    }
}

fn kind_path(kind: ObjectKind) -> String {
    format!("/v1/objects/{kind}")
}

fn object_path(kind: ObjectKind, name: &str) -> String {
    format!("/v1/objects/{kind}/{name}")
}

fn parse_response<T>(response: &Response<Bytes>) -> Result<T>
where
    T: DeserializeOwned,
{
    if !response.status().is_success() {
        return Err(error_from_response(response));
    }
    parse_body(response)
}

fn error_from_response(response: &Response<Bytes>) -> PlatformError {
    let status = response.status();
    if status == StatusCode::PRECONDITION_FAILED {
        return PlatformError::Conflict { current: parse_body(response).ok() };
    }
    PlatformError::Rejected {
        status: status.as_u16(),
        message: String::from_utf8_lossy(response.body()).trim().to_owned(),
    }
}

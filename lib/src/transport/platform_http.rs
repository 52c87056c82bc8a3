//! The platform's object API over HTTP and JSON; all knowledge of its wire form.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http::header::IF_MATCH;
use http::header::IF_NONE_MATCH;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;
use crate::transport::platform::Changes;
use crate::transport::platform::Listing;
use crate::transport::platform::Platform;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;

const WATCH_WAIT: Duration = Duration::from_secs(20);

/// A client of the platform; each call uses a connection of its own.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpPlatform {
    /// A client of the object API at `addr`.
    #[must_use]
    pub const fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { addr, timeout }
    }

    async fn send(&self, request: Request<Full<Bytes>>, timeout: Duration) -> Result<Response<Bytes>> {
        let exchange = exchange(self.addr, request);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(reason)) => Err(PlatformError::NoAnswer { reason }),
            Err(_) => Err(PlatformError::NoAnswer { reason: format!("nothing within {timeout:?}") }),
        }
    }

    fn request(&self, method: Method, target: &str) -> http::request::Builder {
        Request::builder().method(method).uri(target).header(HOST, self.addr.to_string())
    }
}

impl Platform for HttpPlatform {
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>> {
        let request = finish(self.request(Method::GET, &object_path(kind, name)), Bytes::new())?;
        let response = self.send(request, self.timeout).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        read(&response).map(Some)
    }

    async fn list(&self, kind: ObjectKind) -> Result<Listing> {
        let request = finish(self.request(Method::GET, &kind_path(kind)), Bytes::new())?;
        read(&self.send(request, self.timeout).await?)
    }

    async fn watch(&self, kind: ObjectKind, after: u64) -> Result<Changes> {
        let wait_ms = WATCH_WAIT.as_millis();
        let target = format!("/v1/watch/{kind}?after={after}&wait_ms={wait_ms}");
        let request = finish(self.request(Method::GET, &target), Bytes::new())?;
        read(&self.send(request, self.timeout + WATCH_WAIT).await?)
    }

    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        value: &Value,
        precondition: Precondition,
    ) -> Result<Object> {
        let builder =
            self.request(Method::PUT, &object_path(kind, name)).header(CONTENT_TYPE, "application/json");
        let builder = match precondition {
            Precondition::Absent => builder.header(IF_NONE_MATCH, "*"),
            Precondition::Version(version) => builder.header(IF_MATCH, format!("\"{version}\"")),
        };
        let request = finish(builder, Bytes::from(value.to_string()))?;
        read(&self.send(request, self.timeout).await?)
    }

    async fn delete(&self, kind: ObjectKind, name: &str, version: u64) -> Result<()> {
        let builder = self.request(Method::DELETE, &object_path(kind, name));
        let request = finish(builder.header(IF_MATCH, format!("\"{version}\"")), Bytes::new())?;
        let response = self.send(request, self.timeout).await?;
        if response.status().is_success() { Ok(()) } else { Err(refusal(&response)) }
    }
}

fn kind_path(kind: ObjectKind) -> String {
    format!("/v1/objects/{kind}")
}

fn object_path(kind: ObjectKind, name: &str) -> String {
    format!("/v1/objects/{kind}/{name}")
}

fn finish(builder: http::request::Builder, body: Bytes) -> Result<Request<Full<Bytes>>> {
    builder.body(Full::new(body)).map_err(|error| PlatformError::Refused {
        status: 0,
        message: format!("not a valid request: {error}"),
    })
}

async fn exchange(addr: SocketAddr, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, String> {
    let stream = TcpStream::connect(addr).await.map_err(|error| error.to_string())?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    let driver = tokio::spawn(connection);
    let answer = async {
        let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
        let (head, body) = response.into_parts();
        let bytes = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
        Ok(Response::from_parts(head, bytes))
    };
    let answer = answer.await;
    driver.abort();
    answer
}

fn read<T>(response: &Response<Bytes>) -> Result<T>
where
    T: DeserializeOwned,
{
    if !response.status().is_success() {
        return Err(refusal(response));
    }
    serde_json::from_slice(response.body())
        .map_err(|error| PlatformError::BadAnswer { reason: error.to_string() })
}

fn refusal(response: &Response<Bytes>) -> PlatformError {
    let status = response.status();
    if status == StatusCode::PRECONDITION_FAILED {
        return PlatformError::Conflict { current: serde_json::from_slice(response.body()).ok() };
    }
    PlatformError::Refused {
        status: status.as_u16(),
        message: String::from_utf8_lossy(response.body()).trim().to_owned(),
    }
}

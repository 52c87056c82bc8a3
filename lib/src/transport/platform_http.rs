//! The platform's object API over HTTP and JSON; all knowledge of its wire form.

use std::net::SocketAddr;
use std::sync::Arc;
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
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::log_event;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;
use crate::transport::platform::Changes;
use crate::transport::platform::Listing;
use crate::transport::platform::Platform;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;

const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Kept connections, and how long one may have been idle to be used again.
const MAX_IDLE_CONNECTIONS: usize = 4;
const MAX_IDLE: Duration = Duration::from_secs(5);

/// A client of the platform.
///
/// Reads use a kept connection when there is one, and are sent again over a new one
/// when it turns out to be dead. A write always has a connection of its own, so that it
/// is never lost to an old one, and is never sent again.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    addr: SocketAddr,
    timeout: Duration,
    idle: Arc<Mutex<Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

impl HttpPlatform {
    /// A client of the object API at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { addr, timeout, idle: Arc::default() }
    }

    async fn send(&self, request: Request<Full<Bytes>>, timeout: Duration) -> Result<Response<Bytes>> {
        let exchange = self.exchange(request);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(reason)) => Err(PlatformError::NoAnswer { reason }),
            Err(_) => Err(PlatformError::NoAnswer { reason: format!("nothing within {timeout:?}") }),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, String> {
        if request.method() == Method::GET {
            while let Some(sender) = self.pop_idle() {
                if let Ok(response) = self.over(sender, request.clone()).await {
                    return Ok(response);
                }
            }
        }
        self.over(connect(self.addr).await?, request).await
    }

    /// Sends a request over a connection, which is kept when the whole answer came.
    async fn over(
        &self,
        mut sender: SendRequest<Full<Bytes>>,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, String> {
        let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
        let (head, body) = response.into_parts();
        let bytes = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection { sender, since: Instant::now() });
        }
        drop(idle);
        Ok(Response::from_parts(head, bytes))
    }

    fn pop_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock();
        idle.retain(|connection| connection.since.elapsed() < MAX_IDLE && !connection.sender.is_closed());
        idle.pop().map(|connection| connection.sender)
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

async fn connect(addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(addr).await.map_err(|error| error.to_string())?;
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log_event!(Debug, "platform connection ended", platform = addr, error = error);
        }
    });
    Ok(sender)
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

//! HTTP/1.1 client of the platform's store, with one request at a time on each connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::log_event;
use crate::protocol::final_status::is_final_status;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;
use crate::transport::silence_watch::enable_keepalive;

/// Maximum number of idle connections kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Largest body of a response, in bytes: several times the largest page of a list.
const MAX_RESPONSE_BYTES: usize = 8 * 1_048_576;
/// Largest header section of a response, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;
/// Idle time after which a connection is not reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// Client of the platform's store.
///
/// A read tries the idle connections first and, whenever a connection fails, the next one, and at last
/// a new one. A write always opens a new connection, so that it can't be
/// lost on a stale one, and is never sent again.
#[derive(Clone, Debug)]
pub struct StoreClient {
    addr: SocketAddr,
    idle: Arc<Mutex<Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
}

impl StoreClient {
    /// Creates a client of the store at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: Arc::default() }
    }

    /// Returns a builder for a request to the store, to which [`Self::send`] adds the body.
    #[must_use]
    pub fn request(&self, method: Method, target: &str) -> http::request::Builder {
        Request::builder().method(method).uri(target).header(HOST, self.addr.to_string())
    }

    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is malformed, the connection fails or no response arrives in time.
    pub async fn send(
        &self,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>> {
        // Status 0 means that the request is malformed and was not sent.
        let request = request.body(Full::new(body)).map_err(|error| PlatformError::Rejected {
            status: 0,
            message: format!("invalid request: {error}"),
        })?;
        match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(reason)) => Err(PlatformError::NoResponse { reason }),
            Err(_) => {
                // The same fault may affect the idle connections, so none of them is reused.
                self.idle.lock().clear();
                Err(PlatformError::NoResponse { reason: format!("no response within {timeout:?}") })
            }
        }
    }

    /// Sends a read over an idle connection if one works, and any other request over a new connection.
    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, String> {
        if request.method() == Method::GET {
            while let Some(sender) = self.pop_idle() {
                if let Ok(response) = self.send_over(sender, request.clone()).await {
                    return Ok(response);
                }
            }
        }
        self.send_over(connect(self.addr).await?, request).await
    }

    /// Sends a request over a connection, and keeps the connection if the response arrives completely.
    async fn send_over(
        &self,
        mut sender: SendRequest<Full<Bytes>>,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, String> {
        let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
        let (head, body) = response.into_parts();
        if !is_final_status(head.status) {
            return Err(format!("status {}, which is not final", head.status.as_u16()));
        }
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let bytes = body.map_err(|error| error.to_string())?.to_bytes();
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection { sender, idle_since: Instant::now() });
        }
        drop(idle);
        Ok(Response::from_parts(head, bytes))
    }

    /// Removes and returns the most recently used connection that is open and not idle for too long.
    ///
    /// Connections that are closed or idle for too long are discarded.
    fn pop_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock();
        idle.retain(|connection| {
            connection.idle_since.elapsed() < MAX_IDLE_TIME && !connection.sender.is_closed()
        });
        idle.pop().map(|connection| connection.sender)
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(addr).await.map_err(|error| error.to_string())?;
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    enable_keepalive(&stream).map_err(|error| error.to_string())?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log_event!(Debug, "platform connection failed", platform = addr, error = error);
        }
    });
    Ok(sender)
}

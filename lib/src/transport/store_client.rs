//! One exchange after another with the platform's store over HTTP/1.1.

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
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::log_event;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;
use crate::transport::silence_watch::probe_when_idle;

/// Kept connections, and how long one may have been idle to be used again.
const MAX_IDLE_CONNECTIONS: usize = 4;
const MAX_IDLE: Duration = Duration::from_secs(5);

/// A client of the platform's store.
///
/// Reads use a kept connection when there is one, and are sent again over a new one
/// when it turns out to be dead. A write always has a connection of its own, so that it
/// is never lost to an old one, and is never sent again.
#[derive(Clone, Debug)]
pub struct StoreClient {
    addr: SocketAddr,
    idle: Arc<Mutex<Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

impl StoreClient {
    /// A client of the store at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: Arc::default() }
    }

    /// A request to the store, to be completed with a body.
    #[must_use]
    pub fn request(&self, method: Method, target: &str) -> http::request::Builder {
        Request::builder().method(method).uri(target).header(HOST, self.addr.to_string())
    }

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// When the request is malformed, or no answer came in time.
    pub async fn send(
        &self,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>> {
        let request = request.body(Full::new(body)).map_err(|error| PlatformError::Refused {
            status: 0,
            message: format!("not a valid request: {error}"),
        })?;
        match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(reason)) => Err(PlatformError::NoAnswer { reason }),
            Err(_) => {
                // Whatever silenced one connection may have silenced those that are as old.
                self.idle.lock().clear();
                Err(PlatformError::NoAnswer { reason: format!("nothing within {timeout:?}") })
            }
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
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(addr).await.map_err(|error| error.to_string())?;
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    probe_when_idle(&stream).map_err(|error| error.to_string())?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log_event!(Debug, "platform connection ended", platform = addr, error = error);
        }
    });
    Ok(sender)
}

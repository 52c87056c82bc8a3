//! HTTP handler for the check-ins of an upstream that uses an external dialect.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;

use crate::log_event_limited;
use crate::protocol::check_in::CheckIn;
use crate::transport::announce_server::UpstreamRegistration;
use crate::transport::external_dialect::ExternalDialect;
use crate::transport::http_server::Handler;

/// Largest accepted body of a check-in.
const MAX_CHECK_IN_BYTES: usize = 16_384;

/// Handler of check-ins in the external dialect `I`.
#[derive(Debug)]
pub struct CheckInHandler<I> {
    registration: Arc<UpstreamRegistration>,
    dialect: PhantomData<fn() -> I>,
}

impl<I> CheckInHandler<I>
where
    I: ExternalDialect,
{
    /// Creates a handler that updates the given registration.
    #[must_use]
    pub const fn new(registration: Arc<UpstreamRegistration>) -> Self {
        Self { registration, dialect: PhantomData }
    }

    /// Reads a check-in and applies it to the registration.
    ///
    /// # Errors
    ///
    /// Returns the reason why the check-in is rejected.
    async fn receive(&self, request: Request<Incoming>) -> Result<(), String> {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_CHECK_IN_BYTES).collect().await;
        let body = body.map_err(|error| format!("unreadable body: {error}"))?.to_bytes();
        let check_in = I::parse_check_in(&head, &body)?;
        if let CheckIn::Heartbeat(heartbeat) = &check_in {
            heartbeat.validate(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())?;
        }
        let outcome = self.registration.check_in(check_in);
        log::debug!("check-in; taken={outcome:?}");
        Ok(())
    }
}

impl<I> Clone for CheckInHandler<I> {
    fn clone(&self) -> Self {
        Self { registration: Arc::clone(&self.registration), dialect: PhantomData }
    }
}

impl<I> Handler for CheckInHandler<I>
where
    I: ExternalDialect,
{
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<Full<Bytes>> {
        match self.receive(request).await {
            Ok(()) => I::acknowledgement().map(Full::new),
            Err(reason) => {
                log_event_limited!(Warn, "check-in rejected", remote = remote, reason = &reason);
                let mut response = Response::new(Full::new(Bytes::from(reason)));
                *response.status_mut() = StatusCode::BAD_REQUEST;
                response
            }
        }
    }
}

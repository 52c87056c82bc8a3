//! Where an upstream of another dialect checks in with the node beside it.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;

use crate::log_event_limited;
use crate::transport::announce_server::AnnounceDesk;
use crate::transport::http_server::Handler;
use crate::transport::interface::Interface;

const MAX_CHECK_IN_BYTES: usize = 16_384;

/// Answers the upstream beside the node.
#[derive(Debug)]
pub struct CheckInHandler<I> {
    desk: Arc<AnnounceDesk>,
    interface: PhantomData<fn() -> I>,
}

impl<I> CheckInHandler<I>
where
    I: Interface,
{
    /// A handler over the desk.
    #[must_use]
    pub const fn new(desk: Arc<AnnounceDesk>) -> Self {
        Self { desk, interface: PhantomData }
    }

    async fn take(&self, request: Request<Incoming>) -> Result<(), String> {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_CHECK_IN_BYTES).collect().await;
        let body = body.map_err(|error| format!("unreadable body: {error}"))?.to_bytes();
        let check_in = I::check_in(&head, &body)?;
        let taken = self.desk.check_in(check_in);
        log::debug!("check-in; taken={taken:?}");
        Ok(())
    }
}

impl<I> Clone for CheckInHandler<I> {
    fn clone(&self) -> Self {
        Self { desk: Arc::clone(&self.desk), interface: PhantomData }
    }
}

impl<I> Handler for CheckInHandler<I>
where
    I: Interface,
{
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<Full<Bytes>> {
        match self.take(request).await {
            Ok(()) => I::acknowledgement().map(Full::new),
            Err(reason) => {
                log_event_limited!(Warn, "check-in refused", remote = remote, reason = &reason);
                let mut response = Response::new(Full::new(Bytes::from(reason)));
                *response.status_mut() = StatusCode::BAD_REQUEST;
                response
            }
        }
    }
}

//! Transports that send a body to another node, which sends it back.

use std::future::Ready;
use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::Method;
use http::Request;
use http::Response;
use http::uri::PathAndQuery;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tonic::Status;
use tonic::Streaming;
use tonic::server::StreamingService;
use tonic_prost::ProstCodec;
use yuccatray::transport::call_body::CallBody;
use yuccatray::transport::http_server::Handler;
use yuccatray::transport::peer_channel::CallChannels;
use yuccatray::transport::peer_channel::ControlChannels;
use yuccatray::transport::peer_channel::ControlClient;
use yuccatray::transport::peer_channel::PeerChannel;

use crate::caller::CallPlan;
use crate::caller::Caller;
use crate::load_run::Exchange;

/// Path of the gRPC method.
const CARRY_PATH: &str = "/yuccatray.load.Bodies/Carry";
/// Size of a message of a gRPC stream, in bytes.
const CHUNK_BYTES: usize = 16_384;

/// One message of a gRPC stream: a part of a body.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Chunk {
    /// Bytes of this part.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
}

/// HTTP handler that streams the request body back.
#[derive(Clone, Copy, Debug)]
pub struct PlainEcho;

impl Handler for PlainEcho {
    type Body = CallBody;

    async fn handle(&self, request: Request<Incoming>, _remote: SocketAddr) -> Response<CallBody> {
        Response::new(CallBody::unlimited(request.into_body()))
    }
}

/// gRPC handler that streams the messages of the request back.
#[derive(Clone, Copy, Debug)]
pub struct TonicEcho;

impl StreamingService<Chunk> for TonicEcho {
    type Response = Chunk;
    type ResponseStream = Streaming<Chunk>;
    type Future = Ready<Result<tonic::Response<Streaming<Chunk>>, Status>>;

    fn call(&mut self, request: tonic::Request<Streaming<Chunk>>) -> Self::Future {
        ready(Ok(tonic::Response::new(request.into_inner())))
    }
}

impl Handler for TonicEcho {
    type Body = tonic::body::Body;

    async fn handle(&self, request: Request<Incoming>, _remote: SocketAddr) -> Response<tonic::body::Body> {
        let codec = ProstCodec::<Chunk, Chunk>::default();
        tonic::server::Grpc::new(codec).streaming(*self, request).await
    }
}

/// Plain HTTP/2, as between nodes for calls.
#[derive(Debug)]
pub struct PlainHttp2 {
    channel: Arc<PeerChannel<CallBody>>,
    body: Bytes,
}

impl PlainHttp2 {
    /// Creates a transport that sends `body` to a [`PlainEcho`].
    #[must_use]
    pub fn new(addr: SocketAddr, body: Bytes) -> Self {
        Self { channel: CallChannels::default().get(addr), body }
    }
}

impl Exchange for PlainHttp2 {
    async fn exchange(&self) -> bool {
        let mut request = Request::new(CallBody::from(self.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = self.channel.absolute(request.uri());
        let Ok(response) = self.channel.send(request).await else {
            return false;
        };
        let echoed = response.into_body().collect().await;
        echoed.is_ok_and(|echoed| echoed.to_bytes().len() == self.body.len())
    }
}

/// Plain HTTP/1.1, with one connection for each exchange in flight.
#[derive(Debug)]
pub struct PlainHttp1 {
    caller: Caller,
    plan: CallPlan,
}

impl PlainHttp1 {
    /// Creates a transport that sends `body` to a [`PlainEcho`].
    #[must_use]
    pub fn new(addr: SocketAddr, body: Bytes) -> Self {
        let plan = CallPlan {
            method: Method::POST,
            target: "/".to_owned(),
            service: "bodies".to_owned(),
            priority: "any".to_owned(),
            body,
        };
        Self { caller: Caller::new(addr), plan }
    }
}

impl Exchange for PlainHttp1 {
    async fn exchange(&self) -> bool {
        let outcome = self.caller.call(&self.plan).await;
        outcome.is_ok_and(|outcome| outcome.body.len() == self.plan.body.len())
    }
}

/// A gRPC stream of messages in each direction.
#[derive(Debug)]
pub struct TonicStream {
    channel: Arc<PeerChannel<tonic::body::Body>>,
    body: Bytes,
}

impl TonicStream {
    /// Creates a transport that sends `body` to a [`TonicEcho`].
    #[must_use]
    pub fn new(addr: SocketAddr, body: Bytes) -> Self {
        Self { channel: ControlChannels::default().get(addr), body }
    }

    /// Returns the number of bytes that came back.
    async fn exchange_chunks(&self) -> Result<usize, Status> {
        let mut grpc = tonic::client::Grpc::new(ControlClient::new(Arc::clone(&self.channel)));
        grpc.ready().await.map_err(|error| Status::unavailable(error.to_string()))?;
        let request = tonic::Request::new(stream::iter(chunks(&self.body)));
        let path = PathAndQuery::from_static(CARRY_PATH);
        let codec = ProstCodec::<Chunk, Chunk>::default();
        let mut messages = grpc.streaming(request, path, codec).await?.into_inner();
        let mut size = 0;
        while let Some(chunk) = messages.message().await? {
            size += chunk.data.len();
        }
        Ok(size)
    }
}

impl Exchange for TonicStream {
    async fn exchange(&self) -> bool {
        self.exchange_chunks().await.is_ok_and(|size| size == self.body.len())
    }
}

/// Splits a body into messages of [`CHUNK_BYTES`].
fn chunks(body: &Bytes) -> Vec<Chunk> {
    let starts = (0..body.len()).step_by(CHUNK_BYTES);
    let chunk = |start: usize| Chunk { data: body.slice(start..body.len().min(start + CHUNK_BYTES)) };
    starts.map(chunk).collect()
}

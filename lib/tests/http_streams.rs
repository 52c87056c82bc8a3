//! Streaming of bodies through two nodes: order, bounded buffers, and detection of truncated answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::Request;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use yuccatray::transport::call_body::BoxError;
use yuccatray::transport::call_body::CallBody;
use yuccatray::transport::http_server::Handler;
use yuccatray::transport::http_server::ServerLimits;
use yuccatray::transport::http_server::serve;
use yuccatray_testutils::raw_http::RawUpstream;
use yuccatray_testutils::two_nodes::SERVICE;
use yuccatray_testutils::two_nodes::TwoNodes;

const CHUNK_BYTES: usize = 65_536;
const CHUNKS: u64 = 2_048;
const TOTAL_BYTES: u64 = CHUNKS * CHUNK_BYTES as u64;

/// Upper bound on the bytes in the buffers of two nodes and three socket pairs and in flow control.
const MAX_IN_TRANSIT_BYTES: u64 = 40 * 1_048_576;
/// Time without change after which a counter is considered stable.
const STABLE_INTERVAL: Duration = Duration::from_millis(200);

type TestBody = BoxBody<Bytes, BoxError>;

/// Handler that echoes bodies once `ready` is true and returns the request's host in the field `x-host`.
#[derive(Clone, Debug)]
struct Echo {
    ready: watch::Receiver<bool>,
}

impl Handler for Echo {
    type Body = CallBody;

    async fn handle(&self, request: Request<Incoming>, _remote: SocketAddr) -> Response<CallBody> {
        let mut ready = self.ready.clone();
        ready.wait_for(|ready| *ready).await.expect("the test keeps the sender");
        let host = request.headers().get("host").cloned();
        let mut response = Response::new(CallBody::unlimited(request.into_body()));
        if let Some(host) = host {
            response.headers_mut().insert("x-host", host);
        }
        response
    }
}

async fn start_nodes(ready: watch::Receiver<bool>) -> TwoNodes {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback has a free port");
    let addr = listener.local_addr().expect("a listener has an address");
    tokio::spawn(serve(listener, ServerLimits::default(), Echo { ready }, CancellationToken::new()));
    TwoNodes::start(addr, TOTAL_BYTES).await
}

/// Returns a body of `CHUNKS` chunks that adds the size of each chunk read to the counter.
fn counted_body(bytes_read: &Arc<AtomicU64>) -> TestBody {
    let bytes_read = Arc::clone(bytes_read);
    let chunk = Bytes::from(vec![7; CHUNK_BYTES]);
    let chunks = stream::iter(0..CHUNKS).map(move |_| {
        bytes_read.fetch_add(CHUNK_BYTES as u64, Ordering::Relaxed);
        Ok::<_, BoxError>(Frame::data(chunk.clone()))
    });
    BodyExt::boxed(StreamBody::new(chunks))
}

/// Waits until the counter is above zero and no longer changes; returns its value.
async fn wait_until_stable(counter: &AtomicU64) -> u64 {
    let mut previous = u64::MAX;
    loop {
        let current = counter.load(Ordering::Relaxed);
        if current == previous && current > 0 {
            return current;
        }
        previous = current;
        tokio::time::sleep(STABLE_INTERVAL).await;
    }
}

fn request(body: TestBody) -> Request<TestBody> {
    Request::post("/a")
        .header("host", "vm")
        .header("yuccatray-service", SERVICE)
        .header("yuccatray-timeout-ms", "600000")
        .body(body)
        .expect("the request is valid")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streaming_buffers_bounded_in_both_directions() {
    let (ready_sender, ready) = watch::channel(false);
    let nodes = start_nodes(ready).await;
    let bytes_read = Arc::new(AtomicU64::new(0));
    let stream = TcpStream::connect(nodes.ingress()).await.expect("the node listens");
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.expect("the handshake succeeds");
    tokio::spawn(connection);
    let body = counted_body(&bytes_read);
    let sending = tokio::spawn(async move { sender.send_request(request(body)).await });
    let bytes_in_transit = wait_until_stable(&bytes_read).await;
    assert!(
        bytes_in_transit <= MAX_IN_TRANSIT_BYTES,
        "an upstream that does not read must block the caller, but {bytes_in_transit} bytes were read"
    );

    ready_sender.send(true).expect("the upstream keeps the receiver");
    let response = sending.await.expect("the sender does not panic").expect("the node answers");
    let bytes_in_transit = wait_until_stable(&bytes_read).await;
    assert!(
        bytes_in_transit <= 2 * MAX_IN_TRANSIT_BYTES,
        "a caller that does not read must block the upstream, but {bytes_in_transit} bytes were read"
    );

    let mut body = response.into_body();
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let data = frame.expect("the answer is whole").into_data().expect("no trailers were sent");
        assert!(data.iter().all(|byte| *byte == 7));
        received += data.len() as u64;
    }
    assert_eq!(received, TOTAL_BYTES);
}

async fn http2_sender(addr: SocketAddr) -> http2::SendRequest<TestBody> {
    let stream = TcpStream::connect(addr).await.expect("the node listens");
    let (sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.expect("the handshake succeeds");
    tokio::spawn(connection);
    sender
}

fn http2_request(body: &'static str) -> Request<TestBody> {
    let body = http_body_util::Full::new(Bytes::from_static(body.as_bytes()));
    let mut request = request(body.map_err(|never| match never {}).boxed());
    request.headers_mut().remove("host");
    *request.uri_mut() = "http://quilts.example/a".parse().expect("the target is valid");
    request
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_caller_receives_whole_answer() {
    let (_ready_sender, ready) = watch::channel(true);
    let nodes = start_nodes(ready).await;
    let mut sender = http2_sender(nodes.ingress()).await;
    let response = sender.send_request(http2_request("one quilt")).await.expect("the node answers");
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["x-host"], "quilts.example");
    let body = response.into_body().collect().await.expect("the answer is whole").to_bytes();
    assert_eq!(body, "one quilt");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_caller_trailers_after_declared_length_forwarded() {
    let upstream = RawUpstream::start("HTTP/1.1 204 No Content\r\n\r\n").await;
    let nodes = TwoNodes::start(upstream.addr, TOTAL_BYTES).await;
    let mut trailers = http::HeaderMap::new();
    trailers.insert("x-check", "4".parse().expect("the header field is valid"));
    let frames = [Frame::data(Bytes::from_static(b"tree")), Frame::trailers(trailers)];
    let body = StreamBody::new(stream::iter(frames.map(Ok::<_, BoxError>)));
    let mut request = http2_request("").map(|_| BodyExt::boxed(body));
    request.headers_mut().insert("content-length", "4".parse().expect("the header field is valid"));
    request.headers_mut().insert("trailer", "x-check".parse().expect("the header field is valid"));
    let mut sender = http2_sender(nodes.ingress()).await;
    let response = sender.send_request(request).await.expect("the node answers");
    assert_eq!(response.status(), 204);
    let received = &upstream.requests()[0];
    assert!(received.ends_with("4\r\ntree\r\n0\r\nx-check: 4\r\n\r\n"), "{received}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_caller_headers_too_large_rejected() {
    let (_ready_sender, ready) = watch::channel(true);
    let nodes = start_nodes(ready).await;
    let request_with_header = |bytes: usize| {
        let mut request = http2_request("one quilt");
        request.headers_mut().insert("x-big", "x".repeat(bytes).parse().expect("the header field is valid"));
        request
    };
    let mut sender = http2_sender(nodes.ingress()).await;
    let response = sender.send_request(request_with_header(70_000)).await.expect("the node answers");
    assert_eq!(response.headers()["yuccatray-error"], "headers_too_large");
    let mut sender = http2_sender(nodes.ingress()).await;
    let response = sender.send_request(request_with_header(200_000)).await.expect("the node answers");
    assert_eq!(response.status(), 431, "the HTTP library answers");
    assert!(!response.headers().contains_key("yuccatray-error"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_caller_truncated_answer_not_complete() {
    let upstream = RawUpstream::start("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nquilt").await;
    let nodes = TwoNodes::start(upstream.addr, TOTAL_BYTES).await;
    let mut sender = http2_sender(nodes.ingress()).await;
    let incomplete = match sender.send_request(http2_request("one quilt")).await {
        Ok(response) => {
            let is_error_answer = response.headers().contains_key("yuccatray-error");
            is_error_answer || response.into_body().collect().await.is_err()
        }
        Err(_) => true,
    };
    assert!(incomplete, "a truncated answer must not be received as complete");
    assert_eq!(upstream.requests().len(), 1, "a non-idempotent call is executed at most once");
}

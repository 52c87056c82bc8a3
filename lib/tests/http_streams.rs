//! Bodies that stream through two nodes: in order, bounded in memory, and never whole when cut.

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

/// Buffers of two nodes, of three pairs of sockets and of the windows between them.
const IN_TRANSIT_MAX_BYTES: u64 = 40 * 1_048_576;
const SETTLED: Duration = Duration::from_millis(200);

type TestBody = BoxBody<Bytes, BoxError>;

/// Echoes bodies once the gate in it is open, and says which host it was asked for.
#[derive(Clone, Debug)]
struct Echo {
    open: watch::Receiver<bool>,
}

impl Handler for Echo {
    type Body = CallBody;

    async fn handle(&self, request: Request<Incoming>, _remote: SocketAddr) -> Response<CallBody> {
        let mut open = self.open.clone();
        open.wait_for(|open| *open).await.expect("the test holds the other end");
        let host = request.headers().get("host").cloned();
        let mut response = Response::new(CallBody::unlimited(request.into_body()));
        if let Some(host) = host {
            response.headers_mut().insert("x-host", host);
        }
        response
    }
}

async fn fleet(open: watch::Receiver<bool>) -> TwoNodes {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback has a free port");
    let addr = listener.local_addr().expect("a listener has an address");
    tokio::spawn(serve(listener, ServerLimits::default(), Echo { open }, CancellationToken::new()));
    TwoNodes::start(addr, TOTAL_BYTES).await
}

/// A body of many chunks that counts those taken from it.
fn counted_body(taken: &Arc<AtomicU64>) -> TestBody {
    let taken = Arc::clone(taken);
    let chunk = Bytes::from(vec![7; CHUNK_BYTES]);
    let chunks = stream::iter(0..CHUNKS).map(move |_| {
        taken.fetch_add(CHUNK_BYTES as u64, Ordering::Relaxed);
        Ok::<_, BoxError>(Frame::data(chunk.clone()))
    });
    BodyExt::boxed(StreamBody::new(chunks))
}

async fn settle(figure: &AtomicU64) -> u64 {
    let mut last = u64::MAX;
    loop {
        let now = figure.load(Ordering::Relaxed);
        if now == last && now > 0 {
            return now;
        }
        last = now;
        tokio::time::sleep(SETTLED).await;
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
async fn streaming_bounded_in_both_directions() {
    let (opener, open) = watch::channel(false);
    let nodes = fleet(open).await;
    let taken = Arc::new(AtomicU64::new(0));
    let stream = TcpStream::connect(nodes.ingress()).await.expect("the node listens");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("a handshake");
    tokio::spawn(connection);
    let body = counted_body(&taken);
    let answering = tokio::spawn(async move { sender.send_request(request(body)).await });
    let held = settle(&taken).await;
    assert!(held <= IN_TRANSIT_MAX_BYTES, "an upstream that does not read holds the caller back: {held}");

    opener.send(true).expect("the upstream waits");
    let response = answering.await.expect("no panic").expect("an answer comes");
    let held = settle(&taken).await;
    assert!(held <= 2 * IN_TRANSIT_MAX_BYTES, "a caller that does not read: {held}");

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
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.expect("a handshake");
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
async fn http2_caller_whole_answer() {
    let (_opener, open) = watch::channel(true);
    let nodes = fleet(open).await;
    let mut sender = http2_sender(nodes.ingress()).await;
    let response = sender.send_request(http2_request("one quilt")).await.expect("an answer comes");
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["x-host"], "quilts.example");
    let body = response.into_body().collect().await.expect("the answer is whole").to_bytes();
    assert_eq!(body, "one quilt");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_caller_trailers_after_declared_length() {
    let upstream = RawUpstream::start("HTTP/1.1 204 No Content\r\n\r\n").await;
    let nodes = TwoNodes::start(upstream.addr, TOTAL_BYTES).await;
    let mut trailers = http::HeaderMap::new();
    trailers.insert("x-check", "4".parse().expect("a valid field"));
    let frames = [Frame::data(Bytes::from_static(b"tree")), Frame::trailers(trailers)];
    let body = StreamBody::new(stream::iter(frames.map(Ok::<_, BoxError>)));
    let mut request = http2_request("").map(|_| BodyExt::boxed(body));
    request.headers_mut().insert("content-length", "4".parse().expect("a valid field"));
    request.headers_mut().insert("trailer", "x-check".parse().expect("a valid field"));
    let mut sender = http2_sender(nodes.ingress()).await;
    let response = sender.send_request(request).await.expect("an answer comes");
    assert_eq!(response.status(), 204);
    let seen = &upstream.requests()[0];
    assert!(seen.ends_with("4\r\ntree\r\n0\r\nx-check: 4\r\n\r\n"), "{seen}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_caller_headers_too_large() {
    let (_opener, open) = watch::channel(true);
    let nodes = fleet(open).await;
    let sized = |bytes: usize| {
        let mut request = http2_request("one quilt");
        request.headers_mut().insert("x-big", "x".repeat(bytes).parse().expect("a valid field"));
        request
    };
    let mut sender = http2_sender(nodes.ingress()).await;
    let response = sender.send_request(sized(70_000)).await.expect("an answer comes");
    assert_eq!(response.headers()["yuccatray-error"], "headers_too_large");
    let mut sender = http2_sender(nodes.ingress()).await;
    let response = sender.send_request(sized(200_000)).await.expect("an answer comes");
    assert_eq!(response.status(), 431, "the library's own answer");
    assert!(!response.headers().contains_key("yuccatray-error"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_caller_truncated_answer() {
    let upstream = RawUpstream::start("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nquilt").await;
    let nodes = TwoNodes::start(upstream.addr, TOTAL_BYTES).await;
    let mut sender = http2_sender(nodes.ingress()).await;
    let cut = match sender.send_request(http2_request("one quilt")).await {
        Ok(response) => {
            let refused = response.headers().contains_key("yuccatray-error");
            refused || response.into_body().collect().await.is_err()
        }
        Err(_) => true,
    };
    assert!(cut, "a cut answer is no whole one");
    assert_eq!(upstream.requests().len(), 1, "a call that is not idempotent runs once");
}

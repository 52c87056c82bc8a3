//! Bytes of an upstream that are no answer and never end: bounded memory, bounded time, no lost slot.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use yuccatray::transport::platform::PlatformError;
use yuccatray::transport::store_client::StoreClient;
use yuccatray_testutils::raw_http::EndlessUpstream;
use yuccatray_testutils::two_nodes::SERVICE;
use yuccatray_testutils::two_nodes::TwoNodes;

/// Number of calls, more than the upstream has slots.
const CALLS: usize = 6;
/// Timeout of a call.
const CALL_TIMEOUT_MS: u64 = 500;
/// Time for which the caller reads nothing of a body, so that nodes have to bound what they buffer.
const PAUSE_BEFORE_BODY: Duration = Duration::from_millis(CALL_TIMEOUT_MS + 300);
/// Time in which a call and the connection that it used have to end; ends a hang.
const END_WITHIN: Duration = Duration::from_secs(20);
/// Bytes that one call may take from the upstream, the buffers of the sockets included.
const MAX_BYTES_PER_CALL: usize = 24 * 1024 * 1024;
const POLL: Duration = Duration::from_millis(20);

/// Sends a call and returns whether it got a complete answer with status 200.
async fn is_answered(nodes: &TwoNodes, index: usize) -> bool {
    let stream = TcpStream::connect(nodes.ingress()).await.expect("the ingress listens");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("the handshake works");
    tokio::spawn(connection);
    let request = Request::get(format!("/{index}"))
        .header("host", "test")
        .header("yuccatray-service", SERVICE)
        .header("yuccatray-timeout-ms", CALL_TIMEOUT_MS)
        .header("yuccatray-idempotent", "true")
        .body(Full::<Bytes>::default())
        .expect("the request is valid");
    let Ok(response) = sender.send_request(request).await else {
        return false;
    };
    let is_ok = response.status().is_success();
    let mut body = response.into_body();
    tokio::time::sleep(PAUSE_BEFORE_BODY).await;
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    is_ok
}

/// Makes one call after another to an upstream that never ends its answer, and checks what they cost.
async fn check_endless_answer(start: &str, repeated: &str) {
    let upstream = EndlessUpstream::start(start, repeated).await;
    let nodes = TwoNodes::start(upstream.addr, 1_048_576).await;
    for index in 0..CALLS {
        let answered = tokio::time::timeout(END_WITHIN, is_answered(&nodes, index)).await;
        assert!(!answered.expect("the call ends"), "an endless answer is not complete");
    }
    let started = Instant::now();
    while upstream.open_connections() > 0 {
        assert!(started.elapsed() < END_WITHIN, "{} connections are open", upstream.open_connections());
        tokio::time::sleep(POLL).await;
    }
    let sent_bytes = upstream.sent_bytes();
    assert!(sent_bytes <= CALLS * MAX_BYTES_PER_CALL, "the upstream could send {sent_bytes} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_that_are_no_http_end_the_connection() {
    check_endless_answer("", &"no answer ".repeat(1_000)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_head_ends_the_connection() {
    check_endless_answer("HTTP/1.1 200 OK\r\n", &"x-more: of this\r\n".repeat(100)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_header_value_ends_the_connection() {
    check_endless_answer("HTTP/1.1 200 OK\r\nx-long: ", &"a".repeat(10_000)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_interim_responses_end_the_connection() {
    check_endless_answer("", &"HTTP/1.1 102 Processing\r\n\r\n".repeat(100)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_body_without_length_ends_at_deadline() {
    check_endless_answer("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", &"a".repeat(1_000)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_chunked_body_ends_at_deadline() {
    let chunk = format!("2710\r\n{}\r\n", "a".repeat(10_000));
    check_endless_answer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", &chunk).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_answer_of_store_ends_before_timeout() {
    let start = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
    for (start, repeated) in
        [(start, "a".repeat(10_000)), ("HTTP/1.1 200 OK\r\nx-long: ", "a".repeat(10_000))]
    {
        let store = EndlessUpstream::start(start, &repeated).await;
        let client = StoreClient::new(store.addr);
        let request = client.request(Method::GET, "/objects/x");
        let response =
            tokio::time::timeout(END_WITHIN, client.send(request, Bytes::new(), END_WITHIN * 2)).await;
        let response = response.expect("the size ends the response, not its timeout");
        let error = response.expect_err("an endless answer is no response");
        assert!(matches!(error, PlatformError::NoResponse { .. }), "{error}");
        let sent_bytes = store.sent_bytes();
        assert!(sent_bytes <= MAX_BYTES_PER_CALL, "the store could send {sent_bytes} bytes");
    }
}

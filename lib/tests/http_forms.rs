//! HTTP/1.1 features that callers and upstreams may use, tested over real sockets through two nodes.

use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use yuccatray_testutils::raw_http::RawUpstream;
use yuccatray_testutils::raw_http::raw_exchange;
use yuccatray_testutils::raw_http::read_head;
use yuccatray_testutils::raw_http::read_to_close;
use yuccatray_testutils::two_nodes::TwoNodes;

const MAX_BODY_BYTES: u64 = 200_000;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const PLAIN_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nquilt";
const REQUEST_HEADERS: &str = "host: vm\r\nyuccatray-service: orders\r\nconnection: close\r\n";

async fn start_nodes(answer: &str) -> (RawUpstream, TwoNodes) {
    let upstream = RawUpstream::start(answer).await;
    let nodes = TwoNodes::start(upstream.addr, MAX_BODY_BYTES).await;
    (upstream, nodes)
}

/// Splits an answer into its status code, its header section and its body.
fn split_answer(answer: &str) -> (&str, &str, &str) {
    let status = answer.split(' ').nth(1).unwrap_or("none");
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    (status, head, body)
}

#[track_caller]
fn assert_error_answer(answer: &str, status: &str, kind: &str, execution: &str) {
    let (answer_status, head, body) = split_answer(answer);
    assert_eq!(answer_status, status, "{answer}");
    assert!(head.contains(&format!("\r\nyuccatray-error: {kind}\r\n")), "{answer}");
    let body: Value = serde_json::from_str(body).expect("the body of an error answer is JSON");
    assert_eq!(body["error"], kind);
    assert_eq!(body["execution"], execution);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn head_answer_keeps_content_length() {
    let (upstream, nodes) = start_nodes("HTTP/1.1 200 OK\r\ncontent-length: 12\r\nx-kept: yes\r\n\r\n").await;
    let answer =
        raw_exchange(nodes.ingress(), format!("HEAD /a HTTP/1.1\r\n{REQUEST_HEADERS}\r\n").as_bytes()).await;
    let (status, head, body) = split_answer(&answer);
    assert_eq!((status, body), ("200", ""));
    assert!(head.contains("content-length: 12") && head.contains("x-kept: yes"), "{answer}");
    assert!(upstream.requests()[0].starts_with("HEAD /a HTTP/1.1\r\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_204_without_body() {
    let (_upstream, nodes) = start_nodes("HTTP/1.1 204 No Content\r\nx-kept: yes\r\n\r\n").await;
    let answer =
        raw_exchange(nodes.ingress(), format!("PUT /a HTTP/1.1\r\n{REQUEST_HEADERS}\r\n").as_bytes()).await;
    let (status, head, body) = split_answer(&answer);
    assert_eq!((status, body), ("204", ""));
    assert!(head.contains("x-kept: yes") && !head.contains("transfer-encoding"), "{answer}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_304_without_body() {
    let (_upstream, nodes) =
        start_nodes("HTTP/1.1 304 Not Modified\r\ncontent-length: 12\r\netag: \"7\"\r\n\r\n").await;
    let answer =
        raw_exchange(nodes.ingress(), format!("GET /a HTTP/1.1\r\n{REQUEST_HEADERS}\r\n").as_bytes()).await;
    let (status, head, body) = split_answer(&answer);
    assert_eq!((status, body), ("304", ""));
    assert!(head.contains("etag: \"7\""), "{answer}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trailers_forwarded_both_ways() {
    let (upstream, nodes) = start_nodes(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n5\r\nquilt\r\n0\r\nx-sum: 5\r\n\r\n",
    )
    .await;
    let request = "POST /a HTTP/1.1\r\nhost: vm\r\nyuccatray-service: orders\r\nconnection: close, te\r\n\
        te: trailers\r\ntrailer: x-check\r\ntransfer-encoding: chunked\r\n\r\n\
        4\r\ntree\r\n0\r\nx-check: 4\r\n\r\n";
    let answer = raw_exchange(nodes.ingress(), request.as_bytes()).await;
    let (status, _, body) = split_answer(&answer);
    assert_eq!(status, "200");
    assert_eq!(body, "5\r\nquilt\r\n0\r\nx-sum: 5\r\n\r\n");
    let received = &upstream.requests()[0];
    assert!(received.contains("\r\nte: trailers\r\n"), "{received}");
    assert!(received.ends_with("4\r\ntree\r\n0\r\nx-check: 4\r\n\r\n"), "{received}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn expect_continue_answered_before_body() {
    let (upstream, nodes) = start_nodes(PLAIN_ANSWER).await;
    let mut stream = TcpStream::connect(nodes.ingress()).await.expect("the node listens");
    let head =
        format!("POST /a HTTP/1.1\r\n{REQUEST_HEADERS}expect: 100-continue\r\ncontent-length: 4\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the node accepts the bytes");
    assert_eq!(split_answer(&read_head(&mut stream).await).0, "100");
    stream.write_all(b"tree").await.expect("the node accepts the bytes");
    assert_eq!(split_answer(&read_to_close(&mut stream).await).0, "200");
    let received = &upstream.requests()[0];
    assert!(!received.contains("expect") && received.ends_with("tree"), "{received}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_100_continue_for_rejected_request() {
    let (upstream, nodes) = start_nodes(PLAIN_ANSWER).await;
    let head = format!(
        "POST /a HTTP/1.1\r\n{REQUEST_HEADERS}expect: 100-continue\r\ncontent-length: 400000\r\n\r\n"
    );
    let answer = raw_exchange(nodes.ingress(), head.as_bytes()).await;
    assert_error_answer(&answer, "413", "body_too_large", "not_executed");
    let unknown_expectation =
        format!("POST /a HTTP/1.1\r\n{REQUEST_HEADERS}expect: tea\r\ncontent-length: 4\r\n\r\ntree");
    let answer = raw_exchange(nodes.ingress(), unknown_expectation.as_bytes()).await;
    assert_error_answer(&answer, "400", "malformed_request", "not_executed");
    assert_eq!(upstream.requests(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hop_by_hop_stripped_both_ways() {
    let (upstream, nodes) = start_nodes(
        "HTTP/1.1 200 OK\r\nconnection: close, x-hop\r\nx-hop: secret\r\nkeep-alive: timeout=5\r\n\
        yuccatray-load: 1/2/3\r\nx-kept: yes\r\ncontent-length: 0\r\n\r\n",
    )
    .await;
    let request = "GET /a HTTP/1.1\r\nhost: vm\r\nyuccatray-service: orders\r\nconnection: close, x-mine\r\n\
        x-mine: secret\r\nkeep-alive: timeout=5\r\nproxy-authorization: secret\r\nx-kept: yes\r\n\r\n";
    let answer = raw_exchange(nodes.ingress(), request.as_bytes()).await;
    let (status, head, _) = split_answer(&answer);
    assert_eq!(status, "200");
    assert!(
        head.contains("x-kept: yes") && !head.contains("x-hop") && !head.contains("keep-alive"),
        "{head}"
    );
    assert!(!head.contains("yuccatray-load"), "the load report is not forwarded to the caller: {head}");
    let received = &upstream.requests()[0];
    assert!(
        received.contains("x-kept: yes") && !received.contains("secret") && !received.contains("keep-alive"),
        "{received}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upgrade_and_connect_rejected() {
    let (upstream, nodes) = start_nodes(PLAIN_ANSWER).await;
    let upgrade = "GET /a HTTP/1.1\r\nhost: vm\r\nyuccatray-service: orders\r\nconnection: close, upgrade\r\n\
        upgrade: websocket\r\n\r\n";
    let answer = raw_exchange(nodes.ingress(), upgrade.as_bytes()).await;
    assert_error_answer(&answer, "501", "upgrade_refused", "not_executed");
    let connect = format!("CONNECT vm:80 HTTP/1.1\r\n{REQUEST_HEADERS}\r\n");
    let answer = raw_exchange(nodes.ingress(), connect.as_bytes()).await;
    assert_error_answer(&answer, "501", "upgrade_refused", "not_executed");
    assert_eq!(upstream.requests(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn headers_too_large_for_node_and_for_library() {
    let (upstream, nodes) = start_nodes(PLAIN_ANSWER).await;
    let request_with_header =
        |bytes: usize| format!("GET /a HTTP/1.1\r\n{REQUEST_HEADERS}x-big: {}\r\n\r\n", "x".repeat(bytes));
    let answer = raw_exchange(nodes.ingress(), request_with_header(60_000).as_bytes()).await;
    assert_eq!(split_answer(&answer).0, "200");
    let answer = raw_exchange(nodes.ingress(), request_with_header(70_000).as_bytes()).await;
    assert_error_answer(&answer, "431", "headers_too_large", "not_executed");
    let answer = raw_exchange(nodes.ingress(), request_with_header(400_000).as_bytes()).await;
    assert_eq!(split_answer(&answer).0, "431", "the HTTP library answers: {answer}");
    let many_headers = "x-many: 1\r\n".repeat(101);
    let answer = raw_exchange(
        nodes.ingress(),
        format!("GET /a HTTP/1.1\r\n{REQUEST_HEADERS}{many_headers}\r\n").as_bytes(),
    )
    .await;
    assert_eq!(split_answer(&answer).0, "431", "the HTTP library answers: {answer}");
    assert_eq!(upstream.requests().len(), 1);
}

fn encoded_chunks(count: usize) -> String {
    format!("2710\r\n{}\r\n", "x".repeat(10_000)).repeat(count)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_too_large_after_partial_forwarding() {
    let (upstream, nodes) = start_nodes(PLAIN_ANSWER).await;
    let mut stream = TcpStream::connect(nodes.ingress()).await.expect("the node listens");
    let head = format!(
        "POST /a HTTP/1.1\r\n{REQUEST_HEADERS}transfer-encoding: chunked\r\n\r\n{}",
        encoded_chunks(1)
    );
    stream.write_all(head.as_bytes()).await.expect("the node accepts the bytes");
    while upstream.started() == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    stream.write_all(encoded_chunks(29).as_bytes()).await.expect("the node accepts the bytes");
    let answer = read_to_close(&mut stream).await;
    assert_error_answer(&answer, "413", "body_too_large", "outcome_unknown");
    assert!(
        upstream.requests().iter().all(|received| !received.ends_with("0\r\n\r\n")),
        "the truncated body is not forwarded as complete"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_too_large_in_one_write_reports_execution_truthfully() {
    let (upstream, nodes) = start_nodes(PLAIN_ANSWER).await;
    let head = format!("POST /a HTTP/1.1\r\n{REQUEST_HEADERS}transfer-encoding: chunked\r\n\r\n");
    let answer =
        raw_exchange(nodes.ingress(), format!("{head}{}0\r\n\r\n", encoded_chunks(30)).as_bytes()).await;
    // If the limit is reached before the gate receives the call, it is certain that the call was not
    // executed.
    if answer.contains("yuccatray-execution: not_executed") {
        assert_error_answer(&answer, "413", "body_too_large", "not_executed");
        assert_eq!(upstream.started(), 0, "a call reported as not executed does not reach the upstream");
    } else {
        assert_error_answer(&answer, "413", "body_too_large", "outcome_unknown");
    }
    assert!(
        upstream.requests().iter().all(|received| !received.ends_with("0\r\n\r\n")),
        "the truncated body is not forwarded as complete"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_requests_rejected() {
    let (upstream, nodes) = start_nodes(PLAIN_ANSWER).await;
    for request in [
        "GET /a HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n",
        "GET /a HTTP/1.1\r\nyuccatray-service: orders\r\nconnection: close\r\n\r\n",
        "GET /a HTTP/1.1\r\nhost: vm\r\nyuccatray-service: orders\r\nyuccatray-service: orders\r\nconnection: close\r\n\r\n",
        "GET /a HTTP/1.1\r\nhost: vm\r\nyuccatray-service: orders\r\nyuccatray-timeout-ms: soon\r\nconnection: close\r\n\r\n",
        "GET /a HTTP/1.1\r\nhost: vm\r\nyuccatray-service: orders\r\nyuccatray-idempotent: maybe\r\nconnection: close\r\n\r\n",
    ] {
        let answer = raw_exchange(nodes.ingress(), request.as_bytes()).await;
        assert_error_answer(&answer, "400", "malformed_request", "not_executed");
    }
    let answer = raw_exchange(nodes.ingress(), b"GET /a b c HTTP/1.1\r\n\r\n").await;
    assert_eq!(split_answer(&answer).0, "400", "the HTTP library answers: {answer}");
    assert_eq!(upstream.requests(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn content_length_with_chunked_encoding_not_forwarded() {
    let (upstream, nodes) = start_nodes(PLAIN_ANSWER).await;
    let request = format!(
        "POST /a HTTP/1.1\r\n{REQUEST_HEADERS}content-length: 400\r\ntransfer-encoding: chunked\r\n\r\n4\r\ntree\r\n0\r\n\r\n"
    );
    let answer = raw_exchange(nodes.ingress(), request.as_bytes()).await;
    if split_answer(&answer).0 == "200" {
        let received = &upstream.requests()[0];
        assert!(!received.contains("content-length: 400"), "{received}");
    } else {
        assert_eq!(split_answer(&answer).0, "400", "{answer}");
        assert_eq!(upstream.requests(), Vec::<String>::new());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_answer_never_forwarded_as_complete() {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nquilt",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nquilt\r\n",
    ] {
        let (_upstream, nodes) = start_nodes(answer).await;
        for ingress in [nodes.ingress_node.addrs().ingress, nodes.gate_node.addrs().ingress] {
            let received =
                raw_exchange(ingress, format!("GET /a HTTP/1.1\r\n{REQUEST_HEADERS}\r\n").as_bytes()).await;
            let (_, head, body) = split_answer(&received);
            let complete = if head.contains("content-length") {
                head.contains(&format!("content-length: {}\r\n", body.len()))
            } else {
                body.ends_with("0\r\n\r\n")
            };
            let is_error_answer = head.contains("yuccatray-execution: outcome_unknown");
            assert!(!complete || is_error_answer, "{received}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_answer_header_forwarded() {
    let large_value = "x".repeat(100_000);
    let (_upstream, nodes) =
        start_nodes(&format!("HTTP/1.1 200 OK\r\nx-big: {large_value}\r\ncontent-length: 0\r\n\r\n")).await;
    let answer =
        raw_exchange(nodes.ingress(), format!("GET /a HTTP/1.1\r\n{REQUEST_HEADERS}\r\n").as_bytes()).await;
    assert_eq!(split_answer(&answer).0, "200");
    assert!(answer.contains(&large_value));
}

// Guards against calls that a node takes for control messages of another node because of their path.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_with_the_path_of_a_control_message_answered_by_upstream() {
    let (upstream, nodes) = start_nodes(PLAIN_ANSWER).await;
    for ingress in [nodes.ingress(), nodes.gate_node.addrs().ingress] {
        let before = upstream.requests().len();
        let request = format!(
            "POST /yuccatray.peer.v1.Peer/Exchange HTTP/1.1\r\n{REQUEST_HEADERS}content-type: application/grpc\r\n\
             content-length: 5\r\n\r\n\0\0\0\0\0"
        );
        let answer = raw_exchange(ingress, request.as_bytes()).await;
        let (status, _head, body) = split_answer(&answer);
        assert_eq!((status, body), ("200", "quilt"), "{answer}");
        assert_eq!(upstream.requests().len(), before + 1);
        assert!(
            upstream.requests()[before].starts_with("POST /yuccatray.peer.v1.Peer/Exchange HTTP/1.1\r\n")
        );
    }
}

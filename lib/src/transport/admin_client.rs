//! Client for the reports that nodes serve on their admin ports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http::request::Builder;
use http_body_util::BodyExt;
use http_body_util::Collected;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::protocol::explain::EXPLAIN_PATH;
use crate::protocol::explain::ExplainRequest;
use crate::protocol::explain::Explanation;
use crate::protocol::member::MemberState;
use crate::transport::admin_server::MemberReport;
use crate::transport::admin_server::state_name;

/// Result of reading a report.
pub type Result<T, E = AdminClientError> = std::result::Result<T, E>;

/// Nodes that are read concurrently.
const MAX_CONCURRENT_READS: usize = 32;
/// Largest accepted report body.
const MAX_REPORT_BYTES: usize = 64 * 1024 * 1024;

/// Reason why a node's report can't be read.
#[derive(Debug, Snafu)]
pub enum AdminClientError {
    /// The connection to the node could not be established.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP exchange failed before the response header section was complete.
    #[snafu(display("HTTP exchange failed: {source}"))]
    Exchange {
        /// Error of the HTTP client.
        source: hyper::Error,
    },
    /// The response body was interrupted or is too large.
    #[snafu(display("cannot read the response body: {reason}"))]
    Body {
        /// Text of the underlying error.
        reason: String,
    },
    /// The node responded with a status other than 200.
    #[snafu(display("the node responded with status {status}"))]
    Status {
        /// Status of the response.
        status: StatusCode,
    },
    /// The node refused with an explained error.
    #[snafu(display("the node responded with status {status}: {error}: {message}"))]
    Refused {
        /// Status of the response.
        status: StatusCode,
        /// Name of the error kind.
        error: String,
        /// Explanation.
        message: String,
    },
    /// The response body is not the expected report.
    #[snafu(display("cannot parse the report: {source}"))]
    Report {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The target does not form a valid request.
    #[snafu(display("invalid request: {source}"))]
    Request {
        /// Error of the request builder.
        source: http::Error,
    },
    /// The node did not respond in time.
    #[snafu(display("no response within {timeout:?}"))]
    Timeout {
        /// Maximum time for the whole exchange.
        timeout: Duration,
    },
}

/// Returns the report that the admin port at `node` serves under the path and query `target`.
///
/// # Errors
///
/// Fails when the node can't be reached, does not respond within `timeout`, or responds with anything other
/// than the report.
pub async fn read_report<T>(node: SocketAddr, target: &str, timeout: Duration) -> Result<T>
where
    T: DeserializeOwned,
{
    request_report(node, Request::get(target), Bytes::new(), timeout).await
}

/// Returns the explanation of the node whose admin port is at `node` for a request.
///
/// # Errors
///
/// Fails when the node can't be reached, does not respond within `timeout`, or does not explain the request.
pub async fn explain(node: SocketAddr, request: &ExplainRequest, timeout: Duration) -> Result<Explanation> {
    let body = serde_json::to_vec(request).context(ReportSnafu)?;
    request_report(node, Request::post(EXPLAIN_PATH), Bytes::from(body), timeout).await
}

async fn request_report<T>(node: SocketAddr, request: Builder, body: Bytes, timeout: Duration) -> Result<T>
where
    T: DeserializeOwned,
{
    match tokio::time::timeout(timeout, exchange(node, request, body)).await {
        Ok(body) => serde_json::from_slice(&body?).context(ReportSnafu),
        Err(_) => TimeoutSnafu { timeout }.fail(),
    }
}

/// JSON body of an error that the node explains.
#[derive(Deserialize)]
struct ErrorBody {
    error: String,
    message: String,
}

/// A member with its report, or with the reason why the report could not be read.
pub type MemberReadResult<T> = (MemberReport, std::result::Result<T, String>);

/// Returns the report of each member under `target`, sorted by name of the member.
///
/// At most [`MAX_CONCURRENT_READS`] members are read concurrently, and each read has its own `timeout`. Dead
/// members are not contacted.
pub async fn read_from_members<T>(
    members: Vec<MemberReport>,
    target: &str,
    timeout: Duration,
) -> Vec<MemberReadResult<T>>
where
    T: DeserializeOwned + Send + 'static,
{
    let target = Arc::<str>::from(target);
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_READS));
    let mut reads = JoinSet::new();
    for member in members {
        reads.spawn(read_from_member(member, Arc::clone(&target), timeout, Arc::clone(&permits)));
    }
    let mut answers = reads.join_all().await;
    answers.sort_by(|(left, _), (right, _)| left.name.cmp(&right.name));
    answers
}

async fn read_from_member<T>(
    member: MemberReport,
    target: Arc<str>,
    timeout: Duration,
    permits: Arc<Semaphore>,
) -> MemberReadResult<T>
where
    T: DeserializeOwned,
{
    if &*member.state == state_name(MemberState::Dead) {
        return (member, Err("the node is dead and its data is lost".to_owned()));
    }
    // `acquire` fails only on a closed semaphore, and this one is never closed.
    let _permit = permits.acquire().await;
    let report = read_report(member.admin_addr, &target, timeout).await;
    let report = report.map_err(|error| error.to_string());
    (member, report)
}

/// Sends a request to the admin port at `node` and returns the body of the response.
async fn exchange(node: SocketAddr, request: Builder, body: Bytes) -> Result<Bytes> {
    let request = request.header(HOST, node.to_string()).body(Full::new(body)).context(RequestSnafu)?;
    let stream = TcpStream::connect(node).await.context(ConnectSnafu)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.context(ExchangeSnafu)?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.context(ExchangeSnafu)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES).collect().await;
    if status != StatusCode::OK {
        let body = body.map(Collected::to_bytes).unwrap_or_default();
        return match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(ErrorBody { error, message }) => RefusedSnafu { status, error, message }.fail(),
            Err(_) => StatusSnafu { status }.fail(),
        };
    }
    let body = body.map_err(|error| AdminClientError::Body { reason: error.to_string() })?;
    Ok(body.to_bytes())
}

//! Reading the reports of nodes over their admin port.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::protocol::member::MemberState;
use crate::transport::admin_server::MemberReport;
use crate::transport::admin_server::state_name;

/// Result of reading a report.
pub type Result<T, E = AdminClientError> = std::result::Result<T, E>;

const NODES_AT_ONCE: usize = 32;
const MAX_REPORT_BYTES: usize = 64 * 1024 * 1024;

/// Why a node's report can't be read.
#[derive(Debug, Snafu)]
pub enum AdminClientError {
    /// No connection to the node.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// What the system said.
        source: std::io::Error,
    },
    /// The exchange failed.
    #[snafu(display("the exchange failed: {source}"))]
    Exchange {
        /// What hyper said.
        source: hyper::Error,
    },
    /// The body could not be read.
    #[snafu(display("unreadable body: {reason}"))]
    Body {
        /// What is wrong.
        reason: String,
    },
    /// The node answered with another status than 200.
    #[snafu(display("the node answered {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The report is not of the expected form.
    #[snafu(display("not a report: {source}"))]
    Report {
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The request can't be built.
    #[snafu(display("not a valid request: {source}"))]
    Request {
        /// What is wrong.
        source: http::Error,
    },
    /// No answer in time.
    #[snafu(display("no answer within {timeout:?}"))]
    Timeout {
        /// The time given.
        timeout: Duration,
    },
}

/// Reads one report from the admin port at `node`.
///
/// # Errors
///
/// When the node can't be reached, does not answer in time or answers something else.
pub async fn read_report<T>(node: SocketAddr, target: &str, timeout: Duration) -> Result<T>
where
    T: DeserializeOwned,
{
    match tokio::time::timeout(timeout, exchange(node, target)).await {
        Ok(body) => serde_json::from_slice(&body?).context(ReportSnafu),
        Err(_) => TimeoutSnafu { timeout }.fail(),
    }
}

/// What one member answered, or why it gave no answer.
pub type MemberAnswer<T> = (MemberReport, std::result::Result<T, String>);

/// Reads one report from each member, a few at a time; a dead one is not asked.
pub async fn read_from_members<T>(
    members: Vec<MemberReport>,
    target: &str,
    timeout: Duration,
) -> Vec<MemberAnswer<T>>
where
    T: DeserializeOwned + Send + 'static,
{
    let target = Arc::<str>::from(target);
    let permits = Arc::new(Semaphore::new(NODES_AT_ONCE));
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
) -> MemberAnswer<T>
where
    T: DeserializeOwned,
{
    if &*member.state == state_name(MemberState::Dead) {
        return (member, Err("it is dead, and what it counted with it".to_owned()));
    }
    // The semaphore is never closed; without a permit the read goes on all the same.
    let _permit = permits.acquire().await;
    let report = read_report(member.admin_addr, &target, timeout).await;
    let report = report.map_err(|error| error.to_string());
    (member, report)
}

async fn exchange(node: SocketAddr, target: &str) -> Result<Bytes> {
    let request = Request::get(target).header(HOST, node.to_string());
    let request = request.body(Empty::<Bytes>::new()).context(RequestSnafu)?;
    let stream = TcpStream::connect(node).await.context(ConnectSnafu)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.context(ExchangeSnafu)?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.context(ExchangeSnafu)?;
    let status = response.status();
    if status != StatusCode::OK {
        return StatusSnafu { status }.fail();
    }
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES).collect().await;
    let body = body.map_err(|error| AdminClientError::Body { reason: error.to_string() })?;
    Ok(body.to_bytes())
}

//! Tests each fault of the platform stand-in through the platform client.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform::PlatformError;
use yuccatray::transport::platform_http::HttpPlatform;
use yuccatray_standin::platform::PlatformFaults;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::platform::RunningPlatform;

const KIND: ObjectKind = ObjectKind::UpstreamRule;
const ABSENT: Precondition = Precondition::Absent;
/// Timeout of requests that get no answer.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of requests that get an answer.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_VALUE_BYTES: usize = 1_048_576;

async fn start_platform() -> RunningPlatform {
    let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    platform.expect("the platform listens")
}

fn client(platform: &RunningPlatform, timeout: Duration) -> HttpPlatform {
    HttpPlatform::new(platform.addr, timeout)
}

#[track_caller]
fn assert_no_answer<T>(result: &Result<T, PlatformError>) {
    assert!(matches!(result, Err(PlatformError::NoResponse { .. })), "the request must get no answer");
}

#[track_caller]
fn assert_rejected<T>(result: Result<T, PlatformError>, expected: u16) {
    match result {
        Err(PlatformError::Rejected { status, .. }) => assert_eq!(status, expected),
        Err(error) => panic!("rejected for another reason: {error}"),
        Ok(_) => panic!("not rejected"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn down_no_answer_and_no_effect() {
    let platform = start_platform().await;
    platform.standin.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    assert_no_answer(&client(&platform, SHORT_TIMEOUT).put(KIND, "a", &json!({}), ABSENT).await);
    assert_no_answer(&client(&platform, SHORT_TIMEOUT).get(KIND, "a").await);
    platform.standin.set_faults(PlatformFaults::default());
    assert_eq!(client(&platform, LONG_TIMEOUT).get(KIND, "a").await.expect("the platform is up again"), None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delay_slows_answers() {
    let platform = start_platform().await;
    platform.standin.set_faults(PlatformFaults { delay_ms: 200, ..PlatformFaults::default() });
    let started = Instant::now();
    client(&platform, LONG_TIMEOUT).list(KIND).await.expect("a slow answer is not an error");
    assert!(started.elapsed() >= Duration::from_millis(200));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_after_the_effect() {
    let platform = start_platform().await;
    let api = client(&platform, SHORT_TIMEOUT);
    platform.standin.set_faults(PlatformFaults { lose_answers: 1, ..PlatformFaults::default() });
    assert_no_answer(&api.put(KIND, "a", &json!({ "n": 1 }), ABSENT).await);
    let object = client(&platform, LONG_TIMEOUT).get(KIND, "a").await.expect("reads are answered");
    assert_eq!(object.expect("the write took effect").value, json!({ "n": 1 }));
    assert_eq!(platform.standin.counts().writes, 1, "the client wrote once");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_watch_recovers() {
    let platform = start_platform().await;
    let api = client(&platform, LONG_TIMEOUT);
    platform.standin.set_faults(PlatformFaults { break_watches: true, ..PlatformFaults::default() });
    assert_rejected(api.watch(KIND, 0).await, 503);
    platform.standin.set_faults(PlatformFaults::default());
    let watch = tokio::spawn({
        let api = api.clone();
        async move { api.watch(KIND, 0).await }
    });
    api.put(KIND, "a", &json!({}), ABSENT).await.expect("the object is new");
    let changes = watch.await.expect("the task does not panic").expect("the watch answers");
    assert_eq!(changes.changes.len(), 1);
    assert_eq!(changes.version, 1);
    assert_eq!(platform.standin.counts().watches, 2, "a waiting watch counts once");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reads_and_writes_limited_separately() {
    let platform = start_platform().await;
    let api = client(&platform, LONG_TIMEOUT);
    platform.standin.set_faults(PlatformFaults { max_writes_per_second: 1, ..PlatformFaults::default() });
    let mut rejected = 0;
    for name in ["a", "b", "c", "d", "e", "f"] {
        rejected += u64::from(api.put(KIND, name, &json!({}), ABSENT).await.is_err());
        api.get(KIND, name).await.expect("reads have a limit of their own");
    }
    assert!(rejected > 0, "six writes take less than six seconds");
    assert_eq!(platform.standin.counts().throttled, rejected);
    platform.standin.set_faults(PlatformFaults { max_reads_per_second: 1, ..PlatformFaults::default() });
    let mut last_result = Ok(None);
    for _ in 0..100 {
        last_result = api.get(KIND, "a").await;
        if last_result.is_err() {
            break;
        }
    }
    assert_rejected(last_result, 429);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn values_limited_to_one_mebibyte() {
    let platform = start_platform().await;
    let api = client(&platform, LONG_TIMEOUT);
    let value_of_size = |bytes: usize| Value::from("x".repeat(bytes - 2));
    let largest = value_of_size(MAX_VALUE_BYTES);
    api.put(KIND, "a", &largest, ABSENT).await.expect("a value of 1 MiB is accepted");
    let stored = api.get(KIND, "a").await.expect("the object can be read").expect("the object exists");
    assert_eq!(stored.value, largest);
    assert_rejected(api.put(KIND, "b", &value_of_size(MAX_VALUE_BYTES + 1), ABSENT).await, 413);
    assert_eq!(api.get(KIND, "b").await.expect("reads are answered"), None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn conflict_returns_current_object() {
    let platform = start_platform().await;
    let api = client(&platform, LONG_TIMEOUT);
    let first = api.put(KIND, "a", &json!(1), ABSENT).await.expect("the object is new");
    let second = api.put(KIND, "a", &json!(2), Precondition::Version(first.version)).await;
    let second = second.expect("the version is current");
    for stale in [ABSENT, Precondition::Version(first.version)] {
        let Err(PlatformError::Conflict { current }) = api.put(KIND, "a", &json!(3), stale).await else {
            panic!("a stale write must be a conflict");
        };
        assert_eq!(current.as_deref(), Some(&second));
    }
    assert!(matches!(api.delete(KIND, "a", first.version).await, Err(PlatformError::Conflict { .. })));
    assert_eq!(platform.standin.counts().conflicts, 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dead_pooled_connection_fails_no_request() {
    let platform = start_platform().await;
    let addr = platform.addr;
    let api = client(&platform, LONG_TIMEOUT);
    api.put(KIND, "a", &json!(1), ABSENT).await.expect("the object is new");
    platform.stop().await;
    let mut restarted = PlatformStandin::start(addr).await;
    while restarted.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
        restarted = PlatformStandin::start(addr).await;
    }
    assert_eq!(api.get(KIND, "a").await.expect("the read is retried over a new connection"), None);
    api.put(KIND, "a", &json!(2), ABSENT).await.expect("the write uses a working connection");
}

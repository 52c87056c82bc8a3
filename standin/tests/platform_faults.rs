//! Each fault of the platform's stand-in, as the client of the platform meets it.

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
const SHORT: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_secs(30);
const MAX_VALUE_BYTES: usize = 1_048_576;

async fn start() -> RunningPlatform {
    let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    platform.expect("the platform listens")
}

fn client(platform: &RunningPlatform, timeout: Duration) -> HttpPlatform {
    HttpPlatform::new(platform.addr, timeout)
}

#[track_caller]
fn assert_no_answer<T>(result: &Result<T, PlatformError>) {
    assert!(matches!(result, Err(PlatformError::NoResponse { .. })), "no answer may come");
}

#[track_caller]
fn assert_refused<T>(result: Result<T, PlatformError>, wanted: u16) {
    match result {
        Err(PlatformError::Rejected { status, .. }) => assert_eq!(status, wanted),
        Err(error) => panic!("refused otherwise: {error}"),
        Ok(_) => panic!("not refused"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn down_no_answer_and_no_effect() {
    let platform = start().await;
    platform.standin.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    assert_no_answer(&client(&platform, SHORT).put(KIND, "a", &json!({}), ABSENT).await);
    assert_no_answer(&client(&platform, SHORT).get(KIND, "a").await);
    platform.standin.set_faults(PlatformFaults::default());
    assert_eq!(client(&platform, LONG).get(KIND, "a").await.expect("it is back"), None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_answers_take_their_time() {
    let platform = start().await;
    platform.standin.set_faults(PlatformFaults { delay_ms: 200, ..PlatformFaults::default() });
    let started = Instant::now();
    client(&platform, LONG).list(KIND).await.expect("slow is no fault");
    assert!(started.elapsed() >= Duration::from_millis(200));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_after_the_effect() {
    let platform = start().await;
    let api = client(&platform, SHORT);
    platform.standin.set_faults(PlatformFaults { lose_answers: 1, ..PlatformFaults::default() });
    assert_no_answer(&api.put(KIND, "a", &json!({ "n": 1 }), ABSENT).await);
    let object = client(&platform, LONG).get(KIND, "a").await.expect("reads are answered");
    assert_eq!(object.expect("the write took effect").value, json!({ "n": 1 }));
    assert_eq!(platform.standin.counts().writes, 1, "the client wrote once");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_watch_then_whole() {
    let platform = start().await;
    let api = client(&platform, LONG);
    platform.standin.set_faults(PlatformFaults { break_watches: true, ..PlatformFaults::default() });
    assert_refused(api.watch(KIND, 0).await, 503);
    platform.standin.set_faults(PlatformFaults::default());
    let watching = tokio::spawn({
        let api = api.clone();
        async move { api.watch(KIND, 0).await }
    });
    api.put(KIND, "a", &json!({}), ABSENT).await.expect("the object is new");
    let changes = watching.await.expect("no panic").expect("the watch answers");
    assert_eq!(changes.changes.len(), 1);
    assert_eq!(changes.version, 1);
    assert_eq!(platform.standin.counts().watches, 2, "a waiting watch counts once");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rates_limited_apart() {
    let platform = start().await;
    let api = client(&platform, LONG);
    platform.standin.set_faults(PlatformFaults { max_writes_per_second: 1, ..PlatformFaults::default() });
    let mut refused = 0;
    for name in ["a", "b", "c", "d", "e", "f"] {
        refused += u64::from(api.put(KIND, name, &json!({}), ABSENT).await.is_err());
        api.get(KIND, name).await.expect("reads have a limit of their own");
    }
    assert!(refused > 0, "six writes do not take six seconds");
    assert_eq!(platform.standin.counts().throttled, refused);
    platform.standin.set_faults(PlatformFaults { max_reads_per_second: 1, ..PlatformFaults::default() });
    let mut last = Ok(None);
    for _ in 0..100 {
        last = api.get(KIND, "a").await;
        if last.is_err() {
            break;
        }
    }
    assert_refused(last, 429);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn values_up_to_a_megabyte() {
    let platform = start().await;
    let api = client(&platform, LONG);
    let sized = |bytes: usize| Value::from("x".repeat(bytes - 2));
    let largest = sized(MAX_VALUE_BYTES);
    api.put(KIND, "a", &largest, ABSENT).await.expect("a megabyte is held");
    let held = api.get(KIND, "a").await.expect("it can be read").expect("it is there");
    assert_eq!(held.value, largest);
    assert_refused(api.put(KIND, "b", &sized(MAX_VALUE_BYTES + 1), ABSENT).await, 413);
    assert_eq!(api.get(KIND, "b").await.expect("reads are answered"), None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn conflict_shows_what_is_there() {
    let platform = start().await;
    let api = client(&platform, LONG);
    let first = api.put(KIND, "a", &json!(1), ABSENT).await.expect("the object is new");
    let second = api.put(KIND, "a", &json!(2), Precondition::Version(first.version)).await;
    let second = second.expect("nobody changed it");
    for stale in [ABSENT, Precondition::Version(first.version)] {
        let Err(PlatformError::Conflict { current }) = api.put(KIND, "a", &json!(3), stale).await else {
            panic!("a stale write is a conflict");
        };
        assert_eq!(current.as_deref(), Some(&second));
    }
    assert!(matches!(api.delete(KIND, "a", first.version).await, Err(PlatformError::Conflict { .. })));
    assert_eq!(platform.standin.counts().conflicts, 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_connection_that_died_costs_no_read() {
    let platform = start().await;
    let addr = platform.addr;
    let api = client(&platform, LONG);
    api.put(KIND, "a", &json!(1), ABSENT).await.expect("the object is new");
    drop(platform);
    let mut restarted = PlatformStandin::start(addr).await;
    while restarted.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
        restarted = PlatformStandin::start(addr).await;
    }
    assert_eq!(api.get(KIND, "a").await.expect("a new connection serves"), None);
    api.put(KIND, "a", &json!(2), ABSENT).await.expect("a write is never lost to an old connection");
}

//! Following the objects of a kind when watches return no changes, fail, or report an expired history.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::Value;
use tokio::time::Instant;
use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::state::metrics::Metrics;
use yuccatray::state::metrics::SharedMetrics;
use yuccatray::transport::object_watch::MIN_WATCH_TIME;
use yuccatray::transport::object_watch::ObjectWatch;
use yuccatray::transport::object_watch::platform_backoff;
use yuccatray::transport::object_watch::watch_objects;
use yuccatray::transport::platform::Changes;
use yuccatray::transport::platform::Listing;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform::PlatformError;
use yuccatray::transport::platform::Result;

const LISTED_VERSION: u64 = 10;
const MAX_TEST_TIME: Duration = Duration::from_mins(1);
/// Watches of a store that are all answered at once.
const MANY_WATCHES: usize = 5_000;

/// Scripted outcome of one watch.
#[derive(Clone, Copy, Debug)]
enum WatchOutcome {
    NoChanges,
    Failed,
    HistoryExpired,
    StoreRestored,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    List,
    Watch(u64),
}

/// Platform whose watches return the scripted outcomes in order and then never return.
#[derive(Clone, Debug)]
struct ScriptedPlatform {
    outcomes: Arc<Mutex<VecDeque<WatchOutcome>>>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Platform for ScriptedPlatform {
    async fn get(&self, _kind: ObjectKind, _name: &str) -> Result<Option<Object>> {
        Ok(None)
    }

    async fn list(&self, _kind: ObjectKind) -> Result<Listing> {
        self.calls.lock().push(Call::List);
        Ok(Listing { version: LISTED_VERSION, epoch: 1, objects: Vec::new() })
    }

    async fn watch(&self, _kind: ObjectKind, after: u64) -> Result<Changes> {
        self.calls.lock().push(Call::Watch(after));
        let outcome = self.outcomes.lock().pop_front();
        match outcome {
            None => std::future::pending().await,
            // The store has advanced to version 99; resuming there would skip changes not returned yet.
            Some(WatchOutcome::NoChanges) => {
                Ok(Changes { version: 99, epoch: 1, changes: Vec::new(), expired: false })
            }
            Some(WatchOutcome::HistoryExpired) => {
                Ok(Changes { version: 99, epoch: 1, changes: Vec::new(), expired: true })
            }
            Some(WatchOutcome::StoreRestored) => {
                Ok(Changes { version: 99, epoch: 2, changes: Vec::new(), expired: false })
            }
            Some(WatchOutcome::Failed) => Err(PlatformError::NoResponse { reason: "no answer".to_owned() }),
        }
    }

    async fn put(&self, _: ObjectKind, _: &str, _: &Value, _: Precondition) -> Result<Object> {
        Err(PlatformError::NoResponse { reason: "writes are not scripted".to_owned() })
    }

    async fn delete(&self, _: ObjectKind, _: &str, _: u64) -> Result<()> {
        Ok(())
    }
}

async fn platform_calls(outcomes: &[WatchOutcome]) -> Vec<Call> {
    let platform = ScriptedPlatform {
        outcomes: Arc::new(Mutex::new(outcomes.iter().copied().collect())),
        calls: Arc::default(),
    };
    let metrics = SharedMetrics::new(Metrics::default());
    let follower = watch_objects(platform.clone(), ObjectKind::Routes, metrics, |_| {});
    // Paused time advances until only the watch that never returns is pending.
    let _still_waiting = tokio::time::timeout(MAX_TEST_TIME, follower).await;
    platform.calls.lock().clone()
}

#[tokio::test(start_paused = true)]
async fn watch_without_changes_resumes_at_same_version() {
    let calls = platform_calls(&[WatchOutcome::NoChanges, WatchOutcome::NoChanges]).await;
    let resumed = Call::Watch(LISTED_VERSION);
    assert_eq!(calls, [Call::List, resumed, resumed, resumed]);
}

#[tokio::test(start_paused = true)]
async fn watch_failed_or_expired_lists_again() {
    let watch = Call::Watch(LISTED_VERSION);
    let expected = [Call::List, watch, Call::List, watch];
    assert_eq!(platform_calls(&[WatchOutcome::Failed]).await, expected);
    assert_eq!(platform_calls(&[WatchOutcome::HistoryExpired]).await, expected);
}

#[tokio::test(start_paused = true)]
async fn watch_of_restored_store_lists_again() {
    let watch = Call::Watch(LISTED_VERSION);
    assert_eq!(platform_calls(&[WatchOutcome::StoreRestored]).await, [Call::List, watch, Call::List, watch]);
}

// Guards against calls without a pause to a store that answers each watch at once.
#[tokio::test(start_paused = true)]
async fn watches_answered_at_once_without_changes_are_spaced() {
    for outcome in [WatchOutcome::NoChanges, WatchOutcome::HistoryExpired, WatchOutcome::StoreRestored] {
        let platform = ScriptedPlatform {
            outcomes: Arc::new(Mutex::new(VecDeque::from([outcome; MANY_WATCHES]))),
            calls: Arc::default(),
        };
        let metrics = SharedMetrics::new(Metrics::default());
        let watching = watch_objects(platform.clone(), ObjectKind::Routes, metrics, |_| {});
        let _still_waiting = tokio::time::timeout(Duration::from_secs(2), watching).await;
        let calls = platform.calls.lock().len();
        assert!((20..=100).contains(&calls), "{calls} calls in 2 s after {outcome:?}");
    }
}

/// Guards against a listing each time that a node changes how it watches.
#[tokio::test(start_paused = true)]
async fn watch_resumed_at_position_lists_nothing() {
    let outcomes = [WatchOutcome::NoChanges, WatchOutcome::StoreRestored];
    let platform =
        ScriptedPlatform { outcomes: Arc::new(Mutex::new(VecDeque::from(outcomes))), calls: Arc::default() };
    let mut position = None;
    let mut times = Vec::new();
    let started = Instant::now();
    for _ in 0..2 {
        let metrics = SharedMetrics::new(Metrics::default());
        let on_current = |current_at| times.push(current_at);
        let watch = ObjectWatch {
            platform: platform.clone(),
            kind: ObjectKind::Routes,
            metrics,
            backoff: platform_backoff(),
        };
        let watching = watch.resume(&mut position, |_, _| {}, on_current);
        let _still_waiting = tokio::time::timeout(MAX_TEST_TIME, watching).await;
    }
    let watch = Call::Watch(LISTED_VERSION);
    assert_eq!(*platform.calls.lock(), [Call::List, watch, watch, Call::List, watch, watch]);
    let listed_again = started + 2 * MIN_WATCH_TIME;
    let expected = [started, started, listed_again];
    assert_eq!(times, expected, "each answer but that of a restored store confirms what was reported");
}

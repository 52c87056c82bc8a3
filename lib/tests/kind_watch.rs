//! Following a kind through watches that tell nothing, fail, or lose history.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::Value;
use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::state::metrics::Metrics;
use yuccatray::state::metrics::SharedMetrics;
use yuccatray::transport::object_watch::watch_objects;
use yuccatray::transport::platform::Changes;
use yuccatray::transport::platform::Listing;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform::PlatformError;
use yuccatray::transport::platform::Result;

const LISTED_AT: u64 = 10;
const LONG: Duration = Duration::from_mins(1);

/// What one watch comes to.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Nothing,
    Failure,
    LostHistory,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    List,
    Watch(u64),
}

/// A platform whose watches end as a test says, and then wait for ever.
#[derive(Clone, Debug)]
struct Scripted {
    endings: Arc<Mutex<VecDeque<Ending>>>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Platform for Scripted {
    async fn get(&self, _kind: ObjectKind, _name: &str) -> Result<Option<Object>> {
        Ok(None)
    }

    async fn list(&self, _kind: ObjectKind) -> Result<Listing> {
        self.calls.lock().push(Call::List);
        Ok(Listing { version: LISTED_AT, objects: Vec::new() })
    }

    async fn watch(&self, _kind: ObjectKind, after: u64) -> Result<Changes> {
        self.calls.lock().push(Call::Watch(after));
        let ending = self.endings.lock().pop_front();
        match ending {
            None => std::future::pending().await,
            // The store moved on meanwhile; what it failed to tell lies before that.
            Some(Ending::Nothing) => Ok(Changes { version: 99, changes: Vec::new(), expired: false }),
            Some(Ending::LostHistory) => Ok(Changes { version: 99, changes: Vec::new(), expired: true }),
            Some(Ending::Failure) => Err(PlatformError::NoAnswer { reason: "silence".to_owned() }),
        }
    }

    async fn put(&self, _: ObjectKind, _: &str, _: &Value, _: Precondition) -> Result<Object> {
        Err(PlatformError::NoAnswer { reason: "nothing is written here".to_owned() })
    }

    async fn delete(&self, _: ObjectKind, _: &str, _: u64) -> Result<()> {
        Ok(())
    }
}

async fn calls_of(endings: &[Ending]) -> Vec<Call> {
    let platform =
        Scripted { endings: Arc::new(Mutex::new(endings.iter().copied().collect())), calls: Arc::default() };
    let metrics = SharedMetrics::new(Metrics::default());
    let following = watch_objects(platform.clone(), ObjectKind::Routes, metrics, |_| {});
    // Paused time runs on until only the watch that waits for ever is left.
    let _still_waiting = tokio::time::timeout(LONG, following).await;
    platform.calls.lock().clone()
}

#[tokio::test(start_paused = true)]
async fn watch_with_nothing_asked_again_from_where_it_began() {
    let calls = calls_of(&[Ending::Nothing, Ending::Nothing]).await;
    let again = Call::Watch(LISTED_AT);
    assert_eq!(calls, [Call::List, again, again, again]);
}

#[tokio::test(start_paused = true)]
async fn watch_failed_or_without_history_listed_again() {
    let watch = Call::Watch(LISTED_AT);
    let expected = [Call::List, watch, Call::List, watch];
    assert_eq!(calls_of(&[Ending::Failure]).await, expected);
    assert_eq!(calls_of(&[Ending::LostHistory]).await, expected);
}

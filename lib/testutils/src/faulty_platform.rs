//! An in-memory platform object API that injects faults into calls.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::transport::platform::Changes;
use yuccatray::transport::platform::Listing;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform::PlatformError;
use yuccatray::transport::platform::Result;
use yuccatray_standin::platform_store::PlatformStore;

/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest duration of a watch that finds no change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Interval at which watches and paused clients check their condition.
const POLL: Duration = Duration::from_millis(20);
/// Exclusive upper bound of the delay of a late write, in milliseconds.
///
/// It exceeds [`CALL_TIMEOUT`], so that some writes take effect after the client has given up.
const MAX_LATE_WRITE_DELAY_MS: u64 = 6_000;

/// Faults injected into calls; apart from the delay, each call is subject to at most one.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFaults {
    /// Whether every call is lost.
    pub unavailable: bool,
    /// Percentage of calls that are lost without effect.
    pub lost_percent: u32,
    /// Percentage of calls that take effect and get no answer.
    pub unanswered_percent: u32,
    /// Percentage of writes that get no answer and take effect later, possibly after the client's timeout.
    pub late_write_percent: u32,
    /// Percentage of calls rejected by rate limiting, with status 429.
    pub throttled_percent: u32,
    /// Maximum delay before a call is processed, in milliseconds.
    pub max_delay_ms: u64,
}

#[derive(Debug)]
struct Shared {
    store: PlatformStore,
    faults: CallFaults,
    written_objects: Vec<Object>,
    rng: Pcg64Mcg,
}

/// One client of the shared platform, which can be paused.
#[derive(Clone, Debug)]
pub struct FaultyPlatform {
    shared: Arc<Mutex<Shared>>,
    paused: Arc<AtomicBool>,
}

/// How a single call is processed.
enum CallDelivery {
    Served,
    Lost,
    Unanswered,
    Late(Duration),
    Throttled,
}

impl FaultyPlatform {
    /// Creates an empty platform without faults and returns its first client.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let shared = Shared {
            store: PlatformStore::default(),
            faults: CallFaults::default(),
            written_objects: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        Self { shared: Arc::new(Mutex::new(shared)), paused: Arc::default() }
    }

    /// Returns another client of the same platform.
    #[must_use]
    pub fn client(&self) -> Self {
        Self { shared: Arc::clone(&self.shared), paused: Arc::default() }
    }

    /// Sets the faults of all later calls, for every client.
    pub fn set_faults(&self, faults: CallFaults) {
        self.shared.lock().faults = faults;
    }

    /// Pauses or resumes this client before and after its calls, as if its process were suspended.
    pub fn pause(&self, paused: bool) {
        self.paused.store(paused, Ordering::Relaxed);
    }

    /// Returns every version of every object written by `put`, in the order of the writes.
    #[must_use]
    pub fn written_objects(&self) -> Vec<Object> {
        self.shared.lock().written_objects.clone()
    }

    async fn call<T, F>(&self, write: bool, operation: F) -> Result<T>
    where
        T: Send + 'static,
        F: FnOnce(&mut Shared) -> Result<T> + Send + 'static,
    {
        self.wait_while_paused().await;
        let (delivery, delay) = self.draw_delivery(write);
        tokio::time::sleep(delay).await;
        let result = match delivery {
            CallDelivery::Throttled => {
                Err(PlatformError::Rejected { status: 429, message: "too many calls".to_owned() })
            }
            CallDelivery::Served => operation(&mut self.shared.lock()),
            CallDelivery::Lost => time_out().await,
            CallDelivery::Unanswered => {
                drop(operation(&mut self.shared.lock()));
                time_out().await
            }
            CallDelivery::Late(after) => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(async move {
                    tokio::time::sleep(after).await;
                    drop(operation(&mut shared.lock()));
                });
                time_out().await
            }
        };
        self.wait_while_paused().await;
        result
    }

    /// Draws how a call is processed, and its delay.
    fn draw_delivery(&self, write: bool) -> (CallDelivery, Duration) {
        let mut shared = self.shared.lock();
        let faults = shared.faults;
        let delay = Duration::from_millis(shared.rng.random_range(0..=faults.max_delay_ms));
        if faults.unavailable {
            return (CallDelivery::Lost, delay);
        }
        let late_ms = shared.rng.random_range(0..MAX_LATE_WRITE_DELAY_MS);
        let roll = shared.rng.random_range(0..100);
        let lost = faults.lost_percent;
        let unanswered = lost + faults.unanswered_percent;
        let throttled = unanswered + faults.throttled_percent;
        let late = throttled + faults.late_write_percent;
        let delivery = match roll {
            roll if roll < lost => CallDelivery::Lost,
            roll if roll < unanswered => CallDelivery::Unanswered,
            roll if roll < throttled => CallDelivery::Throttled,
            roll if roll < late && write => CallDelivery::Late(Duration::from_millis(late_ms)),
            _ => CallDelivery::Served,
        };
        (delivery, delay)
    }

    async fn wait_while_paused(&self) {
        while self.paused.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL).await;
        }
    }
}

impl Platform for FaultyPlatform {
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>> {
        let name = name.to_owned();
        self.call(false, move |shared| Ok(shared.store.get(kind, &name).cloned())).await
    }

    async fn list(&self, kind: ObjectKind) -> Result<Listing> {
        self.call(false, move |shared| Ok(shared.store.list(kind))).await
    }

    async fn watch(&self, kind: ObjectKind, after: u64) -> Result<Changes> {
        let deadline = tokio::time::Instant::now() + WATCH_WAIT;
        loop {
            let found = self.call(false, move |shared| Ok(shared.store.changes_after(kind, after))).await?;
            if !found.changes.is_empty() || found.expired || tokio::time::Instant::now() >= deadline {
                return Ok(found);
            }
            tokio::time::sleep(POLL).await;
        }
    }

    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        value: &Value,
        precondition: Precondition,
    ) -> Result<Object> {
        let (name, value) = (name.to_owned(), value.clone());
        let operation = move |shared: &mut Shared| {
            let written = shared.store.put(kind, &name, value, Some(precondition));
            let object =
                written.map_err(|mismatch| PlatformError::Conflict { current: mismatch.0.map(Box::new) })?;
            shared.written_objects.push(object.clone());
            Ok(object)
        };
        self.call(true, operation).await
    }

    async fn delete(&self, kind: ObjectKind, name: &str, version: u64) -> Result<()> {
        let name = name.to_owned();
        let operation = move |shared: &mut Shared| {
            let deleted = shared.store.delete(kind, &name, Some(Precondition::Version(version)));
            deleted
                .map(|_deleted| ())
                .map_err(|mismatch| PlatformError::Conflict { current: mismatch.0.map(Box::new) })
        };
        self.call(true, operation).await
    }
}

/// Waits for the client's timeout and returns its error.
async fn time_out<T>() -> Result<T> {
    tokio::time::sleep(CALL_TIMEOUT).await;
    Err(PlatformError::NoResponse { reason: "call timed out".to_owned() })
}

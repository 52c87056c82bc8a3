//! The platform's object API in memory, with calls and answers that get lost.

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

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const WATCH_WAIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);
const LATEST_WRITE_MS: u64 = 6_000;

/// How calls misbehave; each call meets at most one of these.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFaults {
    /// Nothing gets through.
    pub down: bool,
    /// Share of calls that never arrive.
    pub lost_percent: u32,
    /// Share of calls that take effect without an answer.
    pub unanswered_percent: u32,
    /// Share of writes that take effect only after the caller gave up.
    pub late_percent: u32,
    /// Share of calls refused for the rate.
    pub throttled_percent: u32,
    /// Longest time that a call takes.
    pub max_delay_ms: u64,
}

#[derive(Debug)]
struct Shared {
    store: PlatformStore,
    faults: CallFaults,
    written: Vec<Object>,
    rng: Pcg64Mcg,
}

/// One client of the platform, which can be paused.
#[derive(Clone, Debug)]
pub struct FaultyPlatform {
    shared: Arc<Mutex<Shared>>,
    paused: Arc<AtomicBool>,
}

enum Fate {
    Served,
    Lost,
    Unanswered,
    Late(Duration),
    Throttled,
}

impl FaultyPlatform {
    /// An empty platform.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let shared = Shared {
            store: PlatformStore::default(),
            faults: CallFaults::default(),
            written: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        Self { shared: Arc::new(Mutex::new(shared)), paused: Arc::default() }
    }

    /// Another client of the same platform.
    #[must_use]
    pub fn client(&self) -> Self {
        Self { shared: Arc::clone(&self.shared), paused: Arc::default() }
    }

    /// Makes calls misbehave from now on.
    pub fn set_faults(&self, faults: CallFaults) {
        self.shared.lock().faults = faults;
    }

    /// Stops this client between calls, as if its process stood still.
    pub fn pause(&self, paused: bool) {
        self.paused.store(paused, Ordering::Relaxed);
    }

    /// Every object as written, in the order of the writes.
    #[must_use]
    pub fn written(&self) -> Vec<Object> {
        self.shared.lock().written.clone()
    }

    async fn call<T, F>(&self, write: bool, operation: F) -> Result<T>
    where
        T: Send + 'static,
        F: FnOnce(&mut Shared) -> Result<T> + Send + 'static,
    {
        self.while_paused().await;
        let (fate, delay) = self.fate(write);
        tokio::time::sleep(delay).await;
        let result = match fate {
            Fate::Throttled => {
                Err(PlatformError::Refused { status: 429, message: "too many calls".to_owned() })
            }
            Fate::Served => operation(&mut self.shared.lock()),
            Fate::Lost => no_answer().await,
            Fate::Unanswered => {
                drop(operation(&mut self.shared.lock()));
                no_answer().await
            }
            Fate::Late(after) => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(async move {
                    tokio::time::sleep(after).await;
                    drop(operation(&mut shared.lock()));
                });
                no_answer().await
            }
        };
        self.while_paused().await;
        result
    }

    fn fate(&self, write: bool) -> (Fate, Duration) {
        let mut shared = self.shared.lock();
        let faults = shared.faults;
        let delay = Duration::from_millis(shared.rng.random_range(0..=faults.max_delay_ms));
        if faults.down {
            return (Fate::Lost, delay);
        }
        let late_ms = shared.rng.random_range(0..LATEST_WRITE_MS);
        let dice = shared.rng.random_range(0..100);
        let lost = faults.lost_percent;
        let unanswered = lost + faults.unanswered_percent;
        let throttled = unanswered + faults.throttled_percent;
        let late = throttled + faults.late_percent;
        let fate = match dice {
            dice if dice < lost => Fate::Lost,
            dice if dice < unanswered => Fate::Unanswered,
            dice if dice < throttled => Fate::Throttled,
            dice if dice < late && write => Fate::Late(Duration::from_millis(late_ms)),
            _ => Fate::Served,
        };
        (fate, delay)
    }

    async fn while_paused(&self) {
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
        let until = tokio::time::Instant::now() + WATCH_WAIT;
        loop {
            let found = self.call(false, move |shared| Ok(shared.store.changes_after(kind, after))).await?;
            if !found.changes.is_empty() || found.expired || tokio::time::Instant::now() >= until {
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
            shared.written.push(object.clone());
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

async fn no_answer<T>() -> Result<T> {
    tokio::time::sleep(CALL_TIMEOUT).await;
    Err(PlatformError::NoAnswer { reason: "nothing in time".to_owned() })
}

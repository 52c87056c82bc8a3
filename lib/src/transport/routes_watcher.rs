//! Follows the set of routes that operators write to the platform, and passes it to gossip.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::coordination::backoff::jittered;
use crate::log_event;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::published::Published;
use crate::protocol::route::ROUTES_NAME;
use crate::protocol::settings::PlatformSettings;
use crate::state::metrics::SharedMetrics;
use crate::transport::external_dialect::ExternalDialect;
use crate::transport::gossip::Gossip;
use crate::transport::object_watch::ObjectEvent;
use crate::transport::object_watch::watch_objects;
use crate::transport::platform::Platform;

/// Interval, before jitter, between checks of how the node has to watch.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive checks that have to find a new role of the node before it acts on it.
const ROLE_CHECKS: u32 = 4;
/// Factor by which watches wait longer on nodes that also get new routes from others.
const FOLLOWER_WAIT_FACTOR: u64 = 6;
/// Longest wait of a watch that the platform allows, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// How a node watches the routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchMode {
    /// With short waits, since a watch may stall without failing.
    Leader,
    /// With long waits.
    Follower,
    /// With long waits and at a lower price; changes may come seconds late, but other nodes tell of them.
    StaleFollower,
}

/// Watches the platform for new routes and applies them.
///
/// Every node watches. The platform's watchers of each zone follow it closely and gossip new revisions, which the
/// others fetch from them. The watches of those are a cheap fallback, unless they may not hear of revisions.
#[derive(Debug)]
pub struct RoutesWatcher<I>
where
    I: ExternalDialect,
{
    leader_store: I::Store,
    follower_store: I::Store,
    stale_store: I::Store,
    gossip: Arc<Gossip>,
    metrics: SharedMetrics,
    dialect: PhantomData<fn() -> I>,
}

impl<I> RoutesWatcher<I>
where
    I: ExternalDialect,
{
    /// Creates a watcher of the platform named in the settings.
    #[must_use]
    pub fn new(settings: &PlatformSettings, gossip: Arc<Gossip>, metrics: SharedMetrics) -> Self {
        let follower_wait_ms = (settings.watch_wait_ms * FOLLOWER_WAIT_FACTOR).min(MAX_WATCH_WAIT_MS);
        let follower_settings = PlatformSettings { watch_wait_ms: follower_wait_ms, ..settings.clone() };
        let follower_store = I::new_store(&follower_settings);
        Self {
            leader_store: I::new_store(settings),
            stale_store: follower_store.with_stale_watches(),
            follower_store,
            gossip,
            metrics,
            dialect: PhantomData,
        }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let follow_by_mode = async {
            let mut mode = self.mode();
            loop {
                log_event!(Info, "watching routes", mode = format_args!("{mode:?}"));
                tokio::select! {
                    () = self.follow(mode) => {}
                    next = self.next_mode(mode) => mode = next,
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = follow_by_mode => {}
        }
    }

    /// Lists the routes, then watches them without end.
    async fn follow(&self, mode: WatchMode) {
        let store = match mode {
            WatchMode::Leader => &self.leader_store,
            WatchMode::Follower => &self.follower_store,
            WatchMode::StaleFollower => &self.stale_store,
        };
        let gossip = Arc::clone(&self.gossip);
        let on_event = move |event| apply_event::<I>(&gossip, event);
        watch_objects(store.clone(), ObjectKind::Routes, Arc::clone(&self.metrics), on_event).await;
    }

    /// Returns how the node has to watch now.
    fn mode(&self) -> WatchMode {
        let role = self.gossip.role();
        if role.leads_zone {
            WatchMode::Leader
        } else if role.watches_platform || self.gossip.may_miss_configurations() {
            WatchMode::Follower
        } else {
            WatchMode::StaleFollower
        }
    }

    /// Waits until the node has to watch in another mode than `current`, and returns it.
    ///
    /// Several checks in a row have to find a new role, since in a mass start each node leads for a moment. A node
    /// that may miss configurations acts at once.
    async fn next_mode(&self, current: WatchMode) -> WatchMode {
        let mut matching_checks = 0;
        loop {
            let pause = jittered(CHECK_INTERVAL, &mut rand::rng());
            tokio::time::sleep(pause).await;
            let mode = self.mode();
            matching_checks = if mode == current { 0 } else { matching_checks + 1 };
            let is_urgent = current == WatchMode::StaleFollower && self.gossip.may_miss_configurations();
            if matching_checks >= ROLE_CHECKS || (mode != current && is_urgent) {
                return mode;
            }
        }
    }
}

/// Applies new routes. A deleted object is ignored: accepted routes stay until newer ones are written.
fn apply_event<I>(gossip: &Gossip, event: ObjectEvent)
where
    I: ExternalDialect,
{
    let objects: Vec<Object> = match event {
        ObjectEvent::Listed(objects) => objects,
        ObjectEvent::Changed(changes) => {
            changes.into_iter().filter(|change| !change.deleted).map(|change| change.object).collect()
        }
    };
    for object in objects {
        match I::parse_routes(&object.value) {
            Ok(set) => {
                let (version, routes) = (Arc::clone(&set.version), set.routes.len());
                let published = Published {
                    service: Arc::from(ROUTES_NAME),
                    revision: set.revision,
                    epoch: 0,
                    config: None,
                    routes: Some(set),
                };
                if gossip.apply(published) {
                    log_event!(
                        Info,
                        "routes applied",
                        version = version,
                        revision = object.version,
                        routes = routes,
                    );
                } else {
                    log_event!(
                        Info,
                        "routes read are not newer",
                        version = version,
                        revision = object.version,
                    );
                }
            }
            Err(reason) => {
                log_event!(Warn, "routes object is invalid", object = object.name, reason = reason);
            }
        }
    }
}

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

/// Interval, before jitter, between checks of the node's role.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive checks that have to find a new role before the node acts on it.
const ROLE_CHECKS: u32 = 4;
/// Factor by which watches wait longer on nodes that also get new routes from their zone's leader.
const FOLLOWER_WAIT_FACTOR: u64 = 6;
/// Longest wait of a watch that the platform allows, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// Watches the platform for new routes and applies them.
///
/// Every node watches. A watch may stall without failing, so the zone's leading node uses short
/// waits. The other nodes also get new routes from the leading node and use longer waits.
#[derive(Debug)]
pub struct RoutesWatcher<I>
where
    I: ExternalDialect,
{
    leader_store: I::Store,
    follower_store: I::Store,
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
        Self {
            leader_store: I::new_store(settings),
            follower_store: I::new_store(&follower_settings),
            gossip,
            metrics,
            dialect: PhantomData,
        }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let follow_by_role = async {
            loop {
                let leads_zone = self.gossip.role().leads_zone;
                tokio::select! {
                    () = self.follow(leads_zone) => {}
                    () = self.wait_for_role(!leads_zone) => {}
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = follow_by_role => {}
        }
    }

    async fn follow(&self, leads_zone: bool) {
        let store = if leads_zone { &self.leader_store } else { &self.follower_store };
        let gossip = Arc::clone(&self.gossip);
        let on_event = move |event| apply_event::<I>(&gossip, event);
        watch_objects(store.clone(), ObjectKind::Routes, Arc::clone(&self.metrics), on_event).await;
    }

    /// Waits until several checks in a row find the role: in a mass start each node leads for a moment.
    async fn wait_for_role(&self, leads_zone: bool) {
        let mut matching_checks = 0;
        while matching_checks < ROLE_CHECKS {
            let pause = jittered(ROLE_CHECK_INTERVAL, &mut rand::rng());
            tokio::time::sleep(pause).await;
            matching_checks =
                if self.gossip.role().leads_zone == leads_zone { matching_checks + 1 } else { 0 };
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

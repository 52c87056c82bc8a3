//! Following the routes that operators write to the platform as one whole.

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

/// Time between two looks at the node's role.
const ROLE_CHECK: Duration = Duration::from_millis(500);
/// Looks in a row that have to find the same role before it is taken up.
const ROLE_LOOKS: u32 = 4;
/// How much longer a watch may wait on nodes that hear of new routes from their zone's leader too.
const RELAXED_FACTOR: u64 = 6;
/// Longest wait that the platform allows, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// Watches the platform for new routes and passes them on.
///
/// Every node watches. A watch may go silent without failing, so the zone's leading node asks
/// again soon, and the others rely on it and ask seldom.
#[derive(Debug)]
pub struct RoutesReader<I>
where
    I: ExternalDialect,
{
    reader: I::Store,
    relaxed: I::Store,
    gossip: Arc<Gossip>,
    metrics: SharedMetrics,
    dialect: PhantomData<fn() -> I>,
}

impl<I> RoutesReader<I>
where
    I: ExternalDialect,
{
    /// A reader of the platform that the settings name.
    #[must_use]
    pub fn new(settings: &PlatformSettings, gossip: Arc<Gossip>, metrics: SharedMetrics) -> Self {
        let relaxed_ms = (settings.watch_wait_ms * RELAXED_FACTOR).min(MAX_WATCH_WAIT_MS);
        let relaxed = PlatformSettings { watch_wait_ms: relaxed_ms, ..settings.clone() };
        Self {
            reader: I::new_store(settings),
            relaxed: I::new_store(&relaxed),
            gossip,
            metrics,
            dialect: PhantomData,
        }
    }

    /// Works until told to stop.
    pub async fn run(self, stop: CancellationToken) {
        let work = async {
            loop {
                let watches_platform = self.gossip.role().leads_zone;
                tokio::select! {
                    () = self.follow(watches_platform) => {}
                    () = self.until_role(!watches_platform) => {}
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = work => {}
        }
    }

    async fn follow(&self, watches_platform: bool) {
        let store = if watches_platform { &self.reader } else { &self.relaxed };
        let gossip = Arc::clone(&self.gossip);
        let on_event = move |event| apply_event::<I>(&gossip, event);
        watch_objects(store.clone(), ObjectKind::Routes, Arc::clone(&self.metrics), on_event).await;
    }

    /// Waits until the role has held for some looks: in a mass start each node leads for a moment.
    async fn until_role(&self, watches_platform: bool) {
        let mut held = 0;
        while held < ROLE_LOOKS {
            let pause = jittered(ROLE_CHECK, &mut rand::rng());
            tokio::time::sleep(pause).await;
            held = if self.gossip.role().leads_zone == watches_platform { held + 1 } else { 0 };
        }
    }
}

/// A deleted object changes nothing: what was accepted stays until something newer is written.
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
                    revision: object.version,
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
                }
            }
            Err(reason) => {
                log_event!(Warn, "unreadable routes", object = object.name, reason = reason);
            }
        }
    }
}

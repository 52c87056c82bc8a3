//! Follows the set of routes that operators write to the platform, and passes it to gossip.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

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
use crate::transport::object_watch::ObjectWatch;
use crate::transport::object_watch::WatchPosition;
use crate::transport::platform::Platform;
use crate::transport::watch_mode::CONFIRMATION_SPREAD;
use crate::transport::watch_mode::MIN_WATCH_WAIT_MS;
use crate::transport::watch_mode::READ_TIME;
use crate::transport::watch_mode::WatchMode;
use crate::transport::watch_mode::WatchModes;

/// Factor by which watches wait longer on a node that gets no confirmation from others.
const UNCONFIRMED_WAIT_FACTOR: u64 = 2;
/// Factor by which watches wait longer on nodes that also get new routes from others.
const FOLLOWER_WAIT_FACTOR: u64 = 12;
/// Longest wait of a watch that the platform allows, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// Returns the age at which a confirmation of the routes by another node no longer counts.
///
/// A change is in force on a node that other nodes fail after this time and one read of the platform.
#[must_use]
pub fn max_confirmation_age(settings: &PlatformSettings) -> Duration {
    Duration::from_millis(settings.watch_wait_ms) + CONFIRMATION_SPREAD
}

/// Returns the longest wait of a watch with which a change is in force within `config_apply_ms`, in milliseconds.
#[must_use]
pub fn max_watch_wait_ms(config_apply_ms: u64) -> u64 {
    let reserve = CONFIRMATION_SPREAD + READ_TIME;
    let reserve_ms = u64::try_from(reserve.as_millis()).unwrap_or(u64::MAX);
    config_apply_ms.saturating_sub(reserve_ms).max(MIN_WATCH_WAIT_MS)
}

/// Watches the platform for new routes and applies them.
///
/// Every node watches. Some nodes of each zone follow the platform closely and gossip new revisions, which the others
/// fetch from them. The watches of those are a cheap fallback for as long as a node that follows the platform
/// confirms that their routes are the latest. Without a recent confirmation a node reads the platform itself.
#[derive(Debug)]
pub struct RoutesWatcher<I>
where
    I: ExternalDialect,
{
    confirmer_store: I::Store,
    unconfirmed_store: I::Store,
    follower_store: I::Store,
    stale_store: I::Store,
    gossip: Arc<Gossip>,
    modes: WatchModes,
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
        let follower_store = I::new_store(&with_longer_waits(settings, FOLLOWER_WAIT_FACTOR));
        Self {
            confirmer_store: I::new_store(settings),
            unconfirmed_store: I::new_store(&with_longer_waits(settings, UNCONFIRMED_WAIT_FACTOR)),
            stale_store: follower_store.with_stale_watches(),
            follower_store,
            modes: WatchModes::new(Arc::clone(&gossip)),
            gossip,
            metrics,
            dialect: PhantomData,
        }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let follow_by_mode = async {
            let mut mode = self.modes.current();
            let mut position = None;
            loop {
                log_event!(Info, "watching routes", mode = format_args!("{mode:?}"));
                if !mode.relies_on_others() {
                    // A listing is answered at once, and so confirms that the routes are the latest.
                    position = None;
                }
                tokio::select! {
                    () = self.follow(mode, &mut position) => {}
                    next = self.modes.next(mode) => mode = next,
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = follow_by_mode => {}
        }
    }

    /// Watches the routes without end from `position`, or lists them first if there is none.
    async fn follow(&self, mode: WatchMode, position: &mut Option<WatchPosition>) {
        let store = match mode {
            WatchMode::Confirmer => &self.confirmer_store,
            WatchMode::Unconfirmed => &self.unconfirmed_store,
            WatchMode::Follower => &self.follower_store,
            WatchMode::StaleFollower => &self.stale_store,
        };
        let on_event = |event, _position| apply_event::<I>(&self.gossip, event);
        let on_current = |current_at| {
            if mode != WatchMode::StaleFollower {
                self.gossip.confirm_configurations(current_at);
            }
        };
        let watch = ObjectWatch {
            platform: store.clone(),
            kind: ObjectKind::Routes,
            metrics: Arc::clone(&self.metrics),
            backoff: mode.backoff(),
        };
        watch.resume(position, on_event, on_current).await;
    }
}

/// Returns the settings with waits of watches that are longer by a factor, as far as the platform allows.
fn with_longer_waits(settings: &PlatformSettings, factor: u64) -> PlatformSettings {
    let watch_wait_ms = (settings.watch_wait_ms * factor).min(MAX_WATCH_WAIT_MS);
    PlatformSettings { watch_wait_ms, ..settings.clone() }
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
                    evacuations: None,
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

//! Follows the evacuations of zones that operators write to the platform, and passes them to gossip.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::coordination::evacuation::EvacuationView;
use crate::log_event;
use crate::protocol::evacuation::EVACUATIONS_NAME;
use crate::protocol::object::ObjectKind;
use crate::protocol::settings::PlatformSettings;
use crate::state::config_table::ConfigTable;
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

/// Time after its wait at which a watch without an answer has failed and the next read begins.
const STALLED_WATCH_TIME: Duration = Duration::from_millis(900);

/// Returns the longest wait of a watch with which an evacuation is in force within `evacuation_ms`, in milliseconds.
///
/// The rest of the time is for a watch whose answer is lost, the listing that follows, and the way to other nodes.
#[must_use]
pub fn max_evacuation_wait_ms(evacuation_ms: u64) -> u64 {
    let reserve = STALLED_WATCH_TIME + READ_TIME + CONFIRMATION_SPREAD;
    let reserve_ms = u64::try_from(reserve.as_millis()).unwrap_or(u64::MAX);
    evacuation_ms.saturating_sub(reserve_ms).max(MIN_WATCH_WAIT_MS)
}

/// Watches the platform for evacuations of zones and applies them.
///
/// Only a node that confirms configurations to others, or to which no other node confirms them, reads the platform.
/// The others get the evacuations by gossip.
#[derive(Debug)]
pub struct EvacuationWatcher<P> {
    store: P,
    modes: WatchModes,
    gossip: Arc<Gossip>,
    config: Arc<ConfigTable>,
    metrics: SharedMetrics,
    listed: CancellationToken,
}

impl<P> EvacuationWatcher<P> {
    /// Returns a token that is cancelled once the node has read the evacuations from the platform.
    #[must_use]
    pub const fn listed(&self) -> &CancellationToken {
        &self.listed
    }
}

impl<P> EvacuationWatcher<P>
where
    P: Platform,
{
    /// Creates a watcher of the platform named in the settings; `None` if its zones are not evacuated.
    #[must_use]
    pub fn new<I>(
        settings: &PlatformSettings,
        gossip: Arc<Gossip>,
        config: Arc<ConfigTable>,
        metrics: SharedMetrics,
    ) -> Option<Self>
    where
        I: ExternalDialect<Store = P>,
    {
        let watch_wait_ms = settings.evacuation_wait_ms?;
        let store = I::new_store(&PlatformSettings { watch_wait_ms, ..settings.clone() });
        let modes = WatchModes::new(Arc::clone(&gossip));
        Some(Self { store, modes, gossip, config, metrics, listed: CancellationToken::new() })
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let follow_by_mode = async {
            let mut mode = self.modes.current();
            loop {
                log_event!(Info, "watching evacuations", mode = format_args!("{mode:?}"));
                tokio::select! {
                    () = self.follow(mode) => {}
                    next = self.modes.next(mode) => mode = next,
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = follow_by_mode => {}
        }
    }

    /// Lists and watches the evacuations without end, or does nothing while the node relies on others.
    async fn follow(&self, mode: WatchMode) {
        if mode.relies_on_others() {
            return std::future::pending().await;
        }
        let watch = ObjectWatch {
            platform: self.store.clone(),
            kind: ObjectKind::Evacuation,
            metrics: Arc::clone(&self.metrics),
            backoff: mode.backoff(),
        };
        let view = Mutex::new(EvacuationView::default());
        let on_event = |event, position| record_event(&mut view.lock(), event, position);
        // Publishing after each answer also replaces a set that another node read earlier and published later.
        let on_current = |_current_at| {
            self.publish(&view.lock());
            self.listed.cancel();
        };
        watch.resume(&mut None, on_event, on_current).await;
    }

    /// Applies the evacuations as read and passes them to other nodes, if they are news.
    fn publish(&self, view: &EvacuationView) {
        let held = self.config.get(EVACUATIONS_NAME);
        let Some(published) = view.publication(held.as_deref(), unix_ms()) else {
            return;
        };
        let revision = published.revision;
        if self.gossip.apply(published) {
            log_event!(Info, "evacuations read", revision = revision);
        }
    }
}

/// Applies what the platform reports to the view.
fn record_event(view: &mut EvacuationView, event: ObjectEvent, position: WatchPosition) {
    let WatchPosition { epoch, version } = position;
    match event {
        ObjectEvent::Listed(objects) => *view = EvacuationView::listed(&objects, epoch, version),
        ObjectEvent::Changed(changes) => {
            for change in changes {
                view.record_change(&change.object, change.deleted, epoch);
            }
            view.advance(epoch, version);
        }
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

//! Reads published configurations from the platform on behalf of a zone and gossips them.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::coordination::backoff::jittered;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::published::Published;
use crate::state::metrics::SharedMetrics;
use crate::transport::gossip::Gossip;
use crate::transport::object_watch::ObjectEvent;
use crate::transport::object_watch::ObjectWatch;
use crate::transport::object_watch::platform_backoff;
use crate::transport::platform::Platform;

/// Time between two checks of the node's role, before jitter.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Watch of the platform's published configurations while the node is one of its zone's platform watchers.
#[derive(Debug)]
pub struct ConfigWatcher<P> {
    /// The platform.
    pub platform: P,
    /// Gossip, which applies configurations and relays them.
    pub gossip: Arc<Gossip>,
    /// Metrics of the node.
    pub metrics: SharedMetrics,
}

impl<P> ConfigWatcher<P>
where
    P: Platform,
{
    /// Watches the platform whenever the node is a platform watcher, until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let work = async {
            loop {
                self.wait_for_role(true).await;
                let watch = ObjectWatch {
                    platform: self.platform.clone(),
                    kind: ObjectKind::Published,
                    metrics: Arc::clone(&self.metrics),
                    backoff: platform_backoff(),
                };
                let mut position = None;
                let watching = watch.resume(
                    &mut position,
                    |event, _position| apply_event(&self.gossip, event),
                    |current_at| self.gossip.confirm_configurations(current_at),
                );
                tokio::select! {
                    () = watching => {}
                    () = self.wait_for_role(false) => {}
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = work => {}
        }
    }

    /// Waits until the node is a platform watcher of its zone, or no longer one if `is_watcher` is false.
    async fn wait_for_role(&self, is_watcher: bool) {
        while self.gossip.role().watches_platform != is_watcher {
            let pause = jittered(ROLE_CHECK_INTERVAL, &mut rand::rng());
            tokio::time::sleep(pause).await;
        }
    }
}

/// Applies listed and changed configurations.
///
/// A deletion has no effect: an accepted configuration remains until a newer one is published.
fn apply_event(gossip: &Gossip, event: ObjectEvent) {
    let objects: Vec<Object> = match event {
        ObjectEvent::Listed(objects) => objects,
        ObjectEvent::Changed(changes) => {
            let remaining = changes.into_iter().filter(|change| !change.deleted);
            remaining.map(|change| change.object).collect()
        }
    };
    for object in objects {
        match serde_json::from_value::<Published>(object.value) {
            Ok(published) if published.service == object.name => {
                gossip.apply(published);
            }
            Ok(published) => {
                log::warn!(
                    "publication name differs from its service; object={} service={}",
                    object.name,
                    published.service
                );
            }
            Err(error) => log::warn!("unreadable publication; object={} error={error}", object.name),
        }
    }
}

//! Reading published configurations on behalf of a zone.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::coordination::backoff::jittered;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::published::Published;
use crate::state::metrics::SharedMetrics;
use crate::transport::gossip::Gossip;
use crate::transport::kind_watch::KindEvent;
use crate::transport::kind_watch::follow_kind;
use crate::transport::platform::Platform;

const ROLE_CHECK: Duration = Duration::from_millis(500);

/// Watches the platform while the node is one of its zone's readers.
#[derive(Debug)]
pub struct ConfigReader<P> {
    /// The platform.
    pub platform: P,
    /// Where configurations are applied and passed on.
    pub gossip: Arc<Gossip>,
    /// Counters.
    pub metrics: SharedMetrics,
}

impl<P> ConfigReader<P>
where
    P: Platform,
{
    /// Works until told to stop.
    pub async fn run(self, stop: CancellationToken) {
        let work = async {
            loop {
                self.until_role(true).await;
                let gossip = Arc::clone(&self.gossip);
                let following = follow_kind(
                    self.platform.clone(),
                    ObjectKind::Published,
                    Arc::clone(&self.metrics),
                    move |event| apply_event(&gossip, event),
                );
                tokio::select! {
                    () = following => {}
                    () = self.until_role(false) => {}
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = work => {}
        }
    }

    async fn until_role(&self, reads: bool) {
        while self.gossip.role().reads != reads {
            let pause = jittered(ROLE_CHECK, &mut rand::rng());
            tokio::time::sleep(pause).await;
        }
    }
}

/// A deleted object changes nothing: what was accepted stays until something newer is published.
fn apply_event(gossip: &Gossip, event: KindEvent) {
    let objects: Vec<Object> = match event {
        KindEvent::Listed(objects) => objects,
        KindEvent::Changed(changes) => {
            let written = changes.into_iter().filter(|change| !change.deleted);
            written.map(|change| change.object).collect()
        }
    };
    for object in objects {
        match serde_json::from_value::<Published>(object.value) {
            Ok(published) if published.service == object.name => {
                gossip.apply(published);
            }
            Ok(published) => {
                log::warn!(
                    "publication under a wrong name; object={} service={}",
                    object.name,
                    published.service
                );
            }
            Err(error) => log::warn!("unreadable publication; object={} error={error}", object.name),
        }
    }
}

//! Following every object of one kind in the platform.

use std::time::Duration;

use crate::coordination::backoff::Backoff;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::platform::Change;
use crate::transport::platform::Platform;

const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// What became known of a kind.
#[derive(Clone, Debug, PartialEq)]
pub enum KindEvent {
    /// Every object that there is.
    Listed(Vec<Object>),
    /// What changed since.
    Changed(Vec<Change>),
}

/// A growing pause between calls of the platform that fail.
#[must_use]
pub const fn platform_backoff() -> Backoff {
    Backoff::new(FIRST_PAUSE, LONGEST_PAUSE)
}

/// Lists a kind and then watches it for as long as the caller lets it.
pub async fn follow_kind<P, F>(platform: P, kind: ObjectKind, metrics: SharedMetrics, mut on_event: F)
where
    P: Platform,
    F: FnMut(KindEvent) + Send,
{
    let mut backoff = platform_backoff();
    let mut watched: Option<u64> = None;
    loop {
        let result = match watched {
            None => {
                Metrics::count(&metrics.platform_calls, "list");
                platform.list(kind).await.map(|listing| {
                    on_event(KindEvent::Listed(listing.objects));
                    Some(listing.version)
                })
            }
            Some(after) => {
                Metrics::count(&metrics.platform_calls, "watch");
                platform.watch(kind, after).await.map(|changes| {
                    if changes.expired {
                        return None;
                    }
                    if !changes.changes.is_empty() {
                        on_event(KindEvent::Changed(changes.changes));
                    }
                    Some(changes.version)
                })
            }
        };
        match result {
            Ok(next) => {
                watched = next;
                backoff.reset();
            }
            Err(error) => {
                Metrics::count(&metrics.platform_calls, "failed");
                log::debug!("platform not followed; kind={kind} error={error}");
                let pause = backoff.next(&mut rand::rng());
                tokio::time::sleep(pause).await;
            }
        }
    }
}

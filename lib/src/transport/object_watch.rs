//! Lists and watches all objects of one kind in the platform's store.

use std::time::Duration;

use crate::coordination::backoff::Backoff;
use crate::log_event;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::platform::Change;
use crate::transport::platform::Listing;
use crate::transport::platform::Platform;

/// Upper bound of the pause after the first failed request to the platform.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the pause after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Event about the objects of one kind.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectEvent {
    /// All existing objects, which replace everything reported before.
    Listed(Vec<Object>),
    /// Changes since the previous event.
    Changed(Vec<Change>),
}

/// Returns the backoff between failed requests to the platform.
#[must_use]
pub const fn platform_backoff() -> Backoff {
    Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF)
}

/// Position of a watch: a version of the store, which is comparable only within one epoch of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WatchPosition {
    epoch: u64,
    version: u64,
}

/// Lists a kind, then watches it until the future is dropped.
///
/// A watch that ends without changes is repeated from the same version, so that a change that the platform
/// failed to report is reported by the next watch. The kind is listed again after a failure, an expired
/// version, or a restore of the store: a restored store gives versions out again, so that changes may lie
/// behind the version watched from.
pub async fn watch_objects<P, F>(platform: P, kind: ObjectKind, metrics: SharedMetrics, mut on_event: F)
where
    P: Platform,
    F: FnMut(ObjectEvent) + Send,
{
    let mut backoff = platform_backoff();
    let mut position: Option<WatchPosition> = None;
    let mut last_epoch: Option<u64> = None;
    let mut reachable = true;
    loop {
        let result = match position {
            None => {
                Metrics::count(&metrics.platform_calls, "list");
                platform.list(kind).await.map(|listing| {
                    if let Some(previous) = last_epoch.replace(listing.epoch)
                        && previous != listing.epoch
                    {
                        log_restore(kind, previous, &listing);
                    }
                    let position = WatchPosition { epoch: listing.epoch, version: listing.version };
                    on_event(ObjectEvent::Listed(listing.objects));
                    Some(position)
                })
            }
            Some(position) => {
                Metrics::count(&metrics.platform_calls, "watch");
                let changes = platform.watch(kind, position.version).await;
                changes.map(|changes| {
                    if changes.expired || changes.epoch != position.epoch {
                        return None;
                    }
                    if changes.changes.is_empty() {
                        return Some(position);
                    }
                    on_event(ObjectEvent::Changed(changes.changes));
                    Some(WatchPosition { version: changes.version, ..position })
                })
            }
        };
        match result {
            Ok(next) => {
                if !reachable {
                    log_event!(
                        Info,
                        "platform followed again",
                        kind = kind,
                        watched = next.map_or(0, |position| position.version),
                    );
                }
                reachable = true;
                position = next;
                backoff.reset();
            }
            Err(error) => {
                Metrics::count(&metrics.platform_calls, "failed");
                if reachable {
                    log_event!(Warn, "platform not followed", kind = kind, error = &error);
                }
                reachable = false;
                position = None;
                let pause = backoff.next_delay(&mut rand::rng());
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Logs that the store was restored from a copy since the previous listing.
fn log_restore(kind: ObjectKind, previous: u64, listing: &Listing) {
    log_event!(
        Warn,
        "platform store was restored",
        kind = kind,
        epoch = listing.epoch,
        previous = previous,
        version = listing.version,
    );
}

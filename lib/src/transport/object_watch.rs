//! Lists and watches all objects of one kind in the platform's store.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::backoff::Backoff;
use crate::log_event;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::platform::Change;
use crate::transport::platform::Listing;
use crate::transport::platform::Platform;
use crate::transport::platform::Result;

/// Upper bound of the pause after the first failed request to the platform.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the pause after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Shortest time from one watch to the next request after a watch without changes.
///
/// A store may answer watches at once although there is nothing to report.
pub const MIN_WATCH_TIME: Duration = Duration::from_millis(50);

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
pub struct WatchPosition {
    /// Epoch of the store.
    pub epoch: u64,
    /// Version of the store within the epoch.
    pub version: u64,
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
    let watch = ObjectWatch { platform, kind, metrics, backoff: platform_backoff() };
    watch.resume(&mut None, |event, _position| on_event(event), |_current_at| {}).await;
}

/// A watch of all objects of one kind.
#[derive(Clone, Debug)]
pub struct ObjectWatch<P> {
    /// The platform.
    pub platform: P,
    /// Kind of the objects.
    pub kind: ObjectKind,
    /// Metrics of the node.
    pub metrics: SharedMetrics,
    /// Pauses between failed requests.
    pub backoff: Backoff,
}

impl<P> ObjectWatch<P>
where
    P: Platform,
{
    /// Watches like [`watch_objects`], from `position` if there is one, and leaves there how far it came.
    ///
    /// `on_event` gets each event with the position up to which it completes the events reported before.
    /// After each answer, `on_current` gets a time at which the events reported so far were up to date.
    /// An answer to a watch counts as up to date when it arrives, since the platform sends it at once when there is
    /// a change or the wait ends. A listing counts from its request, as it may take several answers.
    pub async fn resume<F, C>(
        mut self,
        position: &mut Option<WatchPosition>,
        mut on_event: F,
        mut on_current: C,
    ) where
        F: FnMut(ObjectEvent, WatchPosition) + Send,
        C: FnMut(Instant) + Send,
    {
        let mut last_epoch = position.map(|position| position.epoch);
        let mut reachable = true;
        loop {
            let requested_at = Instant::now();
            let result = match *position {
                None => self.list(&mut last_epoch, &mut on_event, &mut on_current).await.map(Some),
                Some(watched) => self.watch(watched, &mut on_event, &mut on_current).await,
            };
            match result {
                Ok(next) => {
                    if !reachable {
                        let watched = next.map_or(0, |position| position.version);
                        log_event!(Info, "platform followed again", kind = self.kind, watched = watched);
                    }
                    reachable = true;
                    let has_no_changes = position.is_some() && (next.is_none() || next == *position);
                    *position = next;
                    self.backoff.reset();
                    if has_no_changes {
                        tokio::time::sleep_until(requested_at + MIN_WATCH_TIME).await;
                    }
                }
                Err(error) => {
                    Metrics::count(&self.metrics.platform_calls, "failed");
                    if reachable {
                        log_event!(Warn, "platform not followed", kind = self.kind, error = &error);
                    }
                    reachable = false;
                    *position = None;
                    let pause = self.backoff.next_delay(&mut rand::rng());
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    /// Lists the objects, and returns the position from which to watch.
    async fn list<F, C>(
        &self,
        last_epoch: &mut Option<u64>,
        on_event: &mut F,
        on_current: &mut C,
    ) -> Result<WatchPosition>
    where
        F: FnMut(ObjectEvent, WatchPosition) + Send,
        C: FnMut(Instant) + Send,
    {
        Metrics::count(&self.metrics.platform_calls, "list");
        let requested_at = Instant::now();
        let listing = self.platform.list(self.kind).await?;
        if let Some(previous) = last_epoch.replace(listing.epoch)
            && previous != listing.epoch
        {
            log_restore(self.kind, previous, &listing);
        }
        let position = WatchPosition { epoch: listing.epoch, version: listing.version };
        on_event(ObjectEvent::Listed(listing.objects), position);
        on_current(requested_at);
        Ok(position)
    }

    /// Waits for changes after `watched`, and returns the next position, or `None` if the kind has to be listed.
    async fn watch<F, C>(
        &self,
        watched: WatchPosition,
        on_event: &mut F,
        on_current: &mut C,
    ) -> Result<Option<WatchPosition>>
    where
        F: FnMut(ObjectEvent, WatchPosition) + Send,
        C: FnMut(Instant) + Send,
    {
        Metrics::count(&self.metrics.platform_calls, "watch");
        let changes = self.platform.watch(self.kind, watched.version).await?;
        if changes.expired || changes.epoch != watched.epoch {
            return Ok(None);
        }
        let mut next = watched;
        if !changes.changes.is_empty() {
            next.version = changes.version;
            on_event(ObjectEvent::Changed(changes.changes), next);
        }
        on_current(Instant::now());
        Ok(Some(next))
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

//! How a node has to watch what operators write to the platform, given its role and what others confirm to it.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::coordination::backoff::Backoff;
use crate::coordination::backoff::jittered;
use crate::transport::gossip::Gossip;
use crate::transport::object_watch::platform_backoff;

/// Interval, before jitter, between checks of how the node has to watch.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive checks that have to find a new role of the node before it acts on it.
const ROLE_CHECKS: u32 = 4;

/// Upper bounds of the pauses between failed reads of a node that gets no confirmation from others.
///
/// Such a node may be one of many: while the platform is away, no node can confirm anything to the others.
const UNCONFIRMED_BACKOFF: Backoff = Backoff::new(Duration::from_secs(1), Duration::from_secs(2));

/// Time that a confirmation may take to reach a node, one lost datagram included, beyond the wait of a watch.
pub const CONFIRMATION_SPREAD: Duration = Duration::from_millis(600);
/// Time that one read of the platform may take.
pub const READ_TIME: Duration = Duration::from_millis(500);
/// Shortest wait of a watch, in milliseconds.
pub const MIN_WATCH_WAIT_MS: u64 = 100;

/// How a node watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// With short waits, since a watch may stall without failing and other nodes rely on this one.
    Confirmer,
    /// With medium waits, since no other node confirms that the configuration is the latest.
    Unconfirmed,
    /// With long waits.
    Follower,
    /// With long waits and at a lower price; changes may come seconds late, but other nodes tell of them.
    StaleFollower,
}

impl WatchMode {
    /// Returns whether the node relies on others to tell it of changes in time.
    #[must_use]
    pub const fn relies_on_others(self) -> bool {
        matches!(self, Self::Follower | Self::StaleFollower)
    }

    /// Returns the pauses between failed requests to the platform.
    #[must_use]
    pub const fn backoff(self) -> Backoff {
        match self {
            Self::Unconfirmed => UNCONFIRMED_BACKOFF,
            Self::Confirmer | Self::Follower | Self::StaleFollower => platform_backoff(),
        }
    }
}

/// The mode in which one node has to watch, as it changes with the fleet.
#[derive(Clone, Debug)]
pub struct WatchModes {
    gossip: Arc<Gossip>,
    may_miss_configurations: watch::Receiver<bool>,
}

impl WatchModes {
    /// Creates the modes of the node with this gossip.
    #[must_use]
    pub fn new(gossip: Arc<Gossip>) -> Self {
        Self { may_miss_configurations: gossip.may_miss_configurations(), gossip }
    }

    /// Returns how the node has to watch now.
    #[must_use]
    pub fn current(&self) -> WatchMode {
        let role = self.gossip.role();
        let may_miss_configurations = *self.may_miss_configurations.borrow();
        if role.confirms_configurations || (role.watches_platform && may_miss_configurations) {
            WatchMode::Confirmer
        } else if may_miss_configurations {
            WatchMode::Unconfirmed
        } else if role.watches_platform {
            WatchMode::Follower
        } else {
            WatchMode::StaleFollower
        }
    }

    /// Waits until the node has to watch in another mode than `current`, and returns it.
    ///
    /// Several checks in a row have to find a new role, since in a mass start each node leads for a moment. A node
    /// that may miss configurations acts at once.
    pub async fn next(&self, current: WatchMode) -> WatchMode {
        let mut may_miss_configurations = self.may_miss_configurations.clone();
        let mut matching_checks = 0;
        loop {
            let pause = jittered(CHECK_INTERVAL, &mut rand::rng());
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                Ok(_) = may_miss_configurations.wait_for(|may_miss| *may_miss), if current.relies_on_others() => {}
            }
            let mode = self.current();
            matching_checks = if mode == current { 0 } else { matching_checks + 1 };
            let is_urgent = current.relies_on_others() && !mode.relies_on_others();
            if matching_checks >= ROLE_CHECKS || is_urgent {
                return mode;
            }
        }
    }
}

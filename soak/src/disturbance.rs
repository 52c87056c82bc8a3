//! Random disturbances of the nodes, their connections and the platform.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use yuccatray_testutils::fault_relay::Fault;

/// Number of variants of [`Disturbance`] that [`Disturbance::random`] returns.
const KIND_COUNT: u32 = 11;
/// Lower bound of the duration of a disturbance.
const MIN_DURATION_MS: u64 = 100;
/// Upper bound of the duration of a disturbance.
const MAX_DURATION_MS: u64 = 2_000;
/// Upper bound of the delay between nodes.
const MAX_DELAY_MS: u64 = 80;
const MAX_LOST_ANSWERS: u32 = 4;

/// A disturbance of one node or of the platform, with its duration unless it is instantaneous.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Kills the node's process with `SIGKILL` and restarts it.
    Kill,
    /// Stops the node's process with `SIGTERM` and restarts it.
    Terminate,
    /// Suspends the node's process with `SIGSTOP`.
    Pause(Duration),
    /// Sends `SIGHUP` to the node's process, which reloads its settings.
    Hangup,
    /// Rewrites the settings file with the same content, without a signal.
    TouchSettings,
    /// Cuts or stalls the open connections from other nodes.
    PeerFault(Fault, Duration),
    /// Cuts or stalls the open connections between the node and its upstream.
    UpstreamFault(Fault, Duration),
    /// Delays all traffic from other nodes.
    PeerDelay {
        /// Added delay.
        delay: Duration,
        /// Duration of the disturbance.
        duration: Duration,
    },
    /// The platform answers no requests.
    PlatformDown(Duration),
    /// Every request to the platform takes longer.
    PlatformSlow(Duration),
    /// A number of writes to the platform take effect without an answer, and watches fail.
    PlatformLosesAnswers(u32, Duration),
    /// The connections between the node and its upstream are cut, and the upstream is cold.
    ColdRestart,
    /// The node can't reach the platform's store.
    StoreCut(Duration),
    /// The platform's store discards its history of changes.
    HistoryLost,
}

impl Disturbance {
    /// Returns a random disturbance, all kinds being equally likely.
    pub fn random<R>(rng: &mut R) -> Self
    where
        R: Rng,
    {
        let duration = Duration::from_millis(rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS));
        let fault = match rng.random_range(0..4) {
            0 => Fault::Cut,
            1 => Fault::StallToTarget,
            2 => Fault::StallToClient,
            _ => Fault::StallBoth,
        };
        match rng.random_range(0..KIND_COUNT) {
            0 => Self::Kill,
            1 => Self::Terminate,
            2 => Self::Pause(duration),
            3 => Self::Hangup,
            4 => Self::TouchSettings,
            5 => Self::PeerFault(fault, duration),
            6 => Self::UpstreamFault(fault, duration),
            7 => {
                let delay = Duration::from_millis(rng.random_range(1..MAX_DELAY_MS));
                Self::PeerDelay { delay, duration }
            }
            8 => Self::PlatformDown(duration),
            9 => Self::PlatformSlow(duration),
            _ => Self::PlatformLosesAnswers(rng.random_range(1..=MAX_LOST_ANSWERS), duration),
        }
    }

    /// Returns a random disturbance of a deployment with tenants.
    ///
    /// Connections to upstreams are not stalled: the requests in them would arrive together, at a rate that is not
    /// the gate's.
    pub fn random_with_tenants<R>(rng: &mut R) -> Self
    where
        R: Rng,
    {
        match Self::random(rng) {
            Self::UpstreamFault(..) => Self::ColdRestart,
            Self::PlatformSlow(duration) => Self::StoreCut(duration),
            Self::PlatformLosesAnswers(..) => Self::HistoryLost,
            other => other,
        }
    }
}

//! What is done to a site, drawn from a seed.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use yuccatray_testutils::fault_relay::Fault;

const KINDS: u32 = 11;
const SHORTEST_MS: u64 = 100;
const LONGEST_MS: u64 = 2_000;
const LARGEST_DELAY_MS: u64 = 80;
const MOST_LOST_ANSWERS: u32 = 4;

/// One thing that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// The process is killed and started again.
    Kill,
    /// The process is told to stop and started again.
    Terminate,
    /// The process stands still.
    Pause(Duration),
    /// The process is told that its settings have changed.
    Hangup,
    /// The settings file is written anew without a signal.
    TouchSettings,
    /// Open connections from other nodes break or fall silent for so long.
    Peers(Fault, Duration),
    /// The same between the node and its upstream.
    Upstream(Fault, Duration),
    /// Whatever passes between nodes is held back by `delay` for `lasts`.
    SlowPeers {
        /// How much later everything arrives.
        delay: Duration,
        /// For how long.
        lasts: Duration,
    },
    /// The platform gives no answer.
    StoreDown(Duration),
    /// Every call of the platform takes longer.
    StoreSlow(Duration),
    /// Writes take effect and get no answer, and watches break.
    StoreLosesAnswers(u32, Duration),
}

impl Disturbance {
    /// One of all kinds, with figures by chance.
    pub fn draw<R>(rng: &mut R) -> Self
    where
        R: Rng,
    {
        let lasts = Duration::from_millis(rng.random_range(SHORTEST_MS..LONGEST_MS));
        let fault = match rng.random_range(0..4) {
            0 => Fault::Cut,
            1 => Fault::StallToTarget,
            2 => Fault::StallToClient,
            _ => Fault::StallBoth,
        };
        match rng.random_range(0..KINDS) {
            0 => Self::Kill,
            1 => Self::Terminate,
            2 => Self::Pause(lasts),
            3 => Self::Hangup,
            4 => Self::TouchSettings,
            5 => Self::Peers(fault, lasts),
            6 => Self::Upstream(fault, lasts),
            7 => {
                let delay = Duration::from_millis(rng.random_range(1..LARGEST_DELAY_MS));
                Self::SlowPeers { delay, lasts }
            }
            8 => Self::StoreDown(lasts),
            9 => Self::StoreSlow(lasts),
            _ => Self::StoreLosesAnswers(rng.random_range(1..=MOST_LOST_ANSWERS), lasts),
        }
    }
}

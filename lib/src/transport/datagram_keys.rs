//! Keys that prove a datagram to come from a node of the fleet.

use std::sync::Arc;

use arc_swap::ArcSwap;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// Bytes of the tag after each datagram.
pub const TAG_BYTES: usize = 16;

type Key = Hmac<Sha256>;

/// The keys in force: the first signs, every one of them is accepted.
///
/// Without keys nothing is signed and everything is accepted.
#[derive(Clone, Default)]
pub struct DatagramKeys {
    keys: Arc<ArcSwap<Vec<Key>>>,
}

impl std::fmt::Debug for DatagramKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DatagramKeys").field("count", &self.keys.load().len()).finish()
    }
}

impl DatagramKeys {
    /// Replaces the keys.
    pub fn replace<I>(&self, secrets: I)
    where
        I: IntoIterator<Item = Vec<u8>>,
    {
        let keys = secrets.into_iter().filter_map(|secret| Key::new_from_slice(&secret).ok());
        self.keys.store(Arc::new(keys.collect()));
    }

    /// Appends the tag of the signing key.
    pub fn sign(&self, datagram: &mut Vec<u8>) {
        let keys = self.keys.load();
        let Some(key) = keys.first() else {
            return;
        };
        let tag = key.clone().chain_update(&datagram).finalize().into_bytes();
        datagram.extend_from_slice(&tag[..TAG_BYTES]);
    }

    /// The datagram without its tag, or nothing when no key made the tag.
    #[must_use]
    pub fn verified<'a>(&self, signed: &'a [u8]) -> Option<&'a [u8]> {
        let keys = self.keys.load();
        if keys.is_empty() {
            return Some(signed);
        }
        let (datagram, tag) = signed.split_at_checked(signed.len().checked_sub(TAG_BYTES)?)?;
        let made = |key: &Key| key.clone().chain_update(datagram).verify_truncated_left(tag).is_ok();
        keys.iter().any(made).then_some(datagram)
    }
}

//! Shared keys that authenticate datagrams between the nodes of a fleet.

use std::sync::Arc;

use arc_swap::ArcSwap;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// Length in bytes of the authentication tag that follows each datagram.
pub const TAG_BYTES: usize = 16;

type Key = Hmac<Sha256>;

/// The current keys: the first one signs, and a tag of any of them is accepted.
///
/// Without keys, datagrams are sent unsigned and all are accepted.
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
    /// Replaces all keys; clones share the new ones.
    pub fn replace<I>(&self, secrets: I)
    where
        I: IntoIterator<Item = Vec<u8>>,
    {
        let keys = secrets.into_iter().filter_map(|secret| Key::new_from_slice(&secret).ok());
        self.keys.store(Arc::new(keys.collect()));
    }

    /// Appends the tag made with the signing key, or nothing without keys.
    pub fn sign(&self, datagram: &mut Vec<u8>) {
        let keys = self.keys.load();
        let Some(key) = keys.first() else {
            return;
        };
        let tag = key.clone().chain_update(&datagram).finalize().into_bytes();
        datagram.extend_from_slice(&tag[..TAG_BYTES]);
    }

    /// Returns the datagram without its tag, or `None` if the tag matches no key.
    ///
    /// Without keys, returns all bytes unchanged.
    #[must_use]
    pub fn verify<'a>(&self, signed: &'a [u8]) -> Option<&'a [u8]> {
        let keys = self.keys.load();
        if keys.is_empty() {
            return Some(signed);
        }
        let (datagram, tag) = signed.split_at_checked(signed.len().checked_sub(TAG_BYTES)?)?;
        let matches_tag = |key: &Key| key.clone().chain_update(datagram).verify_truncated_left(tag).is_ok();
        keys.iter().any(matches_tag).then_some(datagram)
    }
}

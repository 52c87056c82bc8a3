//! The tenants of one revision of the routes, indexed by their API keys.
//!
//! Keys are held only as keyed hashes. The key of the hash is random and stays within the process, so neither the
//! hashes nor the time that a search takes tell anything of an API key.

use std::fmt;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::sync::LazyLock;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use hmac::digest::CtOutput;
use indexmap::IndexMap;
use sha2::Sha256;

use crate::protocol::tenant::TenantRate;
use crate::protocol::tenant::TenantSpec;

/// Length of the secret key of the hashes, which is the block size of the hash function, in bytes.
const HASH_KEY_BYTES: usize = 64;
/// Thousandths of a request in one request.
const MILLIREQUESTS_PER_REQUEST: u64 = 1_000;
/// Length of the part of a hash by which entries are indexed, in bytes.
const INDEX_BYTES: usize = 8;

type KeyHasher = Hmac<Sha256>;
/// Keyed hash of an API key, compared in constant time.
type KeyHash = CtOutput<KeyHasher>;

static KEY_HASHER: LazyLock<KeyHasher> = LazyLock::new(|| {
    let secret: [u8; HASH_KEY_BYTES] = rand::random();
    KeyHasher::new(&secret.into())
});

/// Tenant of a request; clones share the name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: Arc<str>,
    /// Priority of the tenant's requests, in place of that of their route.
    pub priority: Option<u8>,
    /// Limit of the tenant's requests; none when absent.
    pub rate: Option<TenantRate>,
}

impl Tenant {
    /// Returns the weight by which the tenant shares slots with others: its limit in requests per second.
    ///
    /// A tenant without a limit has no weight.
    #[must_use]
    pub fn weight(&self) -> Option<NonZeroU32> {
        let rate = self.rate?;
        let requests_per_s = rate.millirequests_per_s.div_ceil(MILLIREQUESTS_PER_REQUEST);
        NonZeroU32::new(u32::try_from(requests_per_s).unwrap_or(u32::MAX))
    }
}

/// Tenants by key and by name.
#[derive(Default)]
pub struct TenantTable {
    by_name: IndexMap<Arc<str>, Tenant>,
    /// Hashes with the tenants that they belong to, by the first bytes of the hash.
    by_key: IndexMap<[u8; INDEX_BYTES], Vec<(KeyHash, Tenant)>>,
}

impl fmt::Debug for TenantTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TenantTable").field("tenants", &self.by_name.len()).finish_non_exhaustive()
    }
}

impl TenantTable {
    /// Creates the table of the declared tenants.
    #[must_use]
    pub fn new(specs: &[TenantSpec]) -> Self {
        let mut table = Self::default();
        for spec in specs {
            let tenant = Tenant { name: Arc::clone(&spec.name), priority: spec.priority, rate: spec.rate };
            for key in &spec.api_keys {
                let hash = hash_key(key.as_bytes());
                table.by_key.entry(index_of(&hash)).or_default().push((hash, tenant.clone()));
            }
            table.by_name.insert(Arc::clone(&spec.name), tenant);
        }
        table
    }

    /// Returns the tenant that a key belongs to.
    #[must_use]
    pub fn find_by_key(&self, key: &[u8]) -> Option<&Tenant> {
        let hash = hash_key(key);
        let entries = self.by_key.get(&index_of(&hash))?;
        entries.iter().find(|(entry_hash, _)| *entry_hash == hash).map(|(_, tenant)| tenant)
    }

    /// Returns the tenant of a name.
    #[must_use]
    pub fn find_by_name(&self, name: &str) -> Option<&Tenant> {
        self.by_name.get(name)
    }
}

fn hash_key(key: &[u8]) -> KeyHash {
    KEY_HASHER.clone().chain_update(key).finalize()
}

/// Returns the part of a hash by which its entry is indexed.
fn index_of(hash: &KeyHash) -> [u8; INDEX_BYTES] {
    hash.as_bytes().first_chunk().copied().unwrap_or_default()
}

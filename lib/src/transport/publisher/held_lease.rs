//! The publisher's lease: acquired, renewed and released by conditional writes.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::lease::LeaseDecision;
use crate::coordination::lease::LeaseValue;
use crate::coordination::lease::LeaseWatch;
use crate::coordination::lease::PUBLISHER_LEASE;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;
use crate::transport::fleet_link::FleetLink;
use crate::transport::platform::Platform;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;
use crate::transport::publisher::Publisher;
use crate::transport::publisher::parse_value;
use crate::transport::resolved_write::WriteOutcome;

/// Time without renewal after which another node may take the lease.
pub(super) const LEASE_TTL: Duration = Duration::from_secs(4);

/// Part of [`LEASE_TTL`], counted from before the write, for which the holder relies on a renewal.
const RENEWAL_VALIDITY: Duration = Duration::from_millis(2_500);

/// Lease held by this node, and the time until which the node may rely on it.
#[derive(Debug)]
pub(super) struct HeldLease {
    pub(super) value: LeaseValue,
    pub(super) version: u64,
    pub(super) valid_until: Instant,
}

/// Outcome of an attempt to acquire or renew the lease.
pub(super) enum LeaseState {
    Acquired(HeldLease),
    HeldByOther(LeaseValue),
}

impl<P, F> Publisher<P, F>
where
    P: Platform,
    F: FleetLink,
{
    pub(super) async fn try_acquire_lease(&mut self) -> Result<LeaseState> {
        self.count("lease");
        let object = self.platform.get(ObjectKind::Lease, PUBLISHER_LEASE).await?;
        let stored = object.as_ref().map(parse_value::<LeaseValue>).transpose()?;
        let decision = self.lease.decide(stored.clone(), Instant::now());
        let LeaseDecision::Write(value) = decision else {
            let holder = stored.ok_or_else(|| PlatformError::InvalidResponse {
                reason: "the lease object is missing".to_owned(),
            })?;
            return Ok(LeaseState::HeldByOther(holder));
        };
        let precondition =
            object.map_or(Precondition::Absent, |object| Precondition::Version(object.version));
        self.write_lease(value, precondition).await
    }

    async fn write_lease(&self, value: LeaseValue, precondition: Precondition) -> Result<LeaseState> {
        let valid_until = Instant::now() + RENEWAL_VALIDITY;
        match self.write(ObjectKind::Lease, PUBLISHER_LEASE, &value, precondition).await? {
            WriteOutcome::Written(version) => {
                Ok(LeaseState::Acquired(HeldLease { value, version, valid_until }))
            }
            WriteOutcome::Rejected(current) | WriteOutcome::Unknown(current) => {
                let current = current.as_deref().map(parse_value::<LeaseValue>).transpose()?;
                Ok(LeaseState::HeldByOther(current.unwrap_or(value)))
            }
        }
    }

    /// Renews the lease; returns `None` if another node holds it or this node no longer leads its zone.
    pub(super) async fn renew(&self, held: &HeldLease) -> Result<Option<HeldLease>> {
        if !self.fleet.leads_zone() {
            log::info!("publisher lease released: another node leads the zone; epoch={}", held.value.epoch);
            self.release(held).await?;
            return Ok(None);
        }
        let value = LeaseValue { renewal: held.value.renewal + 1, ..held.value.clone() };
        match self.write_lease(value, Precondition::Version(held.version)).await {
            Ok(LeaseState::Acquired(renewed)) => Ok(Some(renewed)),
            Ok(LeaseState::HeldByOther(value)) => {
                log::info!("publisher lease lost; epoch={} holder={}", held.value.epoch, value.holder);
                Ok(None)
            }
            // The last renewal is still valid; the next tick tries again.
            Err(error) if Instant::now() < held.valid_until => {
                log::debug!("publisher lease not renewed; error={error}");
                let value = held.value.clone();
                Ok(Some(HeldLease { value, version: held.version, valid_until: held.valid_until }))
            }
            Err(error) => Err(error),
        }
    }

    /// Releases the lease, so that another node can take it before it expires.
    pub(super) async fn release(&self, held: &HeldLease) -> Result<()> {
        let value = LeaseWatch::release_value(&held.value);
        self.write(ObjectKind::Lease, PUBLISHER_LEASE, &value, Precondition::Version(held.version)).await?;
        Ok(())
    }
}

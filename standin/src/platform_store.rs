//! In-memory store of versioned objects behind the platform stand-in.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use serde_json::Value;
use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::transport::platform::Change;
use yuccatray::transport::platform::Changes;
use yuccatray::transport::platform::Listing;

/// Maximum number of changes kept for watches; a watch that needs an older one has expired.
const MAX_KEPT_CHANGES: usize = 10_000;

/// Error of a write whose precondition doesn't hold, with the current object if there is one.
#[derive(Clone, Debug, PartialEq)]
pub struct PreconditionFailed(pub Option<Object>);

/// Versioned objects and the most recent changes to them.
#[derive(Debug, Default)]
pub struct PlatformStore {
    version: u64,
    objects: IndexMap<(ObjectKind, Arc<str>), Object>,
    changes: VecDeque<Change>,
    /// Version of the latest change that is no longer kept.
    last_dropped_version: u64,
}

impl PlatformStore {
    /// Returns the object with a kind and name.
    #[must_use]
    pub fn get(&self, kind: ObjectKind, name: &str) -> Option<&Object> {
        self.objects.get(&(kind, Arc::from(name)))
    }

    /// Returns all objects of a kind.
    #[must_use]
    pub fn list(&self, kind: ObjectKind) -> Listing {
        let objects = self.objects.values().filter(|object| object.kind == kind).cloned().collect();
        Listing { version: self.version, epoch: 0, objects }
    }

    /// Creates or replaces an object if the precondition holds.
    ///
    /// # Errors
    ///
    /// When the precondition doesn't hold.
    pub fn put(
        &mut self,
        kind: ObjectKind,
        name: &str,
        value: Value,
        precondition: Option<Precondition>,
    ) -> Result<Object, PreconditionFailed> {
        let current = self.get(kind, name);
        check_precondition(current, precondition)?;
        let next_version = self.version + 1;
        let uid = current
            .map_or_else(|| Arc::from(format!("uid-{next_version}")), |current| Arc::clone(&current.uid));
        let object = Object { kind, name: Arc::from(name), uid, version: next_version, value };
        self.objects.insert((kind, Arc::clone(&object.name)), object.clone());
        self.record(Change { object: object.clone(), deleted: false });
        Ok(object)
    }

    /// Deletes an object if the precondition holds, and returns whether there was one.
    ///
    /// # Errors
    ///
    /// When the precondition doesn't hold.
    pub fn delete(
        &mut self,
        kind: ObjectKind,
        name: &str,
        precondition: Option<Precondition>,
    ) -> Result<bool, PreconditionFailed> {
        check_precondition(self.get(kind, name), precondition)?;
        let Some(mut object) = self.objects.shift_remove(&(kind, Arc::from(name))) else {
            return Ok(false);
        };
        object.version = self.version + 1;
        self.record(Change { object, deleted: true });
        Ok(true)
    }

    /// Returns the kept changes of a kind after a version, marked as expired when older ones were dropped.
    #[must_use]
    pub fn changes_after(&self, kind: ObjectKind, after: u64) -> Changes {
        let newer = self.changes.iter().filter(|change| change.object.version > after);
        let changes = newer.filter(|change| change.object.kind == kind).cloned().collect();
        Changes { version: self.version, epoch: 0, changes, expired: after < self.last_dropped_version }
    }

    fn record(&mut self, change: Change) {
        self.version = change.object.version;
        self.changes.push_back(change);
        if self.changes.len() > MAX_KEPT_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.last_dropped_version = oldest.object.version;
        }
    }
}

fn check_precondition(
    current: Option<&Object>,
    precondition: Option<Precondition>,
) -> Result<(), PreconditionFailed> {
    let holds = match precondition {
        None => true,
        Some(Precondition::Absent) => current.is_none(),
        Some(Precondition::Version(version)) => current.is_some_and(|current| current.version == version),
    };
    if holds { Ok(()) } else { Err(PreconditionFailed(current.cloned())) }
}

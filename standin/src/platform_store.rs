//! The objects of the platform's stand-in.

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

const KEPT_CHANGES: usize = 10_000;

/// The object as it stands where a write expected something else.
#[derive(Clone, Debug, PartialEq)]
pub struct Mismatch(pub Option<Object>);

/// Objects with versions, and the latest changes to them.
#[derive(Debug, Default)]
pub struct PlatformStore {
    version: u64,
    objects: IndexMap<(ObjectKind, Arc<str>), Object>,
    changes: VecDeque<Change>,
    forgotten: u64,
}

impl PlatformStore {
    /// The object of a kind and name.
    #[must_use]
    pub fn get(&self, kind: ObjectKind, name: &str) -> Option<&Object> {
        self.objects.get(&(kind, Arc::from(name)))
    }

    /// Every object of a kind.
    #[must_use]
    pub fn list(&self, kind: ObjectKind) -> Listing {
        let objects = self.objects.values().filter(|object| object.kind == kind).cloned().collect();
        Listing { version: self.version, objects }
    }

    /// Writes an object if the precondition holds.
    ///
    /// # Errors
    ///
    /// When it does not hold.
    pub fn put(
        &mut self,
        kind: ObjectKind,
        name: &str,
        value: Value,
        precondition: Option<Precondition>,
    ) -> Result<Object, Mismatch> {
        let held = self.get(kind, name);
        check(held, precondition)?;
        let next_version = self.version + 1;
        let uid = held.map_or_else(|| Arc::from(format!("uid-{next_version}")), |held| Arc::clone(&held.uid));
        let object = Object { kind, name: Arc::from(name), uid, version: next_version, value };
        self.objects.insert((kind, Arc::clone(&object.name)), object.clone());
        self.record(Change { object: object.clone(), deleted: false });
        Ok(object)
    }

    /// Deletes an object if the precondition holds; false when there is none.
    ///
    /// # Errors
    ///
    /// When the precondition does not hold.
    pub fn delete(
        &mut self,
        kind: ObjectKind,
        name: &str,
        precondition: Option<Precondition>,
    ) -> Result<bool, Mismatch> {
        check(self.get(kind, name), precondition)?;
        let Some(mut object) = self.objects.shift_remove(&(kind, Arc::from(name))) else {
            return Ok(false);
        };
        object.version = self.version + 1;
        self.record(Change { object, deleted: true });
        Ok(true)
    }

    /// Changes of a kind after a version.
    #[must_use]
    pub fn changes_after(&self, kind: ObjectKind, after: u64) -> Changes {
        let fresh = self.changes.iter().filter(|change| change.object.version > after);
        let changes = fresh.filter(|change| change.object.kind == kind).cloned().collect();
        Changes { version: self.version, changes, expired: after < self.forgotten }
    }

    fn record(&mut self, change: Change) {
        self.version = change.object.version;
        self.changes.push_back(change);
        if self.changes.len() > KEPT_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.forgotten = oldest.object.version;
        }
    }
}

fn check(held: Option<&Object>, precondition: Option<Precondition>) -> Result<(), Mismatch> {
    let holds = match precondition {
        None => true,
        Some(Precondition::Absent) => held.is_none(),
        Some(Precondition::Version(version)) => held.is_some_and(|held| held.version == version),
    };
    if holds { Ok(()) } else { Err(Mismatch(held.cloned())) }
}

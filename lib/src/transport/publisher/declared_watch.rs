//! Operators' objects as the publisher knows them from its watches.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::coordination::publication::DeclaredObjects;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::transport::object_watch::ObjectEvent;

/// Objects written by operators, kept current by watches.
#[derive(Debug, Default)]
pub(super) struct DeclaredWatch {
    declared: Mutex<DeclaredObjects>,
    /// Kinds that have been listed at least once.
    listed_kinds: Mutex<Vec<ObjectKind>>,
    pub(super) changed: Notify,
}

impl DeclaredWatch {
    pub(super) fn apply_event(&self, kind: ObjectKind, event: ObjectEvent) {
        {
            let mut declared = self.declared.lock();
            let objects = objects_of(&mut declared, kind);
            match event {
                ObjectEvent::Listed(listed) => {
                    *objects = listed.into_iter().map(|object| (Arc::clone(&object.name), object)).collect();
                    self.mark_listed(kind);
                }
                ObjectEvent::Changed(changes) => {
                    for change in changes {
                        let name = Arc::clone(&change.object.name);
                        if change.deleted {
                            objects.shift_remove(&name);
                        } else {
                            objects.insert(name, change.object);
                        }
                    }
                }
            }
        }
        self.changed.notify_one();
    }

    fn mark_listed(&self, kind: ObjectKind) {
        let mut listed_kinds = self.listed_kinds.lock();
        if !listed_kinds.contains(&kind) {
            listed_kinds.push(kind);
        }
    }

    /// Returns the declared objects, or `None` until every kind has been listed.
    pub(super) fn snapshot(&self) -> Option<DeclaredObjects> {
        let complete = self.listed_kinds.lock().len() == ObjectKind::WRITABLE.len();
        complete.then(|| self.declared.lock().clone())
    }
}

fn objects_of(declared: &mut DeclaredObjects, kind: ObjectKind) -> &mut IndexMap<Arc<str>, Object> {
    match kind {
        ObjectKind::PrioritySet => &mut declared.priority_sets,
        ObjectKind::UpstreamRule => &mut declared.upstream_rules,
        _ => &mut declared.services,
    }
}

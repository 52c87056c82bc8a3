//! The lease holder's copy of the published objects and statuses, from which it plans its next write.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::de::DeserializeOwned;

use crate::coordination::publication::DeclaredObjects;
use crate::coordination::publication::Result;
use crate::coordination::publication::next_publication;
use crate::coordination::publication::resolve;
use crate::protocol::object::Object;
use crate::protocol::object::Precondition;
use crate::protocol::published::FieldProblem;
use crate::protocol::published::Published;
use crate::protocol::published::PublishedConfig;
use crate::protocol::published::ServiceStatus;

/// An object's parsed value and its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The value, or `None` if it can't be parsed.
    pub value: Option<T>,
    /// Version of the object.
    pub version: u64,
}

/// A publication to write, with the precondition of the write.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedPublication {
    /// Publication to write.
    pub published: Published,
    /// Version that the platform's object must have for the write to succeed.
    pub precondition: Precondition,
}

/// Next step of the lease holder.
#[derive(Clone, Debug, PartialEq)]
pub enum PublicationStep {
    /// Write a publication.
    Publish(Box<PlannedPublication>),
    /// Give up the lease: an object with a later epoch shows that another node has held the lease since.
    StepDown,
    /// Nothing to write: all publications are up to date.
    UpToDate,
}

/// Versions of the service, its priority set and its upstream rule, from which a configuration is resolved.
type InputVersions = (u64, Option<u64>, Option<u64>);

/// Cached result of resolving a service.
#[derive(Clone, Debug)]
struct CachedResolution {
    input_versions: InputVersions,
    result: Result<PublishedConfig>,
}

/// The lease holder's copy of what the platform stores.
#[derive(Debug, Default)]
pub struct PublicationPlanner {
    published: IndexMap<Arc<str>, Versioned<Published>>,
    statuses: IndexMap<Arc<str>, Versioned<ServiceStatus>>,
    resolutions: IndexMap<Arc<str>, CachedResolution>,
}

impl PublicationPlanner {
    /// Creates a copy from the objects as listed by the platform.
    #[must_use]
    pub fn new(published: &[Object], statuses: &[Object]) -> Self {
        Self {
            published: published.iter().map(named_versioned).collect(),
            statuses: statuses.iter().map(named_versioned).collect(),
            resolutions: IndexMap::new(),
        }
    }

    /// Returns the next step of a lease holder with the given epoch.
    ///
    /// `applied_revision` returns the revision of a service that this node has applied itself; a new
    /// publication gets a higher one. Services with invalid declarations are skipped.
    pub fn plan<F>(&mut self, declared: &DeclaredObjects, applied_revision: F, epoch: u64) -> PublicationStep
    where
        F: Fn(&str) -> u64,
    {
        let names: Vec<Arc<str>> =
            self.published.keys().chain(declared.services.keys()).map(Arc::clone).collect();
        for name in names {
            let config = match declared.services.get(&name) {
                None => None,
                Some(service) => match self.resolve_cached(service, declared) {
                    Ok(config) => Some(config),
                    Err(_problems) => continue,
                },
            };
            let known = self.published.get(&name);
            let last = known.and_then(|known| known.value.as_ref());
            if last.is_some_and(|last| last.epoch > epoch) {
                return PublicationStep::StepDown;
            }
            if let Some(published) = next_publication(&name, config, last, applied_revision(&name), epoch) {
                let precondition = precondition(known);
                return PublicationStep::Publish(Box::new(PlannedPublication { published, precondition }));
            }
        }
        PublicationStep::UpToDate
    }

    /// Records a publication that was written, and the version of its object.
    pub fn record_published(&mut self, published: Published, version: u64) {
        let name = Arc::clone(&published.service);
        self.published.insert(name, Versioned { value: Some(published), version });
    }

    /// Replaces the copy of a publication by the object that the platform holds; `None` if it holds none.
    pub fn replace_published(&mut self, name: &Arc<str>, current: Option<&Object>) {
        replace_entry(&mut self.published, name, current);
    }

    /// Records a status that was written, and the version of its object.
    pub fn record_status(&mut self, name: &Arc<str>, status: ServiceStatus, version: u64) {
        self.statuses.insert(Arc::clone(name), Versioned { value: Some(status), version });
    }

    /// Replaces the copy of a status by the object that the platform holds; `None` if it holds none.
    pub fn replace_status(&mut self, name: &Arc<str>, current: Option<&Object>) {
        replace_entry(&mut self.statuses, name, current);
    }

    /// Replaces the copies of all statuses.
    pub fn replace_statuses(&mut self, statuses: &[Object]) {
        self.statuses = statuses.iter().map(named_versioned).collect();
    }

    /// Returns the status of a service as last written or read.
    #[must_use]
    pub fn status(&self, name: &str) -> Option<&Versioned<ServiceStatus>> {
        self.statuses.get(name)
    }

    /// Returns the names and versions of the statuses whose services are no longer declared.
    #[must_use]
    pub fn obsolete_statuses(&self, declared: &DeclaredObjects) -> Vec<(Arc<str>, u64)> {
        let obsolete = self.statuses.iter().filter(|(name, _)| !declared.services.contains_key(*name));
        obsolete.map(|(name, known)| (Arc::clone(name), known.version)).collect()
    }

    /// Returns the precondition for writing the status of a service.
    #[must_use]
    pub fn status_precondition(&self, name: &str) -> Precondition {
        precondition(self.statuses.get(name))
    }

    /// Returns the published revision and the faults of the service as declared; no faults if it is accepted.
    ///
    /// Returns `None` while the service as declared is accepted but not published yet.
    pub fn validation_result(
        &mut self,
        service: &Object,
        declared: &DeclaredObjects,
    ) -> Option<(Option<u64>, Vec<FieldProblem>)> {
        let resolution = self.resolve_cached(service, declared);
        let last = self.published.get(&service.name).and_then(|known| known.value.as_ref());
        let revision = last.filter(|last| last.config.is_some()).map(|last| last.revision);
        match resolution {
            Err(problems) => Some((revision, problems)),
            Ok(config) => {
                let published = last.and_then(|last| last.config.as_ref()) == Some(&config);
                published.then_some((revision, Vec::new()))
            }
        }
    }

    /// Returns the resolved and validated configuration, which is cached until one of its objects changes.
    fn resolve_cached(&mut self, service: &Object, declared: &DeclaredObjects) -> Result<PublishedConfig> {
        let input_versions = input_versions(service, declared);
        if let Some(cached) =
            self.resolutions.get(&service.name).filter(|cached| cached.input_versions == input_versions)
        {
            return cached.result.clone();
        }
        let result = resolve(service, declared);
        let cached = CachedResolution { input_versions, result: result.clone() };
        self.resolutions.insert(Arc::clone(&service.name), cached);
        result
    }
}

/// Returns the versions of the objects that the service's configuration is resolved from.
fn input_versions(service: &Object, declared: &DeclaredObjects) -> InputVersions {
    let referenced_version = |objects: &IndexMap<Arc<str>, Object>, field: &str| {
        let name = service.value.get(field)?.as_str()?;
        objects.get(name).map(|object| object.version)
    };
    let priority_set = referenced_version(&declared.priority_sets, "priority_set");
    let upstream_rule = referenced_version(&declared.upstream_rules, "upstream_rule");
    (service.version, priority_set, upstream_rule)
}

fn named_versioned<T>(object: &Object) -> (Arc<str>, Versioned<T>)
where
    T: DeserializeOwned,
{
    (Arc::clone(&object.name), versioned(object))
}

fn versioned<T>(object: &Object) -> Versioned<T>
where
    T: DeserializeOwned,
{
    Versioned { value: serde_json::from_value(object.value.clone()).ok(), version: object.version }
}

/// Replaces or removes one entry of the copy.
fn replace_entry<T>(entries: &mut IndexMap<Arc<str>, Versioned<T>>, name: &Arc<str>, current: Option<&Object>)
where
    T: DeserializeOwned,
{
    match current {
        Some(object) => {
            entries.insert(Arc::clone(name), versioned(object));
        }
        None => {
            entries.shift_remove(name);
        }
    }
}

/// Returns the precondition for replacing an object known at this version, or for creating it.
fn precondition<T>(known: Option<&Versioned<T>>) -> Precondition {
    known.map_or(Precondition::Absent, |known| Precondition::Version(known.version))
}

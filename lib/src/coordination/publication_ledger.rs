//! What the lease holder knows to be published, and what it has to write next.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::de::DeserializeOwned;

use crate::coordination::publication::Declared;
use crate::coordination::publication::Result;
use crate::coordination::publication::next_publication;
use crate::coordination::publication::resolve;
use crate::protocol::object::Object;
use crate::protocol::object::Precondition;
use crate::protocol::published::FieldProblem;
use crate::protocol::published::Published;
use crate::protocol::published::PublishedConfig;
use crate::protocol::published::ServiceStatus;

/// A value and the version of the object that holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The value, or nothing when it can't be read.
    pub value: Option<T>,
    /// Version of the object.
    pub version: u64,
}

/// A write that is due.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedPublication {
    /// What to write.
    pub published: Published,
    /// On what condition.
    pub precondition: Precondition,
}

/// What is due next.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// A write.
    Publish(Box<PlannedPublication>),
    /// A later holder was here: this one's lease is over, whatever its clock says.
    Abdicate,
    /// Everything is published.
    Settled,
}

/// Versions of what a service's configuration is made from.
type Inputs = (u64, Option<u64>, Option<u64>);

#[derive(Clone, Debug)]
struct Outcome {
    inputs: Inputs,
    result: Result<PublishedConfig>,
}

/// The holder's record of the platform.
#[derive(Debug, Default)]
pub struct PublicationLedger {
    published: IndexMap<Arc<str>, Versioned<Published>>,
    statuses: IndexMap<Arc<str>, Versioned<ServiceStatus>>,
    outcomes: IndexMap<Arc<str>, Outcome>,
}

impl PublicationLedger {
    /// A record of the objects as just listed.
    #[must_use]
    pub fn new(published: &[Object], statuses: &[Object]) -> Self {
        Self {
            published: published.iter().map(by_name).collect(),
            statuses: statuses.iter().map(by_name).collect(),
            outcomes: IndexMap::new(),
        }
    }

    /// The first write that is due for a holder of the given epoch.
    ///
    /// `floor` tells which revision of a service this node has applied itself.
    pub fn plan<F>(&mut self, declared: &Declared, floor: F, epoch: u64) -> Plan
    where
        F: Fn(&str) -> u64,
    {
        let names: Vec<Arc<str>> =
            self.published.keys().chain(declared.services.keys()).map(Arc::clone).collect();
        for name in names {
            let config = match declared.services.get(&name) {
                None => None,
                Some(service) => match self.outcome(service, declared) {
                    Ok(config) => Some(config),
                    Err(_problems) => continue,
                },
            };
            let held = self.published.get(&name);
            let last = held.and_then(|held| held.value.as_ref());
            if last.is_some_and(|last| last.epoch > epoch) {
                return Plan::Abdicate;
            }
            if let Some(published) = next_publication(&name, config, last, floor(&name), epoch) {
                let precondition = precondition(held);
                return Plan::Publish(Box::new(PlannedPublication { published, precondition }));
            }
        }
        Plan::Settled
    }

    /// A publication was written at a version.
    pub fn note_published(&mut self, published: Published, version: u64) {
        let name = Arc::clone(&published.service);
        self.published.insert(name, Versioned { value: Some(published), version });
    }

    /// The platform's object turned out to be another one.
    pub fn correct_published(&mut self, name: &Arc<str>, current: Option<&Object>) {
        correct(&mut self.published, name, current);
    }

    /// A status was written at a version.
    pub fn note_status(&mut self, name: &Arc<str>, status: ServiceStatus, version: u64) {
        self.statuses.insert(Arc::clone(name), Versioned { value: Some(status), version });
    }

    /// The platform's status turned out to be another one.
    pub fn correct_status(&mut self, name: &Arc<str>, current: Option<&Object>) {
        correct(&mut self.statuses, name, current);
    }

    /// The statuses turned out to be these.
    pub fn replace_statuses(&mut self, statuses: &[Object]) {
        self.statuses = statuses.iter().map(by_name).collect();
    }

    /// The status as last written or read.
    #[must_use]
    pub fn status(&self, name: &str) -> Option<&Versioned<ServiceStatus>> {
        self.statuses.get(name)
    }

    /// Statuses of services that nobody declares any more.
    #[must_use]
    pub fn obsolete_statuses(&self, declared: &Declared) -> Vec<(Arc<str>, u64)> {
        let obsolete = self.statuses.iter().filter(|(name, _)| !declared.services.contains_key(*name));
        obsolete.map(|(name, held)| (Arc::clone(name), held.version)).collect()
    }

    /// The condition on which a status may be written.
    #[must_use]
    pub fn status_precondition(&self, name: &str) -> Precondition {
        precondition(self.statuses.get(name))
    }

    /// The revision published and the reasons for refusing the service as declared.
    ///
    /// Nothing while the service as declared is accepted but not published yet.
    pub fn verdict(
        &mut self,
        service: &Object,
        declared: &Declared,
    ) -> Option<(Option<u64>, Vec<FieldProblem>)> {
        let outcome = self.outcome(service, declared);
        let last = self.published.get(&service.name).and_then(|held| held.value.as_ref());
        let revision = last.filter(|last| last.config.is_some()).map(|last| last.revision);
        match outcome {
            Err(problems) => Some((revision, problems)),
            Ok(config) => {
                let published = last.and_then(|last| last.config.as_ref()) == Some(&config);
                published.then_some((revision, Vec::new()))
            }
        }
    }

    /// The service resolved and checked, again only when an object behind it changed.
    fn outcome(&mut self, service: &Object, declared: &Declared) -> Result<PublishedConfig> {
        let inputs = inputs(service, declared);
        if let Some(known) = self.outcomes.get(&service.name).filter(|known| known.inputs == inputs) {
            return known.result.clone();
        }
        let result = resolve(service, declared);
        let outcome = Outcome { inputs, result: result.clone() };
        self.outcomes.insert(Arc::clone(&service.name), outcome);
        result
    }
}

fn inputs(service: &Object, declared: &Declared) -> Inputs {
    let referred = |objects: &IndexMap<Arc<str>, Object>, field: &str| {
        let name = service.value.get(field)?.as_str()?;
        objects.get(name).map(|object| object.version)
    };
    let priority_set = referred(&declared.priority_sets, "priority_set");
    let upstream_rule = referred(&declared.upstream_rules, "upstream_rule");
    (service.version, priority_set, upstream_rule)
}

fn by_name<T>(object: &Object) -> (Arc<str>, Versioned<T>)
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

fn correct<T>(held: &mut IndexMap<Arc<str>, Versioned<T>>, name: &Arc<str>, current: Option<&Object>)
where
    T: DeserializeOwned,
{
    match current {
        Some(object) => {
            held.insert(Arc::clone(name), versioned(object));
        }
        None => {
            held.shift_remove(name);
        }
    }
}

fn precondition<T>(held: Option<&Versioned<T>>) -> Precondition {
    held.map_or(Precondition::Absent, |held| Precondition::Version(held.version))
}

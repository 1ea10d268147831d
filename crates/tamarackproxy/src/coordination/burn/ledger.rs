//! Event counts of one seat by service and urgency class.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{BurnSeries, Event};
use crate::state::{document::Urgency, ids::ServiceId};

/// Event counts of one seat; the value of `burn/<data centre>/<seat>`.
///
/// The holder of the seat writes it once per minute, and the next holder
/// continues from it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnLedger {
    services: BTreeMap<ServiceId, BTreeMap<Urgency, BurnSeries>>,
}

impl BurnLedger {
    /// Counts an event.
    pub fn add_event(&mut self, unix_ms: u64, service: &ServiceId, urgency: Urgency, event: Event) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), BTreeMap::new());
        }
        if let Some(classes) = self.services.get_mut(service) {
            classes.entry(urgency).or_default().add_event(unix_ms, event);
        }
    }

    /// Adds the counts of another seat or of a previous holder.
    pub fn merge(&mut self, other: &Self) {
        for (service, classes) in &other.services {
            let own = self.services.entry(service.clone()).or_default();
            for (urgency, series) in classes {
                own.entry(*urgency).or_default().merge(series);
            }
        }
    }

    /// Removes services that the document no longer has.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&ServiceId) -> bool,
    {
        self.services.retain(|service, _| keep(service));
    }

    /// Returns the series by service and urgency class.
    pub fn series(&self) -> impl Iterator<Item = (&ServiceId, Urgency, &BurnSeries)> {
        self.services.iter().flat_map(|(service, classes)| {
            classes.iter().map(move |(urgency, series)| (service, *urgency, series))
        })
    }

    /// Returns the sum over a service's urgency classes.
    pub fn total(&self, service: &ServiceId) -> BurnSeries {
        let mut total = BurnSeries::default();
        let classes = self.services.get(service).into_iter().flat_map(BTreeMap::values);
        classes.for_each(|series| total.merge(series));
        total
    }

    /// Returns the services with events.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }
}

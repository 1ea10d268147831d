//! Validation across the sections of a document.

use std::{
    borrow::Borrow,
    collections::{BTreeMap, BTreeSet},
};

use super::{Document, SectionKind, SectionName, TeamRole};
use crate::state::{
    ids::TeamId,
    ini::{IniError, IniErrorKind, did_you_mean},
};

struct Checker<'a> {
    document: &'a Document,
    errors: &'a mut Vec<IniError>,
}

/// Checks references and constraints between sections.
pub(super) fn validate(document: &Document, errors: &mut Vec<IniError>) {
    let mut checker = Checker { document, errors };
    checker.document_section();
    checker.pools();
    checker.services();
    checker.budgets();
    checker.callers();
    checker.waves();
}

fn section_of<N>(kind: SectionKind, name: &N) -> SectionName
where
    N: ToString,
{
    SectionName { kind, name: name.to_string().into() }
}

impl Checker<'_> {
    fn push(&mut self, section: &SectionName, key: &str, kind: IniErrorKind) {
        let (section, key) = (section.to_string().into(), Some(key.into()));
        self.errors.push(IniError { file: None, section, key, kind });
    }

    fn inconsistent(&mut self, section: &SectionName, key: &str, message: String, remedy: &str) {
        let (message, remedy) = (message.into(), remedy.into());
        self.push(section, key, IniErrorKind::Inconsistent { message, remedy });
    }

    fn reference<T, V>(
        &mut self,
        section: &SectionName,
        key: &str,
        kind: SectionKind,
        found: &T,
        known: &BTreeMap<T, V>,
    ) where
        T: Ord + Borrow<str>,
    {
        let name: &str = found.borrow();
        if known.contains_key(name) {
            return;
        }
        let names = known.keys().map(Borrow::borrow);
        let error = IniErrorKind::NoSuchSection {
            found: name.into(),
            kind: kind.to_string().into(),
            suggestion: did_you_mean(name, names),
        };
        self.push(section, key, error);
    }

    fn owner(&mut self, section: &SectionName, owner: &TeamId) {
        let teams = &self.document.teams;
        self.reference(section, "owner", SectionKind::Team, owner, teams);
    }

    fn document_section(&mut self) {
        let section = section_of(SectionKind::Document, &"");
        if self.document.deployment.is_empty() {
            let error = IniErrorKind::MissingSection;
            self.errors.push(IniError {
                file: None,
                section: section.to_string().into(),
                key: None,
                kind: error,
            });
        }
        let mut teams = self.document.teams.values();
        if !teams.any(|team| team.role == TeamRole::Admin && !team.token_sha256.is_empty()) {
            let message = "no team has the role admin and a token".to_owned();
            let remedy = "give one [team] role = admin and token_sha256, or nobody can change it";
            self.inconsistent(&section, "deployment", message, remedy);
        }
        if self.document.data_centres.is_empty() {
            let message = "there is no data centre".to_owned();
            self.inconsistent(&section, "deployment", message, "add a [data-centre NAME] section");
        }
    }

    fn pools(&mut self) {
        let document = self.document;
        for (name, pool) in &document.pools {
            let section = section_of(SectionKind::Pool, name);
            self.owner(&section, &pool.owner);
            for data_centre in pool.size.keys() {
                let known = &document.data_centres;
                self.reference(&section, "size", SectionKind::DataCentre, data_centre, known);
            }
            let total: u32 = pool.size.values().sum();
            if total == 0 {
                let message = "the pool has no hosts".to_owned();
                self.inconsistent(&section, "size", message, "give at least one data centre hosts");
            }
            if pool.minimum > total || pool.maximum < total {
                let message = format!(
                    "size is {total} hosts, outside minimum {} to maximum {}",
                    pool.minimum, pool.maximum
                );
                self.inconsistent(&section, "size", message, "change size, minimum or maximum");
            }
        }
    }

    fn services(&mut self) {
        let document = self.document;
        let mut ports = BTreeSet::new();
        for (name, service) in &document.services {
            let section = section_of(SectionKind::Service, name);
            self.owner(&section, &service.owner);
            self.reference(&section, "pool", SectionKind::Pool, &service.pool, &document.pools);
            if !ports.insert((&service.pool, service.port)) {
                let message = format!(
                    "port {} is used by another service of pool {}",
                    service.port, service.pool
                );
                self.inconsistent(&section, "port", message, "choose a free port");
            }
            if !document.budgets.contains_key(name) {
                let message = "the service has no availability budget".to_owned();
                let remedy = "add a [budget NAME] section with the service's name";
                self.inconsistent(&section, "owner", message, remedy);
            }
        }
    }

    fn budgets(&mut self) {
        let document = self.document;
        for (name, budget) in &document.budgets {
            let section = section_of(SectionKind::Budget, name);
            self.owner(&section, &budget.owner);
            self.reference(
                &section,
                "min_available",
                SectionKind::Service,
                name,
                &document.services,
            );
            let pool = document.services.get(name).and_then(|s| document.pools.get(&s.pool));
            let Some(pool) = pool else { continue };
            if budget.min_available >= pool.minimum {
                let message = format!(
                    "min_available = {} leaves no host of the pool's minimum of {} to stop",
                    budget.min_available, pool.minimum
                );
                let remedy = "lower min_available or raise the pool's minimum";
                self.inconsistent(&section, "min_available", message, remedy);
            }
        }
    }

    fn callers(&mut self) {
        let document = self.document;
        let mut digests = BTreeMap::new();
        for (name, caller) in &document.callers {
            let section = section_of(SectionKind::Caller, name);
            self.owner(&section, &caller.owner);
            if let Some(home) = &caller.home {
                let known = &document.data_centres;
                self.reference(&section, "home", SectionKind::DataCentre, home, known);
            }
            for service in &caller.services {
                let known = &document.services;
                self.reference(&section, "services", SectionKind::Service, service, known);
            }
            for digest in &caller.token_sha256 {
                if let Some(other) = digests.insert(digest.clone(), name) {
                    let message = format!("caller {other} has the same token");
                    self.inconsistent(&section, "token_sha256", message, "issue another token");
                }
            }
        }
    }

    fn waves(&mut self) {
        let document = self.document;
        for (name, wave) in &document.waves {
            let section = section_of(SectionKind::Wave, name);
            self.owner(&section, &wave.owner);
            for pool in &wave.pools {
                self.reference(&section, "pools", SectionKind::Pool, pool, &document.pools);
            }
            if wave.pools.is_empty() {
                let message = "the wave has no pools".to_owned();
                self.inconsistent(&section, "pools", message, "name the pools to maintain");
            }
        }
    }
}

//! Lookups in the document that each request needs.

use std::{collections::HashMap, sync::Arc};

use http::{HeaderMap, header};
use sha2::{Digest, Sha256};

use crate::{
    coordination::requests::{CallerLimits, ServiceLimits},
    protocol::caller::Refusal,
    state::{
        document::{CallerSection, Document, ServiceSection},
        ids::{CallerId, ServiceId, TeamId},
    },
};

/// The document in force, with indexes of bearer-token digests.
pub(super) struct View {
    document: Arc<Document>,
    callers_by_digest: HashMap<Box<str>, CallerId>,
    teams_by_digest: HashMap<Box<str>, TeamId>,
}

/// Returns the SHA-256 digest of the bearer token, in lower-case hexadecimal.
fn bearer_digest(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return None;
    }
    let digest = Sha256::digest(token.trim().as_bytes());
    Some(digest.iter().map(|byte| format!("{byte:02x}")).collect())
}

impl View {
    pub(super) fn new(document: Arc<Document>) -> Self {
        let callers = document.callers.iter();
        let callers_by_digest = callers
            .flat_map(|(name, caller)| caller.token_sha256.iter().map(move |digest| (digest, name)))
            .map(|(digest, name)| (digest.clone(), name.clone()))
            .collect();
        let teams = document.teams.iter();
        let teams_by_digest = teams
            .flat_map(|(name, team)| team.token_sha256.iter().map(move |digest| (digest, name)))
            .map(|(digest, name)| (digest.clone(), name.clone()))
            .collect();
        Self { document, callers_by_digest, teams_by_digest }
    }

    pub(super) fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Finds the caller whose token the request carries.
    pub(super) fn authenticate_caller(
        &self,
        headers: &HeaderMap,
    ) -> Result<(&CallerId, &CallerSection), Refusal> {
        let digest = bearer_digest(headers).ok_or(Refusal::Unauthenticated)?;
        let caller = self.callers_by_digest.get(&*digest).ok_or(Refusal::Unauthenticated)?;
        let section = self.document.callers.get(caller).ok_or(Refusal::Unauthenticated)?;
        Ok((caller, section))
    }

    /// Finds the team whose token the request carries.
    pub(super) fn authenticate_team(&self, headers: &HeaderMap) -> Option<&TeamId> {
        self.teams_by_digest.get(&*bearer_digest(headers)?)
    }

    /// Finds a service by its name in a URL.
    pub(super) fn service(&self, name: &str) -> Result<(&ServiceId, &ServiceSection), Refusal> {
        self.document.services.get_key_value(name).ok_or(Refusal::UnknownService)
    }

    pub(super) fn service_limits(&self) -> Vec<ServiceLimits> {
        let services = self.document.services.iter();
        services
            .map(|(service, section)| ServiceLimits {
                service: service.clone(),
                slots: section.slots,
                connections: section.connections,
                queue_limit: section.queue_limit,
            })
            .collect()
    }

    pub(super) fn caller_limits(&self) -> Vec<CallerLimits> {
        let callers = self.document.callers.iter();
        callers
            .map(|(caller, section)| CallerLimits {
                caller: caller.clone(),
                weight: section.weight,
                rate_per_second: section.rate_limit.map(|rate| rate.as_per_second()),
            })
            .collect()
    }
}

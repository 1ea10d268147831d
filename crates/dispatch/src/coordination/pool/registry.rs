//! Membership of a pool: its workers according to the registry, and which of
//! them are to be vacated.

use hashbrown::{HashMap, HashSet};
use tamarackproxy::state::ids::{HostId, WorkerId};

use super::{
    engine::PoolEngine,
    events::WorkerKey,
    vacating::Vacating,
    workers::{Presence, Worker},
};
use crate::state::{Registration, Roster, RosterEntry, WorkerEntry};

/// Sign that an incarnation has ended.
pub(super) const SUPERSEDED: &str = "its host runs a newer incarnation";

impl PoolEngine {
    /// Sets the workers that are to be vacated.
    pub fn set_vacating(&mut self, vacating: HashSet<WorkerId>) {
        let mut is_kept = false;
        for (_, worker) in self.workers.iter_mut() {
            worker.is_vacating = vacating.contains(&worker.entry.worker);
            if !worker.is_vacating {
                worker.vacating = Vacating::default();
            }
            if worker.is_vacated && !vacating.contains(&worker.entry.worker) {
                worker.is_vacated = false;
                worker.is_rostered = false;
                is_kept = true;
            }
        }
        self.vacating = vacating;
        self.placing_due = true;
        if is_kept {
            self.roster_changed();
        }
    }

    /// Sets the workers that were confirmed as vacated, by this controller or a
    /// previous controller; nothing is started there while the request stands.
    pub fn set_vacated(&mut self, vacated: HashSet<WorkerId>) {
        self.vacated = vacated;
    }

    /// Applies the whole registry.
    ///
    /// Other writers can add entries and replace those of workers. An entry
    /// therefore only tells where a worker may be found; what it says of another
    /// worker, or of another incarnation, counts once its worker has answered a poll.
    pub fn on_registry<'a, I>(&mut self, entries: I)
    where
        I: IntoIterator<Item = &'a WorkerEntry> + Clone,
    {
        let pool = self.control.pool.clone();
        let own = entries.clone().into_iter().filter(|entry| entry.pool == pool);
        self.update_entries(own);
        self.update_newest_starts();
        let mut listed = HashSet::new();
        let mut latest: HashMap<&HostId, u64> = HashMap::new();
        for entry in entries {
            if !self.is_outdated(entry) {
                let born = latest.entry(&entry.host).or_default();
                *born = (*born).max(entry.born_unix_ms);
            }
            // The registry lists an incarnation for seconds after it has ended.
            if entry.pool != pool
                || self.is_outdated(entry)
                || self.has_newer_incarnation(&entry.host, entry.born_unix_ms)
            {
                // An entry with an earlier start is out of date, or the time of day was
                // set back. A poll tells.
                if let Some(key) = self.other_incarnation(entry) {
                    listed.insert(key);
                    self.workers.poll_by(self.stepped_ms, key);
                }
                if entry.pool != pool {
                    self.note_elsewhere(entry);
                }
                continue;
            }
            let key = match self.workers.find(&entry.worker) {
                Some(known) if !self.is_entry_of(known, entry) => {
                    // The claimed incarnation may be reached at another address.
                    listed.extend([known, self.claim(known, entry)]);
                    continue;
                }
                Some(known) => known,
                None => {
                    log::info!(worker = entry.worker.as_str(), host = entry.host.as_str(),
                        pool = self.control.pool.as_str(), born_unix_ms = entry.born_unix_ms;
                        "worker is registered");
                    self.insert_worker(entry.clone())
                }
            };
            listed.insert(key);
            if let Some(worker) = self.workers.get_mut(key) {
                let presence = Presence::Registered(entry.registration);
                worker.is_leaving |= entry.registration == Registration::Draining;
                if worker.presence != presence {
                    log::info!(worker = entry.worker.as_str(),
                        draining = (entry.registration == Registration::Draining);
                        "worker changed its registration");
                    worker.presence = presence;
                    self.placing_due = true;
                }
            }
        }
        for key in self.workers.claimants() {
            if !listed.contains(&key) {
                self.workers.remove(key);
            }
        }
        for (key, worker) in self.workers.iter_mut() {
            let was_listed = matches!(worker.presence, Presence::Registered(_));
            if !listed.contains(&key) && was_listed {
                log::info!(worker = worker.entry.worker.as_str(), runs = worker.runs.len();
                    "worker is no longer registered");
                worker.presence = Presence::Gone;
            }
        }
        let workers = &self.workers;
        self.outdated_starts.retain(|name, _| workers.find(name).is_some());
        self.poll_contradicted(&latest);
        self.end_older_incarnations();
        self.note_late_restarts();
        self.next_check_ms = 0;
    }

    /// Returns whether an entry describes a known incarnation.
    fn is_entry_of(&self, key: WorkerKey, entry: &WorkerEntry) -> bool {
        self.workers.get(key).is_some_and(|worker| {
            worker.entry.born_unix_ms == entry.born_unix_ms && worker.entry.address == entry.address
        })
    }

    /// Replaces the entries of known incarnations by the current ones.
    fn update_entries<'a, I>(&mut self, entries: I)
    where
        I: IntoIterator<Item = &'a WorkerEntry>,
    {
        for entry in entries {
            let known = self.workers.find(&entry.worker);
            if let Some(key) = known.filter(|&key| self.is_entry_of(key, entry))
                && self.workers.get(key).is_some_and(|worker| worker.entry != *entry)
            {
                self.workers.set_entry(key, entry.clone());
            }
        }
    }

    /// Polls the workers on whose hosts the registry shows a later start: if that is
    /// true, they do not answer any more.
    fn poll_contradicted(&mut self, latest: &HashMap<&HostId, u64>) {
        for key in self.workers.keys() {
            let Some(Worker { entry, .. }) = self.workers.get(key) else { continue };
            if latest.get(&entry.host).is_some_and(|&latest| latest > entry.born_unix_ms) {
                self.workers.poll_by(self.stepped_ms, key);
            }
        }
    }

    /// Adds the incarnation that an entry shows under the name of a known worker,
    /// unless it is polled already; returns its key.
    fn claim(&mut self, known: WorkerKey, entry: &WorkerEntry) -> WorkerKey {
        let claimant = self.workers.claimant(&entry.worker);
        if let Some(key) = claimant {
            if self.is_entry_of(key, entry) {
                self.workers.set_entry(key, entry.clone());
                return key;
            }
            self.workers.remove(key);
        }
        log::info!(worker = entry.worker.as_str(), host = entry.host.as_str(),
            born_unix_ms = entry.born_unix_ms, address:display = entry.address;
            "registry shows another incarnation of a worker");
        self.workers.poll_by(self.stepped_ms, known);
        self.workers.insert_claimant(entry.clone())
    }

    /// Removes an incarnation that another one answered for.
    pub(super) fn drop_claimant(&mut self, key: WorkerKey) {
        if let Some(claimant) = self.workers.remove(key) {
            let entry = &claimant.entry;
            log::info!(worker = entry.worker.as_str(), host = entry.host.as_str(),
                born_unix_ms = entry.born_unix_ms, address:display = entry.address;
                "registry entry shows an incarnation that does not exist");
        }
    }

    /// Handles the answer of an incarnation that claims the name of a known worker;
    /// returns the key of the incarnation that the report belongs to, or none if it
    /// is of no further use.
    pub(super) fn settle_claim(
        &mut self,
        claimant: WorkerKey,
        known: WorkerKey,
        born_unix_ms: u64,
    ) -> Option<WorkerKey> {
        let entry = self.workers.get(claimant)?.entry.clone();
        let known_born_unix_ms = self.workers.get(known)?.entry.born_unix_ms;
        let answered = WorkerEntry { born_unix_ms, ..entry.clone() };
        if self.is_outdated(&answered) {
            self.drop_claimant(claimant);
            return None;
        }
        if born_unix_ms != known_born_unix_ms {
            return Some(self.restart_at_poll(known, born_unix_ms));
        }
        if entry.born_unix_ms == born_unix_ms {
            self.workers.remove(claimant);
            self.workers.set_entry(known, entry);
        } else {
            self.drop_claimant(claimant);
        }
        None
    }

    /// Adds a worker that is not known under its name.
    pub(super) fn insert_worker(&mut self, entry: WorkerEntry) -> WorkerKey {
        let is_vacating = self.vacating.contains(&entry.worker);
        let key = self.workers.insert(entry);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.is_vacating = is_vacating;
        }
        key
    }

    /// Uses an incarnation that has answered for the first time.
    pub(super) fn on_confirmed(&mut self, key: WorkerKey) {
        let Some(Worker { entry, .. }) = self.workers.get(key) else { return };
        log::info!(worker = entry.worker.as_str(), host = entry.host.as_str(),
            pool = self.control.pool.as_str(), born_unix_ms = entry.born_unix_ms;
            "worker joined the pool");
        self.update_newest_starts();
        for key in self.workers.keys() {
            let Some(Worker { entry, .. }) = self.workers.get(key) else { continue };
            if self.has_newer_incarnation(&entry.host, entry.born_unix_ms) {
                self.workers.poll_by(self.stepped_ms, key);
            }
        }
        self.end_older_incarnations();
        self.note_late_restarts();
        self.roster_changed();
    }

    /// Determines the newest incarnation that has answered on each host.
    fn update_newest_starts(&mut self) {
        self.newest_starts.clear();
        for (_, worker) in self.workers.iter().filter(|(_, worker)| worker.is_confirmed()) {
            let Worker { entry, .. } = worker;
            match self.newest_starts.get_mut(&entry.host) {
                Some(born) => *born = (*born).max(entry.born_unix_ms),
                None => drop(self.newest_starts.insert(entry.host.clone(), entry.born_unix_ms)),
            }
        }
    }

    /// Returns whether an incarnation has ended: its host runs a newer one, and it
    /// does not answer itself.
    pub(super) fn is_superseded(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(|worker| {
            worker.is_unreachable
                && self.has_newer_incarnation(&worker.entry.host, worker.entry.born_unix_ms)
        })
    }

    /// Ends incarnations that newer ones on their hosts have superseded: a host runs
    /// one worker at a time.
    fn end_older_incarnations(&mut self) {
        for key in self.workers.keys() {
            if self.is_superseded(key) {
                self.end_incarnation(key, SUPERSEDED);
            }
        }
    }

    /// Returns whether a newer worker incarnation than the one that began at
    /// `born_unix_ms` has answered a poll on a host.
    pub(super) fn has_newer_incarnation(&self, host: &HostId, born_unix_ms: u64) -> bool {
        self.newest_starts.get(host).is_some_and(|&latest| latest > born_unix_ms)
    }

    /// Has the roster stored again.
    pub(super) fn roster_changed(&mut self) {
        self.roster_due = true;
    }

    /// Returns the workers on which something may run: those that have answered a
    /// poll, since no task is started elsewhere. Vacated workers are left out: they
    /// may be gone after the move of their host.
    pub(super) fn roster(&self) -> Roster {
        let entry = |worker: &Worker| RosterEntry {
            worker: worker.entry.worker.clone(),
            host: worker.entry.host.clone(),
            born_unix_ms: worker.entry.born_unix_ms,
        };
        let named =
            self.workers.iter().filter(|(_, worker)| worker.is_confirmed() && !worker.is_vacated);
        let mut workers: Vec<_> = named.map(|(_, worker)| entry(worker)).collect();
        // Until reconciliation is finished, the previous controller's workers
        // stay on the roster for a successor.
        for absent in self.unreconciled.iter().flatten() {
            if !workers.contains(absent) {
                workers.push(absent.clone());
            }
        }
        Roster { workers }
    }
}

//! Membership of a pool: its workers according to the registry, and which of
//! them are to be vacated.

use hashbrown::HashSet;
use tamarackproxy::state::ids::{HostId, WorkerId};

use super::{
    engine::PoolEngine,
    events::WorkerKey,
    workers::{Presence, Worker},
};
use crate::state::{Registration, Roster, RosterEntry, WorkerEntry};

impl PoolEngine {
    /// Sets the workers that are to be vacated.
    pub fn set_vacating(&mut self, vacating: HashSet<WorkerId>) {
        let mut is_kept = false;
        for (_, worker) in self.workers.iter_mut() {
            worker.is_vacating = vacating.contains(&worker.entry.worker);
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
    pub fn on_registry<'a, I>(&mut self, entries: I)
    where
        I: IntoIterator<Item = &'a WorkerEntry> + Clone,
    {
        for entry in entries.clone() {
            if self.is_outdated(entry) {
                continue;
            }
            match self.newest_starts.get_mut(&entry.host) {
                Some(born) => *born = (*born).max(entry.born_unix_ms),
                None => drop(self.newest_starts.insert(entry.host.clone(), entry.born_unix_ms)),
            }
        }
        let mut listed = HashSet::new();
        let mut changed = false;
        let pool = self.control.pool.clone();
        for entry in entries {
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
            let known = self.workers.find(&entry.worker);
            let same_incarnation = known.filter(|&key| {
                self.workers.get(key).is_some_and(|worker| {
                    worker.entry.born_unix_ms == entry.born_unix_ms
                        && worker.entry.address == entry.address
                })
            });
            let key = match same_incarnation {
                Some(key) => key,
                None => {
                    changed = true;
                    log::info!(worker = entry.worker.as_str(), host = entry.host.as_str(),
                        pool = self.control.pool.as_str(), born_unix_ms = entry.born_unix_ms;
                        "worker joined the pool");
                    match known {
                        Some(known) => self.restart(known, entry.clone(), "it registered again"),
                        None => self.insert_worker(entry.clone()),
                    }
                }
            };
            listed.insert(key);
            let is_changed = self.workers.get(key).is_some_and(|worker| worker.entry != *entry);
            if is_changed {
                self.workers.set_entry(key, entry.clone());
            }
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
        self.end_older_incarnations();
        self.note_late_restarts();
        if changed {
            self.roster_changed();
        }
        self.next_check_ms = 0;
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

    /// Ends incarnations whose hosts run a newer one: a host runs one worker at
    /// a time.
    fn end_older_incarnations(&mut self) {
        let over: Vec<WorkerKey> = (self.workers.iter())
            .filter(|(_, worker)| {
                self.has_newer_incarnation(&worker.entry.host, worker.entry.born_unix_ms)
            })
            .map(|(key, _)| key)
            .collect();
        for key in over {
            self.end_incarnation(key, "its host runs a newer incarnation");
        }
    }

    /// Returns whether a host runs a newer worker incarnation than the one that
    /// began at `born_unix_ms`.
    pub(super) fn has_newer_incarnation(&self, host: &HostId, born_unix_ms: u64) -> bool {
        self.newest_starts.get(host).is_some_and(|&latest| latest > born_unix_ms)
    }

    /// Updates the stored roster, the workers on which something may run.
    /// Vacated workers are left out: they may be gone after the move of their
    /// host.
    pub(super) fn roster_changed(&mut self) {
        let entry = |worker: &Worker| RosterEntry {
            worker: worker.entry.worker.clone(),
            host: worker.entry.host.clone(),
            born_unix_ms: worker.entry.born_unix_ms,
        };
        let named = self.workers.iter().filter(|(_, worker)| !worker.is_vacated);
        let mut workers: Vec<_> = named.map(|(_, worker)| entry(worker)).collect();
        // Until reconciliation is finished, the previous controller's workers
        // stay on the roster for a successor.
        for absent in self.unreconciled.iter().flatten() {
            if !workers.contains(absent) {
                workers.push(absent.clone());
            }
        }
        self.writer.set_roster(Roster { workers });
    }
}

//! Explanations for operators of what a host is doing and waiting for.

use super::engine::FleetEngine;
use crate::state::{ids::HostId, records::HostPhase};

impl FleetEngine {
    /// Describes in one or two sentences what a host does and what it waits
    /// for.
    pub fn explain_host(&self, host: &HostId) -> Box<str> {
        let Some(view) = self.view.host(host) else {
            return match self.view.listed(host) {
                Some(_) => "The platform lists the host; it waits to be assigned to a pool.".into(),
                None => {
                    "The host is neither in the platform's list nor in the host records.".into()
                }
            };
        };
        let record = &view.record;
        let pool = &record.pool;
        let activity = match (record.phase, &record.next_pool) {
            (HostPhase::Active, _) => "is in service".to_owned(),
            (HostPhase::Draining, _) => {
                format!("drains before a reboot and waits for {}", self.waiting_seats(record))
            }
            (HostPhase::Moving, Some(next)) => {
                format!(
                    "drains to move to pool {next} and waits for {}",
                    self.waiting_seats(record)
                )
            }
            (HostPhase::Moving, None) => "returns to service".to_owned(),
            (HostPhase::Rebooting, _) => "waits for the platform to reboot it".to_owned(),
            (HostPhase::Returning, _) => {
                "has rebooted and waits to pass its health checks".to_owned()
            }
            (HostPhase::Failed, _) => {
                "has failed, is checked every 10 s and keeps its reservation".to_owned()
            }
        };
        let reserved: Vec<String> = self
            .services
            .get(pool)
            .into_iter()
            .flatten()
            .filter_map(|service| {
                let known = self.budget(service)?.reservations.get(host)?;
                Some(format!("{service} ({}, term {})", known.kind, known.term))
            })
            .collect();
        let budgets = if reserved.is_empty() {
            "no budget counts it as stopped".to_owned()
        } else {
            format!("it counts as stopped in the budgets of {}", reserved.join(", "))
        };
        let waves: Vec<String> = self
            .pool_waves
            .get(pool)
            .into_iter()
            .flatten()
            .filter_map(|wave| {
                let progress = self.wave_progress(wave, pool)?;
                let state = if progress.in_progress.contains_key(host) {
                    "being maintained"
                } else if progress.done.contains(host) {
                    "done"
                } else if progress.failed.contains_key(host) {
                    "failed"
                } else {
                    "waiting until the budgets allow the stop"
                };
                Some(format!("; wave {wave}: {state}"))
            })
            .collect();
        format!("Host {host} of pool {pool} {activity}; {budgets}{}.", waves.concat()).into()
    }

    fn waiting_seats(&self, record: &crate::state::records::HostRecord) -> String {
        match self.seats.get(&record.data_centre) {
            None => format!("the seats of {}, which are not known", record.data_centre),
            Some(holders) => {
                let held = holders.iter().flatten().count();
                format!("acknowledgements from the {held} seat holders of {}", record.data_centre)
            }
        }
    }
}

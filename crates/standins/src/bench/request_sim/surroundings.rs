//! Events from outside an engine: heartbeats, crashes of entry hosts and seat
//! changes.

use tamarackproxy::{
    coordination::requests::{RequestsEvent, ServiceLoad},
    state::ids::EntryId,
};

use super::{
    Disturbance,
    sim::{HEARTBEAT_US, REMOTE_DELAY_US, RequestSim, ScheduledEvent, data_centre_id},
};

impl RequestSim<'_> {
    /// Sends the load of each data centre to the entry hosts of the others.
    pub(super) fn heartbeat(&mut self) {
        self.push(self.now_us + HEARTBEAT_US, ScheduledEvent::Heartbeat);
        for data_centre in 0..self.deployment.data_centres {
            let loads = self.loads(data_centre);
            let first = data_centre * self.deployment.entries;
            let gateways: Vec<EntryId> = self.entries[first..first + self.deployment.entries]
                .iter()
                .filter(|entry| entry.alive && entry.held)
                .map(|entry| entry.name.clone())
                .collect();
            if gateways.is_empty() {
                continue;
            }
            for index in 0..self.entries.len() {
                if self.entries[index].data_centre != data_centre {
                    let event = RequestsEvent::RemoteLoad {
                        data_centre: data_centre_id(data_centre),
                        gateway: gateways[index % gateways.len()].clone(),
                        loads: loads.clone(),
                    };
                    let at_us = self.now_us + REMOTE_DELAY_US;
                    self.push(at_us, ScheduledEvent::Event(index, Box::new(event)));
                }
            }
        }
    }

    pub(super) fn loads(&self, data_centre: usize) -> Vec<ServiceLoad> {
        let mut sum: Vec<ServiceLoad> = Vec::new();
        for entry in self.entries.iter().filter(|e| e.alive && e.data_centre == data_centre) {
            for load in entry.engine.loads() {
                match sum.iter_mut().find(|other| other.service == load.service) {
                    Some(other) => {
                        other.idle_slots += load.idle_slots;
                        other.queued += load.queued;
                        other.in_flight += load.in_flight;
                    }
                    None => sum.push(load),
                }
            }
        }
        sum
    }

    pub(super) fn apply_disturbance(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::Crashed { entry } => {
                self.entries[entry].alive = false;
                self.announce_peers(self.entries[entry].data_centre);
            }
            Disturbance::Replaced { entry } => {
                self.entries[entry] = self.new_entry(entry);
                self.start_entry(entry);
                self.announce_peers(self.entries[entry].data_centre);
            }
            Disturbance::SeatChanged { entry, share } => self.set_seat(entry, share),
        }
    }
}

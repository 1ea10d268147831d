//! One cell of the matrix: runs an action, injects faults at one of its steps and
//! checks the invariants.

use rand::Rng;
use tamarackproxy::{
    node::core::{Input, NodeCore},
    protocol::platform::ListedState,
    state::{
        document::Urgency,
        ids::{DataCentreId, HostId},
    },
};

use super::{
    fault::Fault,
    step::{Action, Step},
    world::{Event, START_UNIX_MS, ScenarioEvent, Simulation},
};
use crate::{target::Cut, verdict::Verdict};

/// Time from which a step triggers the faults, in milliseconds; by then entry
/// hosts are ready and hosts have records.
const STEPS_FROM_MS: u64 = 14_000;
/// End of the traffic, in milliseconds.
const TRAFFIC_UNTIL_MS: u64 = 60_000;
/// End of the run, in milliseconds; leaves time for retries after the traffic.
const UNTIL_MS: u64 = 80_000;
/// Mean time between requests, in milliseconds.
const REQUEST_EVERY_MS: u64 = 40;
/// Share of non-repeatable requests.
const CHARGE_SHARE: f64 = 0.3;
/// Entry host that starts late in cells of [`Action::Maintenance`].
const LATE_ENTRY: usize = 3;
/// Requests of the flooded urgency class that are sent in addition to each
/// regular request.
const FLOOD_FACTOR: u32 = 40;

/// A cell of the matrix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Step at which the faults are injected.
    pub step: Step,
    /// Faults, injected together.
    pub faults: Vec<Fault>,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Result of a cell.
#[derive(Clone, Debug)]
pub struct CellReport {
    /// Whether the step was reached, so that the faults were injected.
    pub reached: bool,
    /// Figures that violate an invariant.
    pub broken: Vec<(&'static str, u64)>,
    /// All figures.
    pub verdict: Verdict,
    /// Descriptions of cases behind the violating figures.
    pub evidence: Vec<String>,
}

/// An injected fault, with what is needed to end it.
struct ActiveFault {
    fault: Fault,
    node: usize,
    data_centre: DataCentreId,
    hosts: Vec<HostId>,
    from_ms: u64,
}

struct Run {
    simulation: Simulation,
    cell: Cell,
    active_faults: Vec<ActiveFault>,
    is_injected: bool,
    flood: Option<(Urgency, u64)>,
    partitioned_from_ms: u64,
}

impl Cell {
    /// Creates a cell.
    pub fn new(step: Step, faults: Vec<Fault>, seed: u64) -> Self {
        Self { step, faults, seed }
    }

    /// Runs the cell.
    pub fn run(&self) -> CellReport {
        let mut run = Run {
            simulation: Simulation::new(self.seed),
            cell: self.clone(),
            active_faults: Vec::new(),
            is_injected: false,
            flood: None,
            partitioned_from_ms: 0,
        };
        run.prepare();
        while run.simulation.now_ms() < UNTIL_MS {
            let Some(event) = run.simulation.queue.pop() else { break };
            if let Some(event) = run.simulation.apply(event) {
                run.on_scenario_event(event);
            }
            run.check_for_step();
        }
        let interrupted = run.simulation.targets.runs.iter();
        let interrupted =
            interrupted.filter(|run| run.cut == Some(Cut::PlannedStop)).count() as u64;
        let reached = run.is_injected;
        let observations = run.simulation.observe();
        let mut verdict = Verdict::of(&observations);
        let evidence = Verdict::evidence(&observations);
        verdict.hosts.cut_off_in_flight += interrupted;
        CellReport { reached, broken: verdict.broken(), verdict, evidence }
    }
}

impl Run {
    fn prepare(&mut self) {
        let mut at = |ms, event| self.simulation.queue.push_at(ms, Event::Scenario(event));
        at(8_000, ScenarioEvent::SendRequest);
        at(STEPS_FROM_MS, ScenarioEvent::CheckStep);
        for (number, ms) in (1..).zip((10_000..TRAFFIC_UNTIL_MS).step_by(7_000)) {
            let entry = (number as usize) % 4;
            at(ms, ScenarioEvent::Put { number, entry, section: "pool orders" });
        }
        match self.cell.step.action() {
            Action::EntryStop => {
                at(18_000, ScenarioEvent::StopEntry);
                at(26_000, ScenarioEvent::RestartEntry(0));
            }
            Action::Cut => {
                at(18_000, ScenarioEvent::StartPartition);
                at(32_000, ScenarioEvent::EndPartition);
            }
            // The last entry host acquires its seat after all others have listed
            // the seats, so that they cannot learn of it from a listing alone.
            Action::Maintenance => {
                self.simulation
                    .queue
                    .push_at(9_000, Event::Scenario(ScenarioEvent::RestartEntry(LATE_ENTRY)));
                self.simulation.kill_node(LATE_ENTRY);
            }
            Action::Request | Action::Charge | Action::Put => {}
        }
    }

    fn on_scenario_event(&mut self, event: ScenarioEvent) {
        match event {
            ScenarioEvent::SendRequest => self.send_next_request(),
            ScenarioEvent::CheckStep => {}
            ScenarioEvent::EndFault(index) => self.end_fault(index),
            ScenarioEvent::StopEntry => {
                self.simulation.reached_steps.push((Step::StopBegun, Some(0), None));
                self.deliver_input(0, Input::Stop);
            }
            ScenarioEvent::RestartEntry(node) => {
                if self.simulation.nodes[node].core.is_none() {
                    self.simulation.start_node(node);
                }
            }
            ScenarioEvent::Put { number, entry, section } => {
                self.simulation.put(entry, section, number)
            }
            ScenarioEvent::StartPartition => {
                self.partitioned_from_ms = self.simulation.now_ms();
                self.simulation.partitioned.insert(DataCentreId::new("b"));
                self.simulation.reached_steps.push((Step::CutBegun, Some(2), None));
            }
            ScenarioEvent::EndPartition => {
                let data_centre = DataCentreId::new("b");
                self.simulation.partitioned.remove(&data_centre);
                self.simulation.record_partition(&data_centre, self.partitioned_from_ms);
                self.simulation.reached_steps.push((Step::CutHealed, Some(2), None));
            }
        }
    }

    fn deliver_input(&mut self, node: usize, input: Input) {
        let incarnation = self.simulation.nodes[node].incarnation;
        let input = Box::new(input);
        self.simulation.queue.push_in(0, Event::Input { node, incarnation, input });
    }

    /// Sends one request and schedules the next.
    fn send_next_request(&mut self) {
        let now_ms = self.simulation.now_ms();
        if now_ms > TRAFFIC_UNTIL_MS {
            return;
        }
        let flood = self.flood.filter(|(_, until_ms)| now_ms < *until_ms);
        let classes = [Urgency::Urgent, Urgency::Normal, Urgency::Bulk];
        let class = self.simulation.random.random_range(0..classes.len());
        let is_charge = self.simulation.random.random_bool(CHARGE_SHARE);
        self.send_new_request(is_charge, classes[class]);
        if let Some((urgency, _)) = flood {
            (0..FLOOD_FACTOR).for_each(|_| self.send_new_request(false, urgency));
        }
        let delay_ms = self.simulation.random.random_range(1..2 * REQUEST_EVERY_MS);
        self.simulation.queue.push_in(delay_ms, Event::Scenario(ScenarioEvent::SendRequest));
    }

    fn send_new_request(&mut self, is_charge: bool, urgency: Urgency) {
        let unix_ms = START_UNIX_MS + self.simulation.now_ms();
        let logical = self.simulation.traffic.new_request(
            &mut self.simulation.random,
            unix_ms,
            is_charge,
            urgency,
        );
        self.simulation.send(logical, None);
    }

    fn check_for_step(&mut self) {
        let reached = std::mem::take(&mut self.simulation.reached_steps);
        if self.is_injected || self.simulation.now_ms() < STEPS_FROM_MS {
            return;
        }
        // No event marks the release of the seat: it begins once the stop has begun
        // and no request is open.
        let wanted = |(step, ..): &&(Step, Option<usize>, Option<HostId>)| *step == self.cell.step;
        let found = reached.iter().find(wanted).cloned().or_else(|| self.releasing_step());
        if let Some((_, node, host)) = found {
            self.is_injected = true;
            for fault in self.cell.faults.clone() {
                self.inject(fault, node.unwrap_or(0), host.clone());
            }
        }
    }

    fn releasing_step(&self) -> Option<(Step, Option<usize>, Option<HostId>)> {
        let is_wanted = self.cell.step == Step::StopReleasing && self.simulation.now_ms() >= 18_000;
        let core = self.simulation.nodes[0].core.as_ref();
        let is_empty = core.is_none_or(|core: &NodeCore| core.open_requests() == 0);
        (is_wanted && is_empty).then_some((Step::StopReleasing, Some(0), None))
    }

    /// Injects a fault into the entry host, host or data centre that takes part in
    /// the step, and schedules its end.
    fn inject(&mut self, fault: Fault, node: usize, host: Option<HostId>) {
        let data_centre = self.simulation.data_centre_of(node).clone();
        let host = host.unwrap_or_else(|| HostId::new(format!("{data_centre}0")));
        let now_ms = self.simulation.now_ms();
        let mut hosts = vec![host.clone()];
        let duration_ms = match fault {
            Fault::PlatformDown => {
                self.simulation.platform_down = true;
                15_000
            }
            Fault::StoreSlow => {
                self.simulation.store.faults.delay_ms = 1_500;
                10_000
            }
            Fault::RepliesLost => {
                self.simulation.store.faults.lost_reply_share = 0.5;
                10_000
            }
            Fault::EntryKilled => {
                self.simulation.kill_node(node);
                3_000
            }
            Fault::EntryPaused => {
                self.simulation.pause_node(node, 20_000);
                20_000
            }
            Fault::DataCentreCut => {
                self.simulation.partitioned.insert(data_centre.clone());
                20_000
            }
            Fault::PlatformCut => {
                self.simulation.platform_partitioned.insert(data_centre.clone());
                20_000
            }
            Fault::MessagesLost => {
                self.simulation.message_loss = 0.5;
                10_000
            }
            Fault::TargetDied => {
                self.simulation.kill_host(&host);
                15_000
            }
            Fault::RackFailed => {
                hosts = self.simulation.hosts_in_rack_of(&host);
                hosts.iter().for_each(|host| self.simulation.kill_host(host));
                15_000
            }
            Fault::TargetFailing => {
                self.simulation.targets.failing.insert(host);
                10_000
            }
            Fault::ResponsesCut => {
                self.simulation.targets.truncating.insert(host);
                10_000
            }
            Fault::HostListedLeaving => {
                self.simulation.platform.announce(now_ms, &host, ListedState::Leaving);
                10_000
            }
            Fault::TargetLeaving => {
                self.simulation.targets.leaving.insert(host);
                10_000
            }
            Fault::RepeatsRace => {
                self.repeat_charges();
                0
            }
            Fault::OperatorsRace => {
                for (entry, section) in [(0, "pool orders"), (1, "pool orders"), (2, "pool spare")]
                {
                    let number = 1_000 + self.simulation.random.random_range(0..1_000_000);
                    self.simulation.put(entry, section, number);
                }
                0
            }
            Fault::BulkFlood => {
                self.flood = Some((Urgency::Bulk, now_ms + 5_000));
                5_000
            }
            Fault::UrgentFlood => {
                self.flood = Some((Urgency::Urgent, now_ms + 5_000));
                5_000
            }
            Fault::CancellationWave => {
                self.simulation.cancel_all();
                0
            }
        };
        let index = self.active_faults.len();
        self.active_faults.push(ActiveFault { fault, node, data_centre, hosts, from_ms: now_ms });
        self.simulation.queue.push_in(duration_ms, Event::Scenario(ScenarioEvent::EndFault(index)));
    }

    /// Retries every open charge through each entry host.
    fn repeat_charges(&mut self) {
        let open = self.simulation.traffic.open.values();
        let mut charges: Vec<_> =
            open.filter(|(_, logical)| logical.key.is_some()).map(|(_, o)| o.clone()).collect();
        charges.sort_by_key(|logical| logical.request);
        for logical in charges {
            (0..self.simulation.nodes.len())
                .for_each(|node| self.simulation.send(logical.clone(), Some(node)));
        }
    }

    fn end_fault(&mut self, index: usize) {
        let ActiveFault { fault, node, data_centre, hosts, from_ms } = &self.active_faults[index];
        let (fault, node, from_ms) = (*fault, *node, *from_ms);
        let (data_centre, hosts) = (data_centre.clone(), hosts.clone());
        let now_ms = self.simulation.now_ms();
        match fault {
            Fault::PlatformDown => {
                self.simulation.platform_down = false;
                for data_centre in super::deployment::DATA_CENTRES {
                    self.simulation.record_partition(&DataCentreId::new(data_centre), from_ms);
                }
            }
            Fault::StoreSlow => {
                self.simulation.store.faults.delay_ms = 0;
                for data_centre in super::deployment::DATA_CENTRES {
                    self.simulation.record_partition(&DataCentreId::new(data_centre), from_ms);
                }
            }
            Fault::RepliesLost => self.simulation.store.faults.lost_reply_share = 0.0,
            Fault::EntryKilled => {
                if self.simulation.nodes[node].core.is_none() {
                    self.simulation.start_node(node);
                }
            }
            Fault::DataCentreCut => {
                self.simulation.partitioned.remove(&data_centre);
                self.simulation.record_partition(&data_centre, from_ms);
            }
            Fault::PlatformCut => {
                self.simulation.platform_partitioned.remove(&data_centre);
                self.simulation.record_list_outage(&data_centre, from_ms);
            }
            Fault::MessagesLost => self.simulation.message_loss = 0.0,
            Fault::TargetDied | Fault::RackFailed => {
                hosts.iter().for_each(|host| self.simulation.restart_host(host));
            }
            Fault::TargetFailing => {
                self.simulation.targets.failing.remove(&hosts[0]);
            }
            Fault::ResponsesCut => {
                self.simulation.targets.truncating.remove(&hosts[0]);
            }
            Fault::HostListedLeaving => {
                self.simulation.platform.announce(now_ms, &hosts[0], ListedState::Live);
            }
            Fault::TargetLeaving => {
                self.simulation.targets.leaving.remove(&hosts[0]);
                self.simulation.targets.end_leaving_signals(&hosts[0], now_ms);
            }
            Fault::EntryPaused
            | Fault::RepeatsRace
            | Fault::OperatorsRace
            | Fault::BulkFlood
            | Fault::UrgentFlood
            | Fault::CancellationWave => {}
        }
    }
}

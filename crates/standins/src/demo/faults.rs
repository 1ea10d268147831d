//! Injects one fault and takes it away again.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{protocol::platform::ListedState, state::ids::HostId};

use super::{deployment::Plan, entries::Entries, load::Window, options::Fault, site::Site};
use crate::{
    net::RelayMode,
    target::TargetFaults,
    verdict::{DataCentreCut, EntryOutage},
};

/// Share of the run after which the fault begins.
const BEGINS_AT: f64 = 0.3;
/// Share of the run after which the fault ends.
const ENDS_AT: f64 = 0.6;
/// Share of the store's effective writes that get no reply.
const LOST_REPLY_SHARE: f64 = 0.2;

/// Outages that explain late configurations and missed signs.
#[derive(Default)]
pub(super) struct FaultRecords {
    pub(super) cuts: Vec<DataCentreCut>,
    pub(super) outages: Vec<EntryOutage>,
}

/// Returns the time of the fault within the run.
pub(super) fn window(run: Window) -> Window {
    Window { from_ms: run.at(BEGINS_AT), to_ms: run.at(ENDS_AT) }
}

/// Injects the fault at its begin and takes it away at its end.
pub(super) async fn inject(
    fault: Fault,
    plan: &Plan,
    site: &Site,
    entries: &mut Entries,
    run: Window,
    seed: u64,
) -> anyhow::Result<FaultRecords> {
    let window = window(run);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let choice = Choice {
        host: random.random_range(0..plan.hosts.len()),
        entry: random.random_range(0..plan.entries.len()),
        data_centre: random.random_range(0..plan.data_centres.len()),
    };
    site.clock.sleep_until_ms(window.from_ms).await;
    begin(fault, plan, site, entries, &choice);
    site.clock.sleep_until_ms(window.to_ms).await;
    end(fault, plan, site, entries, &choice).await?;
    Ok(records(fault, plan, &choice, window.from_ms, site.clock.now_ms()))
}

/// Where the fault strikes, as indices into the plan.
struct Choice {
    host: usize,
    entry: usize,
    data_centre: usize,
}

/// Returns the hosts of the chosen host's rack.
fn rack<'a>(plan: &'a Plan, choice: &Choice) -> impl Iterator<Item = &'a HostId> {
    let rack = &plan.hosts[choice.host].rack;
    plan.hosts.iter().filter(move |host| host.rack == *rack).map(|host| &host.host)
}

fn begin(fault: Fault, plan: &Plan, site: &Site, entries: &mut Entries, choice: &Choice) {
    let now_ms = site.clock.now_ms();
    let host = &plan.hosts[choice.host].host;
    match fault {
        Fault::PlatformDown => {
            site.store.set_down(true);
            site.platform.set_down(true);
        }
        Fault::LostReplies => {
            site.store.handle().state().faults.lost_reply_share = LOST_REPLY_SHARE;
        }
        Fault::EntryKilled => entries.kill(choice.entry),
        Fault::DataCentreCut => site.set_ways(plan, choice.data_centre, RelayMode::Silent),
        Fault::DataCentreReset => site.set_ways(plan, choice.data_centre, RelayMode::Closed),
        Fault::TargetLeaving => {
            let faults = TargetFaults { leaving: true, ..TargetFaults::default() };
            site.targets[choice.host].set_faults(faults);
        }
        Fault::FailingWorker => {
            let faults = TargetFaults { fails_everything: true, ..TargetFaults::default() };
            site.targets[choice.host].set_faults(faults);
        }
        Fault::RackLost => {
            rack(plan, choice).for_each(|host| site.platform.state().kill(now_ms, host));
        }
        Fault::HostLeaving => {
            site.platform.state().announce(now_ms, host, ListedState::Leaving);
        }
        // The flood is part of the callers' load.
        Fault::UrgentFlood => {}
    }
}

async fn end(
    fault: Fault,
    plan: &Plan,
    site: &Site,
    entries: &mut Entries,
    choice: &Choice,
) -> anyhow::Result<()> {
    let now_ms = site.clock.now_ms();
    let host = &plan.hosts[choice.host].host;
    match fault {
        Fault::PlatformDown => {
            site.store.set_down(false);
            site.platform.set_down(false);
        }
        Fault::LostReplies => site.store.handle().state().faults.lost_reply_share = 0.0,
        Fault::EntryKilled => {
            entries.restart(choice.entry)?;
            entries.wait_until_ready(choice.entry).await?;
        }
        Fault::DataCentreCut | Fault::DataCentreReset => {
            site.set_ways(plan, choice.data_centre, RelayMode::Open);
        }
        Fault::FailingWorker | Fault::TargetLeaving => {
            site.targets[choice.host].set_faults(TargetFaults::default());
        }
        Fault::RackLost => {
            rack(plan, choice).for_each(|host| site.platform.state().revive(now_ms, host));
        }
        Fault::HostLeaving => site.platform.state().announce(now_ms, host, ListedState::Live),
        Fault::UrgentFlood => {}
    }
    Ok(())
}

fn records(fault: Fault, plan: &Plan, choice: &Choice, from_ms: u64, to_ms: u64) -> FaultRecords {
    let mut records = FaultRecords::default();
    let outage = |index: usize| EntryOutage {
        entry: plan.entries[index].entry.clone(),
        from_ms,
        to_ms: Some(to_ms),
    };
    match fault {
        Fault::EntryKilled => records.outages.push(outage(choice.entry)),
        Fault::DataCentreCut | Fault::DataCentreReset => {
            let of_cut = |index: &usize| plan.entries[*index].data_centre == choice.data_centre;
            records.outages = (0..plan.entries.len()).filter(of_cut).map(outage).collect();
            let data_centre = plan.data_centres[choice.data_centre].clone();
            records.cuts.push(DataCentreCut { data_centre, from_ms, to_ms });
        }
        _ => {}
    }
    records
}

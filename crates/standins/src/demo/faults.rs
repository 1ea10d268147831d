//! Injects one fault and ends it again within the run.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{protocol::platform::ListedState, state::ids::HostId};

use super::{deployment::Plan, entries::Entries, load::Window, options::Fault, site::StandIns};
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

/// Outages that excuse late configurations and missed leaving signals in the
/// verdict.
#[derive(Default)]
pub(super) struct FaultRecords {
    pub(super) cuts: Vec<DataCentreCut>,
    pub(super) outages: Vec<EntryOutage>,
}

/// Returns the time window of the fault within the run.
pub(super) fn window(run: Window) -> Window {
    Window { from_ms: run.at(BEGINS_AT), to_ms: run.at(ENDS_AT) }
}

/// Injects the fault at the start of its window and ends it at the end.
///
/// The seed decides which host, entry host and data centre are affected.
pub(super) async fn inject(
    fault: Fault,
    plan: &Plan,
    stand_ins: &StandIns,
    entries: &mut Entries,
    run: Window,
    seed: u64,
) -> anyhow::Result<FaultRecords> {
    let window = window(run);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let affected = Affected {
        host: random.random_range(0..plan.hosts.len()),
        entry: random.random_range(0..plan.entries.len()),
        data_centre: random.random_range(0..plan.data_centres.len()),
    };
    stand_ins.clock.sleep_until_ms(window.from_ms).await;
    begin(fault, plan, stand_ins, entries, &affected);
    stand_ins.clock.sleep_until_ms(window.to_ms).await;
    end(fault, plan, stand_ins, entries, &affected).await?;
    Ok(records(fault, plan, &affected, window.from_ms, stand_ins.clock.now_ms()))
}

/// What the fault affects, as indices into the plan.
struct Affected {
    host: usize,
    entry: usize,
    data_centre: usize,
}

/// Returns the hosts in the rack of the affected host.
fn rack<'a>(plan: &'a Plan, affected: &Affected) -> impl Iterator<Item = &'a HostId> {
    let rack = &plan.hosts[affected.host].rack;
    plan.hosts.iter().filter(move |host| host.rack == *rack).map(|host| &host.host)
}

fn begin(
    fault: Fault,
    plan: &Plan,
    stand_ins: &StandIns,
    entries: &mut Entries,
    affected: &Affected,
) {
    let now_ms = stand_ins.clock.now_ms();
    let host = &plan.hosts[affected.host].host;
    match fault {
        Fault::PlatformDown => {
            stand_ins.store.set_down(true);
            stand_ins.platform.set_down(true);
        }
        Fault::LostReplies => {
            stand_ins.store.handle().state().faults.lost_reply_share = LOST_REPLY_SHARE;
        }
        Fault::EntryKilled => entries.kill(affected.entry),
        Fault::DataCentreCut => {
            stand_ins.set_relay_mode(plan, affected.data_centre, RelayMode::Silent)
        }
        Fault::DataCentreReset => {
            stand_ins.set_relay_mode(plan, affected.data_centre, RelayMode::Closed)
        }
        Fault::TargetLeaving => {
            let faults = TargetFaults { leaving: true, ..TargetFaults::default() };
            stand_ins.targets[affected.host].set_faults(faults);
        }
        Fault::FailingWorker => {
            let faults = TargetFaults { fails_everything: true, ..TargetFaults::default() };
            stand_ins.targets[affected.host].set_faults(faults);
        }
        Fault::RackLost => {
            rack(plan, affected).for_each(|host| stand_ins.platform.state().kill(now_ms, host));
        }
        Fault::HostLeaving => {
            stand_ins.platform.state().announce(now_ms, host, ListedState::Leaving);
        }
        // The flood is generated as part of the callers' load.
        Fault::UrgentFlood => {}
    }
}

async fn end(
    fault: Fault,
    plan: &Plan,
    stand_ins: &StandIns,
    entries: &mut Entries,
    affected: &Affected,
) -> anyhow::Result<()> {
    let now_ms = stand_ins.clock.now_ms();
    let host = &plan.hosts[affected.host].host;
    match fault {
        Fault::PlatformDown => {
            stand_ins.store.set_down(false);
            stand_ins.platform.set_down(false);
        }
        Fault::LostReplies => stand_ins.store.handle().state().faults.lost_reply_share = 0.0,
        Fault::EntryKilled => {
            entries.restart(affected.entry)?;
            entries.wait_until_ready(affected.entry).await?;
        }
        Fault::DataCentreCut | Fault::DataCentreReset => {
            stand_ins.set_relay_mode(plan, affected.data_centre, RelayMode::Open);
        }
        Fault::FailingWorker | Fault::TargetLeaving => {
            stand_ins.targets[affected.host].set_faults(TargetFaults::default());
        }
        Fault::RackLost => {
            rack(plan, affected).for_each(|host| stand_ins.platform.state().revive(now_ms, host));
        }
        Fault::HostLeaving => stand_ins.platform.state().announce(now_ms, host, ListedState::Live),
        Fault::UrgentFlood => {}
    }
    Ok(())
}

fn records(
    fault: Fault,
    plan: &Plan,
    affected: &Affected,
    from_ms: u64,
    to_ms: u64,
) -> FaultRecords {
    let mut records = FaultRecords::default();
    let outage = |index: usize| EntryOutage {
        entry: plan.entries[index].entry.clone(),
        from_ms,
        to_ms: Some(to_ms),
    };
    match fault {
        Fault::EntryKilled => records.outages.push(outage(affected.entry)),
        Fault::DataCentreCut | Fault::DataCentreReset => {
            let is_cut_off =
                |index: &usize| plan.entries[*index].data_centre == affected.data_centre;
            records.outages = (0..plan.entries.len()).filter(is_cut_off).map(outage).collect();
            let data_centre = plan.data_centres[affected.data_centre].clone();
            records.cuts.push(DataCentreCut { data_centre, from_ms, to_ms });
        }
        _ => {}
    }
    records
}

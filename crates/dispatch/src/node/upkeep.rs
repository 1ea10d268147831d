//! Controller of host maintenance and of moves between pools: connects the
//! engines to the store and the platform's hosts.

use std::{rc::Rc, time::Duration};

use hashbrown::{HashMap, HashSet};
use tamarackproxy::{
    coordination::control::Tenure,
    protocol::store::{KeyValue, StoreError, WatchEvent},
    state::ids::{HostId, PoolId, RecordVersion, WorkerId},
};
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep_until},
};

use super::{
    clock,
    control::{AbortOnDrop, LeaseState},
    follow::{PrefixUpdate, follow, list_with_retry, read_with_retry},
    keys::{
        BALANCE_KEY, FLEET_PREFIX, Fence, FleetKey, SUMMARY_PREFIX, UPKEEP_LAST_WRITE_KEY,
        UPKEEP_SCOPE, WAVE_PREFIX, balance_transaction, decode_item, decode_wave, fleet_key,
        upkeep_transaction, wave_of,
    },
    platform::{HostOrder, Platform, TransactionReply},
    shared::Shared,
};
use crate::{
    coordination::balance::{BalanceAction, BalanceEngine, BalanceTiming},
    coordination::control::{OrderPermit, OrderWindow},
    coordination::upkeep::{
        HostOrderReply, HostView, UpkeepAction, UpkeepEngine, UpkeepTiming, UpkeepWrite,
    },
    state::{BalanceRecord, Summary, VacateReason, VacateRequest, WaveNumber, WaveRecord},
};

/// Coalescing delay for changes of summaries, in milliseconds; changes of
/// several pools share a call.
const SUMMARY_COALESCE_MS: u64 = 60;

/// Delay after a change of control before the previous holder's vacate requests
/// are withdrawn, in milliseconds. Its last orders for hosts have ended by then.
const ORPHANS_DELAY_MS: u64 = 2_500;

/// An event that the controller passes to the engines.
enum Input {
    Listed(Option<Vec<HostView>>),
    Replied(WaveNumber, HostId, HostOrderReply),
    Moved(HostId, HostOrderReply),
    Summary(PrefixUpdate),
    Written(RecordVersion, Write),
}

/// Result of a write of the maintenance engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Write {
    /// The write took effect.
    Written,
    /// The write had no effect, or its effect is unknown.
    Failed,
    /// The lease key is gone or belongs to another holder.
    Fenced,
}

/// Controls host maintenance until it is aborted or fenced.
pub(super) async fn control<P>(shared: Rc<Shared<P>>, tenure: Tenure, lease: LeaseState)
where
    P: Platform,
{
    let window = OrderWindow::new(shared.settings.host_fencing, clock::read().monotonic_ms);
    let timing = UpkeepTiming { maintenance_ms: shared.settings.maintenance_ms };
    let mut engine = UpkeepEngine::new(timing);
    let records = list_with_retry(&shared, WAVE_PREFIX).await;
    let records: HashMap<WaveNumber, WaveRecord> = (records.items.iter())
        .filter_map(|item| Some((wave_of(&item.key)?, decode_wave(item)?)))
        .collect();
    let orphans = list_with_retry(&shared, FLEET_PREFIX).await;
    let mut orphans = inherited_requests(&orphans.items);
    let orphans_due_ms = clock::read().monotonic_ms + ORPHANS_DELAY_MS;
    let mut vacate = shared.vacate.subscribe();
    let mut vacated = shared.vacated.subscribe();
    let last_write = read_with_retry(&shared, UPKEEP_LAST_WRITE_KEY).await;
    let mut last_write = last_write.map_or(RecordVersion(0), |item| item.version);
    let fence = Rc::new(Fence::new(UPKEEP_SCOPE, tenure.key_version));
    let (inputs, mut receiver) = mpsc::unbounded_channel();
    let mut calls = JoinSet::new();
    let mut balance = BalanceEngine::new(BalanceTiming { move_ms: shared.settings.move_ms });
    let stored = read_with_retry(&shared, BALANCE_KEY).await;
    if let Some(record) = stored.and_then(|item| decode_item(&item)) {
        balance.restore(clock::read(), &record);
    }
    let sink = {
        let inputs = inputs.clone();
        // The receiver is gone when control has ended.
        move |update| drop(inputs.send(Input::Summary(update)))
    };
    let summaries =
        follow(Rc::clone(&shared), SUMMARY_PREFIX.into(), None, SUMMARY_COALESCE_MS, sink);
    let summaries = tokio::task::spawn_local(summaries);
    let _summaries = AbortOnDrop::new(&summaries);
    shared.fleet_known().await;
    set_requests(&mut engine, &mut vacate, &mut vacated);
    loop {
        let now = clock::read();
        let waves: Vec<_> = shared.waves.borrow().values().cloned().collect();
        for wave in waves {
            let record = records.get(&wave.wave);
            engine.on_wave(now, wave, record);
        }
        if vacated.has_changed().unwrap_or(false) || vacate.has_changed().unwrap_or(false) {
            set_requests(&mut engine, &mut vacate, &mut vacated);
        }
        while let Ok(input) = receiver.try_recv() {
            match input {
                Input::Listed(hosts) => {
                    engine.on_list(clock::read(), hosts);
                    if let Some((sent_ms, hosts)) = engine.list() {
                        balance.on_list(sent_ms, &hosts);
                    }
                }
                Input::Moved(_, HostOrderReply::OldTerm) => return lease.report_fenced(),
                Input::Moved(host, reply) => balance.on_reply(clock::read(), &host, reply),
                Input::Summary(update) => on_summary(&mut balance, update),
                Input::Replied(wave, host, reply) => {
                    let actions = engine.on_reply(clock::read(), wave, &host, reply);
                    if actions.contains(&UpkeepAction::Fenced) {
                        return lease.report_fenced();
                    }
                }
                Input::Written(_, Write::Fenced) => return lease.report_fenced(),
                Input::Written(version, write) => {
                    last_write = version;
                    engine.on_write(clock::read(), write == Write::Written);
                }
            }
        }
        set_pools(&mut balance, &shared);
        balance.on_workers(shared.registry.borrow().values());
        let mut actions: Vec<Action> = Vec::new();
        let (mut vacate_for_move, mut release) = (Vec::new(), Vec::new());
        let permit = window.permit(clock::read().monotonic_ms, lease.confirmed_until_ms());
        let moves = balance
            .step(clock::read(), permit.is_some(), &vacated.borrow(), |host| engine.is_busy(host));
        for action in moves {
            match action {
                BalanceAction::Vacate(worker) => vacate_for_move.push(worker),
                BalanceAction::Release(worker) => release.push(worker),
                BalanceAction::Move(host, pool) => {
                    actions.extend(permit.map(|permit| Action::Move(host, pool, permit)));
                }
                BalanceAction::Save(record) => actions.push(Action::Save(record)),
            }
        }
        engine.add_requests(vacate_for_move, release);
        if clock::read().monotonic_ms >= orphans_due_ms {
            engine.release_unneeded(&mut orphans);
        }
        let steps = engine.step(clock::read(), permit.is_some(), |host| balance.is_moving(host));
        actions.extend(steps.into_iter().filter_map(|action| match action {
            UpkeepAction::Order(host, wave) => {
                permit.map(|permit| Action::Maintain(host, wave, permit))
            }
            UpkeepAction::List => Some(Action::List),
            UpkeepAction::Write(write) => Some(Action::Write(last_write, write)),
            UpkeepAction::Fenced => None,
        }));
        for action in actions {
            carry_out(&shared, &fence, tenure, action, &inputs, &mut calls);
        }
        while calls.try_join_next().is_some() {}
        let now = clock::read();
        let wait_ms = engine.next_step_ms(now).saturating_sub(now.monotonic_ms);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        tokio::select! {
            () = sleep_until(until) => {}
            () = shared.waves_changed.notified() => {}
            _ = vacated.changed() => vacated.mark_changed(),
            Some(input) = receiver.recv() => {
                // Appending it changes the order of inputs, which does not
                // matter to the engines.
                let _ = inputs.send(input);
            }
        }
    }
}

/// Returns the workers with a vacate request or a confirmation of one, each with the
/// reason of the request.
fn inherited_requests(items: &[KeyValue]) -> HashMap<WorkerId, Option<VacateReason>> {
    let mut requests = HashMap::new();
    for item in items {
        match fleet_key(&item.key) {
            Some(FleetKey::Vacate(worker)) => {
                let request = decode_item::<VacateRequest>(item);
                requests.insert(worker, request.map(|request| request.reason));
            }
            Some(FleetKey::Vacated(worker)) => {
                requests.entry(worker).or_insert(None);
            }
            None => {}
        }
    }
    requests
}

/// An action requested by one of the two engines.
enum Action {
    List,
    Maintain(HostId, WaveNumber, OrderPermit),
    Move(HostId, PoolId, OrderPermit),
    /// A write, after the one at the given version.
    Write(RecordVersion, UpkeepWrite),
    Save(BalanceRecord),
}

fn set_requests(
    engine: &mut UpkeepEngine,
    vacate: &mut watch::Receiver<HashMap<WorkerId, RecordVersion>>,
    vacated: &mut watch::Receiver<HashSet<WorkerId>>,
) {
    let requested: Vec<_> = vacate.borrow_and_update().keys().cloned().collect();
    let vacated: Vec<_> = vacated.borrow_and_update().iter().cloned().collect();
    engine.on_requests(requested, vacated);
}

/// Converts the store's reply to a write; returns the version of the last write
/// that is known now, and the result.
fn upkeep_result(
    fence: &Fence,
    previous: RecordVersion,
    reply: Result<TransactionReply, StoreError>,
) -> (RecordVersion, Write) {
    match reply {
        Ok(TransactionReply::Written(version)) => (version, Write::Written),
        Ok(TransactionReply::Conflict(conflict)) if fence.is_broken(&conflict) => {
            (previous, Write::Fenced)
        }
        Ok(TransactionReply::Conflict(conflict)) => {
            let found = conflict.iter().find(|item| &*item.key == UPKEEP_LAST_WRITE_KEY);
            let version = found.map_or(RecordVersion(0), |item| item.version);
            log::info!(version = version.0;
                "an earlier write of maintenance state took effect late; writing again");
            (version, Write::Failed)
        }
        Err(error) => {
            log::info!(error:display = error; "write of maintenance state failed; retrying");
            (previous, Write::Failed)
        }
    }
}

fn set_pools<P>(balance: &mut BalanceEngine, shared: &Shared<P>)
where
    P: Platform,
{
    let Some(document) = shared.document() else { return };
    let standby = document.pools.iter().find(|pool| pool.is_standby);
    let working = document.working_pools().cloned();
    balance.set_pools(working, standby.map(|pool| pool.pool.clone()));
}

fn on_summary(balance: &mut BalanceEngine, update: PrefixUpdate) {
    let items = match update {
        PrefixUpdate::Listed(items) => items,
        PrefixUpdate::Changed(WatchEvent::Put(item)) => vec![item],
        PrefixUpdate::Changed(WatchEvent::Deleted { .. } | WatchEvent::Interrupted) => return,
    };
    for item in items {
        let pool = item.key.strip_prefix(SUMMARY_PREFIX).and_then(|pool| pool.parse().ok());
        if let (Some(pool), Some(summary)) = (pool, decode_item::<Summary>(&item)) {
            balance.on_demand(clock::read(), pool, summary.demand);
        }
    }
}

fn carry_out<P>(
    shared: &Rc<Shared<P>>,
    fence: &Rc<Fence>,
    tenure: Tenure,
    action: Action,
    inputs: &mpsc::UnboundedSender<Input>,
    calls: &mut JoinSet<()>,
) where
    P: Platform,
{
    let (shared, fence, inputs) = (Rc::clone(shared), Rc::clone(fence), inputs.clone());
    calls.spawn_local(async move {
        let input = match action {
            Action::Save(record) => {
                let transaction = match balance_transaction(&fence, &record) {
                    Ok(transaction) => transaction,
                    Err(error) => {
                        log::error!(error:display = error;
                            "record of load surges could not be encoded");
                        return;
                    }
                };
                // Not retried: the next change writes the whole record.
                if let Err(error) = shared.transact(&transaction).await {
                    log::info!(error:display = error; "record of load surges was not stored");
                }
                return;
            }
            Action::Move(host, pool, permit) => {
                let order = HostOrder { holder: &shared.settings.entry, term: tenure.term, permit };
                let reply = shared.platform.move_host(&order, &host, &pool).await;
                Input::Moved(host, reply)
            }
            Action::List => Input::Listed(shared.platform.list_hosts().await),
            Action::Maintain(host, wave, permit) => {
                let order = HostOrder { holder: &shared.settings.entry, term: tenure.term, permit };
                let reply = shared.platform.start_maintenance(&order, &host, wave).await;
                Input::Replied(wave, host, reply)
            }
            Action::Write(previous, write) => {
                let state = |wave, state| shared.platform.encode_wave_state(wave, state);
                let transaction = match upkeep_transaction(&fence, previous, &write, state) {
                    Ok(transaction) => transaction,
                    Err(error) => {
                        log::error!(error:display = error;
                            "maintenance state could not be encoded");
                        return;
                    }
                };
                let reply = shared.transact(&transaction).await;
                let (version, write) = upkeep_result(&fence, previous, reply);
                Input::Written(version, write)
            }
        };
        // The receiver is gone when control has ended.
        let _ = inputs.send(input);
    });
}

#[cfg(test)]
mod tests;

//! Controller of upkeep: the engine between store and hosts.

use std::{rc::Rc, time::Duration};

use hashbrown::HashSet;
use tamarackproxy::{
    coordination::control::Tenure,
    state::ids::{HostId, WorkerId},
};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{Instant, sleep_until},
};

use super::{
    clock,
    control::Tenancy,
    follow::list_until_done,
    keys::{Fence, UPKEEP_SCOPE, WAVE_PREFIX, decode_wave, upkeep_transaction, wave_of},
    platform::{Platform, TransactionReply},
    shared::Shared,
};
use crate::{
    coordination::upkeep::{HostView, UpkeepAction, UpkeepEngine, UpkeepReply, UpkeepTiming},
    state::{WaveNumber, WaveRecord},
};

enum Input {
    Listed(Option<Vec<HostView>>),
    Replied(WaveNumber, HostId, UpkeepReply),
    Written { is_written: bool, is_fenced: bool },
}

/// Controls upkeep until it is aborted or fenced.
pub(super) async fn control<P>(shared: Rc<Shared<P>>, tenure: Tenure, lease: Tenancy)
where
    P: Platform,
{
    let timing = UpkeepTiming { maintenance_ms: shared.settings.maintenance_ms };
    let mut engine = UpkeepEngine::new(timing);
    let records = list_until_done(&shared, WAVE_PREFIX).await;
    let records: hashbrown::HashMap<WaveNumber, WaveRecord> = (records.items.iter())
        .filter_map(|item| Some((wave_of(&item.key)?, decode_wave(item)?)))
        .collect();
    let mut vacate = shared.vacate.subscribe();
    let mut vacated = shared.vacated.subscribe();
    let fence = Rc::new(Fence::new(UPKEEP_SCOPE, tenure.key_version));
    let (inputs, mut receiver) = mpsc::unbounded_channel();
    let mut calls = JoinSet::new();
    let set = |workers: &Rc<HashSet<WorkerId>>| workers.iter().cloned().collect::<Vec<_>>();
    engine.on_requests(set(&vacate.borrow_and_update()), set(&vacated.borrow_and_update()));
    loop {
        let now = clock::read();
        let waves: Vec<_> = shared.waves.borrow().values().cloned().collect();
        for wave in waves {
            let record = records.get(&wave.wave);
            engine.on_wave(now, wave, record);
        }
        if vacated.has_changed().unwrap_or(false) || vacate.has_changed().unwrap_or(false) {
            let (asked, empty) =
                (vacate.borrow_and_update().clone(), vacated.borrow_and_update().clone());
            engine.on_requests(set(&asked), set(&empty));
        }
        while let Ok(input) = receiver.try_recv() {
            match input {
                Input::Listed(hosts) => engine.on_list(clock::read(), hosts),
                Input::Replied(wave, host, reply) => {
                    let actions = engine.on_reply(clock::read(), wave, &host, reply);
                    if actions.contains(&UpkeepAction::Fenced) {
                        return lease.report_fenced();
                    }
                }
                Input::Written { is_fenced: true, .. } => return lease.report_fenced(),
                Input::Written { is_written, .. } => engine.on_write(clock::read(), is_written),
            }
        }
        for action in engine.step(clock::read()) {
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
                // The order among inputs does not matter to the engine.
                let _ = inputs.send(input);
            }
        }
    }
}

fn carry_out<P>(
    shared: &Rc<Shared<P>>,
    fence: &Rc<Fence>,
    tenure: Tenure,
    action: UpkeepAction,
    inputs: &mpsc::UnboundedSender<Input>,
    calls: &mut JoinSet<()>,
) where
    P: Platform,
{
    let (shared, fence, inputs) = (Rc::clone(shared), Rc::clone(fence), inputs.clone());
    calls.spawn_local(async move {
        let input = match action {
            UpkeepAction::List => Input::Listed(shared.platform.hosts().await),
            UpkeepAction::Order(host, wave) => {
                let holder = shared.settings.entry.clone();
                let term = tenure.term;
                let reply = shared.platform.maintain(&holder, term, &host, wave).await;
                Input::Replied(wave, host, reply)
            }
            UpkeepAction::Write(write) => {
                let state = |wave, state| shared.platform.wave_state(wave, state);
                let transaction = match upkeep_transaction(&fence, &write, state) {
                    Ok(transaction) => transaction,
                    Err(error) => {
                        log::error!(error:display = error; "state of upkeep cannot be encoded");
                        return;
                    }
                };
                let reply = shared.transact(&transaction).await;
                let is_written = matches!(reply, Ok(TransactionReply::Written(_)));
                let is_fenced = matches!(&reply, Ok(TransactionReply::Conflict(_)));
                if let Err(error) = reply {
                    log::info!(error:display = error; "write of upkeep failed and is sent again");
                }
                Input::Written { is_written, is_fenced }
            }
            UpkeepAction::Fenced => return,
        };
        // The receiver is gone when control has ended.
        let _ = inputs.send(input);
    });
}

//! Runs the demo from the start of the deployment to the verdict.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use anyhow::{Context, bail};
use tamarackproxy::{coordination::configuration::HOST_PREFIX, state::records::HeadRecord};

use super::{
    deployment::Plan,
    entries::Entries,
    faults::{self, FaultRecords},
    layout::Layout,
    load::{Window, plans},
    operators::Operators,
    options::{DemoOptions, Fault},
    report::{Report, print_addresses, print_curl, print_progress},
    site::StandIns,
};
use crate::{
    caller::Callers,
    platform::HostEventKind,
    verdict::{Observations, Verdict},
};

/// Time after which hosts that are not in a pool fail the run, in milliseconds.
const ADOPTION_TIMEOUT_MS: u64 = 30_000;
/// Interval between checks of the number of host records, in milliseconds.
const ADOPTION_INTERVAL_MS: u64 = 100;
/// Time after the end of the load for the last configuration to come into force
/// and the last drains to end, in milliseconds.
const SETTLE_MS: u64 = 2_000;

/// Runs the demo and returns whether all invariants held.
///
/// # Errors
///
/// Returns an error if a part of the deployment cannot be started or stopped.
pub fn run(options: &DemoOptions) -> anyhow::Result<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let held = runtime.block_on(run_all(options));
    runtime.shutdown_background();
    held
}

async fn run_all(options: &DemoOptions) -> anyhow::Result<bool> {
    let plan = Arc::new(Plan::new(options.deployment, Layout::new(options.network)?)?);
    let stand_ins = StandIns::start(&plan, options.seed)?;
    let mut entries = Entries::start(&plan, &stand_ins, &options.log).await?;
    wait_for_adoption(&plan, &stand_ins).await?;
    let addresses = entries.callers.lock().unwrap_or_else(PoisonError::into_inner).clone();
    print_addresses(options.deployment, options.fault, &plan, &addresses);
    if options.keep {
        print_curl(&plan, &addresses);
    }
    let report = measure(options, &plan, &stand_ins, &mut entries).await?;
    report.print()?;
    if options.keep {
        eprintln!("the deployment stays up; interrupt it to stop");
        tokio::signal::ctrl_c().await?;
    }
    entries.stop()?;
    Ok(report.broken.is_empty())
}

/// Waits until every host has a record, that is, is assigned to a pool.
async fn wait_for_adoption(plan: &Plan, stand_ins: &StandIns) -> anyhow::Result<()> {
    let end = format!("{}0", HOST_PREFIX.trim_end_matches('/'));
    let store = stand_ins.store.handle();
    let mut adopted = 0;
    for _ in 0..ADOPTION_TIMEOUT_MS / ADOPTION_INTERVAL_MS {
        adopted = store.state().range(HOST_PREFIX.as_bytes(), end.as_bytes()).count();
        if adopted >= plan.hosts.len() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(ADOPTION_INTERVAL_MS)).await;
    }
    bail!("{adopted} of {} hosts are in a pool after {ADOPTION_TIMEOUT_MS} ms", plan.hosts.len())
}

/// Runs callers, operators and the fault, and evaluates the observations.
async fn measure(
    options: &DemoOptions,
    plan: &Arc<Plan>,
    stand_ins: &StandIns,
    entries: &mut Entries,
) -> anyhow::Result<Report> {
    let from_ms = stand_ins.clock.now_ms();
    let run = Window { from_ms, to_ms: from_ms + options.seconds * 1_000 };
    let flood = (options.fault == Some(Fault::UrgentFlood)).then(|| faults::window(run));
    let loads = plans(&plan.document, run, flood);
    let mut callers = Callers::start(loads, entries.callers.clone(), stand_ins.clock, options.seed);
    let operators = Operators::start(plan, stand_ins.clock, run, options.seed);
    let injection = async {
        match options.fault {
            Some(fault) => faults::inject(fault, plan, stand_ins, entries, run, options.seed).await,
            None => Ok(FaultRecords::default()),
        }
    };
    let (injected, ()) =
        tokio::join!(injection, print_progress_each_second(plan, stand_ins, &callers, run));
    callers.stop().await;
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let observations = observe(plan, stand_ins, &callers, &operators, injected?)?;
    for line in Verdict::evidence(&observations) {
        eprintln!("{line}");
    }
    Ok(report(options, stand_ins, &operators, &observations))
}

async fn print_progress_each_second(
    plan: &Plan,
    stand_ins: &StandIns,
    callers: &Callers,
    run: Window,
) {
    for second in 1..=(run.to_ms - run.from_ms) / 1_000 {
        stand_ins.clock.sleep_until_ms(run.from_ms + second * 1_000).await;
        let is_reboot = |kind| matches!(kind, HostEventKind::Rebooted { .. });
        let rebooted = stand_ins
            .platform
            .state()
            .events()
            .iter()
            .filter(|event| is_reboot(event.kind))
            .count();
        let revision = head(stand_ins).map_or(0, |head| head.revision.0);
        print_progress(second, &callers.records(), rebooted, plan.hosts.len(), revision);
    }
}

fn head(stand_ins: &StandIns) -> anyhow::Result<HeadRecord> {
    let store = stand_ins.store.handle();
    let value = store.state().get(b"document/head").map(|stored| stored.value.clone());
    let value = value.context("the store holds no document")?;
    Ok(serde_json::from_slice(&value)?)
}

fn observe(
    plan: &Plan,
    stand_ins: &StandIns,
    callers: &Callers,
    operators: &Operators,
    injected: FaultRecords,
) -> anyhow::Result<Observations> {
    let targets = stand_ins.records.lock().unwrap_or_else(PoisonError::into_inner);
    let operators = operators.records();
    let mut observations = Observations {
        attempts: callers.records().attempts.clone(),
        runs: targets.runs.clone(),
        slot_overruns: targets.slot_overruns,
        leaving_signals: targets.leaving_signals.clone(),
        host_events: stand_ins.platform.state().events().to_vec(),
        services: plan.rules(),
        puts: operators.puts.clone(),
        open_puts: operators.open_puts.clone(),
        sightings: operators.sightings.clone(),
        cuts: injected.cuts,
        outages: injected.outages,
        final_text: head(stand_ins)?.text,
        until_ms: stand_ins.clock.now_ms(),
        ..Observations::default()
    };
    observations.read_store(&stand_ins.store.handle().state());
    Ok(observations)
}

fn report(
    options: &DemoOptions,
    stand_ins: &StandIns,
    operators: &Operators,
    observations: &Observations,
) -> Report {
    let verdict = Verdict::of(observations);
    let counts = *stand_ins.store.handle().state().counts();
    Report {
        deployment: options.deployment.to_string(),
        seed: options.seed,
        seconds: options.seconds,
        fault: options.fault.map(|fault| fault.to_string()),
        broken: verdict.broken().into_iter().map(|(name, _)| name).collect(),
        verdict,
        connection_overruns: stand_ins.targets.iter().map(|t| t.refused_connections()).sum(),
        config_refused: operators.records().refused,
        store_calls: counts.total(),
        store_throttled: counts.throttled,
        store_watches_max: counts.waiting_watches_max,
    }
}

//! One run from start to verdict.

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
    site::Site,
};
use crate::{
    caller::Callers,
    platform::HostEventKind,
    verdict::{Observations, Verdict},
};

/// Time in which all hosts must be in a pool, in milliseconds.
const ADOPTED_WITHIN_MS: u64 = 30_000;
/// Interval between looks at the number of host records, in milliseconds.
const ADOPTED_INTERVAL_MS: u64 = 100;
/// Time after the end of the load in which the last configuration comes into
/// force and the last drains end, in milliseconds.
const SETTLE_MS: u64 = 2_000;

/// Runs the demo and tells whether all promises held.
///
/// # Errors
///
/// Returns what could not be started.
pub fn run(options: &DemoOptions) -> anyhow::Result<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let held = runtime.block_on(run_all(options));
    runtime.shutdown_background();
    held
}

async fn run_all(options: &DemoOptions) -> anyhow::Result<bool> {
    let plan = Arc::new(Plan::new(options.deployment, Layout::new(options.network)?)?);
    let site = Site::start(&plan, options.seed)?;
    let mut entries = Entries::start(&plan, &site, &options.log).await?;
    wait_for_adoption(&plan, &site).await?;
    let addresses = entries.callers.lock().unwrap_or_else(PoisonError::into_inner).clone();
    print_addresses(options.deployment, options.fault, &plan, &addresses);
    if options.keep {
        print_curl(&plan, &addresses);
    }
    let report = measure(options, &plan, &site, &mut entries).await?;
    report.print()?;
    if options.keep {
        eprintln!("the deployment stays up; interrupt it to stop");
        tokio::signal::ctrl_c().await?;
    }
    entries.stop()?;
    Ok(report.broken.is_empty())
}

/// Waits until every host has a record.
async fn wait_for_adoption(plan: &Plan, site: &Site) -> anyhow::Result<()> {
    let end = format!("{}0", HOST_PREFIX.trim_end_matches('/'));
    let store = site.store.handle();
    let mut adopted = 0;
    for _ in 0..ADOPTED_WITHIN_MS / ADOPTED_INTERVAL_MS {
        adopted = store.state().range(HOST_PREFIX.as_bytes(), end.as_bytes()).count();
        if adopted >= plan.hosts.len() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(ADOPTED_INTERVAL_MS)).await;
    }
    bail!("{adopted} of {} hosts are in a pool after {ADOPTED_WITHIN_MS} ms", plan.hosts.len())
}

/// Runs callers, operators and the fault, and judges what was seen.
async fn measure(
    options: &DemoOptions,
    plan: &Arc<Plan>,
    site: &Site,
    entries: &mut Entries,
) -> anyhow::Result<Report> {
    let from_ms = site.clock.now_ms();
    let run = Window { from_ms, to_ms: from_ms + options.seconds * 1_000 };
    let flood = (options.fault == Some(Fault::UrgentFlood)).then(|| faults::window(run));
    let loads = plans(&plan.document, run, flood);
    let mut callers = Callers::start(loads, entries.callers.clone(), site.clock, options.seed);
    let operators = Operators::start(plan, site.clock, run, options.seed);
    let injected = async {
        match options.fault {
            Some(fault) => faults::inject(fault, plan, site, entries, run, options.seed).await,
            None => Ok(FaultRecords::default()),
        }
    };
    let (injected, ()) = tokio::join!(injected, progress(plan, site, &callers, run));
    callers.stop().await;
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let observations = observe(plan, site, &callers, &operators, injected?)?;
    for line in Verdict::evidence(&observations) {
        eprintln!("{line}");
    }
    Ok(report(options, site, &operators, &observations))
}

async fn progress(plan: &Plan, site: &Site, callers: &Callers, run: Window) {
    for second in 1..=(run.to_ms - run.from_ms) / 1_000 {
        site.clock.sleep_until_ms(run.from_ms + second * 1_000).await;
        let is_reboot = |kind| matches!(kind, HostEventKind::Rebooted { .. });
        let rebooted =
            site.platform.state().events().iter().filter(|event| is_reboot(event.kind)).count();
        let revision = head(site).map_or(0, |head| head.revision.0);
        print_progress(second, &callers.records(), rebooted, plan.hosts.len(), revision);
    }
}

fn head(site: &Site) -> anyhow::Result<HeadRecord> {
    let store = site.store.handle();
    let value = store.state().get(b"document/head").map(|stored| stored.value.clone());
    let value = value.context("the store holds no document")?;
    Ok(serde_json::from_slice(&value)?)
}

fn observe(
    plan: &Plan,
    site: &Site,
    callers: &Callers,
    operators: &Operators,
    injected: FaultRecords,
) -> anyhow::Result<Observations> {
    let targets = site.records.lock().unwrap_or_else(PoisonError::into_inner);
    let operators = operators.records();
    let mut observations = Observations {
        attempts: callers.records().attempts.clone(),
        runs: targets.runs.clone(),
        slot_overruns: targets.slot_overruns,
        leaving_signals: targets.leaving_signals.clone(),
        host_events: site.platform.state().events().to_vec(),
        services: plan.rules(),
        puts: operators.puts.clone(),
        open_puts: operators.open_puts.clone(),
        sightings: operators.sightings.clone(),
        cuts: injected.cuts,
        outages: injected.outages,
        final_text: head(site)?.text,
        until_ms: site.clock.now_ms(),
        ..Observations::default()
    };
    observations.read_store(&site.store.handle().state());
    Ok(observations)
}

fn report(
    options: &DemoOptions,
    site: &Site,
    operators: &Operators,
    observations: &Observations,
) -> Report {
    let verdict = Verdict::of(observations);
    let counts = *site.store.handle().state().counts();
    Report {
        deployment: options.deployment.to_string(),
        seed: options.seed,
        seconds: options.seconds,
        fault: options.fault.map(|fault| fault.to_string()),
        broken: verdict.broken().into_iter().map(|(name, _)| name).collect(),
        verdict,
        connection_overruns: site.targets.iter().map(|t| t.refused_connections()).sum(),
        config_refused: operators.records().refused,
        store_calls: counts.total(),
        store_throttled: counts.throttled,
        store_watches_max: counts.waiting_watches_max,
    }
}

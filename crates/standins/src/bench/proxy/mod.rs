//! Benchmark `proxy`: latency, CPU time and memory of one entry host on real
//! loopback sockets, compared with direct calls to its target in the same run.

mod client;
mod idle;
mod processor;

use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use self::{client::Client, processor::CpuTime};
use super::{BenchOptions, Figure};
use crate::{
    caller::{token_digest, token_of},
    demo::SingleEntry,
    target::ServiceTimes,
};

const BENCH: &str = "proxy";
/// Duration of the latency measurement, including the direct requests.
const LATENCY_TIME: Duration = Duration::from_secs(6);
/// Consecutive requests of one kind. Direct and proxied requests alternate, so that
/// both are measured under the same load of the machine.
const TURN: usize = 100;
/// Duration of one turn of the throughput measurement.
const LOAD_TURN: Duration = Duration::from_millis(500);
/// Number of turns of each kind in the throughput measurement.
const LOAD_TURNS: usize = 6;
/// Concurrent requests, as many as one target has slots.
const CONCURRENCY: usize = 8;
/// Attempts to reach the target through the entry host, 100 ms apart.
const START_ATTEMPTS: u32 = 100;
/// Service times of the targets, which respond immediately.
const TIMES: ServiceTimes = ServiceTimes { urgent_ms: 0.0, normal_ms: 0.0, bulk_ms: 0.0 };
const SERVICE: &str = "orders";
const CALLER: &str = "desk";

/// Runs the benchmark. An error is reported as a figure that misses its bound.
pub(super) fn run(options: &BenchOptions) -> Vec<Figure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let mut figures = Vec::new();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(measure(options.seed, &mut figures)),
        Err(error) => Err(error.into()),
    };
    if let Err(error) = result {
        let name = format!("measurement failed: {error:#}");
        figures.push(Figure::new(BENCH, name, 1.0, "count").with_bound(super::Bound::AtMost(0.0)));
    }
    figures
}

/// Returns a document with one data centre, one entry host, and one pool with one
/// host and one service.
fn document() -> String {
    let digest = |name: &str| token_digest(&token_of(name));
    format!(
        "[document]\ndeployment = proxy\n\
         [team operations]\nrole = admin\ntoken_sha256 = {operations}\n\
         [data-centre a]\nregion = r\nseats = 1\n\
         [pool orders]\nowner = operations\nsize = a:1\nminimum = 1\nmaximum = 1\n\
         [service orders]\nowner = operations\npool = orders\nport = 9001\ndeadline = 2s\n\
         [budget orders]\nowner = operations\nmin_available = 0\nmax_stopped = 1\n\
         [wave reboot]\nowner = operations\npools = orders\nmax_parallel = 1\n\
         return_deadline = 10s\ndrain_deadline = 20s\npause_after_failures = 3\n\
         [caller {CALLER}]\nowner = operations\ntoken_sha256 = {caller}\n",
        operations = digest("operations"),
        caller = digest(CALLER),
    )
}

async fn measure(seed: u64, figures: &mut Vec<Figure>) -> anyhow::Result<()> {
    let deployment = SingleEntry::start(&document(), TIMES, seed).await?;
    let token = token_of(CALLER);
    let direct = Client::new(deployment.target_address()?, "", token.clone());
    let proxied = Client::new(deployment.caller_address()?, &format!("/call/{SERVICE}"), token);
    wait_for_target(&proxied).await?;
    latency(&direct, &proxied, figures).await?;
    load(&deployment.entry()?, &direct, &proxied, figures).await?;
    figures.extend(idle::measure(deployment.caller_address()?)?);
    deployment.stop()
}

async fn wait_for_target(proxied: &Client) -> anyhow::Result<()> {
    for _ in 0..START_ATTEMPTS {
        if proxied.connect().await?.call().await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    bail!("the target cannot be called through the entry host")
}

async fn latency(
    direct: &Client,
    proxied: &Client,
    figures: &mut Vec<Figure>,
) -> anyhow::Result<()> {
    let mut runs = Vec::new();
    for client in [direct, proxied] {
        let histogram = Histogram::<u64>::new_with_max(60_000_000_000, 3)?;
        runs.push((client.connect().await?, histogram));
    }
    let end = Instant::now() + LATENCY_TIME;
    while Instant::now() < end {
        for (connection, histogram) in &mut runs {
            for _ in 0..TURN {
                let before = Instant::now();
                connection.call().await.context("a request failed")?;
                let time_ns = u64::try_from(before.elapsed().as_nanos()).unwrap_or(u64::MAX);
                histogram.saturating_record(time_ns);
            }
        }
    }
    let [(_, direct), (_, proxied)] = &runs[..] else { return Ok(()) };
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let us = |times: &Histogram<u64>| times.value_at_quantile(quantile) as f64 / 1_000.0;
        let (direct_us, proxied_us) = (us(direct), us(proxied));
        let added = format!("added latency {name}");
        figures.push(Figure::new(BENCH, added, proxied_us - direct_us, "us"));
        let total = format!("latency {name} (baseline direct)");
        figures.push(Figure::new(BENCH, total, proxied_us, "us").with_baseline(direct_us));
    }
    let samples = (direct.len() + proxied.len()) as f64;
    figures.push(Figure::new(BENCH, "latency samples", samples, "count"));
    Ok(())
}

/// Requests, wall-clock time and CPU time of direct or proxied requests.
#[derive(Default)]
struct Usage {
    requests: u64,
    seconds: f64,
    process_s: f64,
    entry_s: f64,
}

async fn load(
    entry: &str,
    direct: &Client,
    proxied: &Client,
    figures: &mut Vec<Figure>,
) -> anyhow::Result<()> {
    let mut usages = [Usage::default(), Usage::default()];
    for turn in 0..2 * LOAD_TURNS {
        let client = if turn % 2 == 0 { direct } else { proxied };
        let (before, started) = (CpuTime::read(entry)?, Instant::now());
        let requests = load_turn(client).await?;
        let used = CpuTime::read(entry)?.since(&before);
        let usage = &mut usages[turn % 2];
        usage.requests += requests;
        usage.seconds += started.elapsed().as_secs_f64();
        usage.process_s += used.process_s;
        usage.entry_s += used.thread_s;
    }
    let [direct, proxied] = usages;
    let each_us = |time_s: f64, usage: &Usage| time_s * 1e6 / usage.requests as f64;
    let mut add = |name: &str, value, unit, baseline: Option<f64>| {
        let figure = Figure::new(BENCH, name, value, unit);
        figures.push(match baseline {
            Some(baseline) => figure.with_baseline(baseline),
            None => figure,
        });
    };
    let process = each_us(direct.process_s, &direct);
    add("process CPU per request", each_us(proxied.process_s, &proxied), "us", Some(process));
    add("entry host CPU per request", each_us(proxied.entry_s, &proxied), "us", None);
    let per_core = proxied.requests as f64 / proxied.entry_s;
    add("requests per second per core of the entry host", per_core, "1/s", None);
    let rate = |usage: &Usage| usage.requests as f64 / usage.seconds;
    add("requests per second", rate(&proxied), "1/s", Some(rate(&direct)));
    add(
        "share of a core that the entry host used",
        proxied.entry_s / proxied.seconds,
        "ratio",
        None,
    );
    Ok(())
}

/// Sends requests on several connections for one turn and returns the number of
/// responses.
async fn load_turn(client: &Client) -> anyhow::Result<u64> {
    let mut callers = JoinSet::new();
    let end = Instant::now() + LOAD_TURN;
    for _ in 0..CONCURRENCY {
        let mut connection = client.connect().await?;
        callers.spawn(async move {
            let mut answers = 0;
            while Instant::now() < end {
                connection.call().await?;
                answers += 1;
            }
            anyhow::Ok(answers)
        });
    }
    let mut answers = 0;
    while let Some(result) = callers.join_next().await {
        answers += result??;
    }
    Ok(answers)
}

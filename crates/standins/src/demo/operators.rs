//! Operators that start the wave, edit the document concurrently and poll which
//! revision is in force on each entry host.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use anyhow::{Context, bail};
use hyper::{Method, StatusCode};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde::de::DeserializeOwned;
use tamarackproxy::{
    coordination::configuration::{Position, SectionEdit},
    protocol::admin::{DocumentBody, PutRequest, Status},
    state::{
        document::{DocumentText, SectionKind, SectionName},
        ids::EntryId,
    },
};
use tokio::task::JoinSet;

use super::{deployment::Plan, entries::admin_address, load::Window};
use crate::{
    caller::token_of,
    clock::Clock,
    net::{Call, Reply, call},
    verdict::{AcceptedPut, Sighting},
};

/// Team that reads the status and owns the wave.
const ADMIN_TEAM: &str = "operations";
/// Number of operators that edit the document concurrently.
const EDITORS: u64 = 2;
/// Mean pause between two edits of one operator, in milliseconds.
const EDIT_PAUSE_MS: u64 = 700;
/// Interval between status polls of one entry host, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;
/// Time after which an operator gives up a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which a status poll is given up.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Key that the operators change.
const EDITED_KEY: &str = "queue_limit";
/// Lowest value that the operators write; each edit writes a higher one.
const FIRST_VALUE: u64 = 1_001;

/// Results of the operators' puts and status polls.
#[derive(Default)]
pub(super) struct OperatorRecords {
    pub(super) puts: Vec<AcceptedPut>,
    /// Puts whose outcome is unknown.
    pub(super) open_puts: Vec<AcceptedPut>,
    pub(super) refused: u64,
    pub(super) sightings: Vec<Sighting>,
    next_value: u64,
}

/// Running operators; dropping them cancels their requests.
pub(super) struct Operators {
    records: Arc<Mutex<OperatorRecords>>,
    _tasks: JoinSet<()>,
}

#[derive(Clone)]
struct Operator {
    plan: Arc<Plan>,
    clock: Clock,
    records: Arc<Mutex<OperatorRecords>>,
}

/// Outcome of a put.
enum PutOutcome {
    Accepted(Position),
    Refused,
    /// No reply, or one that leaves open whether the put was accepted.
    Unknown,
}

impl Operators {
    /// Starts the operator of the wave, the editors and one poller for each entry
    /// host on the current runtime.
    pub(super) fn start(plan: &Arc<Plan>, clock: Clock, run: Window, seed: u64) -> Self {
        let records = Arc::new(Mutex::new(OperatorRecords::default()));
        let operator = Operator { plan: plan.clone(), clock, records: records.clone() };
        let mut tasks = JoinSet::new();
        tasks.spawn(operator.clone().start_wave());
        for editor in 0..EDITORS {
            let random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(editor));
            tasks.spawn(operator.clone().edit(run, random));
        }
        for planned in &plan.entries {
            let address = admin_address(plan, planned);
            tasks.spawn(operator.clone().poll_status(planned.entry.clone(), address));
        }
        Self { records, _tasks: tasks }
    }

    /// Locks the records.
    pub(super) fn records(&self) -> MutexGuard<'_, OperatorRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Operator {
    fn records(&self) -> MutexGuard<'_, OperatorRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resumes the wave by an edit of its section, which is tried on one entry host
    /// after the other until one accepts it.
    async fn start_wave(self) {
        let (section, body) = self.plan.wave_start();
        for planned in self.plan.entries.iter().cycle() {
            let address = admin_address(&self.plan, planned);
            if let Ok(document) = read_document(address).await {
                let is_started = DocumentText::parse(&document.text)
                    .is_ok_and(|text| text.section(&section) == Some(body.as_str()));
                let edit = edit(&document, section.clone(), body.clone());
                if is_started
                    || matches!(put(address, ADMIN_TEAM, edit).await, PutOutcome::Accepted(_))
                {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    async fn edit(self, run: Window, mut random: ChaCha8Rng) {
        while self.clock.now_ms() < run.to_ms {
            let pause_ms = random.random_range(EDIT_PAUSE_MS / 2..=EDIT_PAUSE_MS * 3 / 2);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            // If the document cannot be read, the next attempt follows after the pause.
            let _ = self.edit_once(&mut random).await;
        }
    }

    async fn edit_once(&self, random: &mut ChaCha8Rng) -> anyhow::Result<()> {
        let planned = self.plan.entries.choose(random).context("there is no entry host")?;
        let services: Vec<_> = self.plan.document.services.iter().collect();
        let (service, section) = services.choose(random).context("there is no service")?;
        let address = admin_address(&self.plan, planned);
        let document = read_document(address).await?;
        let name = SectionName { kind: SectionKind::Service, name: service.as_str().into() };
        let text = DocumentText::parse(&document.text)?;
        let body = text.section(&name).context("the section is missing")?;
        let value = {
            let mut records = self.records();
            records.next_value += 1;
            FIRST_VALUE + records.next_value
        };
        let line = format!("{EDITED_KEY} = {value}");
        let lines = body.lines();
        let lines = lines.map(|old| if old.starts_with(EDITED_KEY) { &line } else { old });
        let body = lines.collect::<Vec<_>>().join("\n");
        let end = put(address, section.owner.as_str(), edit(&document, name.clone(), body)).await;
        let at_ms = self.clock.now_ms();
        let record = |position| AcceptedPut {
            at_ms,
            position,
            section: name.to_string().into(),
            line: line.as_str().into(),
        };
        let mut records = self.records();
        match end {
            PutOutcome::Accepted(position) => {
                records.puts.push(record((position.epoch.0, position.revision.0)));
            }
            PutOutcome::Refused => records.refused += 1,
            PutOutcome::Unknown => records.open_puts.push(record((0, 0))),
        }
        Ok(())
    }

    async fn poll_status(self, entry: EntryId, address: SocketAddr) {
        loop {
            let poll = read::<Status>(address, "/admin/v1/status");
            if let Ok(Ok(status)) = tokio::time::timeout(POLL_TIMEOUT, poll).await {
                let position = (status.in_force.epoch.0, status.in_force.revision.0);
                let sighting = Sighting {
                    entry: entry.clone(),
                    at_ms: self.clock.now_ms(),
                    position,
                    ready: status.ready,
                };
                self.records().sightings.push(sighting);
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
}

fn edit(document: &DocumentBody, section: SectionName, body: String) -> SectionEdit {
    SectionEdit { section, text: Some(body.into()), base: document.position.revision }
}

fn with_token(call: Call, team: &str) -> Call {
    call.with_header("authorization", format!("Bearer {}", token_of(team)))
}

async fn read<T>(address: SocketAddr, path: &str) -> anyhow::Result<T>
where
    T: DeserializeOwned,
{
    let request = with_token(Call::new(address, Method::GET, path), ADMIN_TEAM);
    let reply = match tokio::time::timeout(REQUEST_TIMEOUT, call(request)).await {
        Ok(Ok(reply)) if reply.status == StatusCode::OK => reply,
        _ => bail!("GET {path} from {address} failed or timed out"),
    };
    Ok(serde_json::from_slice(&reply.body)?)
}

async fn read_document(address: SocketAddr) -> anyhow::Result<DocumentBody> {
    read(address, "/admin/v1/document").await
}

async fn put(address: SocketAddr, team: &str, edit: SectionEdit) -> PutOutcome {
    let request = PutRequest { edits: vec![edit], raise_epoch: false };
    let Ok(body) = serde_json::to_vec(&request) else { return PutOutcome::Refused };
    let request = Call::new(address, Method::PUT, "/admin/v1/document").with_body(body);
    match tokio::time::timeout(REQUEST_TIMEOUT, call(with_token(request, team))).await {
        Ok(Ok(reply)) => put_outcome(&reply),
        _ => PutOutcome::Unknown,
    }
}

fn put_outcome(reply: &Reply) -> PutOutcome {
    match reply.status {
        StatusCode::OK => {
            serde_json::from_slice(&reply.body).map_or(PutOutcome::Unknown, PutOutcome::Accepted)
        }
        // This status is also returned when the confirmation of a put was lost.
        StatusCode::SERVICE_UNAVAILABLE => PutOutcome::Unknown,
        _ => PutOutcome::Refused,
    }
}

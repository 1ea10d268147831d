//! The core of an entry host, without I/O: the engines and how they are
//! connected.
//!
//! It takes an input and a clock reading and returns effects. The daemon's event
//! loop drives it with sockets, the fault matrix with fakes on virtual time.

mod burn;
mod configuration;
mod effect;
mod fleet;
mod input;
mod jobs;
mod once;
mod peers;
mod pending;
mod requests;
mod seats;
mod status;
mod view;

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use self::view::View;
use http::HeaderMap;

pub use self::{
    effect::{Effect, Engine},
    input::Input,
    pending::Completion,
};

use self::{
    fleet::FleetState, jobs::JobsState, once::KeptResponses, peers::Peers, pending::Pending,
};
use crate::{
    coordination::{
        burn::BurnEngine,
        configuration::{ConfigurationEngine, ConfigurationEvent, Position},
        fleet::{FleetEngine, FleetEvent},
        jobs::JobsEvent,
        once::{OnceEngine, OnceEvent},
        requests::{AttemptResult, RequestEngine, RequestsEvent},
        seats::{EntryAddress, PAUSE_LIMIT_MS, SeatEngine, SeatsEvent},
    },
    protocol::{peer::Hello, store::StoreRequest},
    state::{
        clock::ClockReading,
        document::Document,
        ids::{CallId, DataCentreId, EntryId, RequestId, TeamId},
        settings::Settings,
    },
};

/// Longest time between two ticks, in milliseconds; bounds how late a pause of
/// the loop is noticed.
const TICK_MAX_MS: u64 = 200;
/// Shortest time between two ticks, in milliseconds, so that an engine that
/// is due again at once does not starve the other inputs of the loop.
const TICK_MIN_MS: u64 = 1;
/// Time that an operator's read waits for a revision, in milliseconds; a
/// change is in force on every entry host within 6 s.
const READ_TIMEOUT_MS: u64 = 6_000;

/// Engines and state of one entry host.
pub struct NodeCore {
    entry: EntryId,
    data_centre: DataCentreId,
    list_interval_ms: u64,
    now: ClockReading,
    requests: RequestEngine,
    once: OnceEngine,
    seats: SeatEngine,
    configuration: ConfigurationEngine,
    fleet: FleetEngine,
    pub(super) burn: BurnEngine,
    view: Option<View>,
    text: Option<Arc<str>>,
    position: Position,
    store_restored: Option<(Position, Position)>,
    was_gateway: Option<bool>,
    is_ready: bool,
    is_stopping: bool,
    is_release_requested: bool,
    is_released: bool,
    pending: HashMap<RequestId, Pending>,
    kept: KeptResponses,
    peers: Peers,
    fleet_state: FleetState,
    jobs: JobsState,
    watches: BTreeMap<Box<str>, u64>,
    watch_generation: u64,
    /// Attempts whose target no longer has an address. They are reported as not
    /// sent at the end of the current input, once the engine that started them
    /// has returned.
    unsent_attempts: Vec<(RequestId, u32)>,
    effects: Vec<Effect>,
}

/// Derives a seed from the entry host's name, so that the random delays of
/// entry hosts differ.
fn seed_of(entry: &EntryId) -> u64 {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    hasher.finish()
}

impl NodeCore {
    /// Creates a core without document or seat; `peer_address` is where other
    /// entry hosts reach it.
    pub fn new(settings: &Settings, peer_address: &str) -> Self {
        let (entry, data_centre) = (settings.entry.clone(), settings.data_centre.clone());
        let seed = seed_of(&entry);
        let own = EntryAddress {
            entry: entry.clone(),
            data_centre: data_centre.clone(),
            peer_address: peer_address.into(),
        };
        let known = settings.peers.iter().map(|peer| EntryAddress {
            entry: peer.entry.clone(),
            data_centre: peer.data_centre.clone(),
            peer_address: peer.address.to_string().into(),
        });
        let known: Vec<EntryAddress> = known.collect();
        let entry_hosts = u32::try_from(known.len()).unwrap_or(u32::MAX).saturating_add(1);
        Self {
            list_interval_ms: settings.platform.list_interval.as_ms(),
            now: ClockReading::default(),
            requests: RequestEngine::new(entry.clone(), data_centre.clone(), seed),
            once: OnceEngine::new(entry.clone(), data_centre.clone(), entry_hosts),
            seats: SeatEngine::new(own, known, seed),
            configuration: ConfigurationEngine::new(entry.clone(), data_centre.clone(), seed),
            fleet: FleetEngine::new(entry.clone(), data_centre.clone(), seed),
            burn: BurnEngine::new(data_centre.clone()),
            view: None,
            text: None,
            position: Position::default(),
            store_restored: None,
            was_gateway: None,
            is_ready: false,
            is_stopping: false,
            is_release_requested: false,
            is_released: false,
            pending: HashMap::new(),
            kept: KeptResponses::new(settings.limits.kept_responses_bytes),
            peers: Peers::new(Hello { entry: entry.clone(), data_centre: data_centre.clone() }),
            fleet_state: FleetState::default(),
            jobs: JobsState::default(),
            watches: BTreeMap::new(),
            watch_generation: 0,
            unsent_attempts: Vec::new(),
            effects: Vec::new(),
            entry,
            data_centre,
        }
    }

    /// Applies an input and returns the effects to execute, in order.
    ///
    /// After a pause of the process the seat engine is informed before the
    /// input is applied, so that nothing is started on a seat that may be lost.
    pub fn handle(&mut self, now: ClockReading, input: Input) -> Vec<Effect> {
        let gap_ms = now.monotonic_ms.saturating_sub(self.now.monotonic_ms);
        self.now = now;
        if gap_ms > PAUSE_LIMIT_MS {
            self.on_pause();
        }
        self.apply(input);
        while let Some((request, attempt)) = self.unsent_attempts.pop() {
            self.on_attempt_end(request, attempt, AttemptResult::NotSent, None);
        }
        std::mem::take(&mut self.effects)
    }

    fn apply(&mut self, input: Input) {
        match input {
            Input::CallerRequest { request, received } => {
                self.submit_caller_request(request, *received);
            }
            Input::CallerGone { request } => self.on_caller_gone(request),
            Input::Forwarded { request, message } => self.submit_forwarded(request, *message),
            Input::PeerMessage { hello, message } => self.on_message(&hello, message),
            Input::PeerRefused { peer } => self.on_seats(SeatsEvent::PeerRefused { peer }),
            Input::AttemptEnded { request, attempt, result, response } => {
                self.on_attempt_end(request, attempt, result, response);
            }
            Input::ForwardEnded { request, reply } => self.on_forward_end(request, reply),
            Input::StoreReplied { engine, call, result } => match engine {
                Engine::Seats => self.on_seats(SeatsEvent::StoreReplied { call, result }),
                Engine::Once => self.on_once(OnceEvent::StoreReplied { call, result }),
                Engine::Configuration => {
                    self.on_configuration(ConfigurationEvent::StoreReplied { call, result });
                }
                Engine::Fleet => self.on_fleet(FleetEvent::StoreReplied { call, result }),
                Engine::Burn => self.burn.store_replied(self.now, call, result),
                Engine::Jobs => self.on_jobs_store_reply(call, result),
            },
            Input::Watched { prefix, generation, event } => {
                self.on_watched(prefix, generation, event);
            }
            Input::HostsListed { hosts } => self.on_listed(hosts),
            Input::HealthChecked { host, healthy, asked_by } => {
                self.on_health(host, healthy, asked_by);
            }
            Input::RebootEnded { host, accepted } => {
                self.on_fleet(FleetEvent::RebootAccepted { host, accepted });
            }
            Input::Put { call, team, edits, raise_epoch } => {
                self.on_configuration(ConfigurationEvent::Put { call, team, edits, raise_epoch });
            }
            Input::Revert { call, team, revision } => {
                self.on_configuration(ConfigurationEvent::Revert { call, team, revision });
            }
            Input::WaitFor { call, revision } => {
                let until_ms = self.now.monotonic_ms + READ_TIMEOUT_MS;
                self.on_configuration(ConfigurationEvent::WaitFor { call, revision, until_ms });
            }
            Input::WorkerReplied { pool, call, reply } => {
                self.on_pool_jobs(&pool, JobsEvent::WorkerReplied { call, reply });
            }
            Input::TasksListed { pool, host, tasks } => self.on_tasks(&pool, &host, tasks),
            Input::JobRequest { call, pool, request } => {
                self.on_job_request(call, pool, *request);
            }
            Input::Tick => self.tick(),
            Input::Stop => self.stop(),
        }
    }

    /// Returns the monotonic time at which `Input::Tick` is next needed.
    pub fn next_tick_ms(&self) -> u64 {
        let engines = [
            self.requests.next_tick_ms(),
            self.once.next_tick_ms(),
            self.seats.next_tick_ms(),
            self.configuration.next_tick_ms(),
            self.fleet.next_tick_ms().filter(|_| self.peers.is_gateway()),
            self.burn.next_tick_ms(),
            self.next_jobs_tick_ms(),
        ];
        let earliest = self.now.monotonic_ms + TICK_MIN_MS;
        let latest = self.now.monotonic_ms + TICK_MAX_MS;
        engines.into_iter().flatten().min().unwrap_or(latest).clamp(earliest, latest)
    }

    /// Passes a tick to every engine, the seat engine first, since it must
    /// notice a pause of the loop before anything is started.
    fn tick(&mut self) {
        self.on_seats(SeatsEvent::Tick);
        self.end_seat_waits();
        self.on_configuration(ConfigurationEvent::Tick);
        self.on_once(OnceEvent::Tick);
        self.on_requests(RequestsEvent::Tick);
        self.follow_gateway_role();
        if self.peers.is_gateway() {
            self.poll_host_list();
            self.on_fleet(FleetEvent::Tick);
        }
        self.tick_jobs();
        self.tick_peers();
        self.tick_burn();
        if self.is_stopping {
            self.continue_stop();
        }
    }

    /// Starts or stops controlling pools and jobs when this entry host becomes
    /// the gateway or ceases to be it. Otherwise it would keep the control leases
    /// although it no longer reads the platform's host list.
    fn follow_gateway_role(&mut self) {
        let is_gateway = self.peers.is_gateway();
        if self.was_gateway.replace(is_gateway) == Some(is_gateway) {
            return;
        }
        self.on_fleet(FleetEvent::CandidateChanged { candidate: is_gateway });
        if !is_gateway {
            self.release_jobs();
        }
    }

    fn call_store(&mut self, engine: Engine, call: CallId, request: StoreRequest) {
        self.effects.push(Effect::CallStore { engine, call, request });
    }

    /// Begins a graceful stop.
    fn stop(&mut self) {
        if self.is_stopping {
            return;
        }
        self.is_stopping = true;
        self.on_requests(RequestsEvent::Stopping);
        self.on_once(OnceEvent::Stopping);
        self.on_configuration(ConfigurationEvent::Stopping);
        self.on_fleet(FleetEvent::Stopping);
        self.on_seats(SeatsEvent::Stopping);
        self.continue_stop();
    }

    /// Releases the seat once nothing is in flight and the log of claims is
    /// closed.
    fn continue_stop(&mut self) {
        let is_idle = self.pending.is_empty() && !self.once.is_open();
        if is_idle && !self.is_release_requested {
            self.is_release_requested = true;
            self.on_seats(SeatsEvent::Release);
        }
    }

    /// Returns whether a graceful stop has completed: the seat is released and no
    /// request is pending.
    pub fn has_ended(&self) -> bool {
        self.is_released && self.pending.is_empty()
    }

    /// Returns the number of requests that have no response yet.
    pub fn open_requests(&self) -> usize {
        self.pending.len()
    }

    /// Returns the clock reading of the last input.
    pub fn now(&self) -> ClockReading {
        self.now
    }

    /// Returns the team whose token an operator's request carries.
    pub(super) fn authenticate_team(&self, headers: &HeaderMap) -> Option<TeamId> {
        self.view.as_ref()?.authenticate_team(headers).cloned()
    }

    /// Returns the document in force.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.view.as_ref().map(View::document)
    }

    /// Returns whether the entry host takes requests.
    pub fn is_serving(&self) -> bool {
        self.is_ready && !self.is_stopping && self.peers.usable_seat().is_some()
    }

    /// Returns whether a document is in force that is as recent as the store or a
    /// reachable peer has it.
    pub fn is_configured(&self) -> bool {
        self.is_ready
    }

    /// Returns the position of the document in force.
    pub fn position(&self) -> Position {
        self.position
    }
}

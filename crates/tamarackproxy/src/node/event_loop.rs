//! The event loop of a node.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{net::TcpListener, sync::mpsc, time::Instant};

use super::{
    admin::AdminState,
    fleet::FleetState,
    handle::{Addresses, NodeError},
    input::{Command, Engine, TaskEnd},
    once::KeptResponses,
    peers::Peers,
    pending::Pending,
    view::View,
};
use crate::{
    coordination::{
        burn::BurnEngine,
        configuration::{ConfigurationEngine, ConfigurationEvent, Position},
        fleet::{FleetEngine, FleetEvent},
        once::{OnceEngine, OnceEvent},
        requests::{RequestEngine, RequestsEvent},
        seats::{EntryAddress, SeatEngine, SeatsEvent},
    },
    state::{clock::ClockReading, ids::RequestId, settings::Settings},
    transport::{
        admin_server::{AdminInput, admin_router},
        caller_server::{CallerInput, caller_router},
        http_server::HttpServer,
        peer_server::{self, PeerInput},
        platform_client::PlatformClient,
        store_client::StoreClient,
        target_client::TargetClient,
    },
};

/// Inputs from sockets that wait for the loop; senders wait beyond.
const INPUTS: usize = 1_024;
/// Longest time between two ticks of an engine, so that a pause of the loop
/// is noticed.
const TICK_MAX_MS: u64 = 200;
/// Shortest time between two ticks, so that an engine that is due again at
/// once does not keep the loop from its inputs.
const TICK_MIN_MS: u64 = 1;
/// Connections of operators and health checks.
const ADMIN_CONNECTIONS: u32 = 256;

/// All state of a running node.
pub(super) struct EventLoop {
    pub(super) settings: Settings,
    pub(super) now: ClockReading,
    pub(super) requests: RequestEngine,
    pub(super) once: OnceEngine,
    pub(super) seats: SeatEngine,
    pub(super) configuration: ConfigurationEngine,
    pub(super) fleet: FleetEngine,
    pub(super) burn: BurnEngine,
    pub(super) view: Option<View>,
    pub(super) position: Position,
    pub(super) is_ready: bool,
    pub(super) is_stopping: bool,
    pub(super) is_released: bool,
    pub(super) pending: HashMap<RequestId, Pending>,
    pub(super) kept: KeptResponses,
    pub(super) peers: Peers,
    pub(super) fleet_state: FleetState,
    pub(super) admin: AdminState,
    pub(super) next_request: Arc<AtomicU64>,
    pub(super) store: StoreClient,
    pub(super) platform: Rc<PlatformClient>,
    pub(super) targets: TargetClient,
    pub(super) ends: mpsc::UnboundedSender<TaskEnd>,
    stop_at_ms: Option<u64>,
    origin: Instant,
    inputs: Inputs,
    callers: HttpServer,
    operators: HttpServer,
    peer_listener: tokio::task::JoinHandle<()>,
    addresses: Addresses,
}

struct Inputs {
    ends: mpsc::UnboundedReceiver<TaskEnd>,
    commands: mpsc::UnboundedReceiver<Command>,
    callers: mpsc::Receiver<CallerInput>,
    peers: mpsc::Receiver<PeerInput>,
    admin: mpsc::Receiver<AdminInput>,
}

enum Input {
    End(TaskEnd),
    Command(Command),
    Caller(CallerInput),
    Peer(PeerInput),
    Admin(AdminInput),
    Tick,
}

impl Inputs {
    /// Waits for the next input; ends of own tasks and commands go first, so
    /// that a flood of new requests does not delay them.
    async fn next(&mut self, tick_at: Instant) -> Input {
        tokio::select! {
            biased;
            Some(command) = self.commands.recv() => Input::Command(command),
            () = tokio::time::sleep_until(tick_at) => Input::Tick,
            Some(end) = self.ends.recv() => Input::End(end),
            Some(input) = self.peers.recv() => Input::Peer(input),
            Some(input) = self.admin.recv() => Input::Admin(input),
            Some(input) = self.callers.recv() => Input::Caller(input),
        }
    }
}

/// Derives a seed from the entry host's name, so that entry hosts spread
/// their calls differently.
fn seed_of(settings: &Settings) -> u64 {
    let mut hasher = DefaultHasher::new();
    settings.entry.hash(&mut hasher);
    hasher.finish()
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

impl EventLoop {
    /// Binds all listeners and makes the engines.
    pub(super) async fn start(
        settings: Settings,
        commands: mpsc::UnboundedReceiver<Command>,
    ) -> Result<Self, NodeError> {
        let (ends, ends_receiver) = mpsc::unbounded_channel();
        let (caller_inputs, callers_receiver) = mpsc::channel(INPUTS);
        let (peer_inputs, peers_receiver) = mpsc::channel(INPUTS);
        let (admin_inputs, admin_receiver) = mpsc::channel(INPUTS);
        // Starts at the time of day, so that logs of one entry host do not
        // show the same request number twice after a restart.
        let next_request = Arc::new(AtomicU64::new(unix_ms() << 20));
        let head_timeout = Duration::from_millis(settings.limits.receive_timeout.as_ms());

        let router = caller_router(caller_inputs, Arc::clone(&next_request), head_timeout);
        let address = settings.listen.callers;
        let connections = settings.limits.caller_connections;
        let callers = HttpServer::start(address, router, connections, head_timeout).await;
        let callers = callers.map_err(|error| NodeError::Bind { address, error })?;

        let router = admin_router(admin_inputs, head_timeout);
        let address = settings.listen.admin;
        let operators = HttpServer::start(address, router, ADMIN_CONNECTIONS, head_timeout).await;
        let operators = operators.map_err(|error| NodeError::Bind { address, error })?;

        let address = settings.listen.peers;
        let bind = |error| NodeError::Bind { address, error };
        let listener = TcpListener::bind(address).await.map_err(bind)?;
        let peer_address = listener.local_addr().map_err(bind)?;
        let peer_listener = tokio::task::spawn_local(peer_server::listen(listener, peer_inputs));
        let addresses = Addresses {
            callers: callers.address(),
            admin: operators.address(),
            peers: peer_address,
        };

        let (entry, data_centre) = (settings.entry.clone(), settings.data_centre.clone());
        let seed = seed_of(&settings);
        let own = EntryAddress {
            entry: entry.clone(),
            data_centre: data_centre.clone(),
            peer_address: peer_address.to_string().into(),
        };
        let known = settings.peers.iter().map(|peer| EntryAddress {
            entry: peer.entry.clone(),
            data_centre: peer.data_centre.clone(),
            peer_address: peer.address.to_string().into(),
        });
        let known: Vec<EntryAddress> = known.collect();
        let entry_hosts = u32::try_from(known.len()).unwrap_or(u32::MAX).saturating_add(1);
        let store_timeout = Duration::from_millis(settings.store.timeout.as_ms());
        Ok(Self {
            now: ClockReading::new(0, unix_ms()),
            requests: RequestEngine::new(entry.clone(), data_centre.clone(), seed),
            once: OnceEngine::new(entry.clone(), data_centre.clone(), entry_hosts),
            seats: SeatEngine::new(own, known, seed),
            configuration: ConfigurationEngine::new(entry.clone(), data_centre.clone(), seed),
            fleet: FleetEngine::new(entry.clone(), data_centre.clone(), seed),
            burn: BurnEngine::new(data_centre),
            view: None,
            position: Position::default(),
            is_ready: false,
            is_stopping: false,
            is_released: false,
            pending: HashMap::new(),
            kept: KeptResponses::new(settings.limits.kept_responses_bytes),
            peers: Peers::new(&settings),
            fleet_state: FleetState::default(),
            admin: AdminState::default(),
            next_request,
            store: StoreClient::new(settings.store.address, store_timeout),
            platform: Rc::new(PlatformClient::new(settings.platform.address)),
            targets: TargetClient::default(),
            ends,
            stop_at_ms: None,
            origin: Instant::now(),
            inputs: Inputs {
                ends: ends_receiver,
                commands,
                callers: callers_receiver,
                peers: peers_receiver,
                admin: admin_receiver,
            },
            callers,
            operators,
            peer_listener,
            addresses,
            settings,
        })
    }

    pub(super) fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Runs until the node was stopped or killed.
    pub(super) async fn run(mut self) {
        log::info!(entry = self.settings.entry.as_str(); "node started");
        self.peers.connect(Vec::new(), &self.ends);
        self.tick();
        while !self.has_ended() {
            let tick_at = self.origin + Duration::from_millis(self.next_tick_ms());
            let input = self.inputs.next(tick_at).await;
            self.read_clocks();
            match input {
                Input::Command(Command::Kill) => return,
                Input::Command(Command::Stop) => self.stop(),
                Input::End(end) => self.on_task_end(end),
                Input::Caller(input) => self.on_caller(input),
                Input::Peer(input) => self.on_peer(input),
                Input::Admin(input) => self.on_admin(input),
                Input::Tick => self.tick(),
            }
        }
        self.peer_listener.abort();
        self.operators.stop(Duration::from_millis(100));
        log::info!(entry = self.settings.entry.as_str(), open = self.pending.len(); "node stopped");
    }

    fn read_clocks(&mut self) {
        let monotonic_ms = u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.now = ClockReading::new(monotonic_ms, unix_ms());
    }

    fn next_tick_ms(&self) -> u64 {
        let engines = [
            self.requests.next_tick_ms(),
            self.once.next_tick_ms(),
            self.seats.next_tick_ms(),
            self.configuration.next_tick_ms(),
            self.fleet.next_tick_ms().filter(|_| self.peers.is_gateway()),
            self.burn.next_tick_ms(),
        ];
        let earliest = self.now.monotonic_ms + TICK_MIN_MS;
        let latest = self.now.monotonic_ms + TICK_MAX_MS;
        engines.into_iter().flatten().min().unwrap_or(latest).clamp(earliest, latest)
    }

    /// Passes a tick to every engine, the seat engine first: it notices a
    /// pause of the loop before anything is started.
    fn tick(&mut self) {
        self.on_seats(SeatsEvent::Tick);
        self.on_configuration(ConfigurationEvent::Tick);
        self.on_once(OnceEvent::Tick);
        self.on_requests(RequestsEvent::Tick);
        self.tick_fleet();
        self.tick_peers();
        self.tick_burn();
        if self.is_stopping {
            self.continue_stop();
        }
    }

    /// Passes a tick to the fleet engine if this entry host may control pools.
    fn tick_fleet(&mut self) {
        if self.peers.is_gateway() {
            self.poll_host_list();
            self.on_fleet(FleetEvent::Tick);
        }
    }

    fn on_task_end(&mut self, end: TaskEnd) {
        match end {
            TaskEnd::Attempt { request, attempt, result, response } => {
                self.on_attempt_end(request, attempt, result, response);
            }
            TaskEnd::Forward { request, result, retry_after_ms, response } => {
                self.on_forward_end(request, result, retry_after_ms, response);
            }
            TaskEnd::Store { engine, call, result } => match engine {
                Engine::Seats => self.on_seats(SeatsEvent::StoreReplied { call, result }),
                Engine::Once => self.on_once(OnceEvent::StoreReplied { call, result }),
                Engine::Configuration => {
                    self.on_configuration(ConfigurationEvent::StoreReplied { call, result });
                }
                Engine::Fleet => self.on_fleet(FleetEvent::StoreReplied { call, result }),
                Engine::Burn => self.burn.store_replied(self.now, call, result),
            },
            TaskEnd::Watched { prefix, generation, event } => {
                self.on_watched(&prefix, generation, event);
            }
            TaskEnd::Listed { hosts } => self.on_listed(hosts),
            TaskEnd::Health { host, healthy, asked_by } => {
                self.on_health(host, healthy, asked_by);
            }
            TaskEnd::Reboot { host, accepted } => {
                self.on_fleet(FleetEvent::RebootAccepted { host, accepted });
            }
            TaskEnd::PeerRefused { peer } => self.on_seats(SeatsEvent::PeerRefused { peer }),
        }
    }

    /// Starts a call to the store on behalf of an engine.
    pub(super) fn call_store(
        &self,
        engine: Engine,
        call: crate::state::ids::CallId,
        request: crate::protocol::store::StoreRequest,
    ) {
        let (store, ends) = (self.store.clone(), self.ends.clone());
        tokio::task::spawn_local(async move {
            let result = store.call(&request).await;
            if let Err(error) = &result {
                log::debug!(engine:? = engine; "call to the store failed: {error}; {request:?}");
            }
            let _ = ends.send(TaskEnd::Store { engine, call, result });
        });
    }

    /// Begins a graceful stop.
    fn stop(&mut self) {
        if self.is_stopping {
            return;
        }
        log::info!(entry = self.settings.entry.as_str(); "graceful stop begins");
        self.is_stopping = true;
        let deadline_ms = self.settings.limits.stop_deadline.as_ms();
        self.stop_at_ms = Some(self.now.monotonic_ms + deadline_ms);
        self.callers.stop(Duration::from_millis(deadline_ms));
        self.on_requests(RequestsEvent::Stopping);
        self.on_once(OnceEvent::Stopping);
        self.on_configuration(ConfigurationEvent::Stopping);
        self.on_fleet(FleetEvent::Stopping);
        self.on_seats(SeatsEvent::Stopping);
        self.continue_stop();
    }

    /// Releases the seat once nothing is in flight and the log is closed.
    fn continue_stop(&mut self) {
        let is_idle = self.pending.is_empty() && !self.once.is_open();
        if is_idle && !self.admin.is_release_asked {
            self.admin.is_release_asked = true;
            self.on_seats(SeatsEvent::Release);
        }
    }

    fn has_ended(&self) -> bool {
        if self.is_released && self.pending.is_empty() {
            return true;
        }
        let is_late = self.stop_at_ms.is_some_and(|stop_at_ms| self.now.monotonic_ms >= stop_at_ms);
        if is_late {
            log::error!(
                open = self.pending.len();
                "stop deadline passed with requests in flight; raise stop_deadline in [limits]"
            );
        }
        is_late
    }
}

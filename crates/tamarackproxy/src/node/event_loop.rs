//! The event loop of an entry host: feeds socket events to the core and
//! executes its effects.

use std::{
    collections::HashMap,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    task::{AbortHandle, JoinHandle},
    time::Instant,
};

use super::{
    admin::AdminState,
    core::{Completion, Effect, Input, NodeCore},
    handle::{Addresses, NodeError},
    input::Command,
    links::Links,
};
use crate::{
    protocol::{
        caller::Outcome,
        http::TargetRequest,
        peer::{ForwardFailure, ForwardRequest, ForwardResponse},
    },
    state::{
        clock::ClockReading,
        ids::{EntryId, HostId, RequestId},
        settings::Settings,
    },
    transport::{
        admin_server::{AdminInput, admin_router},
        caller_server::{CallerInput, CallerResponse, caller_router},
        http_server::HttpServer,
        peer_server::{self, PeerInput},
        platform_client::PlatformClient,
        store_client::StoreClient,
        target_client::TargetClient,
    },
};

/// Capacity of each queue from a listener to the loop; senders wait while a
/// queue is full.
const INPUT_QUEUE_CAPACITY: usize = 1_024;
/// Open connections to the administration port (operators, health checks,
/// metrics).
const ADMIN_CONNECTIONS: u32 = 256;
/// Timeout of a health check of one instance.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that operators' requests in flight have to finish once the loop ends.
const ADMIN_STOP_TIMEOUT: Duration = Duration::from_millis(100);

/// Channel that the response to a request goes to.
enum ReplyChannel {
    Caller(oneshot::Sender<CallerResponse>),
    Peer(oneshot::Sender<ForwardResponse>),
}

/// The core of an entry host with its sockets and clients.
pub(super) struct EventLoop {
    settings: Settings,
    pub(super) core: NodeCore,
    pub(super) admin: AdminState,
    pub(super) store: StoreClient,
    platform: Rc<PlatformClient>,
    targets: TargetClient,
    links: Links,
    replies: HashMap<RequestId, ReplyChannel>,
    attempts: HashMap<(RequestId, u32), AbortHandle>,
    watches: HashMap<Box<str>, JoinHandle<()>>,
    next_request: Arc<AtomicU64>,
    stop_at: Option<Instant>,
    /// Instant that the core's monotonic time is counted from.
    origin: Instant,
    task_results: mpsc::UnboundedSender<Input>,
    receivers: EventReceivers,
    callers: HttpServer,
    operators: HttpServer,
    peer_listener: JoinHandle<()>,
    addresses: Addresses,
}

/// Receivers of everything that wakes the loop, apart from the tick timer.
struct EventReceivers {
    task_results: mpsc::UnboundedReceiver<Input>,
    commands: mpsc::UnboundedReceiver<Command>,
    callers: mpsc::Receiver<CallerInput>,
    peers: mpsc::Receiver<PeerInput>,
    admin: mpsc::Receiver<AdminInput>,
}

enum LoopEvent {
    TaskEnded(Input),
    Command(Command),
    Caller(CallerInput),
    Peer(PeerInput),
    Admin(AdminInput),
    Tick,
}

impl EventReceivers {
    /// Waits for the next event. Commands, ticks and results of the loop's own
    /// tasks take precedence, so that a flood of new requests does not delay
    /// them.
    async fn next(&mut self, tick_at: Instant) -> LoopEvent {
        tokio::select! {
            biased;
            Some(command) = self.commands.recv() => LoopEvent::Command(command),
            () = tokio::time::sleep_until(tick_at) => LoopEvent::Tick,
            Some(input) = self.task_results.recv() => LoopEvent::TaskEnded(input),
            Some(input) = self.peers.recv() => LoopEvent::Peer(input),
            Some(input) = self.admin.recv() => LoopEvent::Admin(input),
            Some(input) = self.callers.recv() => LoopEvent::Caller(input),
        }
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

impl EventLoop {
    /// Binds all listeners and creates the core.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError::Bind`] if an address cannot be used.
    pub(super) async fn start(
        settings: Settings,
        commands: mpsc::UnboundedReceiver<Command>,
    ) -> Result<Self, NodeError> {
        let (task_results, task_results_receiver) = mpsc::unbounded_channel();
        let (caller_inputs, callers_receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (peer_inputs, peers_receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (admin_inputs, admin_receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        // Starts at the wall-clock time, so that request numbers in the logs of
        // an entry host stay unique across restarts.
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
        let store_timeout = Duration::from_millis(settings.store.timeout.as_ms());
        Ok(Self {
            core: NodeCore::new(&settings, &peer_address.to_string()),
            admin: AdminState::default(),
            store: StoreClient::new(settings.store.address, store_timeout),
            platform: Rc::new(PlatformClient::new(settings.platform.address)),
            targets: TargetClient::default(),
            links: Links::new(&settings, task_results.clone()),
            replies: HashMap::new(),
            attempts: HashMap::new(),
            watches: HashMap::new(),
            next_request,
            stop_at: None,
            origin: Instant::now(),
            task_results,
            receivers: EventReceivers {
                task_results: task_results_receiver,
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

    /// Runs until the entry host has stopped or was killed.
    pub(super) async fn run(mut self) {
        log::info!(entry = self.settings.entry.as_str(); "entry host started");
        self.handle_input(Input::Tick);
        while !self.has_ended() {
            let tick_at = self.origin + Duration::from_millis(self.core.next_tick_ms());
            match self.receivers.next(tick_at).await {
                LoopEvent::Command(Command::Kill) => return,
                LoopEvent::Command(Command::Stop) => self.stop(),
                LoopEvent::TaskEnded(input) => self.handle_input(input),
                LoopEvent::Caller(input) => self.on_caller(input),
                LoopEvent::Peer(input) => self.on_peer(input),
                LoopEvent::Admin(input) => self.on_admin(input),
                LoopEvent::Tick => self.handle_input(Input::Tick),
            }
        }
        self.peer_listener.abort();
        self.operators.stop(ADMIN_STOP_TIMEOUT);
        let open = self.core.open_requests();
        log::info!(entry = self.settings.entry.as_str(), open = open; "entry host stopped");
    }

    fn clock(&self) -> ClockReading {
        let monotonic_ms = u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX);
        ClockReading::new(monotonic_ms, unix_ms())
    }

    /// Passes an input to the core and executes the effects.
    pub(super) fn handle_input(&mut self, input: Input) {
        if let Input::AttemptEnded { request, attempt, .. } = &input {
            self.attempts.remove(&(*request, *attempt));
        }
        for effect in self.core.handle(self.clock(), input) {
            self.execute(effect);
        }
    }

    fn on_caller(&mut self, input: CallerInput) {
        match input {
            CallerInput::Request { request, received, reply } => {
                self.replies.insert(request, ReplyChannel::Caller(reply));
                self.handle_input(Input::CallerRequest { request, received });
            }
            CallerInput::Gone { request } => self.handle_input(Input::CallerGone { request }),
        }
    }

    fn on_peer(&mut self, input: PeerInput) {
        match input {
            PeerInput::Message { hello, message } => {
                self.handle_input(Input::PeerMessage { hello, message });
            }
            PeerInput::Forward { request: message, reply } => {
                let request = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
                self.replies.insert(request, ReplyChannel::Peer(reply));
                self.handle_input(Input::Forwarded { request, message: Box::new(message) });
            }
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::CallStore { engine, call, request } => {
                let store = self.store.clone();
                self.spawn(async move {
                    let result = store.call(&request).await;
                    if let Err(error) = &result {
                        log::debug!(engine:? = engine; "store call failed: {error}; {request:?}");
                    }
                    Input::StoreReplied { engine, call, result }
                });
            }
            Effect::Watch { prefix, from_version, generation } => {
                self.start_watch(prefix, from_version, generation);
            }
            Effect::Unwatch { prefix } => self.end_watch(&prefix),
            Effect::Connect { entries } => self.links.connect(entries),
            Effect::SendPeer { to, message } => self.links.send(&to, message),
            Effect::Forward { request, to, message, timeout_ms } => {
                self.forward(request, &to, message, timeout_ms);
            }
            Effect::Dispatch { request, attempt, address, target_request, timeout_ms, .. } => {
                self.dispatch(request, attempt, address, target_request, timeout_ms);
            }
            Effect::Abort { request, attempt } => {
                if let Some(task) = self.attempts.remove(&(request, attempt)) {
                    task.abort();
                }
            }
            Effect::Reply { request, completion } => self.reply(request, completion),
            Effect::RetainConnections { addresses } => {
                self.targets.retain(|address| addresses.contains(address));
            }
            Effect::ListHosts => {
                let platform = Rc::clone(&self.platform);
                self.spawn(
                    async move { Input::HostsListed { hosts: platform.list_hosts().await } },
                );
            }
            Effect::Reboot { host, operation } => {
                let platform = Rc::clone(&self.platform);
                self.spawn(async move {
                    let accepted = platform.reboot(&host, operation).await;
                    Input::RebootEnded { host, accepted }
                });
            }
            Effect::CheckHealth { host, addresses, asked_by } => {
                self.check_health(host, addresses, asked_by);
            }
            Effect::CallWorker { pool, call, host, command, tasks } => {
                let platform = Rc::clone(&self.platform);
                self.spawn(async move {
                    let reply = platform.send_command(&host, &command, &tasks).await;
                    Input::WorkerReplied { pool, call, reply }
                });
            }
            Effect::ListTasks { pool, host } => {
                let platform = Rc::clone(&self.platform);
                self.spawn(async move {
                    let tasks = platform.list_tasks(&host).await;
                    Input::TasksListed { pool, host, tasks }
                });
            }
            Effect::JobAnswered { call, result } => self.on_job_answered(call, result),
            Effect::PutEnded { call, result } => self.on_put_ended(call, result),
            Effect::WaitEnded { call, reached } => self.on_wait_ended(call, reached),
        }
    }

    /// Spawns a task whose result becomes an input of the core.
    fn spawn<F>(&self, task: F) -> AbortHandle
    where
        F: Future<Output = Input> + 'static,
    {
        let task_results = self.task_results.clone();
        let run = async move {
            let _ = task_results.send(task.await);
        };
        tokio::task::spawn_local(run).abort_handle()
    }

    fn start_watch(&mut self, prefix: Box<str>, from_version: u64, generation: u64) {
        self.end_watch(&prefix);
        let (store, task_results, watched) =
            (self.store.clone(), self.task_results.clone(), prefix.clone());
        let task = tokio::task::spawn_local(async move {
            let (events, mut received) = mpsc::unbounded_channel();
            let pass_on_events = async {
                while let Some(event) = received.recv().await {
                    let prefix = watched.clone();
                    let _ = task_results.send(Input::Watched { prefix, generation, event });
                }
            };
            tokio::join!(store.watch(&watched, from_version, events), pass_on_events);
        });
        self.watches.insert(prefix, task);
    }

    fn end_watch(&mut self, prefix: &str) {
        if let Some(task) = self.watches.remove(prefix) {
            task.abort();
        }
    }

    fn forward(
        &mut self,
        request: RequestId,
        to: &EntryId,
        message: ForwardRequest,
        timeout_ms: u64,
    ) {
        let timeout = Duration::from_millis(timeout_ms);
        let exchange = self.links.get(to).map(|link| link.forward(message, timeout));
        self.spawn(async move {
            let reply = match exchange {
                Some(exchange) => exchange.await,
                None => Err(ForwardFailure::NotSent),
            };
            Input::ForwardEnded { request, reply }
        });
    }

    fn dispatch(
        &mut self,
        request: RequestId,
        attempt: u32,
        address: std::net::SocketAddr,
        target_request: TargetRequest,
        timeout_ms: u64,
    ) {
        let (targets, timeout) = (self.targets.clone(), Duration::from_millis(timeout_ms));
        let task = self.spawn(async move {
            let (result, response) = targets.send(address, target_request, timeout).await;
            Input::AttemptEnded { request, attempt, result, response }
        });
        self.attempts.insert((request, attempt), task);
    }

    fn check_health(
        &mut self,
        host: HostId,
        addresses: Vec<std::net::SocketAddr>,
        asked_by: Option<EntryId>,
    ) {
        let targets = self.targets.clone();
        self.spawn(async move {
            let mut healthy = true;
            for address in addresses {
                healthy &= targets.is_healthy(address, HEALTH_TIMEOUT).await;
            }
            Input::HealthChecked { host, healthy, asked_by }
        });
    }

    /// Sends a response; it is dropped if the receiver has gone away.
    fn reply(&mut self, request: RequestId, completion: Completion) {
        match self.replies.remove(&request) {
            Some(ReplyChannel::Caller(reply)) => {
                let _ = reply.send(caller_response(completion));
            }
            Some(ReplyChannel::Peer(reply)) => {
                let _ = reply.send(completion.into_forward_response());
            }
            None => {}
        }
    }

    /// Begins a graceful stop.
    fn stop(&mut self) {
        log::info!(entry = self.settings.entry.as_str(); "graceful stop begins");
        let deadline = Duration::from_millis(self.settings.limits.stop_deadline.as_ms());
        self.stop_at.get_or_insert(Instant::now() + deadline);
        self.callers.stop(deadline);
        self.handle_input(Input::Stop);
    }

    fn has_ended(&self) -> bool {
        if self.core.has_ended() {
            return true;
        }
        let is_late = self.stop_at.is_some_and(|stop_at| Instant::now() >= stop_at);
        if is_late {
            log::error!(
                open = self.core.open_requests();
                "stop deadline passed with requests in flight; raise stop_deadline in [limits]"
            );
        }
        is_late
    }
}

fn caller_response(completion: Completion) -> CallerResponse {
    match completion.into_answer() {
        Ok(answer) => CallerResponse {
            outcome: Outcome::Answered,
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        },
        Err((outcome, refusal, retry_after_ms)) => {
            CallerResponse::refused(&refusal, outcome, retry_after_ms)
        }
    }
}

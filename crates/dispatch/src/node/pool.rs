//! Controller of one pool: connects the pool's engine to the store and the
//! workers.

mod account_metrics;
mod interference;

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use hashbrown::{HashMap, HashSet};
use tamarackproxy::{
    coordination::control::Tenure,
    protocol::store::{KeyValue, WatchEvent},
    state::ids::{PoolId, QueueId, RecordVersion, WorkerId},
};
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep_until},
};

use self::account_metrics::AccountMetrics;
use self::interference::InterferenceGauges;
use super::{
    clock,
    control::{AbortOnDrop, LeaseState, previous_holder_grace_ms},
    follow::{PrefixUpdate, follow, list_with_retry, read_with_retry},
    keys::{
        Fence, decode_item, decode_progress_item, job_of, jobs_prefix, last_write_key, pool_result,
        pool_scope, pool_transaction, progress_prefix, roster_key, vacate_key, vacated_key,
    },
    platform::{Platform, Transaction},
    queues,
    relay::{CallEnd, CallOutcome, RelayLink, list_members},
    shared::Shared,
    shares::{ShareReply, Shares},
};
use crate::{
    coordination::pool::{
        AdviceQuestion, Order, OrderOutcome, OrderReply, OrderTarget, PollFailure, PollReport,
        PoolAction, PoolControl, PoolEngine, PoolTiming, PoolWrite, QueuePolicy, Recovered,
        StoredJob, WorkerContact, WorkerKey, WriteResult,
    },
    coordination::relay::{Member, choose_relays, relay_of, relays_wanted},
    state::{Accounts, ServingDocument, Vacancy, WorkerEntry, encode},
};

/// Coalescing delay for changes of jobs, in milliseconds. A burst of submissions
/// shares calls, at the cost of a hundredth of the shortest latency objective.
const JOBS_COALESCE_MS: u64 = 12;
/// Interval at which the processes that can carry calls are listed, in
/// milliseconds.
const MEMBERS_INTERVAL_MS: u64 = 5_000;
/// Shortest time between two steps without an event, in milliseconds.
const STEP_MIN_MS: u64 = 1;
/// Interval at which the size of a pool without relays is checked, in
/// milliseconds.
const SIZE_CHECK_INTERVAL_MS: u64 = 500;
/// Time for which a worker that a relay could not reach is called directly, in
/// milliseconds: the path between them may be interrupted.
const DIRECT_MS: u64 = 10_000;
/// Delay before the write that confirms a vacated worker is retried, in
/// milliseconds.
const VACANCY_RETRY_MS: u64 = 100;

/// An event that the controller passes to the engine.
enum Input {
    Jobs(PrefixUpdate),
    Started(OrderTarget, OrderOutcome),
    Stopped(OrderTarget, OrderOutcome),
    Paced,
    Polled(WorkerKey, Result<PollReport, PollFailure>),
    Written(WriteResult),
    Advised(AdviceQuestion, Option<Vec<(WorkerId, Box<str>)>>),
    Relayed(CallOutcome, CallEnd),
    Members(Vec<Member>),
    Shares(ShareReply),
    Queues(Vec<(QueueId, QueuePolicy)>),
}

/// Controls a pool until it is aborted or fenced.
pub(super) async fn control<P>(
    shared: Rc<Shared<P>>,
    pool: PoolId,
    tenure: Tenure,
    lease: LeaseState,
) where
    P: Platform,
{
    let began = clock::read();
    let settings = &shared.settings;
    let timing = PoolTiming::new(settings.worker_lease_max_ms, settings.status_ms);
    let control = PoolControl {
        pool: pool.clone(),
        term: tenure.term,
        since: tenure.key_version,
        predecessor_until_ms: began.monotonic_ms + previous_holder_grace_ms(timing.worker_lease_ms),
    };
    let mut engine = PoolEngine::new(control, timing);
    let mut document = shared.document.subscribe();
    let mut registry = shared.registry.subscribe();
    let mut vacate = shared.vacate.subscribe();
    apply_document(&mut engine, &mut document);
    engine.on_registry(registry.borrow_and_update().values());

    let jobs = list_with_retry(&shared, &jobs_prefix(&pool)).await;
    let recovered = recover(&shared, &pool, jobs.items).await;
    // What was read in an earlier tenure may have been withdrawn since.
    shared.fleet_known().await;
    let requests = vacate.borrow_and_update().clone();
    engine.set_vacating(requests.keys().cloned().collect());
    engine.set_vacated(HashSet::clone(&shared.vacated.borrow()));
    engine.recover(clock::read(), recovered);
    if engine.take_unknown_queue() {
        engine.set_stored_queues(queues::stored_policies(&shared).await);
    }
    log::info!(pool = pool.as_str(), term = tenure.term.0,
        took_ms = clock::read().monotonic_ms - began.monotonic_ms;
        "pool state was recovered from the store");

    let (inputs, receiver) = mpsc::unbounded_channel();
    let sink = {
        let inputs = inputs.clone();
        move |update| drop(inputs.send(Input::Jobs(update)))
    };
    let jobs =
        follow(Rc::clone(&shared), jobs_prefix(&pool), Some(jobs.as_of), JOBS_COALESCE_MS, sink);
    let jobs = tokio::task::spawn_local(jobs);
    let _jobs = AbortOnDrop::new(&jobs);

    let engine = Rc::new(RefCell::new(engine));
    shared.engines.borrow_mut().insert(pool.clone(), Rc::clone(&engine));
    let _registered = EngineRegistration { shared: Rc::clone(&shared), pool: pool.clone() };
    let fence = Fence::new(&pool_scope(&pool), tenure.key_version);
    let fence = Rc::new(fence);
    let shares = Shares::new(Rc::clone(&shared), pool.clone(), Rc::clone(&fence));
    let interference = InterferenceGauges::new(pool.clone());
    let mut controller = Controller {
        shared: Rc::clone(&shared),
        account_metrics: AccountMetrics::new(pool.clone()),
        pool,
        fence,
        shares,
        engine,
        inputs,
        calls: JoinSet::new(),
        relays: Vec::new(),
        workers_max: 0,
        members_due_ms: 0,
        direct_until_ms: HashMap::new(),
        requests,
        interference,
    };
    controller.set_limits(&document);
    controller.run(receiver, document, registry, vacate, lease).await;
}

/// Removes the engine from the shared state when the controller ends.
struct EngineRegistration<P> {
    shared: Rc<Shared<P>>,
    pool: PoolId,
}

impl<P> Drop for EngineRegistration<P> {
    fn drop(&mut self) {
        self.shared.engines.borrow_mut().remove(&self.pool);
    }
}

/// Passes the queues and the client accounts of the configuration in force to the
/// engine.
fn apply_document(
    engine: &mut PoolEngine,
    document: &mut watch::Receiver<Option<Rc<ServingDocument>>>,
) {
    let document = document.borrow_and_update().clone();
    let mut pools = document.iter().flat_map(|document| &document.pools);
    engine.set_switches_off_hosts(pools.any(|pool| pool.is_standby));
    let queues = document.iter().flat_map(|document| &document.queues);
    // The pool may have jobs of queues that are sent to another pool now.
    let queues = queues.map(|queue| {
        let policy = QueuePolicy {
            priority: queue.priority,
            attempts_max: queue.attempts_max,
            stretch: queue.stretch,
            objective_ms: queue.objective_ms,
            advice: queue.advice,
        };
        (queue.queue.clone(), policy)
    });
    engine.set_queues(queues);
    let accounts = document.iter().filter_map(|document| document.accounts.as_ref());
    let accounts = accounts.flat_map(Accounts::iter);
    engine.set_accounts(accounts.map(|settings| (settings.account.clone(), settings.weight)));
}

/// Builds the recovered state of a pool from its jobs and from the progress and
/// roster records in the store.
async fn recover<P>(shared: &Shared<P>, pool: &PoolId, jobs: Vec<KeyValue>) -> Recovered
where
    P: Platform,
{
    let progress = list_with_retry(shared, &progress_prefix(pool)).await;
    let progress = progress.items.iter();
    let progress =
        progress.filter_map(|item| Some((job_of(&item.key)?, decode_progress_item(item)?)));
    let roster = read_with_retry(shared, &roster_key(pool)).await;
    let roster = roster.and_then(|item| decode_item(&item)).unwrap_or_default();
    let last_write = read_with_retry(shared, &last_write_key(pool)).await;
    let last_write = last_write.map_or(RecordVersion(0), |item| item.version);
    let progress = progress.collect();
    Recovered { jobs: jobs.iter().filter_map(stored_job).collect(), progress, roster, last_write }
}

fn stored_job(item: &KeyValue) -> Option<StoredJob> {
    let (number, version) = (job_of(&item.key)?, item.version);
    Some(StoredJob { number, version, record: decode_item(item)? })
}

struct Controller<P> {
    shared: Rc<Shared<P>>,
    pool: PoolId,
    fence: Rc<Fence>,
    /// Shares of the limits of client accounts.
    shares: Shares<P>,
    engine: Rc<RefCell<PoolEngine>>,
    account_metrics: AccountMetrics,
    inputs: mpsc::UnboundedSender<Input>,
    /// Calls in flight; aborted when the controller is dropped.
    calls: JoinSet<()>,
    /// Links to the processes that carry calls to workers, if the pool is large.
    relays: Vec<RelayLink>,
    /// Most workers that the pool had in this term.
    workers_max: usize,
    /// When the running processes are listed next, in milliseconds on the local
    /// clock.
    members_due_ms: u64,
    /// Workers that a relay could not reach, with the time until which this
    /// process calls them itself, in milliseconds on the local clock.
    direct_until_ms: HashMap<WorkerKey, u64>,
    /// Requests to vacate workers that the engine knows, with their versions.
    requests: HashMap<WorkerId, RecordVersion>,
    interference: InterferenceGauges,
}

impl<P> Controller<P>
where
    P: Platform,
{
    async fn run(
        mut self,
        mut receiver: mpsc::UnboundedReceiver<Input>,
        mut document: watch::Receiver<Option<Rc<ServingDocument>>>,
        mut registry: watch::Receiver<HashMap<WorkerId, WorkerEntry>>,
        mut vacate: watch::Receiver<HashMap<WorkerId, RecordVersion>>,
        lease: LeaseState,
    ) {
        loop {
            while let Ok(input) = receiver.try_recv() {
                self.on_input(input);
            }
            if document.has_changed().unwrap_or(false) {
                apply_document(&mut self.engine.borrow_mut(), &mut document);
                self.set_limits(&document);
            }
            if registry.has_changed().unwrap_or(false) {
                self.engine.borrow_mut().on_registry(registry.borrow_and_update().values());
            }
            if vacate.has_changed().unwrap_or(false) {
                let requests = vacate.borrow_and_update().clone();
                self.set_requests(requests);
            }
            self.refresh_members();
            self.engine.borrow_mut().confirm_control(lease.confirmed_until_ms());
            // Ended runs may have left room that another pool is entitled to.
            self.shares.sync(&mut self.engine.borrow_mut());
            let actions = self.engine.borrow_mut().step(clock::read());
            if actions.iter().any(|action| matches!(action, PoolAction::Fenced)) {
                // No further action may be taken after a higher term was seen.
                lease.report_fenced();
                return;
            }
            actions.into_iter().for_each(|action| self.carry_out(action));
            self.step_shares();
            while self.calls.try_join_next().is_some() {}
            let now_ms = clock::read().monotonic_ms;
            if self.account_metrics.take_due(now_ms) {
                self.account_metrics.set(&self.engine.borrow().account_statuses());
            }
            if self.interference.is_due(now_ms) {
                self.interference.publish(self.engine.borrow_mut().interfering_pairs(now_ms));
            }
            // A step that is due already is not repeated at once: control may have
            // run out.
            let next_ms = self.engine.borrow().next_step_ms();
            let next_ms = next_ms.min(self.shares.next_step_ms().unwrap_or(u64::MAX));
            let next_ms = next_ms.max(now_ms + STEP_MIN_MS);
            let until = Instant::now() + Duration::from_millis(next_ms.saturating_sub(now_ms));
            tokio::select! {
                () = sleep_until(until) => {}
                Some(input) = receiver.recv() => self.on_input(input),
                _ = document.changed() => document.mark_changed(),
                _ = registry.changed() => registry.mark_changed(),
                _ = vacate.changed() => vacate.mark_changed(),
            }
        }
    }

    /// Applies the limits of the configuration in force.
    fn set_limits(&mut self, document: &watch::Receiver<Option<Rc<ServingDocument>>>) {
        if let Some(document) = &*document.borrow() {
            self.shares.set_document(&mut self.engine.borrow_mut(), document);
        }
    }

    /// Makes the call about shares that is due.
    fn step_shares(&mut self) {
        self.shares.sync(&mut self.engine.borrow_mut());
        let Some(call) = self.shares.step() else { return };
        let (call, inputs) = (self.shares.carry_out(call), self.inputs.clone());
        self.calls.spawn_local(async move {
            // The receiver is gone when control has ended.
            let _ = inputs.send(Input::Shares(call.await));
        });
    }

    /// Applies the requests to vacate workers. One with another version is a new
    /// request, which has to be confirmed again.
    fn set_requests(&mut self, requests: HashMap<WorkerId, RecordVersion>) {
        let mut engine = self.engine.borrow_mut();
        let known = requests.iter().filter(|&(worker, version)| {
            self.requests.get(worker).is_none_or(|known| known == version)
        });
        engine.set_vacating(known.map(|(worker, _)| worker.clone()).collect());
        engine.set_vacating(requests.keys().cloned().collect());
        engine.set_vacated(HashSet::clone(&self.shared.vacated.borrow()));
        drop(engine);
        self.requests = requests;
    }

    /// Lists the running processes when that is due, if the pool is large enough
    /// for relays.
    fn refresh_members(&mut self) {
        let now_ms = clock::read().monotonic_ms;
        if now_ms < self.members_due_ms {
            return;
        }
        self.members_due_ms = now_ms + MEMBERS_INTERVAL_MS;
        self.direct_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        let registry = self.shared.registry.borrow();
        let workers = registry.values().filter(|entry| entry.pool == self.pool).count();
        drop(registry);
        self.workers_max = self.workers_max.max(workers);
        if self.relays_wanted() == 0 {
            self.members_due_ms = now_ms + SIZE_CHECK_INTERVAL_MS;
            return;
        }
        let (shared, inputs) = (Rc::clone(&self.shared), self.inputs.clone());
        self.calls.spawn_local(async move {
            match list_members(&shared).await {
                // The receiver is gone when control has ended.
                Ok(members) => drop(inputs.send(Input::Members(members))),
                Err(error) => {
                    log::info!(error:display = error; "running processes could not be listed");
                }
            }
        });
    }

    fn relays_wanted(&self) -> usize {
        relays_wanted(self.workers_max, self.shared.settings.workers_per_relay)
    }

    /// Opens links to further relays, and closes those to processes that are gone.
    fn on_members(&mut self, members: &[Member]) {
        let listed =
            |link: &RelayLink| members.iter().any(|member| member.address == link.address());
        self.relays.retain(|link| link.is_up() || listed(link));
        let kept: Vec<SocketAddr> = self.relays.iter().map(RelayLink::address).collect();
        let holders = self.shared.holders.borrow().entries();
        let added = choose_relays(&self.pool, members, &holders, &kept, self.relays_wanted());
        if added.is_empty() {
            return;
        }
        let names: Vec<&str> = added.iter().map(|member| member.entry.as_str()).collect();
        log::info!(pool = self.pool.as_str(), workers = self.workers_max, kept = kept.len(),
            added = names.join(" ").as_str(); "relays of the pool were chosen");
        self.relays.extend(added.into_iter().map(|member| {
            let inputs = self.inputs.clone();
            RelayLink::open(member.address, move |outcome, end| {
                // The receiver is gone when control has ended.
                let _ = inputs.send(Input::Relayed(outcome, end));
            })
        }));
    }

    /// Returns the link that carries the calls to a worker; none if this process
    /// calls it itself.
    fn link_to(&self, contact: &WorkerContact) -> Option<&RelayLink> {
        let link = self.relays.get(relay_of(&contact.worker, self.relays.len())?)?;
        let now_ms = clock::read().monotonic_ms;
        let is_direct =
            self.direct_until_ms.get(&contact.key).is_some_and(|&until_ms| now_ms < until_ms);
        (link.is_up() && !is_direct).then_some(link)
    }

    fn on_relayed(&mut self, outcome: CallOutcome, end: CallEnd) {
        let unreached = match &outcome {
            CallOutcome::Started(target, ordered) | CallOutcome::Stopped(target, ordered) => {
                let is_unreached =
                    matches!(ordered.reply, OrderReply::NotSent | OrderReply::Unknown);
                is_unreached.then_some(target.worker)
            }
            CallOutcome::Polled(worker, Err(PollFailure::Unreachable)) => Some(*worker),
            CallOutcome::Polled(..) | CallOutcome::Paced => None,
        };
        if let Some(worker) = unreached.filter(|_| end == CallEnd::Replied) {
            let until_ms = clock::read().monotonic_ms + DIRECT_MS;
            self.direct_until_ms.insert(worker, until_ms);
        }
        self.on_input(match outcome {
            CallOutcome::Started(target, ordered) => Input::Started(target, ordered),
            CallOutcome::Stopped(target, ordered) => Input::Stopped(target, ordered),
            CallOutcome::Paced => Input::Paced,
            CallOutcome::Polled(worker, result) => Input::Polled(worker, result),
        });
    }

    fn on_input(&mut self, input: Input) {
        let input = match input {
            Input::Relayed(outcome, end) => return self.on_relayed(outcome, end),
            Input::Members(members) => return self.on_members(&members),
            Input::Shares(reply) => return self.shares.on_reply(reply),
            Input::Queues(policies) => {
                return self.engine.borrow_mut().set_stored_queues(policies);
            }
            input => input,
        };
        let now = clock::read();
        let mut engine = self.engine.borrow_mut();
        match input {
            Input::Jobs(PrefixUpdate::Listed(items)) => {
                engine.reread(now, items.iter().filter_map(stored_job).collect());
            }
            Input::Jobs(PrefixUpdate::Changed(WatchEvent::Put(item))) => {
                if let Some(StoredJob { number, version, record }) = stored_job(&item) {
                    engine.on_job(now, number, version, record);
                }
            }
            Input::Jobs(PrefixUpdate::Changed(
                WatchEvent::Deleted { .. } | WatchEvent::Interrupted,
            )) => {}
            Input::Started(target, outcome) => engine.on_start_reply(now, target, outcome),
            Input::Stopped(target, outcome) => engine.on_stop_reply(now, target, outcome),
            Input::Paced
            | Input::Relayed(..)
            | Input::Members(_)
            | Input::Shares(_)
            | Input::Queues(_) => {}
            Input::Polled(worker, result) => engine.on_poll(now, worker, result),
            Input::Written(result) => engine.on_write(now, result),
            Input::Advised(question, allowed) => engine.on_advice(now, &question, allowed),
        }
        if engine.take_unknown_queue() {
            let (shared, inputs) = (Rc::clone(&self.shared), self.inputs.clone());
            self.calls.spawn_local(async move {
                let policies = queues::stored_policies(&shared).await;
                // The receiver is gone when control has ended.
                let _ = inputs.send(Input::Queues(policies));
            });
        }
    }

    fn carry_out(&mut self, action: PoolAction) {
        match action {
            PoolAction::Order { contact, target, order } => self.order(contact, target, order),
            PoolAction::Poll { contact, request } => {
                metrics::counter!("worker_looks").increment(1);
                if let Some(link) = self.link_to(&contact) {
                    return link.poll(&contact, request);
                }
                let (shared, inputs) = (Rc::clone(&self.shared), self.inputs.clone());
                self.calls.spawn_local(async move {
                    let calls = &shared.worker_calls;
                    let result = calls.poll(&shared.platform, &contact, &request).await;
                    // The receiver is gone when control has ended.
                    let _ = inputs.send(Input::Polled(contact.key, result));
                });
            }
            PoolAction::Advise(question) => {
                let (shared, inputs) = (Rc::clone(&self.shared), self.inputs.clone());
                self.calls.spawn_local(async move {
                    let allowed = shared.platform.query_policy(&question).await;
                    // The receiver is gone when control has ended.
                    let _ = inputs.send(Input::Advised(question, allowed));
                });
            }
            PoolAction::Write(write) => self.write(write),
            PoolAction::Vacated(worker) => {
                let shared = Rc::clone(&self.shared);
                let fence = Rc::clone(&self.fence);
                let term = self.engine.borrow().control().term;
                let vacancy = Vacancy { worker, term };
                self.calls
                    .spawn_local(async move { confirm_vacancy(&shared, &fence, vacancy).await });
            }
            PoolAction::Fenced => {}
        }
    }

    fn order(&mut self, contact: WorkerContact, target: OrderTarget, order: Order) {
        metrics::counter!("worker_orders").increment(1);
        if let Some(link) = self.link_to(&contact) {
            return link.order(&contact, target, &order);
        }
        let (shared, inputs) = (Rc::clone(&self.shared), self.inputs.clone());
        let requested_ms = clock::read().monotonic_ms;
        self.calls.spawn_local(async move {
            let (calls, platform) = (&shared.worker_calls, &shared.platform);
            let reply = calls.order(platform, requested_ms, &contact, &target, &order).await;
            let input = match order {
                Order::Start(_) => Input::Started(target, reply),
                Order::Stop => Input::Stopped(target, reply),
                Order::Pace(_) => Input::Paced,
            };
            // The receiver is gone when control has ended.
            let _ = inputs.send(input);
        });
    }

    fn write(&mut self, write: PoolWrite) {
        let (shared, inputs) = (Rc::clone(&self.shared), self.inputs.clone());
        let (fence, pool) = (Rc::clone(&self.fence), self.pool.clone());
        self.calls.spawn_local(async move {
            let result = match pool_transaction(&fence, &pool, &write) {
                Ok(transaction) => {
                    let reply = shared.transact(&transaction).await;
                    pool_result(&fence, &write, &pool, reply)
                }
                Err(error) => {
                    log::error!(pool = pool.as_str(), error:display = error;
                        "pool state could not be encoded");
                    WriteResult::Failed
                }
            };
            let _ = inputs.send(Input::Written(result));
        });
    }
}

/// Reports to the maintenance controller that nothing runs on a worker; retried
/// until the store has replied or control is lost. The confirmation holds for the
/// current request only: the worker is used again once that is withdrawn.
async fn confirm_vacancy<P>(shared: &Shared<P>, fence: &Fence, vacancy: Vacancy)
where
    P: Platform,
{
    let Ok(value) = encode(&vacancy) else { return };
    let Some(request) = shared.vacate.borrow().get(&vacancy.worker).copied() else { return };
    let transaction = Transaction {
        expected: vec![(fence.key.clone(), fence.version), (vacate_key(&vacancy.worker), request)],
        put: vec![(vacated_key(&vacancy.worker), value.into())],
        remove: Vec::new(),
    };
    loop {
        match shared.transact(&transaction).await {
            Ok(_) => return,
            Err(error) => {
                log::info!(worker = vacancy.worker.as_str(), error:display = error;
                    "confirmation of a vacated worker was not stored; retrying");
                tokio::time::sleep(Duration::from_millis(VACANCY_RETRY_MS)).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;

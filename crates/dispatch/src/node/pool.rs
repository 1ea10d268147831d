//! Controller of one pool: connects the pool's engine to the store and the
//! workers.

use std::{
    cell::RefCell, collections::HashMap as StdHashMap, net::SocketAddr, rc::Rc, time::Duration,
};

use hashbrown::{HashMap, HashSet};
use tamarackproxy::{
    coordination::control::Tenure,
    protocol::store::{KeyValue, WatchEvent},
    state::ids::{PoolId, RecordVersion, WorkerId},
};
use tokio::{
    sync::{Semaphore, mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep_until},
};

use super::{
    clock,
    control::{AbortOnDrop, LeaseState, previous_holder_grace_ms},
    follow::{PrefixUpdate, follow, list_with_retry, read_with_retry},
    keys::{
        Fence, decode_item, job_of, jobs_prefix, last_write_key, pool_result, pool_scope,
        pool_transaction, progress_prefix, roster_key, vacated_key,
    },
    platform::{Platform, Transaction},
    shared::Shared,
};
use crate::{
    coordination::pool::{
        AdviceQuestion, Order, OrderReply, OrderTarget, PollFailure, PollReport, PoolAction,
        PoolControl, PoolEngine, PoolTiming, PoolWrite, QueuePolicy, Recovered, StoredJob,
        WorkerContact, WorkerKey, WriteResult,
    },
    state::{ServingDocument, Vacancy, WorkerEntry, encode},
};

/// Orders to one worker that may be in flight at once. The number of connections
/// to workers is limited, but one lost reply must not block all other orders.
const CONCURRENT_ORDERS_MAX: usize = 3;
/// Coalescing delay for changes of jobs, in milliseconds. A burst of submissions
/// shares calls, at the cost of a hundredth of the shortest latency objective.
const JOBS_COALESCE_MS: u64 = 12;
/// Delay before the write that confirms a vacated worker is retried, in
/// milliseconds.
const VACANCY_RETRY_MS: u64 = 100;

/// An event that the controller passes to the engine.
enum Input {
    Jobs(PrefixUpdate),
    Started(OrderTarget, OrderReply),
    Stopped(OrderTarget, OrderReply),
    Paced,
    Polled(WorkerKey, Result<PollReport, PollFailure>),
    Written(WriteResult),
    Advised(AdviceQuestion, Option<Vec<(WorkerId, Box<str>)>>),
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
    set_queues(&mut engine, &mut document, &pool);
    engine.on_registry(registry.borrow_and_update().values());
    engine.set_vacating(HashSet::clone(&vacate.borrow_and_update()));
    engine.set_vacated(HashSet::clone(&shared.vacated.borrow()));

    let jobs = list_with_retry(&shared, &jobs_prefix(&pool)).await;
    let recovered = recover(&shared, &pool, jobs.items).await;
    engine.recover(clock::read(), recovered);
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
    let controller = Controller {
        shared: Rc::clone(&shared),
        pool,
        fence: Rc::new(fence),
        engine,
        inputs,
        calls: JoinSet::new(),
        permits: StdHashMap::new(),
    };
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

fn set_queues(
    engine: &mut PoolEngine,
    document: &mut watch::Receiver<Option<Rc<ServingDocument>>>,
    pool: &PoolId,
) {
    let document = document.borrow_and_update().clone();
    let queues = document.iter().flat_map(|document| &document.queues);
    let queues = queues.filter(|queue| queue.pool == *pool).map(|queue| {
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
}

/// Builds the recovered state of a pool from its jobs and from the progress and
/// roster records in the store.
async fn recover<P>(shared: &Shared<P>, pool: &PoolId, jobs: Vec<KeyValue>) -> Recovered
where
    P: Platform,
{
    let progress = list_with_retry(shared, &progress_prefix(pool)).await;
    let progress = progress.items.iter();
    let progress = progress.filter_map(|item| Some((job_of(&item.key)?, decode_item(item)?)));
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
    engine: Rc<RefCell<PoolEngine>>,
    inputs: mpsc::UnboundedSender<Input>,
    /// Calls in flight; aborted when the controller is dropped.
    calls: JoinSet<()>,
    /// Limits of concurrent orders by worker address.
    permits: StdHashMap<SocketAddr, Rc<Semaphore>>,
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
        mut vacate: watch::Receiver<HashSet<WorkerId>>,
        lease: LeaseState,
    ) {
        loop {
            while let Ok(input) = receiver.try_recv() {
                self.on_input(input);
            }
            if document.has_changed().unwrap_or(false) {
                set_queues(&mut self.engine.borrow_mut(), &mut document, &self.pool);
            }
            if registry.has_changed().unwrap_or(false) {
                self.engine.borrow_mut().on_registry(registry.borrow_and_update().values());
            }
            if vacate.has_changed().unwrap_or(false) {
                let vacating = HashSet::clone(&vacate.borrow_and_update());
                self.engine.borrow_mut().set_vacating(vacating);
                let vacated = HashSet::clone(&self.shared.vacated.borrow());
                self.engine.borrow_mut().set_vacated(vacated);
            }
            self.engine.borrow_mut().confirm_control(lease.confirmed_until_ms());
            let actions = self.engine.borrow_mut().step(clock::read());
            if actions.iter().any(|action| matches!(action, PoolAction::Fenced)) {
                // No further action may be taken after a higher term was seen.
                lease.report_fenced();
                return;
            }
            actions.into_iter().for_each(|action| self.carry_out(action));
            while self.calls.try_join_next().is_some() {}
            let now_ms = clock::read().monotonic_ms;
            let next_ms = self.engine.borrow().next_step_ms();
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

    fn on_input(&mut self, input: Input) {
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
            Input::Started(target, reply) => engine.on_start_reply(now, target, reply),
            Input::Stopped(target, reply) => engine.on_stop_reply(now, target, reply),
            Input::Paced => {}
            Input::Polled(worker, result) => engine.on_poll(now, worker, result),
            Input::Written(result) => engine.on_write(now, result),
            Input::Advised(question, allowed) => engine.on_advice(now, &question, allowed),
        }
    }

    fn carry_out(&mut self, action: PoolAction) {
        match action {
            PoolAction::Order { contact, target, order } => self.order(contact, target, order),
            PoolAction::Poll { contact, request } => {
                let (shared, inputs) = (Rc::clone(&self.shared), self.inputs.clone());
                metrics::counter!("worker_looks").increment(1);
                self.calls.spawn_local(async move {
                    let result = shared.platform.poll_worker(&contact, &request).await;
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
        let permits = self.permits.entry(contact.address);
        let permits = permits.or_insert_with(|| Rc::new(Semaphore::new(CONCURRENT_ORDERS_MAX)));
        let (permits, shared) = (Rc::clone(permits), Rc::clone(&self.shared));
        let inputs = self.inputs.clone();
        metrics::counter!("worker_orders").increment(1);
        self.calls.spawn_local(async move {
            let Ok(_permit) = permits.acquire().await else { return };
            let sent_ms = clock::read().monotonic_ms;
            let reply = shared.platform.send_order(&contact, &target, &order).await;
            let took_ms = clock::read().monotonic_ms.saturating_sub(sent_ms);
            metrics::histogram!("worker_order_ms").record(took_ms as f64);
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
/// until the store has replied or control is lost.
async fn confirm_vacancy<P>(shared: &Shared<P>, fence: &Fence, vacancy: Vacancy)
where
    P: Platform,
{
    let Ok(value) = encode(&vacancy) else { return };
    let transaction = Transaction {
        expected: vec![(fence.key.clone(), fence.version)],
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

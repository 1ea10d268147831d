//! Tasks on workers, independent of sockets.

use std::collections::{BTreeMap, HashMap};

pub use tamarackproxy::protocol::platform::{StartTask, TaskReport, TaskState};
use tamarackproxy::state::ids::HostId;

/// Actual duration and resource usage of a task, which may differ from what was
/// declared.
#[derive(Clone, Copy, Debug)]
pub struct TaskBehaviour {
    /// Duration without throttling, in milliseconds.
    pub work_ms: u64,
    /// CPU that it uses when it is not throttled, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory that it uses, in bytes.
    pub memory_bytes: u64,
    /// Whether it fails immediately after its start on any worker.
    pub fails: bool,
}

#[derive(Clone, Debug)]
struct Task {
    behaviour: TaskBehaviour,
    lease_ms: u64,
    lease_ends_ms: u64,
    started_ms: u64,
    /// Current CPU limit, in thousandths of a core.
    limit_millicores: u64,
    progress_ms: f64,
    advanced_ms: u64,
    state: TaskState,
}

#[derive(Clone, Debug, Default)]
struct Worker {
    fails_everything: bool,
    tasks: BTreeMap<Box<str>, Task>,
}

/// Why a task call is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskRefusal {
    /// The worker has no such task.
    Unknown,
    /// The worker already has a task with this name.
    Exists,
    /// The task has ended.
    Ended,
}

/// Tasks of all workers; each call receives the current time.
#[derive(Clone, Debug, Default)]
pub struct WorkersState {
    workers: HashMap<HostId, Worker>,
    behaviours: HashMap<Box<str>, TaskBehaviour>,
    checkpoints: HashMap<Box<str>, u64>,
    /// Starts of tasks: name, host and time in milliseconds, to find tasks that ran
    /// twice.
    pub starts: Vec<(Box<str>, HostId, u64)>,
    /// Lag of reported usage, in milliseconds.
    pub usage_lag_ms: u64,
}

impl WorkersState {
    /// Sets the actual behaviour of a task; a task without one uses the declared
    /// resources for the duration of its lease.
    pub fn set_behaviour(&mut self, task: &str, behaviour: TaskBehaviour) {
        self.behaviours.insert(task.into(), behaviour);
    }

    /// Sets whether a worker fails every task that it starts.
    pub fn set_failing(&mut self, host: &HostId, fails_everything: bool) {
        self.workers.entry(host.clone()).or_default().fails_everything = fails_everything;
    }

    /// Starts a task under a lease; it resumes from the progress of its checkpoint, if
    /// it names one.
    ///
    /// # Errors
    ///
    /// Returns [`TaskRefusal::Exists`] if the worker already has a task with this
    /// name.
    pub fn start(
        &mut self,
        now_ms: u64,
        host: &HostId,
        start: &StartTask,
    ) -> Result<(), TaskRefusal> {
        self.advance(now_ms, host);
        let declared = TaskBehaviour {
            work_ms: start.lease_ms,
            cpu_millicores: start.cpu_millicores,
            memory_bytes: start.memory_bytes,
            fails: false,
        };
        let behaviour = self.behaviours.get(&start.task).copied().unwrap_or(declared);
        let saved = start.checkpoint.as_ref().and_then(|name| self.checkpoints.get(name));
        let progress_ms = saved.copied().unwrap_or(0) as f64;
        let worker = self.workers.entry(host.clone()).or_default();
        if worker.tasks.contains_key(&start.task) {
            return Err(TaskRefusal::Exists);
        }
        let fails = behaviour.fails || worker.fails_everything;
        let task = Task {
            behaviour,
            lease_ms: start.lease_ms,
            lease_ends_ms: now_ms + start.lease_ms,
            started_ms: now_ms,
            limit_millicores: start.cpu_millicores,
            progress_ms,
            advanced_ms: now_ms,
            state: if fails { TaskState::Failed } else { TaskState::Running },
        };
        worker.tasks.insert(start.task.clone(), task);
        self.starts.push((start.task.clone(), host.clone(), now_ms));
        Ok(())
    }

    /// Renews the lease of a task.
    ///
    /// # Errors
    ///
    /// Returns an error if the task does not exist or is not running.
    pub fn renew(&mut self, now_ms: u64, host: &HostId, task: &str) -> Result<(), TaskRefusal> {
        let task = self.running_task(now_ms, host, task)?;
        task.lease_ends_ms = now_ms + task.lease_ms;
        Ok(())
    }

    /// Limits the CPU of a task, in thousandths of a core.
    ///
    /// # Errors
    ///
    /// Returns an error if the task does not exist or is not running.
    pub fn throttle(
        &mut self,
        now_ms: u64,
        host: &HostId,
        task: &str,
        cpu_millicores: u64,
    ) -> Result<(), TaskRefusal> {
        self.running_task(now_ms, host, task)?.limit_millicores = cpu_millicores;
        Ok(())
    }

    /// Saves the progress of a task and returns the name of the checkpoint; the task
    /// continues to run.
    ///
    /// # Errors
    ///
    /// Returns an error if the task does not exist or is not running.
    pub fn checkpoint(
        &mut self,
        now_ms: u64,
        host: &HostId,
        task: &str,
    ) -> Result<Box<str>, TaskRefusal> {
        let progress_ms = self.running_task(now_ms, host, task)?.progress_ms as u64;
        let name: Box<str> = format!("{task}-{}", self.checkpoints.len() + 1).into();
        self.checkpoints.insert(name.clone(), progress_ms);
        Ok(name)
    }

    /// Stops a task.
    ///
    /// # Errors
    ///
    /// Returns an error if the task does not exist or is not running.
    pub fn stop(&mut self, now_ms: u64, host: &HostId, task: &str) -> Result<(), TaskRefusal> {
        self.running_task(now_ms, host, task)?.state = TaskState::Stopped;
        Ok(())
    }

    /// Ends all tasks of a host that stops and returns the number of running ones.
    pub fn stop_host(&mut self, now_ms: u64, host: &HostId) -> usize {
        self.advance(now_ms, host);
        let tasks = self.workers.get_mut(host).into_iter().flat_map(|w| w.tasks.values_mut());
        let running = tasks.filter(|task| task.state == TaskState::Running);
        running.map(|task| task.state = TaskState::HostStopped).count()
    }

    /// Returns the reports of a worker's tasks.
    pub fn report(&mut self, now_ms: u64, host: &HostId) -> Vec<TaskReport> {
        self.advance(now_ms, host);
        let lag_ms = self.usage_lag_ms;
        let tasks = self.workers.get(host).into_iter().flat_map(|worker| &worker.tasks);
        let report = |name: &str, task: &Task| {
            let is_seen = task.started_ms + lag_ms <= now_ms && task.state == TaskState::Running;
            let usage = |amount| if is_seen { amount } else { 0 };
            TaskReport {
                task: name.into(),
                state: task.state,
                cpu_millicores: usage(task.behaviour.cpu_millicores.min(task.limit_millicores)),
                memory_bytes: usage(task.behaviour.memory_bytes),
                progress_ms: task.progress_ms as u64,
            }
        };
        tasks.map(|(name, task)| report(name, task)).collect()
    }

    fn running_task(
        &mut self,
        now_ms: u64,
        host: &HostId,
        task: &str,
    ) -> Result<&mut Task, TaskRefusal> {
        self.advance(now_ms, host);
        let worker = self.workers.get_mut(host).ok_or(TaskRefusal::Unknown)?;
        let task = worker.tasks.get_mut(task).ok_or(TaskRefusal::Unknown)?;
        if task.state == TaskState::Running { Ok(task) } else { Err(TaskRefusal::Ended) }
    }

    fn advance(&mut self, now_ms: u64, host: &HostId) {
        let tasks = self.workers.get_mut(host).into_iter().flat_map(|w| w.tasks.values_mut());
        tasks.filter(|task| task.state == TaskState::Running).for_each(|task| task.advance(now_ms));
    }
}

impl Task {
    /// Adds the progress since the last call and ends the task if it is complete or
    /// its lease has expired, whichever came first.
    fn advance(&mut self, now_ms: u64) {
        let speed =
            (self.limit_millicores as f64 / self.behaviour.cpu_millicores.max(1) as f64).min(1.0);
        let until_ms = now_ms.min(self.lease_ends_ms);
        self.progress_ms += until_ms.saturating_sub(self.advanced_ms) as f64 * speed;
        self.advanced_ms = now_ms;
        if self.progress_ms >= self.behaviour.work_ms as f64 {
            self.state = TaskState::Done;
        } else if now_ms >= self.lease_ends_ms {
            self.state = TaskState::LeaseLapsed;
        }
    }
}

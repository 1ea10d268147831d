//! Simulation of host moves between four pools whose surges come in turn; work
//! is modelled as a number of core-milliseconds.

use hashbrown::HashSet;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{
    coordination::jobs::Resources,
    state::{
        clock::ClockReading,
        ids::{DataCentreId, HostId, PoolId, WorkerId},
    },
};

use crate::{
    coordination::{
        balance::{BalanceAction, BalanceEngine, BalanceTiming},
        upkeep::{HostOrderReply, HostState, HostView},
    },
    state::{BalanceRecord, Demand, Registration, WorkerEntry},
};

/// Duration of a move, in milliseconds, as stated by the users.
pub const MOVE_MS: u64 = 1_500;
/// Processors of a host, in thousandths of a core.
pub const HOST_MILLICORES: u64 = 32_000;
/// Step of virtual time, in milliseconds.
pub const STEP_MS: u64 = 100;
/// Names of the working pools.
pub const POOLS: [&str; 4] = ["a", "b", "c", "d"];
/// Initial number of hosts of each pool.
pub const HOSTS_PER_POOL: usize = 10;
/// Initial number of hosts that are switched off.
pub const STANDBY: usize = 8;

/// Seed of the noise on the surges.
const SEED: u64 = 11;

/// A host and the number of the worker that it runs.
pub struct FakeHost {
    pub pool: PoolId,
    worker: u64,
    joins_ms: u64,
}

/// Pools whose hosts work off a backlog of core-milliseconds.
pub struct Fleet {
    pub engine: BalanceEngine,
    pub hosts: Vec<FakeHost>,
    backlog: [f64; 4],
    pub vacated: HashSet<WorkerId>,
    pub now_ms: u64,
    pub moves: usize,
    pub on_ms: u64,
    next_worker: u64,
    pub saved: BalanceRecord,
    /// Core-milliseconds that arrived while the backlog exceeded one second of
    /// the pool's capacity.
    pub late: f64,
    pub total: f64,
}

/// Returns the identifier of a pool.
pub fn pool(index: usize) -> PoolId {
    PoolId::new(POOLS[index])
}

fn worker(number: u64) -> WorkerId {
    WorkerId::new(format!("w{number}"))
}

impl Default for Fleet {
    /// Creates a fleet of the default size.
    fn default() -> Self {
        Self::with_hosts(HOSTS_PER_POOL, STANDBY)
    }
}

impl Fleet {
    /// Creates a fleet with the given numbers of hosts in each pool and of
    /// hosts that are off.
    pub fn with_hosts(hosts_per_pool: usize, standby: usize) -> Self {
        let mut hosts = Vec::new();
        for index in 0..POOLS.len() {
            for _ in 0..hosts_per_pool {
                hosts.push(FakeHost { pool: pool(index), worker: hosts.len() as u64, joins_ms: 0 });
            }
        }
        for _ in 0..standby {
            let worker = hosts.len() as u64;
            hosts.push(FakeHost { pool: PoolId::new("off"), worker, joins_ms: 0 });
        }
        let mut engine = BalanceEngine::new(BalanceTiming { move_ms: MOVE_MS });
        engine.set_pools((0..POOLS.len()).map(pool), Some(PoolId::new("off")));
        Self {
            engine,
            next_worker: hosts.len() as u64,
            hosts,
            backlog: [0.0; 4],
            vacated: HashSet::new(),
            saved: BalanceRecord::default(),
            now_ms: 10_000,
            moves: 0,
            on_ms: 0,
            late: 0.0,
            total: 0.0,
        }
    }

    /// Returns the virtual time.
    pub fn now(&self) -> ClockReading {
        ClockReading::new(self.now_ms, 1_000_000 + self.now_ms)
    }

    /// Counts the hosts of a pool that are up.
    pub fn up(&self, pool: &PoolId) -> usize {
        let up = |host: &&FakeHost| host.pool == *pool && self.now_ms >= host.joins_ms;
        self.hosts.iter().filter(up).count()
    }

    /// Returns the platform's host list.
    pub fn list(&self) -> Vec<HostView> {
        let view = |(index, host): (usize, &FakeHost)| HostView {
            host: HostId::new(format!("h{index}")),
            pool: host.pool.clone(),
            state: if self.now_ms >= host.joins_ms { HostState::Up } else { HostState::Moving },
            worker: (host.pool.as_str() != "off").then(|| worker(host.worker)),
        };
        self.hosts.iter().enumerate().map(view).collect()
    }

    /// Returns the registry's entries.
    pub fn workers(&self) -> Vec<WorkerEntry> {
        let up = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| host.pool.as_str() != "off" && self.now_ms >= host.joins_ms);
        let entry = |(index, host): (usize, &FakeHost)| WorkerEntry {
            worker: worker(host.worker),
            host: HostId::new(format!("h{index}")),
            pool: host.pool.clone(),
            address: "10.0.0.1:1".parse().expect("an address"),
            data_centre: DataCentreId::new("d"),
            registration: Registration::Ready,
            born_unix_ms: host.joins_ms,
            capacity: Resources::new(HOST_MILLICORES, 1 << 37, 0),
            labels: Vec::new(),
            rack: "r".into(),
        };
        up.map(entry).collect()
    }

    /// Advances by one step with `arriving` thousandths of a core of work at
    /// each pool; hosts move only if `may_move`.
    pub fn step(&mut self, arriving: [u64; 4], may_move: bool) {
        self.now_ms += STEP_MS;
        for (index, &arriving) in arriving.iter().enumerate() {
            let pool = pool(index);
            let arrived = arriving as f64 / 1_000.0 * STEP_MS as f64;
            let capacity = (self.up(&pool) as u64 * HOST_MILLICORES) as f64 / 1_000.0;
            self.total += arrived;
            if self.backlog[index] > capacity * 1_000.0 {
                self.late += arrived;
            }
            self.backlog[index] =
                (self.backlog[index] + arrived - capacity * STEP_MS as f64).max(0.0);
            let busy = (arriving + self.backlog[index] as u64).div_ceil(HOST_MILLICORES) as usize;
            let names: Vec<WorkerId> = (self.hosts.iter())
                .filter(|host| host.pool == pool && self.now_ms >= host.joins_ms)
                .map(|host| worker(host.worker))
                .collect();
            let demand = Demand {
                arriving_millicores: arriving,
                backlog_core_ms: self.backlog[index] as u64,
                overdue_core_ms: 0,
                ending: Vec::new(),
                lasting_millicores: 16_000,
                idle: names.into_iter().skip(busy).collect(),
            };
            self.engine.on_demand(self.now(), pool, demand);
        }
        let on = self.hosts.iter().filter(|host| host.pool.as_str() != "off").count();
        self.on_ms += on as u64 * STEP_MS;
        if !may_move {
            return;
        }
        self.engine.on_list(self.now_ms, &self.list());
        self.engine.on_workers(&self.workers());
        for action in self.engine.step(self.now(), true, &self.vacated, |_| false) {
            match action {
                BalanceAction::Vacate(worker) => drop(self.vacated.insert(worker)),
                BalanceAction::Release(worker) => drop(self.vacated.remove(&worker)),
                BalanceAction::Save(record) => self.saved = record,
                BalanceAction::Move(host, to) => {
                    let index: usize = host.as_str()[1..].parse().expect("an index");
                    self.moves += 1;
                    self.next_worker += 1;
                    self.hosts[index] = FakeHost {
                        pool: to,
                        worker: self.next_worker,
                        joins_ms: self.now_ms + MOVE_MS,
                    };
                    let now = self.now();
                    self.engine.on_reply(now, &host, HostOrderReply::Begun);
                }
            }
        }
    }

    /// Returns the share of work that was late, in percent.
    pub fn late_percent(&self) -> f64 {
        self.late * 100.0 / self.total.max(1.0)
    }
}

/// Replays turns of 6 s in which one pool needs 1.6 times its initial capacity
/// and each other pool a twentieth of that.
pub fn replay_surges(may_move: bool) -> Fleet {
    replay_surges_of(Fleet::default(), HOSTS_PER_POOL, may_move)
}

/// Replays the same surges for a fleet of another size.
pub fn replay_surges_of(mut fleet: Fleet, hosts_per_pool: usize, may_move: bool) -> Fleet {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let peak = (hosts_per_pool as u64 * HOST_MILLICORES) * 16 / 10;
    for turn in 0..8 {
        for _ in 0..60 {
            let noise = random.random_range(80..=120);
            let mut arriving = [peak / 20; 4];
            arriving[turn % 4] = peak * noise / 100;
            fleet.step(arriving, may_move);
        }
    }
    fleet
}

//! Documents and host lists of simulated deployments.

use std::collections::BTreeMap;

use tamarackproxy::{
    protocol::platform::{ListedHost, ListedState},
    state::{
        document::{
            BudgetSection, DataCentreSection, Document, FailureReserve, KeyRule, PoolSection,
            ServiceSection, WaveSection,
        },
        ids::{DataCentreId, HostId, PoolId, RackId, RegionId, ServiceId, TeamId, WaveId},
        units::{DurationMs, Share},
    },
};

/// Hosts per rack.
pub const RACK_HOSTS: u32 = 4;

/// Size of a simulated deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentSize {
    /// Number of data centres.
    pub data_centres: u32,
    /// Number of pools, each with one service; the last one is the spare pool.
    pub pools: u32,
    /// Total number of hosts.
    pub hosts: u32,
    /// Seats per data centre.
    pub seats: u16,
    /// Hosts that a wave may stop at once.
    pub max_parallel: u32,
}

impl DeploymentSize {
    /// Size of a deployment today.
    pub const PRESENT: Self =
        Self { data_centres: 4, pools: 5, hosts: 50, seats: 2, max_parallel: 10 };
    /// Size that is expected in two years.
    pub const DESIGN: Self =
        Self { data_centres: 15, pools: 26, hosts: 4_700, seats: 7, max_parallel: 250 };
}

/// A document and the hosts that the platform lists.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The operators' document, with one wave `w1` over all pools.
    pub document: Document,
    /// The platform's list.
    pub hosts: Vec<ListedHost>,
}

/// Name of the wave in the document.
pub const WAVE: &str = "w1";

/// Returns the name of a pool; its service has the same name.
pub fn pool_name(index: u32) -> PoolId {
    PoolId::new(format!("p{index:02}"))
}

fn data_centre_name(index: u32) -> DataCentreId {
    DataCentreId::new(format!("dc{index:02}"))
}

impl Deployment {
    /// Creates a deployment whose pools have equal shares of each data centre's
    /// hosts. Each budget keeps nine tenths of the pool available, minus the
    /// loss of one rack, and allows at least two planned stops at once.
    pub fn new(size: DeploymentSize) -> Self {
        let mut hosts = Vec::new();
        let mut sizes: BTreeMap<PoolId, BTreeMap<DataCentreId, u32>> = BTreeMap::new();
        for index in 0..size.hosts {
            let data_centre = data_centre_name(index % size.data_centres);
            let place = index / size.data_centres;
            hosts.push(listed_host(index, place, &data_centre));
            let pool = pool_name(place % size.pools);
            *sizes.entry(pool).or_default().entry(data_centre).or_default() += 1;
        }
        let mut document = empty_document();
        for index in 0..size.data_centres {
            let section = DataCentreSection { region: RegionId::new("r1"), seats: size.seats };
            document.data_centres.insert(data_centre_name(index), section);
        }
        for (pool, by_data_centre) in sizes {
            let service = ServiceId::new(pool.as_str());
            let hosts: u32 = by_data_centre.values().sum();
            let spare = pool == pool_name(size.pools - 1);
            document.pools.insert(pool.clone(), pool_section(by_data_centre, hosts, spare));
            document.services.insert(service.clone(), service_section(&pool));
            document.budgets.insert(service, budget_section(hosts));
        }
        let wave = wave_section(document.pools.keys().cloned().collect(), size.max_parallel);
        document.waves.insert(WaveId::new(WAVE), wave);
        Self { document, hosts }
    }
}

fn listed_host(index: u32, place: u32, data_centre: &DataCentreId) -> ListedHost {
    let (third, fourth) = (index / 250, index % 250 + 1);
    ListedHost {
        host: HostId::new(format!("h{index:04}")),
        data_centre: data_centre.clone(),
        rack: RackId::new(format!("{data_centre}-r{:03}", place / RACK_HOSTS)),
        address: format!("10.0.{third}.{fourth}").into(),
        cpu_millicores: 32_000,
        memory_bytes: 128 << 30,
        accelerators: 0,
        state: ListedState::Live,
    }
}

fn empty_document() -> Document {
    Document {
        deployment: "virtual".into(),
        teams: BTreeMap::new(),
        data_centres: BTreeMap::new(),
        pools: BTreeMap::new(),
        services: BTreeMap::new(),
        budgets: BTreeMap::new(),
        callers: BTreeMap::new(),
        waves: BTreeMap::new(),
    }
}

fn pool_section(size: BTreeMap<DataCentreId, u32>, hosts: u32, spare: bool) -> PoolSection {
    PoolSection {
        owner: TeamId::new("fleet"),
        size,
        minimum: hosts / 2,
        maximum: hosts * 2,
        spare,
        buffer_racks: 1,
    }
}

fn service_section(pool: &PoolId) -> ServiceSection {
    ServiceSection {
        owner: TeamId::new("fleet"),
        pool: pool.clone(),
        port: 8080,
        slots: 8,
        connections: 64,
        deadline: DurationMs::new(10_000),
        idempotency_key: KeyRule::Required,
        objective: Share::new(0.999),
        objective_window: DurationMs::new(86_400_000),
        objective_latency: DurationMs::new(1_000),
        queue_limit: 1_000,
    }
}

fn budget_section(hosts: u32) -> BudgetSection {
    let max_stopped = (hosts / 10).max(2);
    BudgetSection {
        owner: TeamId::new("fleet"),
        min_available: hosts - max_stopped - 2,
        max_stopped,
        failure_reserve: FailureReserve::Rack,
    }
}

fn wave_section(pools: Vec<PoolId>, max_parallel: u32) -> WaveSection {
    WaveSection {
        owner: TeamId::new("fleet"),
        pools,
        paused: false,
        max_parallel,
        return_deadline: DurationMs::new(600_000),
        drain_deadline: DurationMs::new(60_000),
        pause_after_failures: 0,
    }
}

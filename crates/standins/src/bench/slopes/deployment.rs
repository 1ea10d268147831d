//! Generates documents, hosts and settings for deployments of any size.

use std::fmt::Write;

use tamarackproxy::{
    protocol::platform::{ListedHost, ListedState},
    state::{
        document::DocumentText,
        ids::{DataCentreId, HostId, OperationId, PoolId, RackId, TeamId, Term},
        records::{HeadRecord, HostPhase, HostRecord, RecentOperations},
        settings::Settings,
    },
};

/// Pools, each with one service, as at the design size.
const POOLS: usize = 26;
/// Teams and callers, as at the design size.
const TEAMS: usize = 220;
/// Hosts in one rack.
const RACK_HOSTS: usize = 4;

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shape {
    pub(super) data_centres: usize,
    /// Entry hosts of each data centre.
    pub(super) entries: usize,
    pub(super) hosts: usize,
}

impl Shape {
    pub(super) fn nodes(self) -> usize {
        self.data_centres * self.entries
    }

    /// Returns the pool and data centre of a host.
    fn pool_and_data_centre(self, host: usize) -> (usize, usize) {
        (host % POOLS, host / POOLS % self.data_centres)
    }

    /// Returns the document, in which the size of every pool matches its hosts.
    fn text(self) -> String {
        let mut text = String::from("[document]\ndeployment = slopes\n");
        let _ = write!(text, "[team operations]\nrole = admin\ntoken_sha256 = {:064x}\n", 1);
        for team in 0..TEAMS {
            let _ = write!(
                text,
                "[team t{team}]\ntoken_sha256 = {:064x}\n\
                 [caller c{team}]\nowner = t{team}\ntoken_sha256 = {:064x}\n",
                1_000 + team,
                10_000 + team
            );
        }
        for index in 0..self.data_centres {
            let seats = self.entries;
            let _ = write!(text, "[data-centre dc{index:02}]\nregion = r\nseats = {seats}\n");
        }
        let mut sizes = vec![vec![0; self.data_centres]; POOLS];
        for (pool, data_centre) in (0..self.hosts).map(|host| self.pool_and_data_centre(host)) {
            sizes[pool][data_centre] += 1;
        }
        for (pool, sizes) in sizes.iter().enumerate() {
            let total: usize = sizes.iter().sum();
            let (minimum, spare) = ((total / 2).max(1), pool == POOLS - 1);
            let parts = sizes.iter().enumerate().filter(|(_, size)| **size > 0);
            let size: Vec<String> = parts.map(|(at, size)| format!("dc{at:02}:{size}")).collect();
            let _ = write!(
                text,
                "[pool p{pool}]\nowner = t0\nsize = {}\nminimum = {minimum}\nmaximum = {}\n\
                 spare = {spare}\n\
                 [service s{pool}]\nowner = t0\npool = p{pool}\nport = {}\ndeadline = 2s\n\
                 [budget s{pool}]\nowner = t0\nmin_available = {}\nmax_stopped = 1\n",
                size.join(", "),
                2 * total,
                9_001 + pool,
                minimum - 1
            );
        }
        text
    }

    /// Returns the head record of the first revision.
    pub(super) fn first_head(self) -> HeadRecord {
        let text = DocumentText::parse(&self.text());
        let text = text.unwrap_or_else(|errors| panic!("the slopes document: {errors}"));
        HeadRecord::first(&text, TeamId::new("operations"), 0, OperationId(1))
    }

    /// Returns the hosts as listed by the platform, with their records.
    pub(super) fn hosts(self) -> Vec<(ListedHost, HostRecord)> {
        let of = |index: usize| {
            let (pool, data_centre) = self.pool_and_data_centre(index);
            let listed = ListedHost {
                host: HostId::new(format!("h{index:04}")),
                data_centre: DataCentreId::new(format!("dc{data_centre:02}")),
                rack: RackId::new(format!("dc{data_centre:02}-r{:03}", index / RACK_HOSTS)),
                address: format!("10.2.{}.{}", index / 250, index % 250 + 1).into(),
                cpu_millicores: 32_000,
                memory_bytes: 128 << 30,
                accelerators: 2,
                state: ListedState::Live,
            };
            let record = HostRecord {
                host: listed.host.clone(),
                data_centre: listed.data_centre.clone(),
                rack: listed.rack.clone(),
                address: listed.address.clone(),
                pool: PoolId::new(format!("p{pool}")),
                next_pool: None,
                phase: HostPhase::Active,
                term: Term(0),
                phase_since_unix_ms: 0,
                operations: RecentOperations::default(),
            };
            (listed, record)
        };
        (0..self.hosts).map(of).collect()
    }

    fn entry(self, index: usize) -> (String, String) {
        let data_centre = index / self.entries;
        (format!("dc{data_centre:02}-{}", index % self.entries), format!("dc{data_centre:02}"))
    }

    /// Returns the settings of one entry host, with all others as peers.
    pub(super) fn settings(self, index: usize) -> Settings {
        let (name, data_centre) = self.entry(index);
        let others = (0..self.nodes()).filter(|other| *other != index);
        let peers = others.map(|other| {
            let (name, data_centre) = self.entry(other);
            format!("{name} = {data_centre} 10.0.0.{other}:8082\n")
        });
        let peers: String = peers.collect();
        let text = format!(
            "[entry]\nname = {name}\ndata_centre = {data_centre}\n\
             [listen]\ncallers = 10.0.0.{index}:8080\nadmin = 10.0.0.{index}:8081\n\
             peers = 10.0.0.{index}:8082\n\
             [store]\naddress = 10.1.0.1:2379\n[platform]\naddress = 10.1.0.1:2380\n\
             [peers]\n{peers}"
        );
        Settings::parse(&text).unwrap_or_else(|errors| panic!("settings of the slopes: {errors}"))
    }
}

//! Settings of a `tamarack-dispatchd` process, read from an INI file.

use std::{net::SocketAddr, ops::RangeInclusive, str::FromStr};

use crate::coordination::{control::Fencing, relay::WORKERS_PER_RELAY, request_memory::ByteCount};
use displaydoc::Display;
use log::LevelFilter;
use tamarackproxy::state::{
    ids::{DataCentreId, EntryId},
    ini::{
        IniError, IniErrors, RawSection, SectionReader, check_sections, read_section, read_sections,
    },
};

const ADDRESS: &str = "an IP number and a port such as 10.0.0.1:8080";
const NAME: &str = "a name of 1 to 64 lower-case letters, digits, '-', '_' and '.'";
const SECONDS: &str = "a number of seconds such as 6 or 1.5";
const LEVEL: &str = "off, error, warn, info, debug or trace";
const CORES: &str = "a number of cores such as 0.25 or 2";
const COUNT: &str = "a whole number";
const MEMORY: &str = "a number of mebibytes from 16 to 1048576";
/// Bytes of a mebibyte.
const MIB: f64 = 1_048_576.0;
/// Range of the memory of a process, in MiB.
const MEMORY_MB: RangeInclusive<f64> = 16.0..=1_048_576.0;
/// Memory of a process that states none, in MiB.
const MEMORY_DEFAULT_MB: f64 = 260.0;
/// Part of the memory that callers' requests may hold.
const REQUEST_MEMORY_DIVISOR: usize = 4;
/// Part of the memory that connections of callers may hold.
const CONNECTION_MEMORY_DIVISOR: usize = 2;
/// Memory of one connection beside the bodies of its requests: buffers of the
/// socket and of the parser, and the tasks that serve it.
const CONNECTION_BYTES: usize = 64 << 10;
const SWITCH: &str = "true or false";

/// Complete and validated settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Name of this entry host.
    pub entry: EntryId,
    /// Data centre of this entry host.
    pub data_centre: DataCentreId,
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address at which the load balancer checks readiness.
    pub ready: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Address at which other processes connect to have calls to workers
    /// carried; none if this process carries none.
    pub relay: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's host service, which lists hosts and takes
    /// orders for them.
    pub hosts: SocketAddr,
    /// Who rejects the orders of a former holder for hosts.
    pub host_fencing: Fencing,
    /// Address of the policy service, which tells which workers a queue's
    /// policy allows.
    pub advice: Option<SocketAddr>,
    /// Time that a graceful stop may take, in milliseconds.
    pub stop_ms: u64,
    /// Longest lease that workers accept, in milliseconds.
    pub worker_lease_max_ms: u64,
    /// Time for which callers may query an ended job, in milliseconds.
    pub status_ms: u64,
    /// Time within which a withdrawn key must stop even on a process that does
    /// not reach the store, in milliseconds; none if nothing demands that.
    pub key_revocation_ms: Option<u64>,
    /// Time within which a configuration must be in force, in milliseconds.
    pub configuration_apply_ms: u64,
    /// Time that a host is down for maintenance, in milliseconds.
    pub maintenance_ms: u64,
    /// Time that a move of a host to another pool takes, in milliseconds.
    pub move_ms: u64,
    /// Processors of this entry host that the process may use, in cores.
    pub cores: f64,
    /// Workers for each process that carries calls for a large pool.
    pub workers_per_relay: usize,
    /// Descriptors that the process may open.
    pub descriptors: usize,
    /// Memory that callers' requests may hold.
    pub request_memory: ByteCount,
    /// Connections that may be open at once.
    pub connections_max: usize,
    /// Least severe level that is logged.
    pub level: LevelFilter,
}

impl DispatchSettings {
    /// Sets the memory of the process, which bounds what requests hold and how many
    /// connections are open.
    #[must_use]
    pub fn with_memory(mut self, memory: ProcessMemory) -> Self {
        let ProcessMemory(ByteCount(memory_bytes)) = memory;
        self.request_memory = ByteCount(memory_bytes / REQUEST_MEMORY_DIVISOR);
        // Half of the descriptors are kept for files, connections to the store
        // and to workers, and as a reserve.
        self.connections_max = (self.descriptors / 2)
            .max(64)
            .min(memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES);
        self
    }

    /// Returns the processors of this entry host, in thousandths of a core.
    pub fn millicores(&self) -> u32 {
        (self.cores * 1_000.0) as u32
    }
}

const SECTIONS: [&str; 5] = ["entry", "listen", "platform", "limits", "log"];

impl DispatchSettings {
    /// Parses settings and validates all of them.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with its section, key, the value found, the
    /// accepted values and the remedy.
    pub fn parse(text: &str) -> Result<Self, IniErrors> {
        let mut errors = Vec::new();
        let sections = read_sections(text).unwrap_or_else(|error| {
            errors.push(error);
            Vec::new()
        });
        let settings = read(&sections, &mut errors);
        IniErrors::check(errors)?;
        settings.ok_or_else(|| unreachable!("a missing value is an error"))
    }
}

fn read(sections: &[RawSection], errors: &mut Vec<IniError>) -> Option<DispatchSettings> {
    let entry = read_section(sections, "entry", errors, |reader| {
        let entry: Option<EntryId> = reader.required("name", NAME);
        let data_centre: Option<DataCentreId> = reader.required("data_centre", NAME);
        Some((entry?, data_centre?))
    });
    let listen = read_section(sections, "listen", errors, |reader| {
        let callers = reader.required("callers", ADDRESS);
        let ready = reader.required("ready", ADDRESS);
        let metrics = reader.required("metrics", ADDRESS);
        // An empty value means that the process is no relay.
        let relay = reader.list("relay", ADDRESS).into_iter().next();
        Some((callers?, ready?, metrics?, relay))
    });
    let platform = read_section(sections, "platform", errors, |reader| {
        let store = reader.required("store", ADDRESS);
        let hosts = reader.required("hosts", ADDRESS);
        // An unstated value must not let two holders order the same host.
        let rejects_old_terms = reader.or_default("hosts_reject_old_terms", SWITCH, false);
        let host_fencing = if rejects_old_terms { Fencing::Receiver } else { Fencing::Holder };
        // An empty value means that the platform has no policy service.
        let advice = reader.list("advice", ADDRESS).into_iter().next();
        Some((store?, hosts?, host_fencing, advice))
    });
    let limits = read_section(sections, "limits", errors, |reader| {
        let stop_ms = milliseconds(reader, "graceful_stop_s", 6.0);
        let worker_lease_max_ms = reader.or_default("worker_lease_max_ms", COUNT, 10_000_u64);
        let status_ms = milliseconds(reader, "ended_jobs_s", 120.0);
        let maintenance_ms = milliseconds(reader, "maintenance_s", 2.0);
        let move_ms = milliseconds(reader, "host_move_s", 1.5);
        let cores = reader.or_default("cores", CORES, 1.0_f64);
        let descriptors = reader.or_default("descriptors", COUNT, 1_024_usize);
        // An empty value means that the platform states no memory.
        let memory = reader.list("memory_mb", MEMORY).into_iter().next().unwrap_or_default();
        let workers_per_relay = reader.or_default("workers_per_relay", COUNT, WORKERS_PER_RELAY);
        // An empty value means that no key has to stop without the store.
        let key_revocation_ms = reader.list("key_revocation_ms", COUNT).into_iter().next();
        let configuration_apply_ms = reader.or_default("configuration_apply_ms", COUNT, 2_000);
        let configuration_ms = (key_revocation_ms, configuration_apply_ms);
        let worker_ms = (worker_lease_max_ms, maintenance_ms, move_ms, configuration_ms);
        let process = (cores, descriptors, memory);
        Some((stop_ms, status_ms, worker_ms, process, workers_per_relay))
    });
    let level = read_section(sections, "log", errors, |reader| {
        Some(reader.or_default("level", LEVEL, LevelFilter::Info))
    });
    check_sections(sections, &SECTIONS, errors);
    let (entry, data_centre) = entry?;
    let (callers, ready, metrics, relay) = listen?;
    let (store, hosts, host_fencing, advice) = platform?;
    let (stop_ms, status_ms, worker_ms, process, workers_per_relay) = limits?;
    let (cores, descriptors, memory) = process;
    let (worker_lease_max_ms, maintenance_ms, move_ms, configuration_ms) = worker_ms;
    let (key_revocation_ms, configuration_apply_ms) = configuration_ms;
    let settings = DispatchSettings {
        entry,
        data_centre,
        callers,
        ready,
        metrics,
        relay,
        store,
        hosts,
        host_fencing,
        advice,
        stop_ms,
        worker_lease_max_ms,
        status_ms,
        key_revocation_ms,
        configuration_apply_ms,
        maintenance_ms,
        move_ms,
        cores,
        workers_per_relay,
        descriptors,
        request_memory: ByteCount::default(),
        connections_max: 0,
        level: level?,
    };
    Some(settings.with_memory(memory))
}

/// Memory of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessMemory(ByteCount);

/// the memory of a process is a number of mebibytes from 16 to 1048576
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct InvalidMemory;

impl std::error::Error for InvalidMemory {}

impl Default for ProcessMemory {
    fn default() -> Self {
        Self(ByteCount((MEMORY_DEFAULT_MB * MIB) as usize))
    }
}

impl FromStr for ProcessMemory {
    type Err = InvalidMemory;

    /// Parses a number of mebibytes within the accepted range.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mebibytes = text.parse().ok().filter(|mebibytes| MEMORY_MB.contains(mebibytes));
        let bytes = mebibytes.map(|mebibytes: f64| (mebibytes * MIB) as usize);
        bytes.map(|bytes| Self(ByteCount(bytes))).ok_or(InvalidMemory)
    }
}

fn milliseconds(reader: &mut SectionReader<'_>, key: &'static str, default_s: f64) -> u64 {
    let seconds: f64 = reader.or_default(key, SECONDS, default_s);
    (seconds.max(0.0) * 1_000.0) as u64
}

#[cfg(test)]
mod tests;

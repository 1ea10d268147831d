//! Settings of a `tamarackd` process, parsed from an INI text.

mod parse;

use std::net::SocketAddr;

use crate::state::{
    ids::{DataCentreId, EntryId},
    units::DurationMs,
};

/// Validated settings of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this entry host.
    pub entry: EntryId,
    /// Data centre of this entry host.
    pub data_centre: DataCentreId,
    /// Addresses that the process listens on.
    pub listen: ListenSettings,
    /// The platform's key-value store.
    pub store: StoreSettings,
    /// The platform's HTTP interface: host list, reboots and workers.
    pub platform: PlatformSettings,
    /// Other entry hosts that are known before the store is read.
    pub peers: Vec<PeerSettings>,
    /// Limits on connections, time and memory.
    pub limits: LimitSettings,
    /// Log levels.
    pub log: LogSettings,
}

/// `[listen]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    pub callers: SocketAddr,
    /// For operators, health checks and metrics.
    pub admin: SocketAddr,
    /// For other entry hosts.
    pub peers: SocketAddr,
}

/// `[store]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// IP address and port.
    pub address: SocketAddr,
    /// Timeout of a call.
    pub timeout: DurationMs,
}

/// `[platform]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// IP address and port.
    pub address: SocketAddr,
    /// Time between two reads of the host list.
    pub list_interval: DurationMs,
}

/// One line of `[peers]`: `NAME = DATA-CENTRE ADDRESS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Name of the entry host.
    pub entry: EntryId,
    /// Data centre of the entry host.
    pub data_centre: DataCentreId,
    /// IP address and port of its peer listener.
    pub address: SocketAddr,
}

/// `[limits]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Connections that callers may have open at once.
    pub caller_connections: u32,
    /// Time that a caller may take to send a request.
    pub receive_timeout: DurationMs,
    /// Time that a graceful stop may take.
    pub stop_deadline: DurationMs,
    /// Bytes of responses kept for retries with the same idempotency key.
    pub kept_responses_bytes: u64,
}

/// `[log]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
    /// Levels of individual log targets, such as `tamarackproxy::node`.
    pub targets: Vec<(Box<str>, log::LevelFilter)>,
}

#[cfg(test)]
mod tests;

//! Loopback addresses of one run.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use anyhow::Context;

/// Lowest second octet that is derived from the process ID; 127.0 to 127.15 are
/// left to other programs and tests.
const FIRST_NETWORK: u8 = 16;
/// Number of second octets to choose from; 127.77 is reserved for tests.
const NETWORKS: u32 = 60;
/// Last octet of the first entry host of a data centre.
const FIRST_ENTRY: u8 = 200;
/// Third octet of the store and the platform.
const PLATFORM_OCTET: u8 = 100;
/// Added to the index of a data centre for the third octet of its relays.
const RELAY_OCTET: u8 = 150;

/// Port of the store.
const STORE_PORT: u16 = 2_379;
/// Port of the platform's interface.
const PLATFORM_PORT: u16 = 2_380;

/// Loopback addresses `127.<network>.<group>.<number>`, one for each process or
/// host. The group is a data centre, its relays, or the store and the platform.
#[derive(Clone, Copy, Debug)]
pub(super) struct Layout {
    network: u8,
}

impl Layout {
    /// Uses the given network, or searches for a free one. The search starts at a
    /// network derived from the process ID, so that concurrent runs on one machine
    /// do not collide.
    pub(super) fn new(network: Option<u8>) -> anyhow::Result<Self> {
        if let Some(network) = network {
            return Ok(Self { network });
        }
        let first = std::process::id();
        let candidates = (0..NETWORKS).map(|step| Self {
            network: (first.wrapping_add(step) % NETWORKS) as u8 + FIRST_NETWORK,
        });
        let mut free = candidates.filter(|layout| TcpListener::bind(layout.platform()).is_ok());
        free.next().context("no network of loopback addresses is free; choose one with --network")
    }

    fn ip(self, group: u8, number: u8) -> IpAddr {
        Ipv4Addr::new(127, self.network, group, number).into()
    }

    /// Returns the address of a host of the fleet.
    pub(super) fn host(self, data_centre: usize, number: usize) -> IpAddr {
        self.ip(data_centre as u8 + 1, number as u8 + 1)
    }

    /// Returns the address of an entry host.
    pub(super) fn entry(self, data_centre: usize, number: usize) -> IpAddr {
        self.ip(data_centre as u8 + 1, FIRST_ENTRY + number as u8)
    }

    /// Returns the listener of the store for a data centre.
    pub(super) fn store(self, data_centre: usize) -> SocketAddr {
        SocketAddr::new(self.ip(PLATFORM_OCTET, data_centre as u8 + 1), STORE_PORT)
    }

    /// Returns the listener of the platform's interface.
    pub(super) fn platform(self) -> SocketAddr {
        SocketAddr::new(self.ip(PLATFORM_OCTET, 250), PLATFORM_PORT)
    }

    /// Returns an address for a relay in a data centre, with a free port.
    pub(super) fn relay(self, data_centre: usize) -> SocketAddr {
        SocketAddr::new(self.ip(RELAY_OCTET + data_centre as u8, 1), 0)
    }
}

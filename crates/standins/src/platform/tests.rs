//! Tests of the platform: one that reboots twice or shows changes at once is
//! kinder or harsher than the real one.

use tamarackproxy::{
    protocol::platform::{ListedHost, ListedState},
    state::ids::{DataCentreId, HostId, RackId},
};

use super::{Condition, HostEventKind, PlatformState, RebootAnswer};

const LAG_MS: u64 = 2_000;
const REBOOT_MS: u64 = 1_000;

fn platform() -> (PlatformState, HostId) {
    let host = HostId::new("h1");
    let listed = ListedHost {
        host: host.clone(),
        data_centre: DataCentreId::new("a"),
        rack: RackId::new("a-1"),
        address: "127.0.0.1".into(),
        cpu_millicores: 32_000,
        memory_bytes: 128 << 30,
        accelerators: 0,
        state: ListedState::Live,
    };
    (PlatformState::new([(listed, None)], LAG_MS, REBOOT_MS), host)
}

/// Guards against a second reboot by a repeated call, and against reboots
/// that never end.
#[test]
fn reboot_is_idempotent_by_key_and_ends() {
    let (mut platform, host) = platform();
    assert_eq!(platform.reboot(0, &host, "1"), RebootAnswer::Accepted);
    assert_eq!(platform.reboot(1, &host, "2"), RebootAnswer::NotRunning);
    platform.advance(REBOOT_MS - 1);
    assert_eq!(platform.condition(&host), Some(Condition::Rebooting { until_ms: REBOOT_MS }));
    platform.advance(REBOOT_MS);
    assert_eq!(platform.condition(&host), Some(Condition::Up));
    assert_eq!(platform.reboot(REBOOT_MS, &host, "1"), RebootAnswer::Accepted);
    let reboots = platform.events().iter();
    let reboots = reboots.filter(|event| matches!(event.kind, HostEventKind::Rebooted { .. }));
    assert_eq!(reboots.count(), 1);
}

/// Guards against a list without lag, which hides decisions on old state.
#[test]
fn announcement_is_listed_after_the_lag() {
    let (mut platform, host) = platform();
    platform.announce(100, &host, ListedState::Leaving);
    assert_eq!(platform.list(100 + LAG_MS - 1).hosts[0].state, ListedState::Live);
    assert_eq!(platform.list(100 + LAG_MS).hosts[0].state, ListedState::Leaving);
}

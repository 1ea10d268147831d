//! Tests of the distribution of scopes.

mod orders;

use super::*;

const LARGE: u32 = 500;
const SMALL: u32 = 120;

fn load(millicores: u32, pools: usize) -> ControlLoad {
    ControlLoad::new(millicores).with_scopes(vec![ScopeKind::Pool; pools])
}

/// Guards against a small host that keeps the control of a large pool after a
/// rolling restart while larger hosts control nothing.
#[test]
fn a_large_host_asks_for_a_small_ones_pool() {
    assert!(load(LARGE, 0).may_request(ScopeKind::Pool, &load(SMALL, 1)));
    assert!(load(LARGE, 1).may_request(ScopeKind::Pool, &load(SMALL, 1)));
    assert!(!load(LARGE, 2).may_request(ScopeKind::Pool, &load(SMALL, 1)));
}

/// Guards against scopes that move back and forth between equal hosts: after a
/// handover the new holder still has more processors per scope than the old one
/// had, so it is not asked in return.
#[test]
fn equal_hosts_leave_each_other_in_peace() {
    for own in 0..3 {
        for others in 1..3 {
            let may_request = load(LARGE, own).may_request(ScopeKind::Pool, &load(LARGE, others));
            let may_request_back =
                load(LARGE, others - 1).may_request(ScopeKind::Pool, &load(LARGE, own + 1));
            assert!(!(may_request && may_request_back), "{own} against {others}");
        }
    }
    assert!(!load(LARGE, 0).may_request(ScopeKind::Pool, &load(LARGE, 2)));
    assert!(load(LARGE, 0).may_request(ScopeKind::Pool, &load(LARGE, 3)));
}

/// Guards against handover requests to a holder of an earlier release, which
/// does not support them.
#[test]
fn holder_of_unknown_size_gets_no_handover_request() {
    assert!(!load(LARGE, 0).may_request(ScopeKind::Pool, &load(0, 1)));
}

/// Guards against one host that takes several pools while others have none.
#[test]
fn attempts_wait_longer_with_each_pool_and_on_small_hosts() {
    assert_eq!(load(LARGE, 0).attempt_delay_ms(), 0);
    assert_eq!(load(LARGE, 2).attempt_delay_ms(), 600);
    assert!(load(SMALL, 0).attempt_delay_ms() > load(LARGE, 1).attempt_delay_ms());
    let with_upkeep = load(LARGE, 0).with_scopes([ScopeKind::Upkeep]);
    assert!(with_upkeep.exceeds(&load(LARGE, 0)));
    assert!(with_upkeep.attempt_delay_ms() < load(LARGE, 1).attempt_delay_ms());
}

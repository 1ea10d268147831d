//! Tests of the choice of relays.

use super::*;

fn member(name: &str, millicores: u32) -> Member {
    Member {
        entry: EntryId::new(name),
        address: format!("127.0.0.1:{}", 1 + weight(&name) % 60_000).parse().expect("an address"),
        millicores,
        data_centre: DataCentreId::new("d"),
    }
}

fn names(members: &[Member]) -> Vec<&str> {
    members.iter().map(|member| member.entry.as_str()).collect()
}

/// Guards against relays for pools whose controller can make all calls itself:
/// each call would take another hop for nothing.
#[test]
fn small_pool_has_no_relay() {
    assert_eq!(relays_wanted(12, WORKERS_PER_RELAY), 0);
    assert_eq!(relays_wanted(WORKERS_PER_RELAY * DIRECT_PERCENT / 100, WORKERS_PER_RELAY), 0);
    assert!(relays_wanted(250, WORKERS_PER_RELAY) >= 4);
    assert_eq!(relays_wanted(100_000, WORKERS_PER_RELAY), RELAYS_MAX);
}

/// Guards against calls that are spread over hosts which are too small, or which
/// control a pool while others are idle.
#[test]
fn large_idle_hosts_are_chosen_first() {
    let members = [member("small", 120), member("a", 500), member("b", 500), member("c", 420)];
    let holders = HashSet::from_iter([EntryId::new("a")]);
    let chosen = choose_relays(&PoolId::new("p"), &members, &holders, &[], 4);
    assert_eq!(names(&chosen), ["b", "c", "a"]);
}

/// Guards against relays that work and are replaced because a larger process
/// joined or their entries lapsed: the calls in flight would be lost.
#[test]
fn relays_that_work_are_kept() {
    let members: Vec<Member> = (0..20).map(|index| member(&format!("e{index}"), 500)).collect();
    let pool = PoolId::new("p");
    let kept = [member("lapsed", 300).address, members[3].address];
    let added = choose_relays(&pool, &members, &HashSet::new(), &kept, 4);
    assert_eq!(added.len(), 2);
    assert!(added.iter().all(|member| !kept.contains(&member.address)));
}

/// Guards against a relay that gets most workers of a pool.
#[test]
fn workers_are_spread_evenly() {
    let mut counts = [0_usize; 4];
    for index in 0..240 {
        let relay = relay_of(&WorkerId::new(format!("w{index}")), 4).expect("there are relays");
        counts[relay] += 1;
    }
    assert!(counts.iter().all(|&count| (40..=80).contains(&count)), "{counts:?}");
    assert_eq!(relay_of(&WorkerId::new("w"), 0), None);
}

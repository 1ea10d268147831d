//! Seats of entry hosts under pauses, crashes, store outages and a restored store.

use std::collections::BTreeSet;

use rstest::rstest;
use tamarack_standins::sim::{Cluster, ClusterOptions, DocumentShape, document_text};
use tamarackproxy::coordination::seats::{SeatsAction, SeatsEvent};

const SEATS: u16 = 3;

fn cluster(data_centres: usize, entries: usize, seed: u64) -> Cluster {
    println!("seed {seed}");
    let options = ClusterOptions { data_centres, entries, seed };
    let shape = DocumentShape { data_centres, seats: SEATS, teams: 2, services: 4, callers: 4 };
    Cluster::new(options, &document_text(shape))
}

/// Starts a cluster and waits until all seats are held.
fn settled(data_centres: usize, entries: usize, seed: u64) -> Cluster {
    let mut cluster = cluster(data_centres, entries, seed);
    cluster.run_ms(8_000);
    for data_centre in 0..data_centres {
        assert_eq!(held(&cluster, data_centre), (0..SEATS).collect(), "seats after the start");
    }
    cluster
}

/// Returns the indices of the seats that running entry hosts of a data centre
/// hold.
fn held(cluster: &Cluster, data_centre: usize) -> BTreeSet<u16> {
    let nodes = (0..cluster.len()).filter(|node| cluster.data_centre(*node) == data_centre);
    let seats = nodes.filter(|node| cluster.is_running(*node)).filter_map(|n| cluster.seat(n));
    seats.map(|(index, _)| index).collect()
}

fn holder_of(cluster: &Cluster, index: u16) -> usize {
    (0..cluster.len())
        .find(|node| cluster.seat(*node).is_some_and(|(held, _)| held == index))
        .expect("the seat is held")
}

fn assert_no_sharing(cluster: &Cluster) {
    assert_eq!(cluster.observations.shared_seats, 0, "a seat was used by two entry hosts at once");
    assert_eq!(cluster.observations.falling_terms, 0, "a term did not increase");
}

fn actions_of(cluster: &Cluster, node: usize) -> Vec<&SeatsAction> {
    let actions = cluster.observations.seat_actions.iter();
    actions.filter(|(_, at, _)| *at == node).map(|(_, _, action)| action).collect()
}

/// Guards against entry hosts that start at the same time and block each other
/// or share a seat.
#[rstest]
fn seats_are_all_held_once_after_the_start(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let cluster = settled(2, 4, seed);
    assert_no_sharing(&cluster);
}

/// Guards against a seat that stays vacant after its holder crashed, or is taken
/// over before the holder's lease can have expired.
#[rstest]
fn seats_of_a_dead_holder_are_taken_over(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(1, 4, seed);
    let (node, (index, term)) = (0..4).find_map(|n| Some((n, cluster.seat(n)?))).expect("held");
    let died_us = cluster.now_us();
    cluster.kill(node);
    assert!(cluster.run_until(17_000, |c| held(c, 0).len() == usize::from(SEATS)));
    let successor = holder_of(&cluster, index);
    assert!(cluster.seat(successor).expect("held").1 > term);
    assert!(cluster.now_us() - died_us >= 6_000_000, "the lease cannot have expired yet");
    assert_no_sharing(&cluster);
}

/// Guards against a holder that continues to use its seat after a pause in which
/// another entry host took it over.
#[rstest]
fn seats_of_a_paused_holder_are_not_used_after_takeover(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = settled(1, 4, seed);
    let node = holder_of(&cluster, 1);
    cluster.pause(node, 40_000);
    assert!(cluster.run_until(30_000, |c| held(c, 0).len() == usize::from(SEATS)));
    cluster.run_ms(30_000);
    assert!(cluster.is_running(node));
    let actions = actions_of(&cluster, node);
    let suspended = actions.iter().position(|a| matches!(a, SeatsAction::SeatSuspended));
    let lost = actions.iter().position(|a| matches!(a, SeatsAction::SeatLost));
    assert!(suspended.is_some() && suspended < lost, "suspended after the pause, then lost");
    assert_no_sharing(&cluster);
}

/// Guards against takeovers from live holders whose leases expired during a
/// store outage, both in the outage and after it.
#[rstest]
fn seats_keep_their_holders_through_an_outage(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(2, 4, seed);
    let before: Vec<_> = (0..cluster.len()).map(|node| cluster.seat(node)).collect();
    cluster.faults.store_down = true;
    cluster.run_ms(60_000);
    let detached = |c: &Cluster| {
        let is_detached = |node| {
            let last = actions_of(c, node).into_iter().rev().find_map(|action| match action {
                SeatsAction::DetachedChanged { detached } => Some(*detached),
                _ => None,
            });
            last.unwrap_or(false)
        };
        (0..c.len()).filter(|node| is_detached(*node)).count()
    };
    assert_eq!(detached(&cluster), cluster.len(), "all report detached mode");
    let during: Vec<_> = (0..cluster.len()).map(|node| cluster.seat(node)).collect();
    assert_eq!(during, before, "seats during the outage");
    cluster.faults.store_down = false;
    cluster.run_ms(20_000);
    let after: Vec<_> = (0..cluster.len()).map(|node| cluster.seat(node)).collect();
    assert_eq!(after, before, "holders and terms after the outage");
    assert_eq!(detached(&cluster), 0, "detached mode ends");
    assert_no_sharing(&cluster);
}

/// Guards against a suspension that never ends: a paused holder resumes once a
/// peer or the store confirms its term, in detached mode as well.
#[rstest]
fn seats_resume_after_a_short_pause(
    #[values(1, 2)] seed: u64,
    #[values(false, true)] store_down: bool,
) {
    let mut cluster = settled(1, 3, seed);
    cluster.run_ms(20_000);
    cluster.faults.store_down = store_down;
    cluster.run_ms(20_000);
    let node = holder_of(&cluster, 0);
    let seat = cluster.seat(node);
    cluster.pause(node, 2_500);
    cluster.run_ms(2_000);
    assert!(cluster.run_until(3_000, |c| c.is_running(node) && c.seat(node) == seat));
    let actions = actions_of(&cluster, node);
    assert!(actions.iter().any(|action| matches!(action, SeatsAction::SeatSuspended)));
    assert_no_sharing(&cluster);
}

/// Guards against two users of a seat when its paused holder resumes during a
/// store outage that began after the takeover.
#[rstest]
fn seats_taken_over_are_not_resumed_in_detached_mode(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(1, 4, seed);
    let node = holder_of(&cluster, 2);
    cluster.pause(node, 45_000);
    assert!(cluster.run_until(30_000, |c| held(c, 0).len() == usize::from(SEATS)));
    cluster.faults.store_down = true;
    cluster.run_ms(40_000);
    assert!(cluster.is_running(node));
    assert_eq!(cluster.seat(node), None);
    assert_no_sharing(&cluster);
}

/// Guards against terms that decrease, or seats that are lost, when the store is
/// restored from a backup.
#[rstest]
fn seats_survive_a_restored_store(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = cluster(1, 4, seed);
    cluster.run_ms(1_200);
    let backup = cluster.store.snapshot();
    cluster.run_ms(30_000);
    cluster.restore_store(backup);
    cluster.run_ms(30_000);
    assert_eq!(held(&cluster, 0), (0..SEATS).collect());
    assert_no_sharing(&cluster);
}

/// Guards against an entry host that acquires two seats, or none, when replies
/// are lost after the write took effect.
#[rstest]
fn seats_are_acquired_with_lost_replies(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = cluster(1, 4, seed);
    cluster.faults.lost_replies = 0.2;
    cluster.run_ms(60_000);
    assert_eq!(held(&cluster, 0), (0..SEATS).collect());
    assert_no_sharing(&cluster);
}

/// Guards against a next holder that waits for the previous one to be silent
/// although that one released the seat: a roll-out would leave each share idle
/// for 16 s.
#[rstest]
fn seats_released_on_a_stop_are_free_at_once(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(1, 4, seed);
    let node = holder_of(&cluster, 0);
    cluster.seats_event(node, SeatsEvent::Stopping);
    cluster.run_ms(500);
    cluster.seats_event(node, SeatsEvent::Release);
    assert!(cluster.run_until(500, |c| {
        actions_of(c, node).iter().any(|action| matches!(action, SeatsAction::Released))
    }));
    // The entry host stops responding but still accepts connections.
    cluster.pause(node, 600_000);
    assert!(cluster.run_until(6_000, |c| held(c, 0).len() == usize::from(SEATS)));
    assert_no_sharing(&cluster);
}

/// Guards against a data centre that knows no live gateway of the other data
/// centres after its own gateway or theirs crashed. Gateways spare the entry hosts
/// heartbeats to every other entry host of the fleet.
#[rstest]
fn seats_gateways_change_after_deaths(#[values(1, 2)] seed: u64) {
    let mut cluster = settled(3, 3, seed);
    cluster.run_ms(8_000);
    let complete = |c: &Cluster| {
        (0..c.len()).filter(|node| c.is_running(*node)).all(|node| {
            let live = c.gateways(node).iter().filter(|(_, gateway)| {
                (0..c.len()).any(|n| {
                    c.is_running(n) && format!("e{:02}-{}", n / 3, n % 3) == gateway.as_str()
                })
            });
            live.count() == 2
        })
    };
    assert!(complete(&cluster), "every node knows a live gateway of both others");
    for data_centre in 0..2 {
        let lowest = (0..cluster.len()).find(|node| {
            cluster.data_centre(*node) == data_centre
                && cluster.seat(*node).is_some_and(|(index, _)| index == 0)
        });
        cluster.kill(lowest.expect("seat 0 is held"));
    }
    assert!(cluster.run_until(15_000, complete));
}

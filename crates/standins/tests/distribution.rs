//! Distribution of revisions and host records under network partitions, crashes
//! and lost messages.

mod common;

use common::{document_positions_agree, put_through, settled};
use rstest::rstest;
use tamarack_standins::sim::{Cluster, MEMBER_A, service_edit};
use tamarackproxy::{
    coordination::configuration::Position,
    state::{
        ids::{DataCentreId, HostId, PoolId, RackId, Term},
        records::{HostPhase, HostRecord, RecentOperations},
    },
};

/// Time within which an accepted revision must be in force, in milliseconds.
const IN_FORCE_MS: u64 = 6_000;

fn put(cluster: &mut Cluster, node: usize, limit: u32) -> Position {
    let base = cluster.position(node).revision;
    let edit = vec![service_edit(0, limit, base)];
    put_through(cluster, node, MEMBER_A, edit).expect("accepted")
}

fn all_have(cluster: &Cluster, position: Position) -> bool {
    let running = (0..cluster.len()).filter(|node| cluster.is_running(*node));
    running.map(|node| cluster.position(node)).all(|found| found == position)
}

fn watcher(cluster: &Cluster, data_centre: usize) -> usize {
    (0..cluster.len())
        .find(|node| cluster.data_centre(*node) == data_centre && cluster.is_watcher(*node))
        .expect("a watcher")
}

fn write_host(cluster: &mut Cluster, name: &str, phase: HostPhase) {
    let record = HostRecord {
        host: HostId::new(name),
        data_centre: DataCentreId::new("dc00"),
        rack: RackId::new("r1"),
        address: "10.1.0.1".into(),
        pool: PoolId::new("p0"),
        next_pool: None,
        phase,
        term: Term(1),
        phase_since_unix_ms: 0,
        operations: RecentOperations::default(),
    };
    let value = serde_json::to_vec(&record).expect("encodes");
    cluster.write_record(&format!("host/{name}"), value.into());
}

/// Guards against entry hosts that keep an old revision when 30% of the messages
/// between entry hosts are lost.
#[rstest]
fn configuration_reaches_all_nodes_when_messages_are_lost(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = settled(3, 4, seed);
    cluster.faults.lost_messages = 0.3;
    for limit in 1..=10 {
        let position = put(&mut cluster, limit as usize, limit);
        assert!(cluster.run_until(IN_FORCE_MS - 1_000, |c| all_have(c, position)));
    }
    assert_eq!(cluster.observations.reverts, 0);
}

/// Guards against a data centre that keeps an old revision when the writer and
/// the data centre's watcher crash before either has forwarded the new one.
#[rstest]
fn configuration_survives_the_death_of_writer_and_watcher(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = settled(1, 4, seed);
    let watching = watcher(&cluster, 0);
    let writer = (0..4).find(|node| *node != watching).expect("another node");
    let before = cluster.position(writer);
    cluster.put(writer, MEMBER_A, vec![service_edit(0, 77, before.revision)]);
    let accepted = Position { revision: before.revision.next(), ..before };
    while !cluster.observations.accepted_us.contains_key(&accepted) {
        cluster.run_ms(1);
    }
    cluster.kill(writer);
    cluster.kill(watching);
    assert!(cluster.run_until(IN_FORCE_MS, |c| all_have(c, accepted)));
    cluster.run_ms(30_000);
    document_positions_agree(&cluster);
    watcher(&cluster, 0);
}

/// Guards against a data centre that has no connection to the store and does not
/// get revisions and host records from the other data centres.
#[rstest]
fn configuration_is_relayed_to_a_data_centre_without_platform(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(3, 3, seed);
    cluster.faults.without_platform.insert(1);
    cluster.run_ms(30_000);
    let position = put(&mut cluster, 0, 5);
    assert!(cluster.run_until(IN_FORCE_MS - 1_000, |c| all_have(c, position)));
    write_host(&mut cluster, "h1", HostPhase::Draining);
    let version = |c: &Cluster, node| c.fleet_version(node);
    assert!(cluster.run_until(IN_FORCE_MS, |c| {
        version(c, 0) > 1 && (0..c.len()).all(|node| version(c, node) == version(c, 0))
    }));
}

/// Guards against a data centre without connection to its peers that does not
/// get a revision although it can read it from the store.
#[rstest]
fn configuration_reaches_a_data_centre_without_peers(#[values(1, 2)] seed: u64) {
    let mut cluster = settled(3, 3, seed);
    cluster.faults.isolated.insert(1);
    cluster.run_ms(30_000);
    let position = put(&mut cluster, 0, 5);
    assert!(cluster.run_until(IN_FORCE_MS - 1_000, |c| all_have(c, position)));
}

/// Guards against a data centre that returns to an older revision, or needs more
/// than 6 s for the newest one, after it was partitioned from peers and store.
#[rstest]
fn configuration_catches_up_after_a_full_partition(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(5_000, 120_000)] partition_ms: u64,
) {
    let mut cluster = settled(3, 3, seed);
    cluster.faults.without_platform.insert(1);
    cluster.faults.isolated.insert(1);
    cluster.interrupt_watches(|data_centre| data_centre == 1);
    cluster.run_ms(partition_ms);
    let old = cluster.position(4);
    let position = put(&mut cluster, 0, 5);
    cluster.run_ms(5_000);
    assert_eq!(cluster.position(4), old, "a partitioned entry host keeps its revision");
    assert!(cluster.is_ready(4), "a partitioned entry host stays ready");
    cluster.faults.without_platform.clear();
    cluster.faults.isolated.clear();
    assert!(cluster.run_until(IN_FORCE_MS, |c| all_have(c, position)));
    assert_eq!(cluster.observations.reverts, 0);
}

/// Guards against an entry host that, restarted while the store is down, reports
/// itself ready before it has the newest revision of its peers.
#[rstest]
fn configuration_restarted_host_is_ready_from_peers(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(2, 3, seed);
    let position = put(&mut cluster, 0, 5);
    cluster.run_ms(2_000);
    cluster.faults.store_down = true;
    cluster.kill(1);
    cluster.run_ms(1_000);
    cluster.restart(1);
    assert!(!cluster.is_ready(1));
    assert!(cluster.run_until(IN_FORCE_MS, |c| c.is_ready(1)));
    assert_eq!(cluster.position(1), position);
}

/// Guards against an entry host that reports itself ready without a document.
#[test]
fn configuration_host_without_store_and_peers_is_not_ready() {
    let mut cluster = settled(1, 1, 1);
    cluster.faults.store_down = true;
    cluster.kill(0);
    cluster.restart(0);
    cluster.run_ms(60_000);
    assert!(!cluster.is_ready(0));
    cluster.faults.store_down = false;
    assert!(cluster.run_until(20_000, |c| c.is_ready(0)), "after the outage");
}

/// Guards against an entry host that returns to, or keeps, an old revision after
/// a pause.
#[rstest]
fn configuration_paused_node_catches_up(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(2, 3, seed);
    let node = watcher(&cluster, 1);
    cluster.pause(node, 30_000);
    let positions = [put(&mut cluster, 0, 1), put(&mut cluster, 0, 2)];
    cluster.run_ms(28_000);
    assert!(cluster.run_until(IN_FORCE_MS, |c| all_have(c, positions[1])));
    assert_eq!(cluster.observations.reverts, 0);
}

/// Guards against watches that accumulate over crashes and restarts: each data
/// centre keeps two.
#[rstest]
fn configuration_watches_stay_at_two_per_data_centre(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(2, 4, seed);
    for round in 0..6 {
        let node = watcher(&cluster, round % 2);
        cluster.kill(node);
        cluster.run_ms(25_000);
        cluster.restart(node);
        cluster.run_ms(15_000);
        assert_eq!(cluster.watches(), 4, "after round {round}");
    }
}

/// Events per second that each entry host may cause in an outage. Each of four
/// timers (seat, listing, control lease, watch) retries about once a second, with
/// two events per retry: the tick and the failure of the call.
const RETRY_EVENTS_PER_SECOND: u64 = 10;

/// Guards against timers that fire in a busy loop during an outage, which caused
/// 60 times the events of normal operation.
#[rstest]
fn configuration_outage_causes_few_events(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(2, 4, seed);
    let events_of = |cluster: &mut Cluster| {
        let before = cluster.events();
        cluster.run_ms(60_000);
        cluster.events() - before
    };
    let at_rest = events_of(&mut cluster);
    cluster.faults.store_down = true;
    cluster.interrupt_watches(|_| true);
    let during = events_of(&mut cluster);
    let allowed = at_rest + 60 * RETRY_EVENTS_PER_SECOND * cluster.len() as u64;
    assert!(during <= allowed, "{during} events in the outage, {at_rest} at rest");
}

/// Guards against host records that miss changes or removals when messages are
/// lost and an entry host restarts in between.
#[rstest]
fn configuration_host_records_agree(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(2, 4, seed);
    cluster.faults.lost_messages = 0.2;
    for round in 0..1_200 {
        write_host(&mut cluster, &format!("h{round}"), HostPhase::Active);
        if round % 100 == 0 {
            cluster.run_ms(200);
        }
    }
    cluster.kill(3);
    for round in 0..40 {
        write_host(&mut cluster, &format!("h{round}"), HostPhase::Failed);
        cluster.remove_record(&format!("host/h{}", 500 + round));
        cluster.run_ms(100);
    }
    cluster.restart(3);
    cluster.faults.lost_messages = 0.0;
    cluster.run_ms(8_000);
    let expected = cluster.records(0);
    assert_eq!(expected.len(), 1_160);
    assert_eq!(expected.iter().filter(|(_, r)| r.phase == HostPhase::Failed).count(), 40);
    for node in 1..cluster.len() {
        assert!(cluster.records(node) == expected, "records of node {node}");
    }
}

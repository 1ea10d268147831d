//! Helpers of the tests that simulate a cluster of entry hosts.
#![allow(dead_code)]

use serde::de::DeserializeOwned;
use tamarack_standins::sim::{
    Cluster, ClusterOptions, DocumentShape, MEMBER_A, MEMBER_B, document_text,
};
use tamarackproxy::coordination::configuration::{Position, PutError, SectionEdit};

/// Starts a cluster and waits until every entry host is ready and each data
/// centre has one watcher.
pub fn settled(data_centres: usize, entries: usize, seed: u64) -> Cluster {
    println!("seed {seed}");
    let options = ClusterOptions { data_centres, entries, seed };
    let seats = entries as u16;
    let shape = DocumentShape { data_centres, seats, teams: 2, services: 4, callers: 4 };
    let text = document_text(shape);
    let mut cluster = Cluster::new(options, &text);
    cluster.run_ms(15_000);
    assert!((0..cluster.len()).all(|node| cluster.is_ready(node)), "all are ready");
    for data_centre in 0..data_centres {
        let local = (0..cluster.len()).filter(|node| cluster.data_centre(*node) == data_centre);
        assert_eq!(local.filter(|node| cluster.is_watcher(*node)).count(), 1, "one watcher");
    }
    cluster
}

/// Puts edits through an entry host and returns the result after one second.
pub fn put_through(
    cluster: &mut Cluster,
    node: usize,
    team: &str,
    edits: Vec<SectionEdit>,
) -> Result<Position, PutError> {
    let call = cluster.put(node, team, edits);
    cluster.run_ms(1_000);
    cluster.observations.puts[&call].result.clone()
}

/// Reads a record from the store.
pub fn value_of<R>(cluster: &Cluster, key: &str) -> R
where
    R: DeserializeOwned,
{
    let value = cluster.store.value(key).unwrap_or_else(|| panic!("{key} exists"));
    serde_json::from_slice(value).expect("decodes")
}

/// Asserts that the newest accepted position is in force on all running entry
/// hosts.
pub fn document_positions_agree(cluster: &Cluster) {
    let accepted = *cluster.observations.accepted_us.keys().next_back().expect("accepted");
    for node in (0..cluster.len()).filter(|node| cluster.is_running(*node)) {
        assert_eq!(cluster.position(node), accepted, "position on node {node}");
    }
    assert_eq!(cluster.observations.reverts, 0);
}

/// Returns the team that owns the sections of a service.
pub fn owner_of(service: usize) -> &'static str {
    if service.is_multiple_of(2) { MEMBER_A } else { MEMBER_B }
}

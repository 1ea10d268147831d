//! Tests of the choice of connections that give way.

use super::*;

/// Creates a full set with the connections 0, 1 and 2.
fn full() -> (Connections<u32>, [ConnectionKey; 3]) {
    let mut connections = Connections::new(3);
    let keys = [0, 1, 2].map(|handle| connections.insert(handle));
    assert!(connections.is_full());
    (connections, keys)
}

/// Guards against a crowd of incomplete requests that takes all places.
#[test]
fn oldest_incomplete_request_gives_way_first() {
    let (mut connections, [_, second, third]) = full();
    connections.set_activity(third, Activity::Receiving);
    connections.set_activity(second, Activity::Receiving);
    let order = [(); 4].map(|()| connections.take_replaceable());
    assert_eq!(order, [Some(2), Some(1), Some(0), None]);
    assert!(!connections.is_full());
}

/// Guards against callers that lose the connection that they have just used.
#[test]
fn connection_that_was_idle_for_longest_gives_way() {
    let (mut connections, [first, ..]) = full();
    connections.set_activity(first, Activity::Serving);
    connections.set_activity(first, Activity::Idle);
    assert_eq!(connections.take_replaceable(), Some(1));
}

/// Guards against whole requests that are cut off for new connections.
#[test]
fn served_request_does_not_give_way() {
    let (mut connections, keys) = full();
    for key in keys {
        connections.set_activity(key, Activity::Serving);
    }
    assert_eq!(connections.take_replaceable(), None);
    connections.remove(keys[1]);
    assert!(!connections.is_full());
}

/// Guards against a connection that has given way and takes a place again.
#[test]
fn ended_connection_is_forgotten() {
    let (mut connections, [first, second, _]) = full();
    assert_eq!(connections.take_replaceable(), Some(0));
    connections.set_activity(first, Activity::Receiving);
    connections.remove(first);
    assert_eq!(connections.take_replaceable(), Some(1));
    connections.remove(second);
    assert_eq!(connections.take_replaceable(), Some(2));
}

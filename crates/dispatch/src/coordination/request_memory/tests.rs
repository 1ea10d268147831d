//! Tests of the account of the memory that requests hold.

use rstest::rstest;

use super::*;

const KIB: usize = 1 << 10;
const LIMIT: ByteCount = ByteCount(1_024 * KIB);
const BODY_MAX: ByteCount = ByteCount(256 * KIB);

/// Begins a body and receives a part of it.
fn begin(memory: &RequestMemory, bytes: usize) -> (IncompleteBody, Result<(), BodyError>) {
    let mut body = memory.begin(BODY_MAX);
    let result = body.push(&vec![1; bytes]);
    (body, result)
}

fn is_ended(body: &mut IncompleteBody) -> bool {
    body.end.try_recv() == Err(oneshot::error::TryRecvError::Closed)
}

/// Guards against bodies whose sum exceeds the memory.
#[rstest]
#[case::at_once(256 * KIB)]
#[case::in_large_parts(16 * KIB)]
#[case::in_small_parts(7)]
fn sum_of_bodies_is_bounded(#[case] part_bytes: usize) {
    let memory = RequestMemory::new(LIMIT);
    let part = vec![1; part_bytes];
    let mut bodies: Vec<_> = (0..50).map(|_| memory.begin(BODY_MAX)).collect();
    for _ in 0..256 * KIB / part_bytes {
        for body in &mut bodies {
            // Some bodies are ended for others.
            let _ = body.push(&part);
        }
        assert!(memory.held() <= LIMIT, "{:?}", memory.held());
    }
    bodies.clear();
    assert_eq!(memory.held(), ByteCount(0));
}

/// Guards against a body in small parts that holds much more than its content.
#[test]
fn small_parts_share_a_buffer() {
    let memory = RequestMemory::new(LIMIT);
    let mut body = memory.begin(BODY_MAX);
    (0..10_000).for_each(|_| body.push(b"x").expect("there is memory"));
    assert!(memory.held() <= ByteCount(20_000), "{:?}", memory.held());
    let whole = body.finish().expect("there is memory");
    assert_eq!(whole.bytes().len(), 10_000);
}

/// Guards against a crowd that keeps small requests out: the oldest of its
/// largest bodies gives way.
#[test]
fn largest_and_oldest_incomplete_body_gives_way() {
    let memory = RequestMemory::new(LIMIT);
    let (mut small, _) = begin(&memory, 128 * KIB);
    let mut crowd: Vec<_> = (0..2).map(|_| begin(&memory, 256 * KIB).0).collect();
    let (_newcomer, result) = begin(&memory, 256 * KIB);
    assert_eq!(result, Ok(()));
    assert!(is_ended(&mut crowd[0]));
    assert!(!is_ended(&mut crowd[1]));
    assert!(!is_ended(&mut small));
    assert_eq!(crowd[0].push(b"x"), Err(BodyError::Exhausted));
}

/// Guards against a large body for which smaller ones are ended.
#[test]
fn body_that_would_hold_the_most_is_rejected() {
    let memory = RequestMemory::new(LIMIT);
    let mut crowd: Vec<_> = (0..12).map(|_| begin(&memory, 64 * KIB).0).collect();
    let (_large, result) = begin(&memory, 200 * KIB);
    assert_eq!(result, Err(BodyError::Exhausted));
    assert!(!crowd.iter_mut().any(is_ended));
    let held = memory.held();
    assert_eq!(held, ByteCount(768 * KIB), "the rejected body holds nothing");
}

/// Guards against ordinary callers that are refused while a crowd holds all of
/// the memory and returns at once.
#[test]
fn small_whole_request_gets_through_a_returning_crowd() {
    let memory = RequestMemory::new(LIMIT);
    let mut crowd: Vec<_> = (0..20).map(|_| begin(&memory, 256 * KIB).0).collect();
    for round in 0..100 {
        let (small, result) = begin(&memory, 4 * KIB);
        assert_eq!(result, Ok(()), "round {round}");
        assert!(small.finish().is_ok(), "round {round}");
        crowd.rotate_left(1);
        crowd[0] = begin(&memory, 256 * KIB).0;
    }
}

/// Guards against large requests that wait for a slow store and keep small ones
/// out.
#[test]
fn large_whole_requests_leave_room_for_small_ones() {
    let memory = RequestMemory::new(LIMIT);
    let bodies = (0..50).filter_map(|_| begin(&memory, 100 * KIB).0.finish().ok());
    let large: Vec<_> = bodies.collect();
    assert!(!large.is_empty());
    let (small, result) = begin(&memory, 4 * KIB);
    assert_eq!(result, Ok(()));
    let small = small.finish().expect("room is left");
    drop((large, small));
    assert_eq!(memory.held(), ByteCount(0));
}

/// Guards against whole requests that are ended or forgotten while they are
/// served.
#[test]
fn whole_request_holds_memory_until_it_is_dropped() {
    let memory = RequestMemory::new(LIMIT);
    let whole = begin(&memory, 8 * KIB).0.finish().expect("there is memory");
    assert_eq!(memory.held(), ByteCount(COPIES * 8 * KIB));
    let _crowd: Vec<_> = (0..20).map(|_| begin(&memory, 256 * KIB).0).collect();
    assert_eq!(whole.bytes().len(), 8 * KIB);
    drop(whole);
    assert!(memory.held() <= LIMIT);
}

/// Guards against a body beyond its own limit.
#[test]
fn too_large_body_is_rejected() {
    let memory = RequestMemory::new(LIMIT);
    let mut body = memory.begin(ByteCount(10));
    assert_eq!(body.push(&[1; 10]), Ok(()));
    assert_eq!(body.push(&[1]), Err(BodyError::TooLarge));
}

/// Guards against decoded requests whose sum exceeds the memory.
#[test]
fn what_decoded_requests_take_is_bounded() {
    let memory = RequestMemory::new(LIMIT);
    let _crowd: Vec<_> = (0..20).map(|_| begin(&memory, 256 * KIB).0).collect();
    let extra = ByteCount(150 * KIB);
    let held: Vec<_> = (0..20).map_while(|_| memory.reserve(extra).ok()).collect();
    assert_eq!(held.len(), 5);
    assert!(memory.held() <= LIMIT);
    drop(held);
    assert_eq!(memory.held(), ByteCount(0));
}

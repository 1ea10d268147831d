//! Tests of forwarded requests, over loopback connections.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use rstest::rstest;
use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{AccountId, DataCentreId, EntryId, PoolId, QueueId},
    transport::peer_stream::send_all,
};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
};

use super::{
    super::{
        callers::{CallerResponse, RequestError},
        clock,
        fake::{Reach, StoredValues, Workers, block_on, shared_with},
        platform::Transaction,
        queues, relay,
        requests::{self, ReceivedRequest},
        shared::Shared,
    },
    message::{ForwardMessage, Forwarded, MessageError},
    peers::read_peers,
};
use crate::{
    coordination::{
        forwarding::IN_FLIGHT_MAX,
        relay::Member,
        request_memory::{ByteCount, RequestMemory, WholeBody},
    },
    state::{
        AccountSettings, Accounts, CallerKey, JobNumber, JobRecord, KeyHasher, QueueSettings,
        ServingDocument, decode,
    },
};

const KEY: &str = "secret-of-the-account";
const JOB: &str = "/q/00000000000000aa";

/// A process of the test.
struct Process {
    shared: Rc<Shared<Workers>>,
    reach: Rc<Cell<Reach>>,
    transactions: Rc<RefCell<Vec<Transaction>>>,
    address: SocketAddr,
}

fn queue(name: &str, is_public: bool) -> QueueSettings {
    QueueSettings {
        queue: QueueId::new(name),
        authority: "a.example".into(),
        path_prefix: format!("/{name}/").into(),
        pool: PoolId::new("p"),
        priority: 0,
        attempts_max: 2,
        stretch: 1.6,
        objective_ms: 600,
        advice: None,
        is_public,
    }
}

fn document(hasher: &KeyHasher, keys: &[&str]) -> ServingDocument {
    let account = AccountSettings {
        account: AccountId::new("acme"),
        keys: keys.iter().map(|key| hasher.digest(key)).collect(),
        weight: 1.0,
        limit: Resources::default(),
    };
    let queues = vec![queue("q", false)];
    let accounts = Some(Accounts::new(vec![account]));
    ServingDocument { queues, accounts, ..ServingDocument::default() }
}

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn member(name: &str, address: SocketAddr) -> Member {
    let (entry, data_centre) = (EntryId::new(name), DataCentreId::new("a"));
    Member { entry, address, millicores: 500, data_centre }
}

impl Process {
    /// Starts a process with the configuration in force. It has last reached the
    /// store before it was started if `reach` allows no call.
    async fn start(name: &str, stored: &StoredValues, reach: Reach) -> Self {
        let process = Self::start_without_configuration(name, stored, reach).await;
        process.set_keys(&[KEY]);
        process
    }

    async fn start_without_configuration(name: &str, stored: &StoredValues, reach: Reach) -> Self {
        let platform = Workers { stored: Rc::clone(stored), ..Workers::default() };
        let (transactions, reaches) =
            (Rc::clone(&platform.transactions), Rc::clone(&platform.reach));
        reaches.set(reach);
        let shared = shared_with(platform, |settings| settings.entry = EntryId::new(name));
        if matches!(reach, Reach::Up | Reach::RepliesLost) {
            shared.read("any").await.expect("the store answers");
            // The writes of a test are those of its jobs.
            let reach = reaches.replace(Reach::Up);
            queues::prepare(&shared, &queue("q", false)).await.expect("the store answers");
            reaches.set(reach);
            transactions.borrow_mut().clear();
        }
        let address = relay::listen(Rc::clone(&shared), any_port()).await.expect("a free port");
        Self { shared, reach: reaches, transactions, address }
    }

    fn set_keys(&self, keys: &[&str]) {
        let document = document(&self.shared.platform.key_hasher, keys);
        self.shared.document.send_replace(Some(Rc::new(document)));
    }

    fn know(&self, peers: &[&Self]) {
        let peers =
            peers.iter().map(|peer| member(peer.shared.settings.entry.as_str(), peer.address));
        self.shared.forwarder.set_peers(peers.collect());
    }

    /// Answers a request of a caller that waits for `timeout_ms`.
    async fn answer_within(&self, method: Method, path: &str, timeout_ms: u64) -> CallerResponse {
        let request = ReceivedRequest {
            method: &method,
            authority: "a.example",
            path,
            key: Some(CallerKey::new(KEY)),
            request_id: "r-1",
            body: Bytes::new(),
            received_ms: clock::read().monotonic_ms,
            timeout_ms: Some(timeout_ms),
        };
        requests::answer(&self.shared, &request).await.response
    }

    async fn answer(&self, method: Method) -> CallerResponse {
        self.answer_within(method, JOB, 3_000).await
    }

    fn writes(&self) -> usize {
        self.transactions.borrow().len()
    }
}

fn not_accepted(response: &CallerResponse) -> bool {
    matches!(response, CallerResponse::NotAccepted { .. })
}

/// Accepts connections and passes them on; counts them.
async fn count_connections(target: SocketAddr) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind(any_port()).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let count = Rc::new(Cell::new(0));
    let counted = Rc::clone(&count);
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counted.set(counted.get() + 1);
            tokio::task::spawn_local(async move {
                if let Ok(mut target) = TcpStream::connect(target).await {
                    // Either side may end the connection.
                    let _ = copy_bidirectional(&mut stream, &mut target).await;
                }
            });
        }
    });
    (address, count)
}

/// Peer that reads each request and then ends the connection.
async fn losing_peer() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = h2::server::handshake(stream).await.expect("a handshake");
            let accepted = connection.accept().await;
            drop(accepted.expect("a request").expect("a request"));
        }
    });
    address
}

/// Guards against callers that are turned away by a process behind a cut
/// although another process reaches the store, and against jobs that lose their
/// account on the way.
#[test]
fn both_sides_of_a_cut_serve_callers() {
    block_on(async {
        let stored = StoredValues::default();
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let whole = Process::start("a-2", &stored, Reach::Up).await;
        cut.know(&[&whole]);
        whole.know(&[&cut]);
        assert_eq!(cut.answer(Method::POST).await, CallerResponse::Accepted);
        assert_eq!(cut.writes(), 0);
        let key = JobRecord::key("p", JobNumber(0xaa));
        let record: JobRecord = decode(&stored.borrow()[&key].value).expect("a record");
        assert_eq!(record.account, Some(AccountId::new("acme")));
        let waiting = CallerResponse::State { has_started: false, outcome: None };
        assert_eq!(cut.answer(Method::GET).await, waiting);
        assert_eq!(whole.answer(Method::GET).await, waiting);
        assert_eq!(cut.answer_within(Method::GET, "/q/", 3_000).await, CallerResponse::Waiting(0));
        assert_eq!(cut.answer(Method::DELETE).await, CallerResponse::Cancelled);
        let missing = "/q/00000000000000bb";
        let answer = cut.answer_within(Method::GET, missing, 3_000).await;
        assert_eq!(answer, CallerResponse::NoSuchJob);
    });
}

/// Guards against a process that reaches the store and still asks its peers.
#[test]
fn process_with_the_store_asks_no_peer() {
    block_on(async {
        let stored = StoredValues::default();
        let whole = Process::start("a-1", &stored, Reach::Up).await;
        let peer = Process::start("a-2", &stored, Reach::Up).await;
        let (address, connections) = count_connections(peer.address).await;
        whole.shared.forwarder.set_peers(vec![member("a-2", address)]);
        assert_eq!(whole.answer(Method::POST).await, CallerResponse::Accepted);
        whole.answer(Method::GET).await;
        whole.answer(Method::DELETE).await;
        // A refusal of the store is an answer too.
        whole.reach.set(Reach::Throttled);
        let other = whole.answer_within(Method::POST, "/q/00000000000000bb", 3_000).await;
        assert!(not_accepted(&other), "{other:?}");
        assert_eq!(connections.get(), 0);
    });
}

/// Guards against a connection for each request, and against a peer that answers
/// requests one after the other.
#[test]
fn requests_share_a_connection() {
    block_on(async {
        let stored = StoredValues::default();
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let peer = Process::start("a-2", &stored, Reach::Up).await;
        let (address, connections) = count_connections(peer.address).await;
        cut.shared.forwarder.set_peers(vec![member("a-2", address)]);
        let (first, second) = tokio::join!(
            cut.answer_within(Method::POST, "/q/0000000000000001", 3_000),
            cut.answer_within(Method::POST, "/q/0000000000000002", 3_000)
        );
        assert_eq!((first, second), (CallerResponse::Accepted, CallerResponse::Accepted));
        assert_eq!(cut.answer(Method::POST).await, CallerResponse::Accepted);
        assert_eq!(connections.get(), 1);
    });
}

/// Guards against requests that go from one process to the next: the peer has a
/// peer with the store, which must not be asked.
#[rstest]
#[case::without_the_store(Reach::Cut)]
#[case::writes_without_replies(Reach::RepliesLost)]
fn no_chain_forms(#[case] reach: Reach) {
    block_on(async {
        let stored = StoredValues::default();
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let middle = Process::start("a-2", &stored, reach).await;
        let last = Process::start("a-3", &StoredValues::default(), Reach::Up).await;
        cut.know(&[&middle]);
        let (address, connections) = count_connections(last.address).await;
        middle.shared.forwarder.set_peers(vec![member("a-3", address)]);
        cut.answer(Method::POST).await;
        cut.answer(Method::GET).await;
        assert_eq!((connections.get(), last.writes()), (0, 0));
    });
}

/// Guards against a request that ends at a peer behind the same cut, and against
/// "unknown" where nothing was sent.
#[test]
fn peer_without_the_store_is_passed_over() {
    block_on(async {
        let stored = StoredValues::default();
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let other = Process::start("a-2", &stored, Reach::Cut).await;
        let whole = Process::start("a-3", &stored, Reach::Up).await;
        cut.know(&[&other]);
        let answer = cut.answer(Method::POST).await;
        assert!(not_accepted(&answer), "{answer:?}");
        cut.know(&[&other, &whole]);
        for number in 0..4 {
            let path = format!("/q/000000000000000{number}");
            let answer = cut.answer_within(Method::POST, &path, 3_000).await;
            assert_eq!(answer, CallerResponse::Accepted);
        }
        assert_eq!((cut.writes(), other.writes()), (0, 0));
    });
}

/// Guards against a peer whose store hangs and that uses up the caller's time,
/// and against "not accepted" for what it may still write.
#[test]
fn slow_peer_leaves_time_for_another() {
    block_on(async {
        let stored = StoredValues::default();
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let slow = Process::start("a-2", &stored, Reach::Up).await;
        slow.reach.set(Reach::Silent);
        cut.know(&[&slow]);
        let answer = cut.answer_within(Method::POST, JOB, 400).await;
        assert_eq!(answer, CallerResponse::Unknown);
        let whole = Process::start("a-3", &stored, Reach::Up).await;
        // A process that does not know yet that the peer is slow.
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        cut.know(&[&slow, &whole]);
        // The peers take turns, so that one request asks the slow one first.
        for number in 0..2 {
            let path = format!("/q/000000000000000{number}");
            let answer = cut.answer_within(Method::POST, &path, 1_000).await;
            assert_eq!(answer, CallerResponse::Accepted);
        }
    });
}

/// Waits until a process handles no request; fails if that does not happen.
async fn until_idle(process: &Process) {
    let idle = async {
        while process.shared.requests_open.get() > 0 {
            tokio::task::yield_now().await;
        }
    };
    let idle = tokio::time::timeout(Duration::from_secs(2), idle).await;
    idle.expect("the process ends its requests");
}

/// Guards against places of a peer that stay taken by requests whose sender no
/// longer waits while its connection stays open.
#[test]
fn request_that_is_given_up_releases_its_place() {
    block_on(async {
        let peer = Process::start("a-2", &StoredValues::default(), Reach::Up).await;
        peer.reach.set(Reach::Silent);
        let stream = TcpStream::connect(peer.address).await.expect("a connection");
        let (streams, connection) =
            h2::client::handshake(stream).await.expect("the handshake succeeds");
        tokio::task::spawn_local(connection);
        let message = message(700).encode().expect("a message");
        let answer = post(&streams, message);
        let waited = tokio::time::timeout(Duration::from_millis(100), answer).await;
        assert!(waited.is_err());
        until_idle(&peer).await;
        assert_eq!(peer.writes(), 1);
    });
}

/// Guards against a silent connection that is used again.
#[test]
fn silent_connection_is_closed() {
    block_on(async {
        let stored = StoredValues::default();
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let slow = Process::start("a-2", &stored, Reach::Up).await;
        let (address, connections) = count_connections(slow.address).await;
        cut.shared.forwarder.set_peers(vec![member("a-2", address)]);
        slow.reach.set(Reach::Silent);
        assert_eq!(cut.answer_within(Method::POST, JOB, 300).await, CallerResponse::Unknown);
        slow.reach.set(Reach::Up);
        let path = "/q/0000000000000001";
        until_idle(&slow).await;
        let answer = cut.answer_within(Method::POST, path, 3_000).await;
        assert_eq!(answer, CallerResponse::Accepted);
        assert_eq!(connections.get(), 2);
    });
}

/// Guards against "not accepted" for a submission whose answer was lost on the
/// way back, also if a second peer says so.
#[test]
fn lost_answer_is_unknown() {
    block_on(async {
        let stored = StoredValues::default();
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let losing = losing_peer().await;
        cut.shared.forwarder.set_peers(vec![member("a-2", losing)]);
        assert_eq!(cut.answer(Method::POST).await, CallerResponse::Unknown);
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let refusing = Process::start("a-3", &stored, Reach::Up).await;
        refusing.reach.set(Reach::Throttled);
        let peers = vec![member("a-2", losing), member("a-3", refusing.address)];
        cut.shared.forwarder.set_peers(peers);
        // The peers take turns, and the one that lost an answer comes last.
        let answers = [cut.answer(Method::POST).await, cut.answer(Method::POST).await];
        let unknown = answers.iter().filter(|answer| **answer == CallerResponse::Unknown);
        assert_eq!(unknown.count(), 1, "{answers:?}");
        assert!(answers.iter().any(not_accepted), "{answers:?}");
    });
}

/// Guards against a peer's refusal that is passed on although this process has
/// sent a write that may still take effect, and against a peer's acceptance that
/// is not passed on.
#[rstest]
#[case::refused(Reach::Throttled, true, CallerResponse::Unknown)]
#[case::accepted(Reach::Up, true, CallerResponse::Accepted)]
#[case::unauthorized(Reach::Up, false, CallerResponse::Unknown)]
fn refusal_does_not_cover_an_own_write(
    #[case] reach: Reach,
    #[case] key_is_valid: bool,
    #[case] expected: CallerResponse,
) {
    block_on(async {
        let stored = StoredValues::default();
        let own = Process::start("a-1", &stored, Reach::Up).await;
        own.reach.set(Reach::Cut);
        let peer = Process::start("a-2", &stored, Reach::Up).await;
        peer.reach.set(reach);
        peer.set_keys(if key_is_valid { &[KEY] } else { &[] });
        own.know(&[&peer]);
        assert_eq!(own.answer(Method::POST).await, expected);
        assert!(own.writes() > 0);
    });
}

/// Guards against callers that are turned away in the first seconds of a cut,
/// before the store counts as unreachable.
#[test]
fn store_that_cannot_be_called_is_not_waited_for() {
    block_on(async {
        let stored = StoredValues::default();
        let own = Process::start("a-1", &stored, Reach::Up).await;
        let peer = Process::start("a-2", &stored, Reach::Up).await;
        own.know(&[&peer]);
        own.reach.set(Reach::Disconnected);
        assert!(own.shared.store_is_reachable());
        assert_eq!(own.answer(Method::POST).await, CallerResponse::Accepted);
    });
}

/// Guards against a state request or a cancellation that waits for a store that
/// does not answer.
#[test]
fn hanging_reads_are_hedged() {
    block_on(async {
        let stored = StoredValues::default();
        let own = Process::start("a-1", &stored, Reach::Up).await;
        let peer = Process::start("a-2", &stored, Reach::Up).await;
        own.know(&[&peer]);
        assert_eq!(own.answer(Method::POST).await, CallerResponse::Accepted);
        own.reach.set(Reach::Silent);
        let waiting = CallerResponse::State { has_started: false, outcome: None };
        let (state, count) =
            tokio::join!(own.answer(Method::GET), own.answer_within(Method::GET, "/q/", 3_000));
        assert_eq!((state, count), (waiting, CallerResponse::Waiting(0)));
        assert_eq!(own.answer(Method::DELETE).await, CallerResponse::Cancelled);
    });
}

/// Guards against a caller that gets its answer after it has stopped waiting, or
/// whose last milliseconds start a write at a peer.
#[test]
fn request_is_not_forwarded_without_time() {
    block_on(async {
        let stored = StoredValues::default();
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let peer = Process::start("a-2", &stored, Reach::Up).await;
        cut.know(&[&peer]);
        let answer = cut.answer_within(Method::POST, JOB, 150).await;
        assert!(not_accepted(&answer), "{answer:?}");
        assert_eq!(peer.writes(), 0);
    });
}

/// Guards against keys that work only where the caller connects, and against a
/// withdrawn key that goes on working through a process with an old
/// configuration.
#[test]
fn peer_checks_the_key_itself() {
    block_on(async {
        let stored = StoredValues::default();
        let new = Process::start_without_configuration("a-1", &stored, Reach::Cut).await;
        let peer = Process::start("a-2", &stored, Reach::Up).await;
        new.know(&[&peer]);
        assert_eq!(new.answer(Method::POST).await, CallerResponse::Accepted);
        new.set_keys(&[KEY]);
        peer.set_keys(&[]);
        let refused = CallerResponse::Refused(RequestError::Unauthorized);
        assert_eq!(new.answer(Method::POST).await, refused);
    });
}

/// Guards against requests with keys that are turned away because the
/// configuration may be outdated, and against a peer that checks a key by an
/// outdated configuration.
#[test]
fn unconfirmed_configuration_forwards() {
    block_on(async {
        let stored = StoredValues::default();
        let platform = Workers { stored: Rc::clone(&stored), ..Workers::default() };
        let strict = shared_with(platform, |settings| settings.key_revocation_ms = Some(5_000));
        let document = document(&strict.platform.key_hasher, &[KEY]);
        strict.document.send_replace(Some(Rc::new(document)));
        let address = relay::listen(Rc::clone(&strict), any_port()).await.expect("a free port");
        let (reach, transactions) =
            (Rc::clone(&strict.platform.reach), Rc::clone(&strict.platform.transactions));
        let strict = Process { shared: strict, reach, transactions, address };
        let peer = Process::start("a-2", &stored, Reach::Up).await;
        strict.know(&[&peer]);
        assert_eq!(strict.answer(Method::POST).await, CallerResponse::Accepted);
        // The other way round, the peer must not check the key.
        strict.reach.set(Reach::Up);
        strict.shared.read("any").await.expect("the store answers");
        let cut = Process::start("a-3", &stored, Reach::Cut).await;
        cut.know(&[&strict]);
        let answer = cut.answer(Method::POST).await;
        assert!(not_accepted(&answer), "{answer:?}");
        assert_eq!(strict.writes(), 0);
    });
}

/// Guards against a peer that takes more requests than it has memory for, and
/// against a request that ends there.
#[test]
fn overloaded_peer_is_passed_over() {
    block_on(async {
        let stored = StoredValues::default();
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let full = Process::start("a-2", &stored, Reach::Up).await;
        let places = &full.shared.forwarder.places;
        let taken: Vec<_> = (0..IN_FLIGHT_MAX).filter_map(|_| places.take()).collect();
        assert_eq!(taken.len(), IN_FLIGHT_MAX);
        cut.know(&[&full]);
        let answer = cut.answer(Method::POST).await;
        assert!(not_accepted(&answer), "{answer:?}");
        let whole = Process::start("a-3", &stored, Reach::Up).await;
        cut.know(&[&full, &whole]);
        for number in 0..2 {
            let path = format!("/q/000000000000000{number}");
            let answer = cut.answer_within(Method::POST, &path, 3_000).await;
            assert_eq!(answer, CallerResponse::Accepted);
        }
        drop(taken);
        assert!(places.take().is_some());
    });
}

/// Holds all of the memory that a process has for requests of any size.
fn fill(memory: &RequestMemory) -> Vec<WholeBody> {
    let whole = |bytes: usize| {
        let mut body = memory.begin(ByteCount(bytes));
        body.push(&vec![0; bytes]).ok()?;
        body.finish().ok()
    };
    let sizes = (0..15).rev().map(|exponent| 1 << exponent);
    sizes.flat_map(|bytes| std::iter::from_fn(move || whole(bytes))).collect()
}

/// Guards against forwarded requests that take more memory than the peer has, and
/// against memory that is not released.
#[test]
fn peer_without_memory_is_passed_over() {
    block_on(async {
        let stored = StoredValues::default();
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let full = Process::start("a-2", &stored, Reach::Up).await;
        let memory = &full.shared.request_memory;
        let held = fill(memory);
        cut.know(&[&full]);
        let answer = cut.answer(Method::POST).await;
        assert!(not_accepted(&answer), "{answer:?}");
        assert_eq!(full.writes(), 0);
        drop(held);
        let other = Process::start("a-3", &stored, Reach::Cut).await;
        other.know(&[&full]);
        assert_eq!(other.answer(Method::POST).await, CallerResponse::Accepted);
        assert_eq!(memory.held(), ByteCount(0));
    });
}

fn message(remaining_ms: u64) -> ForwardMessage {
    let request = ReceivedRequest {
        method: &Method::POST,
        authority: "a.example",
        path: JOB,
        key: Some(CallerKey::new(KEY)),
        request_id: "r-1",
        body: Bytes::from_static(b"body"),
        received_ms: 0,
        timeout_ms: None,
    };
    ForwardMessage::new(&EntryId::new("a-1"), &request, remaining_ms)
}

/// Guards against a peer that handles another request than the caller sent, or
/// with more time than the caller has.
#[rstest]
#[case(700, 700)]
#[case(u64::MAX, 60_000)]
fn message_carries_the_request(#[case] remaining_ms: u64, #[case] expected_ms: u64) {
    let bytes = message(remaining_ms).encode().expect("a message");
    let forwarded = Forwarded::decode(&bytes).expect("the message is valid");
    let request = forwarded.request(5);
    assert_eq!((request.method, request.authority), (&Method::POST, "a.example"));
    assert_eq!((request.path, request.request_id), (JOB, "r-1"));
    assert_eq!(request.key, Some(CallerKey::new(KEY)));
    assert_eq!((&*request.body, request.received_ms), (&b"body"[..], 5));
    assert_eq!(request.timeout_ms, Some(expected_ms));
}

/// Guards against keys in log lines: debug output hides them, and the errors of
/// messages that cannot be used quote no content, wherever a message is cut.
#[test]
fn key_is_hidden() {
    let message = message(700);
    assert!(!format!("{message:?}").contains(KEY));
    let bytes = message.encode().expect("a message");
    for end in 0..bytes.len() {
        for begin in [0, 1, 4] {
            if let Some(part) = bytes.get(begin..end)
                && let Err(error) = Forwarded::decode(part)
            {
                assert!(!format!("{error} {error:?}").contains(KEY));
            }
        }
    }
}

/// Sends bytes as a forwarded request and returns the status of the response.
async fn post(streams: &h2::client::SendRequest<Bytes>, body: Bytes) -> StatusCode {
    let mut streams = streams.clone().ready().await.expect("the connection is open");
    let request = Request::builder().method(Method::POST).uri(super::PATH).body(());
    let sent = streams.send_request(request.expect("a request"), false);
    let (response, mut outgoing) = sent.expect("the request is sent");
    send_all(&mut outgoing, body, true).await.expect("the message is sent");
    response.await.expect("a response").status()
}

/// Guards against a malformed message that ends the process, its connection or a
/// place, and against one that is handled in part.
#[test]
fn malformed_message_is_refused() {
    block_on(async {
        let peer = Process::start("a-2", &StoredValues::default(), Reach::Up).await;
        let stream = TcpStream::connect(peer.address).await.expect("a connection");
        stream.set_nodelay(true).expect("the option is set");
        let (streams, connection) =
            h2::client::handshake(stream).await.expect("the handshake succeeds");
        tokio::task::spawn_local(connection);
        let whole = message(700).encode().expect("a message");
        let mut longer = whole.to_vec();
        longer.push(0);
        let malformed =
            [Bytes::new(), Bytes::from_static(&[0xff; 4_096]), whole.slice(..20), longer.into()];
        for _ in 0..=IN_FLIGHT_MAX / malformed.len() {
            for body in &malformed {
                assert_eq!(post(&streams, body.clone()).await, StatusCode::BAD_REQUEST);
            }
        }
        assert_eq!(peer.writes(), 0);
        assert_eq!(post(&streams, whole).await, StatusCode::OK);
        assert_eq!(peer.writes(), 1);
    });
}

/// Guards against texts that fill the log of the peer.
#[test]
fn long_texts_are_refused() {
    let path = "/".repeat(70_000);
    let request = ReceivedRequest {
        method: &Method::GET,
        authority: "",
        path: &path,
        key: None,
        request_id: "",
        body: Bytes::new(),
        received_ms: 0,
        timeout_ms: None,
    };
    let message = ForwardMessage::new(&EntryId::new("a-1"), &request, 700);
    let bytes = message.encode().expect("a message");
    assert_eq!(Forwarded::decode(&bytes).err(), Some(MessageError::Content));
}

/// Guards against a peer that cannot read the message and whose refusal counts
/// as a possible write.
#[test]
fn peer_that_rejects_the_message_did_nothing() {
    block_on(async {
        let stored = StoredValues::default();
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let listener = TcpListener::bind(any_port()).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        tokio::task::spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut connection = h2::server::handshake(stream).await.expect("a handshake");
            while let Some(Ok((_request, mut respond))) = connection.accept().await {
                let response = http::Response::builder().status(StatusCode::NOT_FOUND).body(());
                let sent = respond.send_response(response.expect("a response"), true);
                sent.expect("the response is sent");
            }
        });
        cut.shared.forwarder.set_peers(vec![member("a-2", address)]);
        let answer = cut.answer(Method::POST).await;
        assert!(not_accepted(&answer), "{answer:?}");
    });
}

/// Guards against requests that a paused peer carries out when it goes on, after
/// they were answered: its kernel accepts connections.
#[test]
fn paused_peer_gets_no_request() {
    block_on(async {
        let stored = StoredValues::default();
        let cut = Process::start("a-1", &stored, Reach::Cut).await;
        let paused = TcpListener::bind(any_port()).await.expect("a free port");
        let address = paused.local_addr().expect("an address");
        cut.shared.forwarder.set_peers(vec![member("a-2", address)]);
        let answer = cut.answer(Method::POST).await;
        assert!(not_accepted(&answer), "{answer:?}");
    });
}

/// Guards against a process that forgets its peers when it loses the store.
#[test]
fn list_of_peers_is_kept_without_the_store() {
    block_on(async {
        let stored = StoredValues::default();
        let process = Process::start("a-1", &stored, Reach::Up).await;
        let peer = Process::start("a-2", &stored, Reach::Up).await;
        for (name, address) in [("a-1", process.address), ("a-2", peer.address)] {
            let data_centre = DataCentreId::new("a");
            let record = crate::state::MemberRecord { address, millicores: 500, data_centre };
            let value = crate::state::encode(&record).expect("a record").into();
            let put = vec![(format!("members/{name}").into(), value)];
            let write = Transaction { put, ..Transaction::default() };
            process.shared.transact(&write).await.expect("the store answers");
        }
        assert!(read_peers(&process.shared).await);
        process.reach.set(Reach::Disconnected);
        assert!(!read_peers(&process.shared).await);
        for number in 0..3 {
            let path = format!("/q/000000000000000{number}");
            let answer = process.answer_within(Method::POST, &path, 3_000).await;
            assert_eq!(answer, CallerResponse::Accepted);
        }
        assert_eq!(peer.writes(), 3);
    });
}

//! Tests of the relay and the server: a relay that lets traffic through a partition
//! would make every partition test pass without a partition.

use std::{io, net::SocketAddr, time::Duration};

use hyper::{Method, Request, Response, body::Incoming};
use rstest::rstest;

use super::{Body, Call, Handler, Relay, RelayMode, Server, ServerOptions, call, full_body};

/// Timeout of a call, so that a broken relay fails the test instead of blocking
/// it.
const GIVE_UP: Duration = Duration::from_secs(10);

#[derive(Clone)]
struct Hello;

impl Handler for Hello {
    async fn handle(&self, _: Request<Incoming>, _: SocketAddr) -> io::Result<Response<Body>> {
        Ok(Response::new(full_body("hello")))
    }
}

fn any_port() -> SocketAddr {
    "127.77.0.1:0".parse().expect("is an address")
}

/// Guards against relays that pass traffic during a partition, or none after it.
#[rstest]
#[case(RelayMode::Closed)]
#[case(RelayMode::Silent)]
#[tokio::test]
async fn blocking_relay_passes_nothing_until_it_is_opened(#[case] mode: RelayMode) {
    let server = Server::start(any_port(), ServerOptions::default(), Hello).await.expect("starts");
    let relay = Relay::start(any_port(), server.address(), Duration::from_micros(1400))
        .await
        .expect("starts");
    let request = || Call::new(relay.address(), Method::GET, "/");
    assert_eq!(call(request()).await.expect("is passed on").body.as_ref(), b"hello");
    relay.set_mode(mode);
    tokio::task::yield_now().await;
    let closed = tokio::time::timeout(GIVE_UP, call(request())).await;
    assert!(closed.expect("new connections are closed").is_err());
    relay.set_mode(RelayMode::Open);
    tokio::task::yield_now().await;
    assert!(call(request()).await.is_ok());
}

/// Guards against a silent relay that closes connections or loses data in flight:
/// late responses would never be tested.
#[tokio::test]
async fn silent_relay_holds_a_request_until_it_is_opened() {
    let server = Server::start(any_port(), ServerOptions::default(), Hello).await.expect("starts");
    let relay = Relay::start(any_port(), server.address(), Duration::ZERO).await.expect("starts");
    let stream = tokio::net::TcpStream::connect(relay.address()).await.expect("connects");
    while server.connections() == 0 {
        tokio::task::yield_now().await;
    }
    relay.set_mode(RelayMode::Silent);
    tokio::task::yield_now().await;
    stream.try_write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").expect("is written");
    for _ in 0..1_000 {
        tokio::task::yield_now().await;
    }
    let mut reply = [0; 12];
    assert!(stream.try_read(&mut reply).is_err(), "nothing passes");
    relay.set_mode(RelayMode::Open);
    stream.readable().await.expect("is answered");
    stream.try_read(&mut reply).expect("is read");
    assert_eq!(&reply, b"HTTP/1.1 200");
}

/// Guards against a closed server that still responds.
#[tokio::test]
async fn closed_server_refuses_until_it_is_opened() {
    let server = Server::start(any_port(), ServerOptions::default(), Hello).await.expect("starts");
    let request = || Call::new(server.address(), Method::GET, "/");
    assert!(call(request()).await.is_ok());
    server.set_open(false);
    tokio::task::yield_now().await;
    assert!(call(request()).await.is_err());
    server.set_open(true);
    for _ in 0..1_000 {
        if call(request()).await.is_ok() {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("the server does not listen again");
}

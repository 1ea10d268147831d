//! Tests of the relay: a cut that lets traffic through would make every
//! partition test pass without a partition.

use std::{io, net::SocketAddr, time::Duration};

use hyper::{Method, Request, Response, body::Incoming};

use super::{Body, Call, Handler, Relay, Server, ServerOptions, call, full_body};

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

/// Guards against partitions that pass traffic and relays that stay cut.
#[tokio::test]
async fn cut_relay_passes_nothing_until_it_is_opened() {
    let server = Server::start(any_port(), ServerOptions::default(), Hello).await.expect("starts");
    let relay = Relay::start(any_port(), server.address(), Duration::from_micros(1400))
        .await
        .expect("starts");
    let request = || Call::new(relay.address(), Method::GET, "/");
    assert_eq!(call(request()).await.expect("is passed on").body.as_ref(), b"hello");
    relay.set_open(false);
    tokio::task::yield_now().await;
    assert!(call(request()).await.is_err());
    relay.set_open(true);
    tokio::task::yield_now().await;
    assert!(call(request()).await.is_ok());
}

/// Guards against a closed server that still answers.
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

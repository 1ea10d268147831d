//! An HTTP/1.1 server whose listener can be closed and reopened.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use super::Body;

/// Delay between attempts to listen again on an address, in milliseconds.
const LISTEN_RETRY_MS: u64 = 10;

/// Handles the requests to a [`Server`].
pub trait Handler: Clone + Send + 'static {
    /// Returns the response; an error closes the connection without one.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = io::Result<Response<Body>>> + Send;
}

/// Options of a [`Server`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerOptions {
    /// Largest number of open connections; further ones are closed immediately
    /// and counted.
    pub max_connections: Option<usize>,
}

/// Handle of a server; dropping it stops the server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    open: watch::Sender<bool>,
    counts: Arc<ConnectionCounts>,
}

/// Numbers of accepted and refused connections.
#[derive(Debug, Default)]
struct ConnectionCounts {
    accepted: AtomicU64,
    refused: AtomicU64,
}

impl Server {
    /// Listens on `address` (port 0 takes a free one) and serves on the current
    /// runtime.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address is in use.
    pub async fn start<H>(
        address: SocketAddr,
        options: ServerOptions,
        handler: H,
    ) -> io::Result<Self>
    where
        H: Handler + Sync,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (open, state) = watch::channel(true);
        let counts = Arc::new(ConnectionCounts::default());
        tokio::spawn(run(listener, address, options, handler, state, counts.clone()));
        Ok(Self { address, open, counts })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, or listens again.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }

    /// Returns the number of connections closed because of the connection limit.
    pub fn refused_connections(&self) -> u64 {
        self.counts.refused.load(Ordering::Relaxed)
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.counts.accepted.load(Ordering::Relaxed)
    }
}

async fn run<H>(
    listener: TcpListener,
    address: SocketAddr,
    options: ServerOptions,
    handler: H,
    mut open: watch::Receiver<bool>,
    counts: Arc<ConnectionCounts>,
) where
    H: Handler + Sync,
{
    let mut listener = Some(listener);
    loop {
        if !*open.borrow() {
            // The kernel would still accept connections on an open listener, and they
            // would not be served.
            listener = None;
        }
        if open.wait_for(|open| *open).await.is_err() {
            return;
        }
        let current = match listener.take() {
            Some(listener) => listener,
            None => match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(LISTEN_RETRY_MS)).await;
                    continue;
                }
            },
        };
        tokio::select! {
            () = accept(current, options, &handler, &counts) => {}
            result = open.wait_for(|open| !*open) => if result.is_err() { return },
        }
    }
}

/// Accepts connections until the future is dropped, which closes all of them.
async fn accept<H>(
    listener: TcpListener,
    options: ServerOptions,
    handler: &H,
    counts: &ConnectionCounts,
) where
    H: Handler + Sync,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    if options.max_connections.is_some_and(|max| connections.len() >= max) {
                        counts.refused.fetch_add(1, Ordering::Relaxed);
                    } else {
                        counts.accepted.fetch_add(1, Ordering::Relaxed);
                        connections.spawn(serve(stream, peer, handler.clone()));
                    }
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(LISTEN_RETRY_MS)).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve<H>(stream: TcpStream, peer: SocketAddr, handler: H)
where
    H: Handler + Sync,
{
    // Otherwise Nagle's algorithm holds back small replies until a delayed
    // acknowledgement.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| {
        let handler = handler.clone();
        async move { handler.handle(request, peer).await }
    });
    // An error means that the peer or the handler closed the connection.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

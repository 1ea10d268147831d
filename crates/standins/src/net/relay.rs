//! A TCP relay that adds latency and simulates network partitions.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    task::JoinSet,
    time::Instant,
};

/// Largest chunk that is relayed at once, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;
/// Chunks in flight in one direction of one connection before its sender has to
/// wait.
const CHUNKS_IN_FLIGHT: usize = 64;

/// What a relay does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Relays everything.
    Open,
    /// Holds data in flight until the relay is open again, like a network that
    /// drops packets; closes new connections immediately.
    Silent,
    /// Relays requests, but holds replies until the relay is open again.
    RepliesHeld,
    /// Relays everything after an additional delay in each direction.
    Delayed(Duration),
    /// Closes all connections.
    Closed,
}

/// Direction of one half of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Requests,
    Replies,
}

impl RelayMode {
    fn accepts(self) -> bool {
        matches!(self, Self::Open | Self::RepliesHeld | Self::Delayed(_))
    }

    fn passes(self, direction: Direction) -> bool {
        match self {
            Self::Open | Self::Delayed(_) => true,
            Self::RepliesHeld => direction == Direction::Requests,
            Self::Silent | Self::Closed => false,
        }
    }

    fn delay(self) -> Duration {
        if let Self::Delayed(delay) = self { delay } else { Duration::ZERO }
    }
}

/// Handle of a relay; dropping it stops the relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: watch::Sender<RelayMode>,
}

impl Relay {
    /// Listens on `address` (port 0 takes a free one) and relays connections to
    /// `to`, with a delay of `one_way` in each direction.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address is in use.
    pub async fn start(address: SocketAddr, to: SocketAddr, one_way: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (mode, changes) = watch::channel(RelayMode::Open);
        tokio::spawn(run(listener, to, one_way, changes));
        Ok(Self { address, mode })
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the relay does with connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }
}

async fn run(
    listener: TcpListener,
    to: SocketAddr,
    one_way: Duration,
    mut mode: watch::Receiver<RelayMode>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted
                && mode.borrow().accepts()
            {
                connections.spawn(relay_connection(stream, to, one_way, mode.clone()));
            },
            changed = mode.changed() => {
                if changed.is_err() {
                    return;
                }
                let is_closed = *mode.borrow() == RelayMode::Closed;
                if is_closed {
                    connections.shutdown().await;
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay_connection(
    client: TcpStream,
    to: SocketAddr,
    one_way: Duration,
    mode: watch::Receiver<RelayMode>,
) {
    let Ok(server) = TcpStream::connect(to).await else { return };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        relay_direction(Direction::Requests, client_read, server_write, one_way, mode.clone()),
        relay_direction(Direction::Replies, server_read, client_write, one_way, mode)
    );
}

async fn relay_direction(
    direction: Direction,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    one_way: Duration,
    mut mode: watch::Receiver<RelayMode>,
) {
    let (sender, mut chunks) = mpsc::channel::<(Instant, Bytes)>(CHUNKS_IN_FLIGHT);
    let read = async move {
        let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
        while let Ok(1..) = from.read_buf(&mut buffer).await {
            let due = Instant::now() + one_way;
            if sender.send((due, buffer.split().freeze())).await.is_err() {
                return;
            }
            buffer.reserve(CHUNK_BYTES);
        }
    };
    let write = async move {
        while let Some((due, chunk)) = chunks.recv().await {
            let delay = mode.borrow().delay();
            tokio::time::sleep_until(due + delay).await;
            if mode.wait_for(|mode| mode.passes(direction)).await.is_err() {
                return;
            }
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        // Once the peer is reachable, it learns that this direction has ended.
        if mode.wait_for(|mode| mode.passes(direction)).await.is_err() {
            return;
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}

//! A TCP relay that adds latency and can be cut.

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

/// Largest piece that is passed on at once, in bytes.
const PIECE_BYTES: usize = 64 * 1024;
/// Pieces on the way in one direction of one connection before its sender
/// waits.
const PIECES_ON_THE_WAY: usize = 64;

/// What a relay does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Passes everything on.
    Open,
    /// Holds what is under way until the relay is open again, as a network
    /// that drops packets does; new connections are closed at once.
    Silent,
    /// Holds what comes back until the relay is open again; requests arrive.
    RepliesHeld,
    /// Passes everything on after a further delay in each direction.
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
    /// Listens on `address` (port 0 takes a free one) and passes connections
    /// on to `to`, each direction delayed by `one_way`.
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
                connections.spawn(pass(stream, to, one_way, mode.clone()));
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

async fn pass(
    near: TcpStream,
    to: SocketAddr,
    one_way: Duration,
    mode: watch::Receiver<RelayMode>,
) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        pass_on(Direction::Requests, near_read, far_write, one_way, mode.clone()),
        pass_on(Direction::Replies, far_read, near_write, one_way, mode)
    );
}

async fn pass_on(
    direction: Direction,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    one_way: Duration,
    mut mode: watch::Receiver<RelayMode>,
) {
    let (sender, mut pieces) = mpsc::channel::<(Instant, Bytes)>(PIECES_ON_THE_WAY);
    let read = async move {
        let mut buffer = BytesMut::with_capacity(PIECE_BYTES);
        while let Ok(1..) = from.read_buf(&mut buffer).await {
            let due = Instant::now() + one_way;
            if sender.send((due, buffer.split().freeze())).await.is_err() {
                return;
            }
            buffer.reserve(PIECE_BYTES);
        }
    };
    let write = async move {
        while let Some((due, piece)) = pieces.recv().await {
            let delay = mode.borrow().delay();
            tokio::time::sleep_until(due + delay).await;
            if mode.wait_for(|mode| mode.passes(direction)).await.is_err() {
                return;
            }
            if to.write_all(&piece).await.is_err() {
                return;
            }
        }
        // The peer learns that this direction has ended, once it is reachable.
        if mode.wait_for(|mode| mode.passes(direction)).await.is_err() {
            return;
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}

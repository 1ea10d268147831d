//! Starts salvo HTTP servers with limits on connections and request heads.

use std::{io, net::SocketAddr, time::Duration};

use salvo::{
    Listener, Router, Server,
    conn::{Acceptor, TcpListener},
    server::ServerHandle,
};

/// Largest request head, in bytes.
const HEAD_MAX_BYTES: usize = 16 << 10;

/// A running HTTP server.
pub(crate) struct HttpServer {
    handle: ServerHandle,
    address: SocketAddr,
}

impl HttpServer {
    /// Binds the address and serves the router on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn start(
        address: SocketAddr,
        router: Router,
        connections: u32,
        head_timeout: Duration,
    ) -> io::Result<Self> {
        let acceptor = TcpListener::new(address).try_bind().await.map_err(io::Error::other)?;
        let bound = acceptor.holdings().first().map(|holding| holding.local_addr.clone());
        let address = bound.and_then(|bound| bound.into_std()).unwrap_or(address);
        let mut server = Server::new(acceptor).max_connections(connections as usize);
        server.http1_mut().max_buf_size(HEAD_MAX_BYTES).header_read_timeout(head_timeout);
        let handle = server.handle();
        tokio::spawn(server.serve(router));
        Ok(Self { handle, address })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and idle connections; requests in flight may finish
    /// within `deadline`.
    pub(crate) fn stop(&self, deadline: Duration) {
        self.handle.stop_graceful(deadline);
    }
}

//! HTTP client with a persistent connection.

use std::net::SocketAddr;

use anyhow::bail;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinSet};

use crate::target::echo_path;

/// Size of the body of each response, in bytes.
const RESPONSE_BYTES: usize = 256;

/// Address, path and token of the requests.
#[derive(Clone, Debug)]
pub(super) struct Client {
    address: SocketAddr,
    path: String,
    authorization: String,
}

impl Client {
    /// Creates a client of a server; `prefix` is prepended to the path.
    pub(super) fn new(address: SocketAddr, prefix: &str, token: String) -> Self {
        let path = format!("{prefix}{}", echo_path(1, RESPONSE_BYTES));
        Self { address, path, authorization: format!("Bearer {token}") }
    }

    pub(super) async fn connect(&self) -> anyhow::Result<Connection> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let mut driver = JoinSet::new();
        driver.spawn(async move {
            // A broken connection is reported by the call.
            let _ = connection.await;
        });
        Ok(Connection { client: self.clone(), sender, _driver: driver })
    }
}

/// An open connection; closed when dropped.
pub(super) struct Connection {
    client: Client,
    sender: http1::SendRequest<Empty<Bytes>>,
    _driver: JoinSet<()>,
}

impl Connection {
    /// Sends one request and reads the whole response. Fails unless the status is a
    /// success.
    pub(super) async fn call(&mut self) -> anyhow::Result<()> {
        let request = Request::builder()
            .uri(&self.client.path)
            .header("host", self.client.address.to_string())
            .header("authorization", &self.client.authorization)
            .body(Empty::new())?;
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        if !status.is_success() {
            bail!("{} answered {status}", self.client.address);
        }
        Ok(())
    }
}

//! HTTP/1.1 client without a connection pool: each connection is opened explicitly
//! or for a single call.

use std::{
    io,
    net::{IpAddr, SocketAddr},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpSocket, task::JoinSet};

/// An HTTP request and where to send it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the server.
    pub address: SocketAddr,
    /// Local address to connect from; chosen by the operating system if `None`.
    pub source: Option<IpAddr>,
    pub method: Method,
    /// Path and query.
    pub path: Box<str>,
    pub headers: Vec<(&'static str, Box<str>)>,
    pub body: Bytes,
}

impl Call {
    /// Creates a call without headers and body.
    pub fn new<P>(address: SocketAddr, method: Method, path: P) -> Self
    where
        P: Into<Box<str>>,
    {
        Self {
            address,
            source: None,
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header<V>(mut self, name: &'static str, value: V) -> Self
    where
        V: Into<Box<str>>,
    {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body<B>(mut self, body: B) -> Self
    where
        B: Into<Bytes>,
    {
        self.body = body.into();
        self
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Error of a call without a complete reply.
#[derive(Debug)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    NotConnected(io::Error),
    /// The connection ended before the reply was complete.
    Broken(Box<str>),
}

/// A connection that stays open between calls; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: JoinSet<hyper::Result<()>>,
}

impl Connection {
    /// Connects to a call's address.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotConnected`] if no connection is made, and
    /// [`CallError::Broken`] if the HTTP handshake fails.
    pub async fn open(call: &Call) -> Result<Self, CallError> {
        let stream = connect(call).await.map_err(CallError::NotConnected)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(broken)?;
        let mut driver = JoinSet::new();
        driver.spawn(connection);
        Ok(Self { sender, _driver: driver })
    }

    /// Makes a call and reads the whole reply.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Broken`] if the connection ends before the reply is
    /// complete; the call may have been served.
    pub async fn send(&mut self, call: Call) -> Result<Reply, CallError> {
        let mut request = Request::builder().method(call.method).uri(call.path.as_ref());
        if !call.headers.iter().any(|(name, _)| *name == "host") {
            request = request.header("host", call.address.to_string());
        }
        for (name, value) in &call.headers {
            request = request.header(*name, value.as_ref());
        }
        let request = request.body(Full::new(call.body)).map_err(broken)?;
        self.sender.ready().await.map_err(broken)?;
        let response = self.sender.send_request(request).await.map_err(broken)?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(broken)?.to_bytes();
        Ok(Reply { status: head.status, headers: head.headers, body })
    }
}

/// Makes the call on a new connection and reads the whole reply; dropping the
/// future closes the connection.
///
/// # Errors
///
/// Returns whether the connection failed before or after something was sent.
pub async fn call(call: Call) -> Result<Reply, CallError> {
    let mut connection = Connection::open(&call).await?;
    connection.send(call.with_header("connection", "close")).await
}

async fn connect(call: &Call) -> io::Result<tokio::net::TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if let Some(source) = call.source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = socket.connect(call.address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn broken<E>(error: E) -> CallError
where
    E: std::fmt::Display,
{
    CallError::Broken(error.to_string().into())
}

//! HTTP client of the administration API.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, header};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

use super::CommandError;
use crate::{
    protocol::{admin::AdminProblem, http::TargetRequest},
    transport::target_client::TargetClient,
};

/// Timeout of a call; the server lets a read wait up to 6 s for a revision.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Client of one entry host.
pub(super) struct AdminClient {
    address: SocketAddr,
    token: Box<str>,
    client: TargetClient,
}

impl AdminClient {
    pub(super) fn new(address: SocketAddr, token: Box<str>) -> Self {
        Self { address, token, client: TargetClient::default() }
    }

    /// Sends a GET to a path below `/admin/v1/`.
    pub(super) async fn get<B>(&self, path: &str) -> Result<B, CommandError>
    where
        B: DeserializeOwned,
    {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a PUT with a JSON body to a path below `/admin/v1/`.
    pub(super) async fn put<R, B>(&self, path: &str, request: &R) -> Result<B, CommandError>
    where
        R: Serialize,
        B: DeserializeOwned,
    {
        let body = serde_json::to_vec(request)
            .map_err(|error| CommandError::Malformed(error.to_string().into()))?;
        self.call(Method::PUT, path, body.into()).await
    }

    /// Sends a POST with a body to a path below `/admin/v1/`.
    pub(super) async fn post<B>(&self, path: &str, body: Bytes) -> Result<B, CommandError>
    where
        B: DeserializeOwned,
    {
        self.call(Method::POST, path, body).await
    }

    /// Sends a DELETE to a path below `/admin/v1/`.
    pub(super) async fn delete<B>(&self, path: &str) -> Result<B, CommandError>
    where
        B: DeserializeOwned,
    {
        self.call(Method::DELETE, path, Bytes::new()).await
    }

    async fn call<B>(&self, method: Method, path: &str, body: Bytes) -> Result<B, CommandError>
    where
        B: DeserializeOwned,
    {
        let malformed = |message: String| CommandError::Malformed(message.into());
        let mut headers = HeaderMap::new();
        let token = HeaderValue::from_str(&format!("Bearer {}", self.token.trim()))
            .map_err(|_| CommandError::NoToken)?;
        headers.insert(header::AUTHORIZATION, token);
        let path = format!("/admin/v1/{path}");
        let path = path.parse().map_err(|_| malformed(format!("{path:?} is no path")))?;
        let request = TargetRequest { method, path, headers, body, repeatable: false };
        let (_, response) = self.client.send(self.address, request, TIMEOUT).await;
        let not_reached = || CommandError::NotReached(self.address.to_string().into());
        let response = response.ok_or_else(not_reached)?;
        if !response.status.is_success() {
            let problem: Result<AdminProblem, _> = serde_json::from_slice(&response.body);
            let detail = problem.map_or_else(|_| response.status.to_string().into(), |p| p.detail);
            return Err(CommandError::Refused(detail));
        }
        serde_json::from_slice(&response.body).map_err(|error| malformed(error.to_string()))
    }

    /// Reads a path whose response is a list of rows.
    pub(super) async fn rows(&self, path: &str) -> Result<Vec<Value>, CommandError> {
        self.get(path).await
    }
}

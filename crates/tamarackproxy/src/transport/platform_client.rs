//! Client of the platform's host list and reboots.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri};

use super::target_client::TargetClient;
use crate::{
    coordination::requests::AttemptResult,
    protocol::{
        caller::IDEMPOTENCY_KEY_HEADER,
        http::{TargetRequest, TargetResponse},
        platform::{HostList, ListedHost},
    },
    state::ids::{HostId, OperationId},
};

/// Time that a call may take.
const TIMEOUT: Duration = Duration::from_millis(2_000);

/// Client of the platform's HTTP interface.
pub(crate) struct PlatformClient {
    address: SocketAddr,
    client: TargetClient,
}

impl PlatformClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, client: TargetClient::default() }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        key: Option<String>,
    ) -> Option<TargetResponse> {
        let mut headers = HeaderMap::new();
        if let Some(key) = key.and_then(|key| HeaderValue::from_str(&key).ok()) {
            headers.insert(IDEMPOTENCY_KEY_HEADER, key);
        }
        let path: Uri = path.parse().ok()?;
        // Both calls may be repeated: a reboot carries its operation id.
        let request = TargetRequest { method, path, headers, body: Bytes::new(), repeatable: true };
        match self.client.send(self.address, request, TIMEOUT).await {
            (AttemptResult::Answered { .. }, response) => response,
            _ => None,
        }
    }

    /// Reads the list of hosts; nothing if the platform does not answer.
    pub(crate) async fn list_hosts(&self) -> Option<Vec<ListedHost>> {
        let response = self.call(Method::GET, "/v1/hosts", None).await?;
        let list: HostList = serde_json::from_slice(&response.body).ok()?;
        Some(list.hosts)
    }

    /// Asks for a reboot; tells whether the platform accepted it.
    pub(crate) async fn reboot(&self, host: &HostId, operation: OperationId) -> bool {
        let path = format!("/v1/hosts/{host}/reboot");
        let response = self.call(Method::POST, &path, Some(operation.to_string())).await;
        response.is_some_and(|response| response.status.is_success())
    }
}

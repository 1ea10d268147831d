//! Network I/O: HTTP servers, links to other entry hosts, and the clients of
//! targets, platform and store.

pub(crate) mod admin_server;
pub(crate) mod caller_server;
pub mod frame;
pub(crate) mod http_server;
pub(crate) mod peer_client;
pub(crate) mod peer_server;
pub mod peer_stream;
pub(crate) mod platform_client;
pub(crate) mod store_client;
pub mod target_client;

//! Sockets: HTTP servers and clients, peer links and the store client.

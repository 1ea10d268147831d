//! Starts and stops an entry host.

use std::{net::SocketAddr, sync::mpsc as std_mpsc, thread};

use displaydoc::Display;
use tokio::sync::mpsc;

use super::{event_loop::EventLoop, input::Command};
use crate::state::settings::Settings;

/// Reasons why an entry host cannot start or run.
#[derive(Debug, Display)]
pub enum NodeError {
    /// the runtime cannot be started: {0}; free memory or file descriptors
    Runtime(std::io::Error),
    /// address {address} cannot be used: {error}; choose a free address of this host in section listen
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// the event loop's thread ended without a result; see the log for the cause
    Lost,
}

impl std::error::Error for NodeError {}

/// An entry host within this process; see [`Node::start`].
#[derive(Debug)]
pub struct Node;

/// Addresses that a started entry host listens on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    pub(super) callers: SocketAddr,
    pub(super) admin: SocketAddr,
    pub(super) peers: SocketAddr,
}

/// An entry host that runs on its own thread.
#[derive(Debug)]
pub struct NodeHandle {
    commands: mpsc::UnboundedSender<Command>,
    addresses: Addresses,
    thread: thread::JoinHandle<Result<(), NodeError>>,
}

impl Node {
    /// Starts an entry host on its own thread and returns once it listens.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError`] if an address is in use or no thread or runtime
    /// can be created.
    pub fn start(settings: Settings) -> Result<NodeHandle, NodeError> {
        let (commands, receiver) = mpsc::unbounded_channel();
        let (started, is_started) = std_mpsc::channel();
        let thread = thread::Builder::new()
            .name(settings.entry.to_string())
            .spawn(move || run(settings, receiver, &started))
            .map_err(NodeError::Runtime)?;
        match is_started.recv() {
            Ok(addresses) => Ok(NodeHandle { commands, addresses, thread }),
            Err(_) => match thread.join() {
                Ok(Err(error)) => Err(error),
                _ => Err(NodeError::Lost),
            },
        }
    }
}

fn run(
    settings: Settings,
    commands: mpsc::UnboundedReceiver<Command>,
    started: &std_mpsc::Sender<Addresses>,
) -> Result<(), NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(NodeError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    let result = local.block_on(&runtime, async {
        let event_loop = EventLoop::start(settings, commands).await?;
        // The receiver is gone if the starting thread no longer waits.
        let _ = started.send(event_loop.addresses());
        event_loop.run().await;
        Ok(())
    });
    drop(local);
    runtime.shutdown_background();
    result
}

impl NodeHandle {
    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Returns the address of the administration API.
    pub fn admin_address(&self) -> SocketAddr {
        self.addresses.admin
    }

    /// Returns the address for other entry hosts.
    pub fn peer_address(&self) -> SocketAddr {
        self.addresses.peers
    }

    /// Begins a graceful stop: nothing new is accepted, requests in flight finish.
    pub fn stop_gracefully(&self) {
        // Fails only if the event loop has ended already.
        let _ = self.commands.send(Command::Stop);
    }

    /// Ends the entry host at once, without clean-up, as a crash would.
    pub fn kill(&self) {
        let _ = self.commands.send(Command::Kill);
    }

    /// Waits until the entry host has ended.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError::Lost`] if its thread panicked, or the error that
    /// ended it.
    pub fn join(self) -> Result<(), NodeError> {
        self.thread.join().map_err(|_| NodeError::Lost)?
    }
}

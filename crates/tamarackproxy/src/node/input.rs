//! Commands of the process to its event loop.

/// How an entry host is shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Finishes what is in flight, then ends.
    Stop,
    /// Ends at once without clean-up, as a crash would.
    Kill,
}

//! Requests of the process's owner.

/// How a node ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Finishes what is in flight, then ends.
    Stop,
    /// Ends at once, as a crash would.
    Kill,
}

//! Typed keys of the engine's slot maps.

slotmap::new_key_type! {
    /// Key of a service.
    pub(super) struct ServiceKey;
    /// Key of a caller.
    pub(super) struct CallerKey;
    /// Key of a target.
    pub(super) struct TargetKey;
    /// Key of a request that has not ended.
    pub(super) struct RequestKey;
    /// Key of an entry in a service's queue.
    pub(super) struct EntryKey;
    /// Key of an attempt that still occupies its slot.
    pub(super) struct AttemptKey;
    /// Key of a loan received from a peer.
    pub(super) struct LoanKey;
}

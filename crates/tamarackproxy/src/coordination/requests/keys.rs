//! Typed keys of the engine's maps.

slotmap::new_key_type! {
    /// A service.
    pub(super) struct ServiceKey;
    /// A caller.
    pub(super) struct CallerKey;
    /// A target.
    pub(super) struct TargetKey;
    /// A request that has not ended.
    pub(super) struct RequestKey;
    /// A place in a queue.
    pub(super) struct EntryKey;
    /// An attempt whose slot is not free yet.
    pub(super) struct AttemptKey;
    /// A loan that was received.
    pub(super) struct LoanKey;
}

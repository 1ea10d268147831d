//! Load and faults of one run.

/// Mean times between faults in the whole deployment, in milliseconds, and shares of
/// failing calls. A time of 0 disables a fault.
#[derive(Clone, Debug)]
pub struct OnceFaults {
    /// Kills of an entry host that holds a seat.
    pub kill_every_ms: u64,
    /// Pauses of an entry host that holds a seat, for 0.2 to 30 s.
    pub pause_every_ms: u64,
    /// Outages of the store for all data centres, for 1 to 40 s.
    pub outage_every_ms: u64,
    /// Loss of the connection between the store and one data centre, for 1 to 60 s.
    pub cut_off_every_ms: u64,
    /// Partitions between one data centre and all others, for 1 to 30 s.
    pub partition_every_ms: u64,
    /// Changes of the number of seats of one data centre by one.
    pub seats_change_every_ms: u64,
    /// Share of store calls whose reply is lost after the call took effect.
    pub lost_reply_share: f64,
    /// Share of store calls that take 0.1 to 3 s; after 1 s the client gives up
    /// before the call takes effect.
    pub slow_share: f64,
    /// Share of messages between entry hosts that are lost.
    pub lost_message_share: f64,
    /// Share of requests that a target refuses to run.
    pub refused_share: f64,
    /// Share of runs whose response is lost.
    pub lost_response_share: f64,
}

impl OnceFaults {
    /// No faults at all.
    pub fn none() -> Self {
        Self {
            kill_every_ms: 0,
            pause_every_ms: 0,
            outage_every_ms: 0,
            cut_off_every_ms: 0,
            partition_every_ms: 0,
            seats_change_every_ms: 0,
            lost_reply_share: 0.0,
            slow_share: 0.0,
            lost_message_share: 0.0,
            refused_share: 0.0,
            lost_response_share: 0.0,
        }
    }

    /// Faults rare enough that they mostly do not overlap.
    pub fn single() -> Self {
        Self {
            kill_every_ms: 120_000,
            pause_every_ms: 120_000,
            outage_every_ms: 240_000,
            cut_off_every_ms: 240_000,
            partition_every_ms: 120_000,
            ..Self::all()
        }
    }

    /// Every kind of fault except changes of the number of seats, far more often
    /// than the failure model states.
    pub fn all() -> Self {
        Self {
            kill_every_ms: 25_000,
            pause_every_ms: 25_000,
            outage_every_ms: 90_000,
            cut_off_every_ms: 90_000,
            partition_every_ms: 60_000,
            seats_change_every_ms: 0,
            lost_reply_share: 0.02,
            slow_share: 0.01,
            lost_message_share: 0.02,
            refused_share: 0.03,
            lost_response_share: 0.01,
        }
    }
}

/// Size, load and faults of one run.
#[derive(Clone, Debug)]
pub struct OnceSetup {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of charges, each with its own key.
    pub charges: u32,
    /// Charges per second.
    pub charges_per_second: f64,
    /// Number of data centres.
    pub data_centres: u16,
    /// Seats in each data centre at the start.
    pub seats: u16,
    /// Share of charges that are retried although they were answered.
    pub repeat_share: f64,
    /// Maximum number of attempts of one charge, including the first.
    pub attempts_max: u32,
    /// Injected faults.
    pub faults: OnceFaults,
}

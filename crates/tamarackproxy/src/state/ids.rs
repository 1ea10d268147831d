//! Newtypes for names and numeric ids.

use std::{borrow::Borrow, fmt, str::FromStr};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Reasons why a text is not a name or an id.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum IdError {
    /// the name is empty; give 1 to 64 characters
    Empty,
    /// the name has {0} characters; use at most 64
    TooLong(usize),
    /// the name contains {0:?}; use lower-case letters, digits, '-', '_' and '.'
    BadCharacter(char),
    /// {0:?} is not a number; give a decimal number without sign
    NotANumber(Box<str>),
}

impl std::error::Error for IdError {}

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > NAME_MAX_BYTES {
        return Err(IdError::TooLong(text.len()));
    }
    let accepted =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|&c| !accepted(c)) {
        Some(c) => Err(IdError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! name_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Box<str>);

        impl $name {
            /// Creates the id from a text that is known to be valid, such as a
            /// literal.
            ///
            /// # Panics
            ///
            /// Panics if the text is not a valid name; parse untrusted text
            /// with [`FromStr`].
            pub fn new<S>(text: S) -> Self
            where
                S: AsRef<str>,
            {
                let text = text.as_ref();
                match text.parse() {
                    Ok(id) => id,
                    Err(error) => panic!("invalid name {text:?}: {error}"),
                }
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

name_ids! {
    /// Name of a host of the fleet.
    HostId;
    /// Name of a rack, unique in its data centre.
    RackId;
    /// Name of a data centre.
    DataCentreId;
    /// Name of a region, a group of data centres.
    RegionId;
    /// Name of a pool of hosts.
    PoolId;
    /// Name of a service.
    ServiceId;
    /// Name of a client account.
    AccountId;
    /// Name of a caller within the shared account.
    CallerId;
    /// Name of a team of operators.
    TeamId;
    /// Name of a maintenance wave.
    WaveId;
    /// Name of an entry host, a host that runs `tamarackd`.
    EntryId;
    /// Name of a job, chosen by its submitter.
    JobId;
    /// Name of a queue of jobs.
    QueueId;
    /// Name of one incarnation of a worker on a host.
    WorkerId;
}

macro_rules! number_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the id that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| IdError::NotANumber(text.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    )*};
}

number_ids! {
    /// Number of a request within one entry host.
    RequestId;
    /// Number of a call to the store within one process.
    CallId;
    /// Fencing term of a lease holder; a higher term replaces a lower one.
    Term;
    /// Revision of the document; grows by one with each accepted change.
    Revision;
    /// Epoch of the document; raised when the store was restored from a backup.
    Epoch;
    /// Version of a record in the store: the store's modification revision.
    RecordVersion;
    /// Lease granted by the store.
    LeaseId;
    /// Random id of one write; the record keeps it, so that a writer whose reply
    /// was lost can see whether its write took effect.
    OperationId;
}

/// One instance of a service on a host, which requests are sent to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetId {
    /// The service that the instance runs.
    pub service: ServiceId,
    /// The host that the instance runs on.
    pub host: HostId,
}

impl TargetId {
    /// Creates the id of the instance of `service` on `host`.
    pub fn new(service: ServiceId, host: HostId) -> Self {
        Self { service, host }
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.service, self.host)
    }
}

impl FromStr for TargetId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (service, host) = text.split_once('@').ok_or(IdError::Empty)?;
        Ok(Self::new(service.parse()?, host.parse()?))
    }
}

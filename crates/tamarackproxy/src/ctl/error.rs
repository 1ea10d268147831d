//! Errors of `tamarackctl`.

use displaydoc::Display;

/// Reasons why a command failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CommandError {
    /// {path}: {message}; give the path of a readable file
    File { path: Box<str>, message: Box<str> },
    /// {0}
    Invalid(Box<str>),
    /// no token; give --token-file or set TAMARACK_TOKEN
    NoToken,
    /// {0} does not answer; give --address of a running entry host
    NotReached(Box<str>),
    /// {0}
    Refused(Box<str>),
    /// the response cannot be read: {0}; use tamarackctl of the same version
    Malformed(Box<str>),
    /// {0:?} is not a section; write kind and name such as "service booking"
    Section(Box<str>),
    /// the store has a document already; use document put
    DocumentExists,
    /// no command; see tamarackctl --help
    NoCommand,
}

impl std::error::Error for CommandError {}

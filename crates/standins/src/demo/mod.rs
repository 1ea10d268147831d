//! Demo that runs a whole deployment in one process: stand-ins of platform and
//! targets, entry hosts, callers, operators, one maintenance wave and at most one
//! injected fault.

mod deployment;
mod entries;
mod faults;
mod layout;
mod load;
mod operators;
mod options;
mod report;
mod run;
mod single;
mod site;

pub use self::{
    options::{DemoOptions, Deployment, Fault},
    run::run,
};

pub(crate) use self::single::SingleEntry;

#[cfg(test)]
mod sessions;
#[cfg(test)]
mod tests;

//! The platform's key-value service: JSON over HTTP in the form of the etcd
//! version 3 gateway.

mod faults;
mod gateway;
mod leases;
mod server;
mod state;

pub use self::{
    faults::{CallCounts, CallLimits, ReplyFate, StoreFaults},
    server::{StoreHandle, StoreServer},
    state::{Change, Compare, StoreSnapshot, StoreState, StoredKey, Write},
};

#[cfg(test)]
mod tests;

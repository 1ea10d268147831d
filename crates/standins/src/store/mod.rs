//! Stand-in for the platform's key-value service, with the JSON over HTTP
//! interface of the etcd version 3 gateway.

mod faults;
mod gateway;
mod leases;
mod server;
mod state;

pub use self::{
    faults::{CallCounts, CallLimits, ReplyDelivery, StoreFaults},
    server::{StoreHandle, StoreServer},
    state::{Change, Compare, StoreSnapshot, StoreState, StoredKey, Write},
};

#[cfg(test)]
mod tests;

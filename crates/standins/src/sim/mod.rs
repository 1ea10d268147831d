//! Simulated deployments of the configuration and seat engines in virtual time,
//! with injected faults.

mod cluster;
mod documents;
mod event;
mod faults;
mod node;
mod observations;
mod store;

pub use self::{
    cluster::{Cluster, ClusterOptions, NodeIndex},
    documents::{ADMIN, DocumentShape, MEMBER_A, MEMBER_B, document_text, service_edit},
    faults::Faults,
    node::NodeState,
    observations::{Observations, PutOutcome},
    store::{StoreSnapshot, VirtualStore, WatchRecord},
};

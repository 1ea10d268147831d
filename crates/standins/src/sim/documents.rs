//! Generated documents for simulations.

use std::fmt::Write;

use tamarackproxy::{
    coordination::configuration::SectionEdit,
    state::{
        document::{SectionKind, SectionName},
        ids::Revision,
    },
};

/// Team with the admin role.
pub const ADMIN: &str = "operations";
/// Team that owns the services with even numbers.
pub const MEMBER_A: &str = "team-a";
/// Team that owns the services with odd numbers.
pub const MEMBER_B: &str = "team-b";

/// Returns a distinct digest for each number.
fn digest(number: usize) -> String {
    format!("{number:064x}")
}

fn owner(service: usize) -> &'static str {
    if service.is_multiple_of(2) { MEMBER_A } else { MEMBER_B }
}

/// Numbers of sections in a generated document.
#[derive(Clone, Copy, Debug)]
pub struct DocumentShape {
    /// Number of data centres.
    pub data_centres: usize,
    /// Seats in each data centre.
    pub seats: u16,
    /// Number of teams besides the three that the simulation uses.
    pub teams: usize,
    /// Number of services, each with a pool and a budget.
    pub services: usize,
    /// Number of callers.
    pub callers: usize,
}

/// Generates a valid document of this shape.
pub fn document_text(shape: DocumentShape) -> String {
    let DocumentShape { data_centres, seats, teams, services, callers } = shape;
    let mut text = String::from("[document]\ndeployment = simulated\n\n");
    let named = [(ADMIN, "role = admin\n"), (MEMBER_A, ""), (MEMBER_B, "")];
    for (index, (team, role)) in named.into_iter().enumerate() {
        let digest = digest(index);
        let _ = write!(text, "[team {team}]\n{role}token_sha256 = {digest}\n\n");
    }
    for index in 0..teams {
        let digest = digest(1_000 + index);
        let _ = write!(
            text,
            "[team t{index}]\ntoken_sha256 = {digest}\nquota_cpu_millicores = 200000\n\
             quota_memory = 800GiB\n\n"
        );
    }
    for index in 0..data_centres {
        let _ = write!(text, "[data-centre dc{index:02}]\nregion = r\nseats = {seats}\n\n");
    }
    for index in 0..services {
        let owner = owner(index);
        let _ = write!(
            text,
            "[pool p{index}]\nowner = {owner}\nsize = dc00:4\nminimum = 3\nmaximum = 8\n\
             spare = false\nbuffer_racks = 1\n\n[service s{index}]\n{}\n\n\
             [budget s{index}]\nowner = {owner}\nmin_available = 2\nmax_stopped = 1\n\n",
            service_body(index, 1_000)
        );
    }
    for index in 0..callers {
        let (owner, digest) = (owner(index), digest(1_000_000 + index));
        let _ = write!(
            text,
            "[caller c{index}]\nowner = {owner}\ntoken_sha256 = {digest}\nweight = 10\n\
             most_urgent = urgent\nservices = s0\n\n"
        );
    }
    text
}

fn service_body(index: usize, queue_limit: u32) -> String {
    format!(
        "owner = {}\npool = p{index}\nport = {}\nslots = 8\nconnections = 64\ndeadline = 2s\n\
         objective = 99.9%\nobjective_window = 28d\nobjective_latency = 1500ms\n\
         queue_limit = {queue_limit}",
        owner(index),
        9_001 + index
    )
}

/// Returns an edit that sets the queue limit of a service.
pub fn service_edit(index: usize, queue_limit: u32, base: Revision) -> SectionEdit {
    SectionEdit {
        section: SectionName { kind: SectionKind::Service, name: format!("s{index}").into() },
        text: Some(service_body(index, queue_limit).into()),
        base,
    }
}

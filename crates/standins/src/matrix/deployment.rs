//! The small deployment of the matrix: two data centres with two entry hosts
//! each and sixteen hosts in racks of two.

use std::net::IpAddr;

use tamarackproxy::{
    protocol::platform::{ListedHost, ListedState},
    state::{
        document::{Document, DocumentText},
        ids::{DataCentreId, HostId, OperationId, RackId, TeamId},
        records::HeadRecord,
        settings::Settings,
    },
};

use crate::caller::{token_digest, token_of};

/// Data centres.
pub(super) const DATA_CENTRES: [&str; 2] = ["a", "b"];
/// Entry hosts in each data centre.
pub(super) const ENTRIES_PER_DATA_CENTRE: usize = 2;
/// Hosts in each data centre.
const HOSTS_PER_DATA_CENTRE: usize = 8;
/// Hosts in each rack.
const HOSTS_PER_RACK: usize = 2;
/// Service that receives the traffic.
pub(super) const ORDERS: &str = "orders";
/// Callers of the service, one with its home in each data centre.
pub(super) const CALLERS: [&str; 2] = ["desk-a", "desk-b"];

/// Returns the text of the document.
pub(super) fn document_text() -> DocumentText {
    let digest = |name: &str| token_digest(&token_of(name));
    let callers = CALLERS.iter().zip(DATA_CENTRES).map(|(caller, home)| {
        format!(
            "[caller {caller}]\nowner = shop\ntoken_sha256 = {}\nhome = {home}\n",
            digest(caller)
        )
    });
    let callers: String = callers.collect();
    let text = format!(
        "[document]\ndeployment = matrix\n\
         [team operations]\nrole = admin\ntoken_sha256 = {operations}\n\
         [team shop]\ntoken_sha256 = {shop}\n\
         [data-centre a]\nregion = r\nseats = 2\n\
         [data-centre b]\nregion = r\nseats = 2\n\
         [pool orders]\nowner = shop\nsize = a:5, b:5\nminimum = 8\nmaximum = 10\n\
         [pool spare]\nowner = shop\nsize = a:3, b:3\nminimum = 4\nmaximum = 6\nspare = true\n\
         [service orders]\nowner = shop\npool = orders\nport = 9001\ndeadline = 2s\n\
         [service reports]\nowner = shop\npool = spare\nport = 9002\ndeadline = 2s\n\
         [budget orders]\nowner = shop\nmin_available = 7\nmax_stopped = 2\n\
         [budget reports]\nowner = shop\nmin_available = 3\nmax_stopped = 1\n\
         [wave reboot]\nowner = operations\npools = orders, spare\nmax_parallel = 2\n\
         return_deadline = 10s\ndrain_deadline = 20s\npause_after_failures = 3\n\
         {callers}",
        operations = digest("operations"),
        shop = digest("shop"),
    );
    let parsed = Document::parse(&text);
    assert!(parsed.is_ok(), "the matrix document is invalid: {parsed:?}");
    DocumentText::parse(&text).unwrap_or_default()
}

/// Returns the head record of the first revision of the document.
pub(super) fn first_head() -> HeadRecord {
    HeadRecord::first(&document_text(), TeamId::new("operations"), 0, OperationId(1))
}

/// Returns the name and data centre of each entry host.
pub(super) fn entries() -> Vec<(String, DataCentreId)> {
    let of = |data_centre: &'static str| {
        (1..=ENTRIES_PER_DATA_CENTRE)
            .map(move |n| (format!("{data_centre}-{n}"), DataCentreId::new(data_centre)))
    };
    DATA_CENTRES.into_iter().flat_map(of).collect()
}

/// Returns the settings of one entry host.
pub(super) fn settings(index: usize) -> Settings {
    let entries = entries();
    let (name, data_centre) = &entries[index];
    let peers = entries.iter().enumerate().filter(|(other, _)| *other != index);
    let peers: String = peers
        .map(|(other, (name, centre))| format!("{name} = {centre} 10.0.0.{other}:8082\n"))
        .collect();
    let text = format!(
        "[entry]\nname = {name}\ndata_centre = {data_centre}\n\
         [listen]\ncallers = 10.0.0.{index}:8080\nadmin = 10.0.0.{index}:8081\n\
         peers = 10.0.0.{index}:8082\n\
         [store]\naddress = 10.1.0.1:2379\n[platform]\naddress = 10.1.0.1:2380\n\
         [peers]\n{peers}"
    );
    Settings::parse(&text).unwrap_or_else(|errors| panic!("matrix settings: {errors}"))
}

/// Returns the hosts that the platform lists.
pub(super) fn hosts() -> Vec<ListedHost> {
    let of = |(centre, data_centre): (usize, &'static str)| {
        (0..HOSTS_PER_DATA_CENTRE).map(move |n| ListedHost {
            host: HostId::new(format!("{data_centre}{n}")),
            data_centre: DataCentreId::new(data_centre),
            rack: RackId::new(format!("{data_centre}-r{}", n / HOSTS_PER_RACK)),
            address: format!("10.2.{centre}.{n}").into(),
            cpu_millicores: 32_000,
            memory_bytes: 128 << 30,
            accelerators: 0,
            state: ListedState::Live,
        })
    };
    DATA_CENTRES.into_iter().enumerate().flat_map(of).collect()
}

/// Returns the host with this address, if any.
pub(super) fn host_at(address: IpAddr) -> Option<HostId> {
    let text = address.to_string();
    hosts().into_iter().find(|host| *host.address == text).map(|host| host.host)
}

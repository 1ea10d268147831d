//! Derives hosts, entry hosts and the maintenance wave of a run from the document
//! of a deployment.

use anyhow::{Context, anyhow};
use tamarackproxy::{
    protocol::platform::{ListedHost, ListedState},
    state::{
        document::{Document, DocumentText, SectionKind, SectionName},
        ids::{DataCentreId, EntryId, HostId, RackId, WaveId},
    },
};

use super::{layout::Layout, options::Deployment};
use crate::{
    target::{InstanceAddress, ServiceTimes},
    verdict::ServiceRule,
};

/// Hosts in one rack.
const HOSTS_PER_RACK: usize = 4;
/// Memory of a host, in bytes.
const HOST_MEMORY_BYTES: u64 = 128 << 30;
/// Mean service times, with which a surge of 250 requests per second nearly fills
/// the 80 slots of a pool of ten hosts.
const SERVICE_TIMES: ServiceTimes =
    ServiceTimes { urgent_ms: 200.0, normal_ms: 300.0, bulk_ms: 400.0 };
/// Line that pauses the wave, so that it does not start before the callers.
const PAUSED: &str = "paused = true";

impl Deployment {
    fn text(self) -> &'static str {
        match self {
            Deployment::Kigali => include_str!("../../../../examples/kigali.ini"),
            Deployment::Kielce => include_str!("../../../../examples/kielce.ini"),
        }
    }

    fn cpu_millicores(self) -> u64 {
        match self {
            Deployment::Kigali => 32_000,
            Deployment::Kielce => 64_000,
        }
    }
}

/// Name and position of an entry host.
#[derive(Clone, Debug)]
pub(super) struct PlannedEntry {
    pub(super) entry: EntryId,
    /// Index of the data centre in the plan.
    pub(super) data_centre: usize,
    /// Index of the entry host within its data centre.
    pub(super) number: usize,
}

/// Everything that a run is built from.
pub(super) struct Plan {
    /// The first document, with its wave paused.
    pub(super) text: DocumentText,
    pub(super) document: Document,
    pub(super) data_centres: Vec<DataCentreId>,
    pub(super) hosts: Vec<ListedHost>,
    pub(super) entries: Vec<PlannedEntry>,
    pub(super) wave: WaveId,
    pub(super) layout: Layout,
    pub(super) service_times: ServiceTimes,
}

impl Plan {
    pub(super) fn new(deployment: Deployment, layout: Layout) -> anyhow::Result<Self> {
        Self::of_text(deployment.text(), deployment.cpu_millicores(), SERVICE_TIMES, layout)
    }

    /// Creates a plan from a document other than the examples.
    ///
    /// Fails if the document is invalid or has no wave.
    pub(super) fn of_text(
        text: &str,
        cpu_millicores: u64,
        service_times: ServiceTimes,
        layout: Layout,
    ) -> anyhow::Result<Self> {
        let document = Document::parse(text).context("the document is not valid")?;
        let text = DocumentText::parse(text).context("the document is not valid")?;
        let wave = document.waves.keys().next().cloned();
        let wave = wave.ok_or_else(|| anyhow!("the document has no wave; add a [wave] section"))?;
        let section = wave_section(&wave);
        let body = text.section(&section).unwrap_or_default();
        let paused = format!("{body}\n{PAUSED}");
        let text = text.with_section(section, Some(&paused));
        let data_centres: Vec<DataCentreId> = document.data_centres.keys().cloned().collect();
        let hosts = hosts(&document, &data_centres, layout, cpu_millicores);
        let entries = entries(&document);
        Ok(Self { text, document, data_centres, hosts, entries, wave, layout, service_times })
    }

    /// Returns the section of the wave and its body without the pausing line.
    pub(super) fn wave_start(&self) -> (SectionName, String) {
        let section = wave_section(&self.wave);
        let body = self.text.section(&section).unwrap_or_default();
        let lines: Vec<&str> = body.lines().filter(|line| *line != PAUSED).collect();
        (section, lines.join("\n"))
    }

    pub(super) fn instances(&self) -> Vec<InstanceAddress> {
        let services = self.document.services.iter();
        services
            .map(|(service, section)| InstanceAddress {
                service: service.clone(),
                port: section.port,
            })
            .collect()
    }

    pub(super) fn rules(&self) -> Vec<ServiceRule> {
        let services = self.document.services.iter();
        let rule = |(service, section): (&_, &tamarackproxy::state::document::ServiceSection)| {
            let budget = self.document.budgets.get(service);
            ServiceRule {
                service: Clone::clone(service),
                pool: section.pool.clone(),
                min_available: budget.map_or(0, |budget| budget.min_available),
            }
        };
        services.map(rule).collect()
    }
}

fn wave_section(wave: &WaveId) -> SectionName {
    SectionName { kind: SectionKind::Wave, name: wave.as_str().into() }
}

/// Creates as many hosts in each data centre as the sizes of its pools add up to.
fn hosts(
    document: &Document,
    data_centres: &[DataCentreId],
    layout: Layout,
    cpu_millicores: u64,
) -> Vec<ListedHost> {
    let in_data_centre = |(index, data_centre): (usize, &DataCentreId)| {
        let sizes = document.pools.values().filter_map(|pool| pool.size.get(data_centre));
        let count = sizes.sum::<u32>() as usize;
        let data_centre = data_centre.clone();
        (0..count).map(move |number| ListedHost {
            host: HostId::new(format!("{data_centre}-h{:02}", number + 1)),
            rack: RackId::new(format!("{data_centre}-r{}", number / HOSTS_PER_RACK + 1)),
            data_centre: data_centre.clone(),
            address: layout.host(index, number).to_string().into(),
            cpu_millicores,
            memory_bytes: HOST_MEMORY_BYTES,
            accelerators: 0,
            state: ListedState::Live,
        })
    };
    data_centres.iter().enumerate().flat_map(in_data_centre).collect()
}

fn entries(document: &Document) -> Vec<PlannedEntry> {
    let in_data_centre = |(index, (name, section)): (usize, (&DataCentreId, &_))| {
        let section: &tamarackproxy::state::document::DataCentreSection = section;
        let name = name.clone();
        (0..usize::from(section.seats)).map(move |number| PlannedEntry {
            entry: EntryId::new(format!("{name}-{}", number + 1)),
            data_centre: index,
            number,
        })
    };
    document.data_centres.iter().enumerate().flat_map(in_data_centre).collect()
}

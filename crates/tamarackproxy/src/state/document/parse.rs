//! Parses a document from text.

use std::collections::BTreeMap;

use super::{
    BudgetSection, CallerSection, DataCentreSection, Document, FailureReserve, KeyRule,
    PoolSection, SectionKind, SectionName, ServiceSection, TeamRole, TeamSection, Urgency,
    WaveSection,
    text::{DocumentText, parse_header},
    validate::validate,
};
use crate::state::{
    ids::{DataCentreId, IdError, RegionId, TeamId},
    ini::{IniError, IniErrorKind, IniErrors, RawSection, SectionReader, read_sections},
    units::{DurationMs, RatePerSecond, Share, SizeBytes},
};

/// Largest document, in bytes; the store accepts values up to 1 MB, and the
/// record that contains the text needs part of it.
pub const DOCUMENT_MAX_BYTES: usize = 900_000;

const NAME: &str = "a name of 1 to 64 lower-case letters, digits, '-', '_' and '.'";
const NAMES: &str = "names separated by commas";
const DIGESTS: &str = "SHA-256 digests of 64 hexadecimal digits separated by commas";
const DURATION: &str = "a duration such as 250ms, 2s, 5min, 1h or 30d";
const SIZE: &str = "a size such as 64GiB";
const NUMBER: &str = "a whole number";
const SHARE: &str = "a percentage such as 99.9%";
const BOOLEAN: &str = "true or false";

/// Number of slots of one instance unless the service says otherwise.
const SLOTS: u16 = 8;
/// Number of connections of one instance unless the service says otherwise.
const CONNECTIONS: u16 = 64;

/// A SHA-256 digest in hexadecimal.
struct Digest(Box<str>);

impl std::str::FromStr for Digest {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let is_digest = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        is_digest.then(|| Self(text.to_ascii_lowercase().into())).ok_or(())
    }
}

/// Hosts of one data centre, written `NAME:COUNT`.
struct HostCount(DataCentreId, u32);

impl std::str::FromStr for HostCount {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (name, count) = text.split_once(':').ok_or(IdError::Empty)?;
        let count = count.trim().parse().map_err(|_| IdError::NotANumber(count.into()))?;
        Ok(Self(name.trim().parse()?, count))
    }
}

fn digests(reader: &mut SectionReader<'_>) -> Vec<Box<str>> {
    reader.list::<Digest>("token_sha256", DIGESTS).into_iter().map(|digest| digest.0).collect()
}

fn team(reader: &mut SectionReader<'_>) -> Option<TeamSection> {
    let section = TeamSection {
        token_sha256: digests(reader),
        role: reader.or_default("role", "member or admin", TeamRole::Member),
        quota_cpu_millicores: reader.or_default("quota_cpu_millicores", NUMBER, 0),
        quota_memory_bytes: reader
            .or_default("quota_memory", SIZE, SizeBytes::default())
            .as_bytes(),
        quota_accelerators: reader.or_default("quota_accelerators", NUMBER, 0),
    };
    Some(section)
}

fn data_centre(reader: &mut SectionReader<'_>) -> Option<DataCentreSection> {
    let region: Option<RegionId> = reader.required("region", NAME);
    let seats = reader.in_range("seats", 1..=64, Some(2));
    Some(DataCentreSection { region: region?, seats: seats? })
}

fn pool(reader: &mut SectionReader<'_>) -> Option<PoolSection> {
    let owner: Option<TeamId> = reader.required("owner", NAME);
    let counts: Vec<HostCount> = reader.list("size", "pairs such as gasabo:3 separated by commas");
    let size: BTreeMap<_, _> = counts.into_iter().map(|HostCount(name, n)| (name, n)).collect();
    let total: u32 = size.values().sum();
    let section = PoolSection {
        minimum: reader.or_default("minimum", NUMBER, total),
        maximum: reader.or_default("maximum", NUMBER, total),
        spare: reader.or_default("spare", BOOLEAN, false),
        buffer_racks: reader.or_default("buffer_racks", NUMBER, 1),
        size,
        owner: owner?,
    };
    Some(section)
}

fn service(reader: &mut SectionReader<'_>) -> Option<ServiceSection> {
    let owner: Option<TeamId> = reader.required("owner", NAME);
    let pool = reader.required("pool", NAME);
    let port = reader.in_range("port", 1..=u16::MAX, None);
    let slots = reader.in_range("slots", 1..=1024, Some(SLOTS));
    let connections = reader.in_range("connections", 1..=u16::MAX, Some(CONNECTIONS));
    let deadline = reader.in_range(
        "deadline",
        DurationMs::new(1)..=DurationMs::new(30_000),
        Some(DurationMs::new(2_000)),
    );
    let rule = KeyRule::Required;
    let key_rule = reader.or_default("idempotency_key", "required, optional or repeatable", rule);
    let objective = reader.or_default("objective", SHARE, Share::new(0.999));
    let window = DurationMs::new(28 * 86_400_000);
    let objective_window = reader.or_default("objective_window", DURATION, window);
    let objective_latency =
        reader.or_default("objective_latency", DURATION, DurationMs::new(1_500));
    let queue_limit = reader.in_range("queue_limit", 1..=100_000, Some(1_000));
    Some(ServiceSection {
        owner: owner?,
        pool: pool?,
        port: port?,
        slots: slots?,
        connections: connections?,
        deadline: deadline?,
        idempotency_key: key_rule,
        objective,
        objective_window,
        objective_latency,
        queue_limit: queue_limit?,
    })
}

fn budget(reader: &mut SectionReader<'_>) -> Option<BudgetSection> {
    let owner: Option<TeamId> = reader.required("owner", NAME);
    let min_available = reader.required("min_available", NUMBER);
    let section = BudgetSection {
        max_stopped: reader.or_default("max_stopped", NUMBER, 1),
        failure_reserve: reader.or_default("failure_reserve", "rack or none", FailureReserve::Rack),
        owner: owner?,
        min_available: min_available?,
    };
    Some(section)
}

fn caller(reader: &mut SectionReader<'_>) -> Option<CallerSection> {
    let owner: Option<TeamId> = reader.required("owner", NAME);
    let weight = reader.in_range("weight", 1..=1_000, Some(1));
    let section = CallerSection {
        token_sha256: digests(reader),
        home: reader.optional("home", NAME),
        most_urgent: reader.or_default("most_urgent", "urgent, normal or bulk", Urgency::Urgent),
        rate_limit: reader.optional::<RatePerSecond>("rate_limit", "a rate such as 25/s"),
        services: reader.list("services", NAMES),
        owner: owner?,
        weight: weight?,
    };
    Some(section)
}

fn wave(reader: &mut SectionReader<'_>) -> Option<WaveSection> {
    let owner: Option<TeamId> = reader.required("owner", NAME);
    let pools = reader.list("pools", NAMES);
    let max_parallel = reader.in_range("max_parallel", 1..=10_000, Some(1));
    let section = WaveSection {
        pools,
        paused: reader.or_default("paused", BOOLEAN, false),
        return_deadline: reader.or_default("return_deadline", DURATION, DurationMs::new(600_000)),
        drain_deadline: reader.or_default("drain_deadline", DURATION, DurationMs::new(60_000)),
        pause_after_failures: reader.or_default("pause_after_failures", NUMBER, 2),
        owner: owner?,
        max_parallel: max_parallel?,
    };
    Some(section)
}

/// Reads one section and inserts it under its id.
fn insert<I, S>(
    into: &mut BTreeMap<I, S>,
    name: &SectionName,
    raw: &RawSection,
    errors: &mut Vec<IniError>,
    read: fn(&mut SectionReader<'_>) -> Option<S>,
) where
    I: std::str::FromStr + Ord,
{
    let mut reader = SectionReader::new(raw, errors);
    let section = read(&mut reader);
    reader.finish();
    if let (Some(section), Ok(id)) = (section, name.name.parse()) {
        into.insert(id, section);
    }
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with its section and key, what was found, what is
    /// accepted, and the remedy.
    pub fn parse(text: &str) -> Result<Self, IniErrors> {
        let whole = |kind| IniError { file: None, section: "".into(), key: None, kind };
        if text.len() > DOCUMENT_MAX_BYTES {
            let (found, accepted) = (text.len(), DOCUMENT_MAX_BYTES);
            return Err(errors_of(whole(IniErrorKind::TooLarge { found, accepted })));
        }
        DocumentText::parse(text)?;
        let sections = read_sections(text).map_err(errors_of)?;
        let mut errors = Vec::new();
        let document = Self::read(&sections, &mut errors);
        // References are checked only if all sections are valid: a section left
        // out because of an invalid key would cause follow-on errors.
        if errors.is_empty() {
            validate(&document, &mut errors);
        }
        IniErrors::check(errors)?;
        Ok(document)
    }

    fn read(sections: &[RawSection], errors: &mut Vec<IniError>) -> Self {
        let mut document = Self {
            deployment: "".into(),
            teams: BTreeMap::new(),
            data_centres: BTreeMap::new(),
            pools: BTreeMap::new(),
            services: BTreeMap::new(),
            budgets: BTreeMap::new(),
            callers: BTreeMap::new(),
            waves: BTreeMap::new(),
        };
        for raw in sections {
            match parse_header(&raw.header) {
                Ok(name) => document.read_section(&name, raw, errors),
                Err(kind) => {
                    let section = raw.header.clone();
                    errors.push(IniError { file: None, section, key: None, kind });
                }
            }
        }
        document
    }

    fn read_section(&mut self, name: &SectionName, raw: &RawSection, errors: &mut Vec<IniError>) {
        match name.kind {
            SectionKind::Document => {
                let mut reader = SectionReader::new(raw, errors);
                if let Some(deployment) = reader.required::<String>("deployment", NAME) {
                    self.deployment = deployment.into();
                }
                reader.finish();
            }
            SectionKind::Team => insert(&mut self.teams, name, raw, errors, team),
            SectionKind::DataCentre => {
                insert(&mut self.data_centres, name, raw, errors, data_centre);
            }
            SectionKind::Pool => insert(&mut self.pools, name, raw, errors, pool),
            SectionKind::Service => insert(&mut self.services, name, raw, errors, service),
            SectionKind::Budget => insert(&mut self.budgets, name, raw, errors, budget),
            SectionKind::Caller => insert(&mut self.callers, name, raw, errors, caller),
            SectionKind::Wave => insert(&mut self.waves, name, raw, errors, wave),
        }
    }
}

fn errors_of(error: IniError) -> IniErrors {
    match IniErrors::check(vec![error]) {
        Err(errors) => errors,
        Ok(()) => unreachable!("the list holds one error"),
    }
}

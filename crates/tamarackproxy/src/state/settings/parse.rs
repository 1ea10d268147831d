//! Parses settings from text.

use std::{net::SocketAddr, str::FromStr};

use log::LevelFilter;

use super::{
    LimitSettings, ListenSettings, LogSettings, PeerSettings, PlatformSettings, Settings,
    StoreSettings,
};
use crate::state::{
    ids::{DataCentreId, EntryId},
    ini::{
        IniError, IniErrorKind, IniErrors, RawSection, SectionReader, check_sections, read_section,
        read_sections,
    },
    units::{DurationMs, SizeBytes},
};

const SECTIONS: [&str; 7] = ["entry", "listen", "store", "platform", "peers", "limits", "log"];

const ADDRESS: &str = "an IP address and a port such as 10.0.0.1:8080";
const NAME: &str = "a name of 1 to 64 lower-case letters, digits, '-', '_' and '.'";
const DURATION: &str = "a duration such as 250ms, 2s or 5min";
const LEVEL: &str = "off, error, warn, info, debug or trace";

/// A level for one log target, written `TARGET:LEVEL`.
struct TargetLevel(Box<str>, LevelFilter);

impl FromStr for TargetLevel {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (target, level) = text.rsplit_once(':').ok_or(())?;
        let level = level.trim().parse().map_err(|_| ())?;
        Ok(Self(target.trim().trim_end_matches(':').into(), level))
    }
}

/// The value of a line in `[peers]`.
struct PeerAddress(DataCentreId, SocketAddr);

impl FromStr for PeerAddress {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (data_centre, address) = text.trim().split_once(char::is_whitespace).ok_or(())?;
        let data_centre = data_centre.parse().map_err(|_| ())?;
        Ok(Self(data_centre, address.trim().parse().map_err(|_| ())?))
    }
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with its section and key, what was found, what is
    /// accepted, and the remedy.
    pub fn parse(text: &str) -> Result<Self, IniErrors> {
        let mut errors = Vec::new();
        let sections = match read_sections(text) {
            Ok(sections) => sections,
            Err(error) => {
                errors.push(error);
                Vec::new()
            }
        };
        check_sections(&sections, &SECTIONS, &mut errors);
        let settings = Self::read(&sections, &mut errors);
        IniErrors::check(errors)?;
        settings.ok_or_else(|| unreachable!("a missing value is an error"))
    }

    fn read(sections: &[RawSection], errors: &mut Vec<IniError>) -> Option<Self> {
        let entry = read_section(sections, "entry", errors, |reader| {
            let entry: Option<EntryId> = reader.required("name", NAME);
            let data_centre: Option<DataCentreId> = reader.required("data_centre", NAME);
            Some((entry?, data_centre?))
        });
        let listen = read_section(sections, "listen", errors, |reader| {
            let callers = reader.required("callers", ADDRESS);
            let admin = reader.required("admin", ADDRESS);
            let peers = reader.required("peers", ADDRESS);
            Some(ListenSettings { callers: callers?, admin: admin?, peers: peers? })
        });
        let store = read_section(sections, "store", errors, |reader| {
            let address = reader.required("address", ADDRESS);
            let timeout = reader.or_default("timeout", DURATION, DurationMs::new(1_000));
            Some(StoreSettings { address: address?, timeout })
        });
        let platform = read_section(sections, "platform", errors, |reader| {
            let address = reader.required("address", ADDRESS);
            let list_interval =
                reader.or_default("list_interval", DURATION, DurationMs::new(1_000));
            Some(PlatformSettings { address: address?, list_interval })
        });
        let limits = read_section(sections, "limits", errors, limits);
        let log = read_section(sections, "log", errors, log_settings);
        let peers = peers(sections, errors);
        let (entry, data_centre) = entry?;
        Some(Self {
            entry,
            data_centre,
            listen: listen?,
            store: store?,
            platform: platform?,
            peers,
            limits: limits?,
            log: log?,
        })
    }
}

fn limits(reader: &mut SectionReader<'_>) -> Option<LimitSettings> {
    let caller_connections = reader.in_range("caller_connections", 1..=1_000_000, Some(10_000));
    let receive_timeout = reader.or_default("receive_timeout", DURATION, DurationMs::new(10_000));
    let stop_deadline = reader.or_default("stop_deadline", DURATION, DurationMs::new(35_000));
    let kept = SizeBytes::new(32 << 20);
    let kept_responses = reader.or_default("kept_responses", "a size such as 32MiB", kept);
    Some(LimitSettings {
        caller_connections: caller_connections?,
        receive_timeout,
        stop_deadline,
        kept_responses_bytes: kept_responses.as_bytes(),
    })
}

fn log_settings(reader: &mut SectionReader<'_>) -> Option<LogSettings> {
    let level = reader.or_default("level", LEVEL, LevelFilter::Info);
    let targets = reader.list::<TargetLevel>("targets", "pairs such as tamarackproxy::node:debug");
    let targets = targets.into_iter().map(|TargetLevel(target, level)| (target, level)).collect();
    Some(LogSettings { level, targets })
}

fn peers(sections: &[RawSection], errors: &mut Vec<IniError>) -> Vec<PeerSettings> {
    let raw = sections.iter().filter(|raw| &*raw.header == "peers");
    let mut peers = Vec::new();
    for (name, value) in raw.flat_map(|raw| &raw.entries) {
        match (name.parse(), value.parse()) {
            (Ok(entry), Ok(PeerAddress(data_centre, address))) => {
                peers.push(PeerSettings { entry, data_centre, address });
            }
            _ => errors.push(IniError {
                file: None,
                section: "peers".into(),
                key: Some(name.clone()),
                kind: IniErrorKind::BadValue {
                    found: value.clone(),
                    accepted: "NAME = DATA-CENTRE ADDRESS, such as a-2 = a 10.0.0.2:8082".into(),
                },
            }),
        }
    }
    peers
}

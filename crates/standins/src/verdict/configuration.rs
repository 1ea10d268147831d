//! Evaluates how fast configuration changes take effect and whether any is
//! lost.

use std::collections::HashMap;

use serde::Serialize;
use tamarackproxy::state::ids::EntryId;

use super::{Observations, observations::EntryOutage};

/// A put of the document that was reported to the operator as accepted.
#[derive(Clone, Debug)]
pub struct AcceptedPut {
    /// Time of the reply, in milliseconds.
    pub at_ms: u64,
    /// Epoch and revision of the put.
    pub position: (u64, u64),
    /// Header of the section.
    pub section: Box<str>,
    /// Line that the put wrote into the section.
    pub line: Box<str>,
}

/// A position of the document that an entry host reported as in force.
#[derive(Clone, Debug)]
pub struct Sighting {
    /// The entry host.
    pub entry: EntryId,
    /// Time, in milliseconds.
    pub at_ms: u64,
    /// Epoch and revision in force.
    pub position: (u64, u64),
    /// Whether the entry host accepts requests.
    pub ready: bool,
}

/// Counts of configuration changes, with their longest delay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConfigurationFigures {
    /// Puts that were accepted.
    pub config_changes: u64,
    /// Longest time from the acceptance of a put until an entry host reported
    /// it as in force, in milliseconds, without outages of the entry host.
    pub config_in_force_max_ms: u64,
    /// Returns of entry hosts or of the document to an earlier position, and
    /// accepted puts that are missing at the end.
    pub config_reverts: u64,
}

pub(super) fn evaluate(observations: &Observations) -> ConfigurationFigures {
    ConfigurationFigures {
        config_changes: observations.puts.len() as u64,
        config_in_force_max_ms: in_force_max_ms(observations),
        config_reverts: regressions(observations) + lost_puts(observations),
    }
}

fn in_force_max_ms(observations: &Observations) -> u64 {
    let mut by_entry: HashMap<&EntryId, Vec<&Sighting>> = HashMap::new();
    for sighting in observations.sightings.iter().filter(|sighting| sighting.ready) {
        by_entry.entry(&sighting.entry).or_default().push(sighting);
    }
    let delays = observations.puts.iter().flat_map(|put| {
        by_entry.iter().filter_map(|(entry, sightings)| {
            let seen = sightings
                .iter()
                .find(|seen| seen.at_ms >= put.at_ms && seen.position >= put.position);
            let seen_ms = seen.map_or(observations.until_ms, |seen| seen.at_ms);
            let from_ms = delay_start_ms(&observations.outages, entry, put.at_ms, seen_ms)?;
            Some(seen_ms.saturating_sub(from_ms))
        })
    });
    delays.max().unwrap_or(0)
}

/// Returns the time from which the delay of a put counts for an entry host,
/// after outages that overlap it; `None` if the entry host did not return from
/// one of them.
fn delay_start_ms(
    outages: &[EntryOutage],
    entry: &EntryId,
    put_ms: u64,
    seen_ms: u64,
) -> Option<u64> {
    let overlaps = |outage: &&EntryOutage| {
        outage.entry == *entry
            && outage.from_ms <= seen_ms
            && outage.to_ms.is_none_or(|to_ms| to_ms >= put_ms)
    };
    let mut ends = outages.iter().filter(overlaps).map(|outage| outage.to_ms);
    ends.try_fold(put_ms, |from, to| Some(from.max(to?)))
}

fn regressions(observations: &Observations) -> u64 {
    let mut latest: HashMap<&EntryId, (u64, u64)> = HashMap::new();
    let ready = observations.sightings.iter().filter(|sighting| sighting.ready);
    let by_entries = ready.filter(|sighting| {
        let before = latest.entry(&sighting.entry).or_insert(sighting.position);
        let is_regression = sighting.position < *before;
        *before = sighting.position;
        is_regression
    });
    let by_entries = by_entries.count() as u64;
    let heads = observations.heads.windows(2);
    let by_head = heads.filter(|pair| pair[1].position < pair[0].position).count() as u64;
    // A restore of the store resets the document without a write.
    by_entries + by_head.saturating_sub(observations.restores)
}

/// Counts the sections whose latest accepted line is not in force at the end,
/// unless the line of a put with unknown outcome is in force instead.
fn lost_puts(observations: &Observations) -> u64 {
    let mut latest: HashMap<&str, &AcceptedPut> = HashMap::new();
    for put in &observations.puts {
        let known = latest.entry(&put.section).or_insert(put);
        if put.position > known.position {
            *known = put;
        }
    }
    let in_force = |put: &AcceptedPut| has_line(&observations.final_text, &put.section, &put.line);
    let is_lost = |put: &&&AcceptedPut| {
        let mut open = observations.open_puts.iter().filter(|open| open.section == put.section);
        !in_force(put) && !open.any(in_force)
    };
    latest.values().filter(is_lost).count() as u64
}

fn has_line(text: &str, section: &str, line: &str) -> bool {
    let header = format!("[{section}]");
    let body = text.lines().skip_while(|line| line.trim() != header).skip(1);
    body.take_while(|line| !line.starts_with('[')).any(|other| other.trim() == line)
}

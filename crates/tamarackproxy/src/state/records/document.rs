//! Records of the document: its head and its history.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::RecentOperations;
use crate::state::{
    document::{DocumentText, SectionName},
    ids::{Epoch, OperationId, Revision, TeamId},
};

/// Revisions for which the removal of a section is remembered; an edit with an
/// older base is refused as a change of an unknown section would be.
const REMOVALS_KEPT: u64 = 1_000;

/// Value of `document/head`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Epoch; raised when a restored store was accepted.
    pub epoch: Epoch,
    /// Revision; grows by one with each accepted change, in all epochs.
    pub revision: Revision,
    /// The whole document with sections in order.
    pub text: Box<str>,
    /// Revision that changed each section last, by the section's header.
    pub changed: BTreeMap<Box<str>, Revision>,
    /// What this revision changed. The next writer copies it to the history
    /// before its own swap, in case the writer of this one did not.
    pub change: RevisionChange,
    /// Ids of the latest writes.
    pub operations: RecentOperations,
}

/// What one revision changed, seen from its head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionChange {
    /// Team on whose behalf it was written.
    pub author: TeamId,
    /// Time of the write, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Id of the write.
    pub operation: OperationId,
    /// Changed sections with their former bodies.
    pub before: Vec<(SectionName, Option<Box<str>>)>,
    /// Whether the former bodies were left out, for lack of room in the head.
    pub before_omitted: bool,
}

/// One section in a history entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionChange {
    /// The section.
    pub section: SectionName,
    /// Body before the revision; none if the section did not exist.
    pub before: Option<Box<str>>,
    /// Body since the revision; none if the section was removed.
    pub after: Option<Box<str>>,
}

/// Value of `document/history/<revision>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Epoch of the revision.
    pub epoch: Epoch,
    /// The revision.
    pub revision: Revision,
    /// Team on whose behalf it was written.
    pub author: TeamId,
    /// Time of the write, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Id of the write.
    pub operation: OperationId,
    /// Changed sections.
    pub changes: Vec<SectionChange>,
    /// Whether former bodies are missing, so that the revision cannot be
    /// reverted by number.
    pub before_omitted: bool,
}

impl HeadRecord {
    /// Makes the head of the first revision, written by `author` into an empty
    /// store.
    pub fn first(
        text: &DocumentText,
        author: TeamId,
        at_unix_ms: u64,
        operation: OperationId,
    ) -> Self {
        let revision = Revision(1);
        let sections: Vec<&SectionName> = text.sections().map(|(name, _)| name).collect();
        let mut operations = RecentOperations::default();
        operations.push(operation);
        Self {
            epoch: Epoch(1),
            revision,
            text: text.to_text().into(),
            changed: sections.iter().map(|name| (name.to_string().into(), revision)).collect(),
            change: RevisionChange {
                author,
                at_unix_ms,
                operation,
                before: sections.into_iter().map(|name| (name.clone(), None)).collect(),
                before_omitted: false,
            },
            operations,
        }
    }

    /// Returns the history entry of this revision.
    pub fn history(&self) -> HistoryRecord {
        let text = DocumentText::parse(&self.text).unwrap_or_default();
        let change = |(section, before): &(SectionName, Option<Box<str>>)| SectionChange {
            section: section.clone(),
            before: before.clone(),
            after: text.section(section).map(Into::into),
        };
        HistoryRecord {
            epoch: self.epoch,
            revision: self.revision,
            author: self.change.author.clone(),
            at_unix_ms: self.change.at_unix_ms,
            operation: self.change.operation,
            changes: self.change.before.iter().map(change).collect(),
            before_omitted: self.change.before_omitted,
        }
    }

    /// Notes that this revision changed a section.
    pub fn mark_changed(&mut self, section: &SectionName) {
        self.changed.insert(section.to_string().into(), self.revision);
    }

    /// Forgets sections that were removed long ago.
    pub fn forget_removals(&mut self, text: &DocumentText) {
        let revision = self.revision.0;
        self.changed.retain(|header, changed| {
            let is_recent = revision <= changed.0 + REMOVALS_KEPT;
            is_recent || header.parse().is_ok_and(|name| text.section(&name).is_some())
        });
    }
}

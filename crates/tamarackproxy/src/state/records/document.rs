//! Records of the document: its head and its history.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::RecentOperations;
use crate::state::{
    document::{DocumentText, SectionName},
    ids::{Epoch, OperationId, Revision, TeamId},
};

/// Number of revisions for which the removal of a section is recorded; an edit
/// with an older base is refused like a change of an unknown section.
const REMOVALS_KEPT: u64 = 1_000;

/// Value of `document/head`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Epoch; raised when a store restored from a backup was accepted.
    pub epoch: Epoch,
    /// Revision; grows by one with each accepted change, across epochs.
    pub revision: Revision,
    /// Text of the whole document, with sections in order.
    pub text: Box<str>,
    /// Revision that changed each section last, by the section's header.
    pub changed: BTreeMap<Box<str>, Revision>,
    /// What this revision changed. The next writer copies it to the history
    /// before its own compare-and-swap, in case the writer of this revision did
    /// not.
    pub change: RevisionChange,
    /// Ids of the latest writes.
    pub operations: RecentOperations,
}

/// What one revision changed, as stored in its head record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionChange {
    /// Team on whose behalf it was written.
    pub author: TeamId,
    /// Time of the write, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Id of the write.
    pub operation: OperationId,
    /// Changed sections with their previous bodies.
    pub before: Vec<(SectionName, Option<Box<str>>)>,
    /// Whether the previous bodies were left out because the head record would
    /// be too large.
    pub before_omitted: bool,
}

/// One section in a history entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionChange {
    pub section: SectionName,
    /// Body before the revision; `None` if the section did not exist.
    pub before: Option<Box<str>>,
    /// Body since the revision; `None` if the section was removed.
    pub after: Option<Box<str>>,
}

/// Value of `document/history/<revision>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Epoch of the revision.
    pub epoch: Epoch,
    pub revision: Revision,
    /// Team on whose behalf it was written.
    pub author: TeamId,
    /// Time of the write, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Id of the write.
    pub operation: OperationId,
    /// Changed sections.
    pub changes: Vec<SectionChange>,
    /// Whether previous bodies are missing, so that the revision cannot be
    /// reverted by its number.
    pub before_omitted: bool,
}

impl HeadRecord {
    /// Creates the head of the first revision, which `author` writes into an
    /// empty store.
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

    /// Records that this revision changed a section.
    pub fn mark_changed(&mut self, section: &SectionName) {
        self.changed.insert(section.to_string().into(), self.revision);
    }

    /// Discards entries of sections that were removed more than
    /// `REMOVALS_KEPT` revisions ago.
    pub fn forget_removals(&mut self, text: &DocumentText) {
        let revision = self.revision.0;
        self.changed.retain(|header, changed| {
            let is_recent = revision <= changed.0 + REMOVALS_KEPT;
            is_recent || header.parse().is_ok_and(|name| text.section(&name).is_some())
        });
    }
}

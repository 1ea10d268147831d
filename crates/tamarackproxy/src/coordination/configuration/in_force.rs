//! The document in force and the most recent deltas that led to it.

use std::{collections::VecDeque, sync::Arc};

use super::{ConfigurationMessage, Position, SectionEdit};
use crate::state::{
    document::{Document, DocumentText},
    ids::Epoch,
    ini::IniErrors,
};

/// Maximum number of deltas kept; an entry host that missed more receives the
/// full text.
const DELTAS_MAX: usize = 128;
/// Maximum total size of the deltas kept, in bytes.
const DELTAS_MAX_BYTES: usize = 256 * 1024;

#[derive(Clone, Debug)]
struct Delta {
    base: Position,
    edits: Vec<SectionEdit>,
}

/// Newest document that this entry host has.
#[derive(Clone, Debug, Default)]
pub(super) struct InForce {
    position: Position,
    previous: Position,
    text: DocumentText,
    full_text: Arc<str>,
    document: Option<Arc<Document>>,
    deltas: VecDeque<Delta>,
    deltas_bytes: usize,
}

/// Result of an attempt to apply a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Applied {
    /// The position is in force now.
    Newer,
    /// The position in force is the same or a later one.
    NotNewer,
    /// The base of the delta is not the position in force.
    OtherBase,
    /// The text cannot be parsed.
    Unusable(IniErrors),
}

fn size_of(edits: &[SectionEdit]) -> usize {
    let size = |edit: &SectionEdit| {
        edit.section.name.len() + edit.text.as_ref().map_or(0, |text| text.len()) + 16
    };
    edits.iter().map(size).sum()
}

/// Applies edits to a text without validating the result.
pub(super) fn apply_edits(text: DocumentText, edits: &[SectionEdit]) -> DocumentText {
    let apply = |text: DocumentText, edit: &SectionEdit| {
        text.with_section(edit.section.clone(), edit.text.as_deref())
    };
    edits.iter().fold(text, apply)
}

/// Returns the edits that turn one text into the other.
fn edits_between(from: &DocumentText, to: &DocumentText, position: Position) -> Vec<SectionEdit> {
    let base = position.revision;
    let changed = to.sections().filter(|(name, body)| from.section(name) != Some(*body));
    let changed = changed.map(|(name, body)| SectionEdit {
        section: name.clone(),
        text: Some(body.into()),
        base,
    });
    let removed = from.sections().filter(|(name, _)| to.section(name).is_none());
    let removed = removed.map(|(name, _)| SectionEdit { section: name.clone(), text: None, base });
    changed.chain(removed).collect()
}

impl InForce {
    pub(super) fn position(&self) -> Position {
        self.position
    }

    pub(super) fn epoch(&self) -> Epoch {
        self.position.epoch
    }

    pub(super) fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    pub(super) fn full_text(&self) -> &Arc<str> {
        &self.full_text
    }

    /// Applies a full text.
    pub(super) fn apply_whole(&mut self, position: Position, text: &str) -> Applied {
        if position <= self.position {
            return Applied::NotNewer;
        }
        match DocumentText::parse(text) {
            Ok(text) => self.apply(position, text),
            Err(errors) => Applied::Unusable(errors),
        }
    }

    /// Applies a delta from the position in force.
    pub(super) fn apply_delta(
        &mut self,
        base: Position,
        position: Position,
        edits: &[SectionEdit],
    ) -> Applied {
        if position <= self.position {
            Applied::NotNewer
        } else if base != self.position {
            Applied::OtherBase
        } else {
            self.apply(position, apply_edits(self.text.clone(), edits))
        }
    }

    fn apply(&mut self, position: Position, text: DocumentText) -> Applied {
        let full_text = text.to_text();
        let document = match Document::parse(&full_text) {
            Ok(document) => document,
            Err(errors) => return Applied::Unusable(errors),
        };
        let edits = edits_between(&self.text, &text, position);
        let base = std::mem::replace(&mut self.position, position);
        self.previous = base;
        self.push_delta(Delta { base, edits });
        self.text = text;
        self.full_text = full_text.into();
        self.document = Some(Arc::new(document));
        Applied::Newer
    }

    fn push_delta(&mut self, delta: Delta) {
        self.deltas_bytes += size_of(&delta.edits);
        self.deltas.push_back(delta);
        while self.deltas.len() > DELTAS_MAX || self.deltas_bytes > DELTAS_MAX_BYTES {
            let Some(oldest) = self.deltas.pop_front() else { return };
            self.deltas_bytes -= size_of(&oldest.edits);
        }
    }

    /// Returns the message that takes an entry host from `from` to the position
    /// in force: a delta if the kept deltas reach back to `from` and are smaller
    /// than the full text.
    pub(super) fn message_from(&self, from: Position) -> ConfigurationMessage {
        let position = self.position;
        if from >= position {
            // An empty delta answers that there is nothing newer.
            return ConfigurationMessage::Delta { base: position, position, edits: Vec::new() };
        }
        let start = self.deltas.iter().position(|delta| delta.base == from);
        let edits: Option<Vec<_>> = start.map(|start| {
            self.deltas.iter().skip(start).flat_map(|delta| &delta.edits).cloned().collect()
        });
        match edits.filter(|edits| size_of(edits) < self.full_text.len()) {
            Some(edits) => ConfigurationMessage::Delta { base: from, position, edits },
            None => ConfigurationMessage::Whole { position, text: (&*self.full_text).into() },
        }
    }

    /// Returns the position before the last change.
    pub(super) fn previous(&self) -> Position {
        self.previous
    }
}

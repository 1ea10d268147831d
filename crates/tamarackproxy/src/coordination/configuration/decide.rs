//! Decision on one put: authorisation, conflict check and validation.

use bytes::Bytes;

use super::{Position, PutError, SectionEdit, in_force::apply_edits};
use crate::{
    protocol::store::VALUE_MAX_BYTES,
    state::{
        document::{
            DOCUMENT_MAX_BYTES, Document, DocumentText, SectionKind, SectionName, TeamRole,
        },
        ids::{Epoch, OperationId, Revision, TeamId},
        records::{HeadRecord, RecentOperations, RevisionChange},
    },
};

/// Changes requested by a put on behalf of an authenticated team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PutRequest {
    pub(super) team: TeamId,
    pub(super) edits: Vec<SectionEdit>,
    pub(super) raise_epoch: bool,
    pub(super) operation: OperationId,
}

/// Outcome of an accepted put.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// The put changes nothing in the head.
    Unchanged(Position),
    /// The head to write.
    Write(Box<HeadRecord>),
}

impl HeadRecord {
    /// Returns the position of the head.
    pub(super) fn position(&self) -> Position {
        Position { epoch: self.epoch, revision: self.revision }
    }
}

/// Decides on a put against the head in the store.
///
/// `in_force` is the position in force on this entry host; a lower head means
/// that the store was restored from a backup.
pub(super) fn decide(
    head: Option<&HeadRecord>,
    in_force: Position,
    put: &PutRequest,
    at_unix_ms: u64,
) -> Result<Decision, PutError> {
    let found = head.map_or(Position::default(), HeadRecord::position);
    if found < in_force && !put.raise_epoch {
        return Err(PutError::StoreRestored);
    }
    let before = head.map(|head| &*head.text).unwrap_or_default();
    let before = DocumentText::parse(before).map_err(invalid)?;
    let edits: Vec<_> = put.edits.iter().filter(|edit| changes_section(&before, edit)).collect();
    let after = apply_edits(before.clone(), &put.edits);
    let is_admin = is_admin(head, &after, &put.team);
    if put.raise_epoch && !is_admin {
        return Err(not_owner(&put.team, document_section(), "the admin role"));
    }
    for edit in &put.edits {
        authorise(&before, &after, &edit.section, &put.team, is_admin)?;
    }
    if !put.raise_epoch {
        edits.iter().try_for_each(|edit| check_base(head, found, edit))?;
        if edits.is_empty() && head.is_some() {
            return Ok(Decision::Unchanged(found));
        }
    }
    let text = after.to_text();
    if text.len() > DOCUMENT_MAX_BYTES {
        return Err(PutError::TooLarge(DOCUMENT_MAX_BYTES));
    }
    // A header line inside a section's text would change other sections.
    if DocumentText::parse(&text).map_err(invalid)? != after {
        let message =
            "the text of a section contains a [header] line; put that section under its own name";
        return Err(PutError::Invalid(message.into()));
    }
    Document::parse(&text).map_err(invalid)?;
    let position = next_position(found, in_force, put.raise_epoch);
    let change = change_of(&before, &edits, put, at_unix_ms);
    let next = next_head(head, position, &after, text, change);
    fit_to_value_limit(next).map(|head| Decision::Write(Box::new(head)))
}

fn invalid<E>(errors: E) -> PutError
where
    E: ToString,
{
    PutError::Invalid(errors.to_string().into())
}

fn not_owner(team: &TeamId, section: SectionName, owner: &str) -> PutError {
    PutError::NotOwner { team: team.clone(), section, owner: owner.into() }
}

fn document_section() -> SectionName {
    SectionName { kind: SectionKind::Document, name: "".into() }
}

fn changes_section(before: &DocumentText, edit: &SectionEdit) -> bool {
    before.section(&edit.section) != edit.text.as_deref().map(str::trim)
}

/// Returns whether the team has the admin role in the head, or in the document
/// being put if the store is empty.
fn is_admin(head: Option<&HeadRecord>, after: &DocumentText, team: &TeamId) -> bool {
    let section = SectionName { kind: SectionKind::Team, name: team.as_str().into() };
    let body = match head {
        Some(head) => {
            DocumentText::parse(&head.text).ok().and_then(|text| team_role(&text, &section))
        }
        None => team_role(after, &section),
    };
    body == Some(TeamRole::Admin)
}

/// Reads a team's role without validating the whole document.
fn team_role(text: &DocumentText, section: &SectionName) -> Option<TeamRole> {
    let body = text.section(section)?;
    let line = body.lines().find_map(|line| {
        let (key, value) = line.split_once('=')?;
        (key.trim() == "role").then(|| value.trim().to_owned())
    });
    line.map_or(Some(TeamRole::default()), |role| role.parse().ok())
}

/// Checks that the team may change a section: the team must be its current
/// owner, or the owner that a new section names. Admins may change any section.
fn authorise(
    before: &DocumentText,
    after: &DocumentText,
    section: &SectionName,
    team: &TeamId,
    is_admin: bool,
) -> Result<(), PutError> {
    if is_admin {
        return Ok(());
    }
    let admin_only =
        matches!(section.kind, SectionKind::Document | SectionKind::Team | SectionKind::DataCentre);
    if admin_only {
        return Err(not_owner(team, section.clone(), "the admin role"));
    }
    let text = if before.section(section).is_some() { before } else { after };
    match text.owner(section) {
        Some(owner) if owner == *team => Ok(()),
        Some(owner) => Err(not_owner(team, section.clone(), owner.as_str())),
        None => Err(not_owner(team, section.clone(), "the admin role")),
    }
}

/// Checks that the section has not changed since the revision that the author
/// read.
fn check_base(
    head: Option<&HeadRecord>,
    found: Position,
    edit: &SectionEdit,
) -> Result<(), PutError> {
    if edit.base > found.revision {
        return Err(PutError::StoreRestored);
    }
    let header = edit.section.to_string();
    let changed = head.and_then(|head| head.changed.get(header.as_str())).copied();
    match changed {
        Some(changed) if changed > edit.base => {
            let (section, base) = (edit.section.clone(), edit.base);
            Err(PutError::Stale { section, base, changed })
        }
        _ => Ok(()),
    }
}

/// Returns the position of the next revision. Revisions increase across epochs,
/// so no history entry is written twice.
fn next_position(found: Position, in_force: Position, raise_epoch: bool) -> Position {
    if !raise_epoch {
        return Position { epoch: found.epoch, revision: found.revision.next() };
    }
    let Epoch(epoch) = found.epoch.max(in_force.epoch);
    let revision = found.revision.max(in_force.revision).next();
    Position { epoch: Epoch(epoch + 1), revision }
}

fn change_of(
    before: &DocumentText,
    edits: &[&SectionEdit],
    put: &PutRequest,
    at_unix_ms: u64,
) -> RevisionChange {
    let previous =
        |edit: &&SectionEdit| (edit.section.clone(), before.section(&edit.section).map(Into::into));
    RevisionChange {
        author: put.team.clone(),
        at_unix_ms,
        operation: put.operation,
        before: edits.iter().map(previous).collect(),
        before_omitted: false,
    }
}

fn next_head(
    head: Option<&HeadRecord>,
    position: Position,
    after: &DocumentText,
    text: String,
    change: RevisionChange,
) -> HeadRecord {
    let mut next = HeadRecord {
        epoch: position.epoch,
        revision: position.revision,
        text: text.into(),
        changed: head.map(|head| head.changed.clone()).unwrap_or_default(),
        operations: head.map_or(RecentOperations::default(), |head| head.operations.clone()),
        change,
    };
    next.operations.push(next.change.operation);
    let sections: Vec<_> = next.change.before.iter().map(|(name, _)| name.clone()).collect();
    sections.iter().for_each(|section| next.mark_changed(section));
    next.forget_removals(after);
    next
}

/// Omits the previous texts from a head that exceeds the store's value limit.
fn fit_to_value_limit(mut head: HeadRecord) -> Result<HeadRecord, PutError> {
    let size = |head: &HeadRecord| serde_json::to_vec(head).map(|bytes| bytes.len());
    if size(&head).map_err(invalid)? <= VALUE_MAX_BYTES {
        return Ok(head);
    }
    head.change.before_omitted = true;
    head.change.before.iter_mut().for_each(|(_, before)| *before = None);
    match size(&head).map_err(invalid)? {
        size if size <= VALUE_MAX_BYTES => Ok(head),
        _ => Err(PutError::TooLarge(DOCUMENT_MAX_BYTES)),
    }
}

/// Returns the key and value of a head's history entry.
pub(super) fn history_entry(head: &HeadRecord) -> Option<(Box<str>, Bytes)> {
    let value = serde_json::to_vec(&head.history()).ok()?;
    Some((history_key(head.revision), value.into()))
}

/// Returns the key of a revision's history entry. The number is zero-padded, so
/// that a listing is in order of revisions.
pub(super) fn history_key(revision: Revision) -> Box<str> {
    format!("{}{:012}", super::HISTORY_PREFIX, revision.0).into()
}

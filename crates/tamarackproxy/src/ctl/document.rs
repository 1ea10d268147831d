//! Subcommands of `document`.

use serde_json::Value;

use super::{
    CommandError,
    arguments::{DocumentCommand, PutArguments, SectionArguments},
    check::read,
    client::AdminClient,
    table::Table,
};
use crate::{
    coordination::configuration::{Position, SectionEdit},
    protocol::admin::{DocumentBody, PutRequest},
    state::document::{DocumentText, SectionName},
};

fn parse_text(text: &str, file: &str) -> Result<DocumentText, CommandError> {
    DocumentText::parse(text)
        .map_err(|errors| CommandError::Invalid(errors.with_file(file).to_string().into()))
}

fn section_name(text: &str) -> Result<SectionName, CommandError> {
    text.parse().map_err(|_| CommandError::Section(text.into()))
}

/// Returns the sections that differ between two texts; sections that `new` lacks
/// count as removed only if `remove_missing` is set.
pub(super) fn changes(
    old: &DocumentText,
    new: &DocumentText,
    remove_missing: bool,
) -> Vec<(SectionName, Option<Box<str>>)> {
    let changed = new
        .sections()
        .filter(|(name, body)| old.section(name) != Some(*body))
        .map(|(name, body)| (name.clone(), Some(body.into())));
    let removed = old
        .sections()
        .filter(|(name, _)| remove_missing && new.section(name).is_none())
        .map(|(name, _)| (name.clone(), None));
    changed.chain(removed).collect()
}

/// Returns the changed lines of each section that a put of `new` would change.
pub(super) fn diff_text(old: &DocumentText, new: &DocumentText) -> String {
    let mut output = String::new();
    for (name, body) in changes(old, new, false) {
        let before = old.section(&name).unwrap_or_default();
        let after = body.as_deref().unwrap_or_default();
        output.push_str(&format!("[{name}]\n"));
        let removed = before.lines().filter(|line| !after.lines().any(|other| other == *line));
        removed.for_each(|line| output.push_str(&format!("-{line}\n")));
        let added = after.lines().filter(|line| !before.lines().any(|other| other == *line));
        added.for_each(|line| output.push_str(&format!("+{line}\n")));
    }
    output
}

pub(super) async fn run(
    client: &AdminClient,
    command: DocumentCommand,
    json: bool,
) -> Result<String, CommandError> {
    match command {
        DocumentCommand::Get(arguments) => get(client, arguments, json).await,
        DocumentCommand::Put(arguments) => put(client, arguments).await,
        DocumentCommand::Diff(arguments) => {
            let current: DocumentBody = client.get("document").await?;
            let file = arguments.file.display().to_string();
            let new = parse_text(&read(&arguments.file)?, &file)?;
            Ok(diff_text(&parse_text(&current.text, "document in force")?, &new))
        }
        DocumentCommand::Revert(arguments) => {
            let path = format!("document/revert/{}", arguments.revision);
            let position: Position = client.post(&path, bytes::Bytes::new()).await?;
            Ok(format!("accepted as revision {}\n", position.revision))
        }
        DocumentCommand::History(arguments) => history(client, arguments, json).await,
        DocumentCommand::Init(arguments) => super::run::init(arguments).await,
    }
}

async fn get(
    client: &AdminClient,
    arguments: SectionArguments,
    json: bool,
) -> Result<String, CommandError> {
    let current: DocumentBody = client.get("document").await?;
    let Some(section) = arguments.section else {
        return if json { super::run::to_json(&current) } else { Ok(current.text.into()) };
    };
    let name = section_name(&section)?;
    let text = parse_text(&current.text, "document in force")?;
    match text.section(&name) {
        Some(body) => Ok(format!("[{name}]\n{body}\n")),
        None => Err(CommandError::Section(section.into())),
    }
}

async fn put(client: &AdminClient, arguments: PutArguments) -> Result<String, CommandError> {
    let current: DocumentBody = client.get("document").await?;
    let base = current.position.revision;
    let old = parse_text(&current.text, "document in force")?;
    let file = arguments.file.display().to_string();
    let new = parse_text(&read(&arguments.file)?, &file)?;
    let edits = changes(&old, &new, arguments.remove_missing)
        .into_iter()
        .map(|(section, text)| SectionEdit { section, text, base });
    let request = PutRequest { edits: edits.collect(), raise_epoch: arguments.raise_epoch };
    if request.edits.is_empty() && !request.raise_epoch {
        return Ok(format!("nothing changes; revision {base} stays in force\n"));
    }
    let position: Position = client.put("document", &request).await?;
    Ok(format!("accepted as revision {}\n", position.revision))
}

async fn history(
    client: &AdminClient,
    arguments: SectionArguments,
    json: bool,
) -> Result<String, CommandError> {
    let mut rows: Vec<Value> = client.rows("document/history").await?;
    if let Some(section) = arguments.section {
        let name = section_name(&section)?.to_string();
        rows.retain(|row| row["record"].to_string().contains(&name));
    }
    if json {
        return super::run::to_json(&rows);
    }
    Ok(Table::new(&["record/revision", "record/author", "record/at_unix_ms"])
        .with_rows(&rows)
        .to_string())
}

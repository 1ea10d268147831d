//! Runs one command and returns its output.

use std::{
    env, fs,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::Serialize;
use serde_json::Value;

use super::{
    Arguments, CommandError,
    arguments::{
        Command, DocumentArguments, DocumentCommand, ExplainArguments, InitArguments,
        JobsArguments, JobsCommand, ReportArguments,
    },
    check::{check, read},
    client::AdminClient,
    document, report,
    table::Table,
};
use crate::{
    coordination::{burn::BurnReport, configuration::HEAD_KEY},
    protocol::{
        admin::Status,
        store::{StoreReply, StoreRequest},
    },
    state::{
        document::DocumentText,
        ids::{OperationId, RecordVersion, TeamId},
        records::HeadRecord,
    },
    transport::store_client::StoreClient,
};

/// Environment variable with the team's bearer token.
const TOKEN_VARIABLE: &str = "TAMARACK_TOKEN";
/// Author that the history shows for the first revision.
const INIT_AUTHOR: &str = "init";
/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a command and returns the text for standard output.
///
/// # Errors
///
/// Returns [`CommandError`], whose message states the remedy.
pub fn run(arguments: Arguments) -> Result<String, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CommandError::Malformed(error.to_string().into()))?;
    tokio::task::LocalSet::new().block_on(&runtime, dispatch(arguments))
}

async fn dispatch(arguments: Arguments) -> Result<String, CommandError> {
    let json = arguments.json;
    match arguments.command {
        None => Err(CommandError::NoCommand),
        Some(Command::Check(file)) => check(&file.file),
        Some(Command::Document(DocumentArguments {
            command: Some(DocumentCommand::Init(arguments)),
            ..
        })) => init(arguments).await,
        Some(command) => {
            let client = AdminClient::new(arguments.address, token(&arguments.token_file)?);
            run_remote(&client, command, json).await
        }
    }
}

fn token(file: &Option<std::path::PathBuf>) -> Result<Box<str>, CommandError> {
    match file {
        Some(path) => fs::read_to_string(path).map(|text| text.trim().into()).map_err(|error| {
            CommandError::File {
                path: path.display().to_string().into(),
                message: error.to_string().into(),
            }
        }),
        None => env::var(TOKEN_VARIABLE).map(Into::into).map_err(|_| CommandError::NoToken),
    }
}

/// Runs a command that calls an entry host.
async fn run_remote(
    client: &AdminClient,
    command: Command,
    json: bool,
) -> Result<String, CommandError> {
    let (path, columns): (&str, &[&str]) = match command {
        Command::Status(_) => return status(client, json).await,
        Command::Report(arguments) => return burn_report(client, arguments, json).await,
        Command::Jobs(arguments) => return jobs(client, arguments, json).await,
        Command::Explain(arguments) => return explain(client, arguments, json).await,
        Command::Document(arguments) => {
            let command = arguments.command.ok_or(CommandError::NoCommand)?;
            return document::run(client, command, json).await;
        }
        Command::Check(file) => return check(&file.file),
        Command::Pools(_) => ("pools", &["pool", "size", "hosts", "active", "spare"]),
        Command::Hosts(_) => ("hosts", &["host", "data_centre", "rack", "pool", "phase"]),
        Command::Services(_) => (
            "services",
            &["service", "pool", "available", "min_available", "load/queued", "load/in_flight"],
        ),
        Command::Budgets(_) => ("budgets", &["key", "record/reservations"]),
        Command::Waves(_) => ("waves", &["key", "record"]),
    };
    let rows = client.rows(path).await?;
    if json {
        return to_json(&rows);
    }
    Ok(Table::new(columns).with_rows(&rows).to_string())
}

async fn status(client: &AdminClient, json: bool) -> Result<String, CommandError> {
    let status: Status = client.get("status").await?;
    if json {
        return to_json(&status);
    }
    let mut lines = vec![
        format!("entry host    {} in {}", status.entry, status.data_centre),
        format!("deployment    {}", status.deployment.as_deref().unwrap_or("-")),
        format!(
            "in force      epoch {} revision {}",
            status.in_force.epoch, status.in_force.revision
        ),
        format!("ready         {}", if status.ready { "yes" } else { "no" }),
        match status.seat {
            Some((index, term)) => format!("seat          {index} (term {term})"),
            None => "seat          none".to_owned(),
        },
        format!("open requests {}", status.open_requests),
    ];
    let peers = status.peers.iter().map(|(entry, seat)| match seat {
        Some(seat) => format!("peer          {entry} (seat {seat})"),
        None => format!("peer          {entry}"),
    });
    lines.extend(peers);
    let gateways = status.gateways.iter();
    lines.extend(gateways.map(|(name, entry)| format!("gateway       {entry} in {name}")));
    if let Some((in_force, found)) = status.store_restored {
        lines.push(format!(
            "alert         the store shows revision {}, in force is {}; raise the epoch",
            found.revision, in_force.revision
        ));
    }
    lines.extend(status.reports.iter().map(|(_, report)| format!("report        {report}")));
    Ok(lines.join("\n") + "\n")
}

async fn explain(
    client: &AdminClient,
    arguments: ExplainArguments,
    json: bool,
) -> Result<String, CommandError> {
    let path = format!("explain/{}/{}", arguments.kind, arguments.name);
    let body: Value = client.get(&path).await?;
    if json {
        return to_json(&body);
    }
    Ok(format!("{}\n", explanation(&body)))
}

async fn jobs(
    client: &AdminClient,
    arguments: JobsArguments,
    json: bool,
) -> Result<String, CommandError> {
    let body: Value = match arguments.command.ok_or(CommandError::NoCommand)? {
        JobsCommand::List(_) => {
            let rows = client.rows("jobs").await?;
            return if json {
                to_json(&rows)
            } else {
                Ok(Table::new(&["key", "version", "record"]).with_rows(&rows).to_string())
            };
        }
        JobsCommand::Submit(arguments) => {
            let body = read(&arguments.file)?;
            client.post(&format!("jobs/{}", arguments.pool), body.into()).await?
        }
        JobsCommand::Cancel(arguments) => {
            client.delete(&format!("jobs/{}/{}", arguments.pool, arguments.job)).await?
        }
        JobsCommand::Explain(arguments) => {
            let path = format!("explain/job/{}/{}", arguments.pool, arguments.job);
            client.get(&path).await?
        }
    };
    if json { to_json(&body) } else { Ok(format!("{}\n", explanation(&body))) }
}

/// Returns the text of an explanation.
fn explanation(body: &Value) -> &str {
    body["explanation"].as_str().unwrap_or("-")
}

async fn burn_report(
    client: &AdminClient,
    arguments: ReportArguments,
    json: bool,
) -> Result<String, CommandError> {
    let burn: BurnReport = client.get("report").await?;
    if let Some(path) = arguments.html {
        fs::write(&path, report::html(&burn)?).map_err(|error| CommandError::File {
            path: path.display().to_string().into(),
            message: error.to_string().into(),
        })?;
    }
    if json { to_json(&burn) } else { Ok(report::table(&burn).to_string()) }
}

/// Writes the first document into an empty store.
pub(super) async fn init(arguments: InitArguments) -> Result<String, CommandError> {
    let text = read(&arguments.file)?;
    check(&arguments.file)?;
    let address = arguments.store.ok_or(CommandError::NoCommand)?;
    let text = DocumentText::parse(&text)
        .map_err(|errors| CommandError::Invalid(errors.to_string().into()))?;
    let operation = OperationId(rand::random());
    let at_unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let head = HeadRecord::first(&text, TeamId::new(INIT_AUTHOR), at_unix_ms as u64, operation);
    let value = serde_json::to_vec(&head)
        .map_err(|error| CommandError::Malformed(error.to_string().into()))?;
    let request = StoreRequest::CompareAndSwap {
        key: HEAD_KEY.into(),
        expected: RecordVersion(0),
        value: value.into(),
        lease: None,
    };
    match StoreClient::new(address, STORE_TIMEOUT).call(&request).await {
        Ok(StoreReply::Swapped(_)) => Ok("the document is in the store\n".to_owned()),
        Ok(StoreReply::Conflict(_)) => Err(CommandError::DocumentExists),
        Ok(_) => Err(CommandError::Malformed("unexpected reply of the store".into())),
        Err(error) => Err(CommandError::Refused(error.to_string().into())),
    }
}

/// Formats a value as JSON with a trailing newline.
pub(super) fn to_json<V>(value: &V) -> Result<String, CommandError>
where
    V: Serialize,
{
    serde_json::to_string_pretty(value)
        .map(|text| text + "\n")
        .map_err(|error| CommandError::Malformed(error.to_string().into()))
}

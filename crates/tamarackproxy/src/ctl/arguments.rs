//! Command-line arguments of `tamarackctl`.

use std::{net::SocketAddr, path::PathBuf};

use gumdrop::Options;

/// Command line of `tamarackctl`.
#[derive(Debug, Options)]
pub struct Arguments {
    /// print this help
    pub help: bool,
    /// administration address of any entry host
    #[options(no_short, default = "127.0.0.1:8081", meta = "IP:PORT")]
    pub address: SocketAddr,
    /// file with the team's bearer token; without it TAMARACK_TOKEN is used
    #[options(no_short, meta = "FILE")]
    pub token_file: Option<PathBuf>,
    /// print JSON in place of tables
    #[options(no_short)]
    pub json: bool,
    /// what to do
    #[options(command)]
    pub command: Option<Command>,
}

/// Subcommands of `tamarackctl`.
#[derive(Debug, Options)]
pub enum Command {
    /// check a document or settings file offline
    Check(FileArguments),
    /// show the state of one entry host
    Status(NoArguments),
    /// list pools
    Pools(NoArguments),
    /// list hosts
    Hosts(NoArguments),
    /// list services
    Services(NoArguments),
    /// list availability budgets and their reservations
    Budgets(NoArguments),
    /// list maintenance waves and their progress
    Waves(NoArguments),
    /// read or change the document
    Document(DocumentArguments),
    /// explain what a host or a request is waiting for
    Explain(ExplainArguments),
    /// list, submit and cancel jobs
    Jobs(JobsArguments),
    /// report on error-budget burn
    Report(ReportArguments),
}

/// Command without arguments.
#[derive(Debug, Options)]
pub struct NoArguments {
    /// print this help
    pub help: bool,
}

/// Command on one file.
#[derive(Debug, Options)]
pub struct FileArguments {
    /// print this help
    pub help: bool,
    /// the file
    #[options(free, required)]
    pub file: PathBuf,
}

/// Arguments of `explain`.
#[derive(Debug, Options)]
pub struct ExplainArguments {
    /// print this help
    pub help: bool,
    /// host or request
    #[options(free, required)]
    pub kind: String,
    /// name of the host or number of the request
    #[options(free, required)]
    pub name: String,
}

/// Arguments of `jobs`.
#[derive(Debug, Options)]
pub struct JobsArguments {
    /// print this help
    pub help: bool,
    /// what to do with jobs
    #[options(command, required)]
    pub command: Option<JobsCommand>,
}

/// Subcommands of `jobs`.
#[derive(Debug, Options)]
pub enum JobsCommand {
    /// list the records of accepted jobs
    List(NoArguments),
    /// submit the job that a JSON file describes
    Submit(SubmitArguments),
    /// cancel a job
    Cancel(JobArguments),
    /// explain the state of a job
    Explain(JobArguments),
}

/// Arguments of `jobs submit`.
#[derive(Debug, Options)]
pub struct SubmitArguments {
    /// print this help
    pub help: bool,
    /// pool whose workers run the job
    #[options(free, required)]
    pub pool: String,
    /// file with the job in JSON
    #[options(free, required)]
    pub file: PathBuf,
}

/// Command on one job.
#[derive(Debug, Options)]
pub struct JobArguments {
    /// print this help
    pub help: bool,
    /// pool of the job
    #[options(free, required)]
    pub pool: String,
    /// name of the job
    #[options(free, required)]
    pub job: String,
}

/// Arguments of `report`.
#[derive(Debug, Options)]
pub struct ReportArguments {
    /// print this help
    pub help: bool,
    /// also write a self-contained page with plots
    #[options(no_short, meta = "FILE")]
    pub html: Option<PathBuf>,
}

/// Arguments of `document`.
#[derive(Debug, Options)]
pub struct DocumentArguments {
    /// print this help
    pub help: bool,
    /// what to do with the document
    #[options(command, required)]
    pub command: Option<DocumentCommand>,
}

/// Subcommands of `document`.
#[derive(Debug, Options)]
pub enum DocumentCommand {
    /// print the document or one section
    Get(SectionArguments),
    /// replace the sections that a file changes
    Put(PutArguments),
    /// show what a file would change
    Diff(FileArguments),
    /// revert what a revision changed, as a new revision
    Revert(RevertArguments),
    /// list accepted changes
    History(SectionArguments),
    /// write the first document into an empty store
    Init(InitArguments),
}

/// Command on the document or one of its sections.
#[derive(Debug, Options)]
pub struct SectionArguments {
    /// print this help
    pub help: bool,
    /// section such as "service booking"
    #[options(no_short, meta = "SECTION")]
    pub section: Option<String>,
}

/// Arguments of `document put`.
#[derive(Debug, Options)]
pub struct PutArguments {
    /// print this help
    pub help: bool,
    /// file with one or more whole sections
    #[options(free, required)]
    pub file: PathBuf,
    /// remove sections that the file does not have
    #[options(no_short)]
    pub remove_missing: bool,
    /// accept the state of a store restored from a backup as the base of a new epoch
    #[options(no_short)]
    pub raise_epoch: bool,
}

/// Arguments of `document revert`.
#[derive(Debug, Options)]
pub struct RevertArguments {
    /// print this help
    pub help: bool,
    /// number of the revision
    #[options(free, required)]
    pub revision: u64,
}

/// Arguments of `document init`.
#[derive(Debug, Options)]
pub struct InitArguments {
    /// print this help
    pub help: bool,
    /// address of the platform's store
    #[options(no_short, required, meta = "IP:PORT")]
    pub store: Option<SocketAddr>,
    /// file with the whole document
    #[options(free, required)]
    pub file: PathBuf,
}

//! Output of a run: addresses, progress and final figures.

use serde::Serialize;
use serde_json::Value;

use super::{
    deployment::Plan,
    entries::admin_address,
    options::{Deployment, Fault},
};
use crate::{
    caller::{CallerRecords, token_of},
    verdict::Verdict,
};

/// Figures of a run, printed as its last line.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    pub(super) deployment: String,
    pub(super) seed: u64,
    pub(super) seconds: u64,
    pub(super) fault: Option<String>,
    #[serde(flatten)]
    pub(super) verdict: Verdict,
    /// Connections that targets closed because their limit was reached.
    pub(super) connection_overruns: u64,
    /// Puts that were refused, mostly because of a concurrent edit.
    pub(super) config_refused: u64,
    /// Calls that the store accepted.
    pub(super) store_calls: u64,
    /// Calls that the store refused because its rate limit was exceeded.
    pub(super) store_throttled: u64,
    /// Largest number of concurrent watches.
    pub(super) store_watches_max: u64,
    /// Names of the figures that violate an invariant.
    pub(super) broken: Vec<&'static str>,
}

impl Report {
    /// Prints the figures as a table, then as one line of JSON.
    pub(super) fn print(&self) -> anyhow::Result<()> {
        let fields = serde_json::to_value(self)?;
        println!();
        for (name, value) in fields.as_object().into_iter().flatten() {
            let value = match value {
                Value::String(text) => text.clone(),
                Value::Null => "-".to_owned(),
                other => other.to_string(),
            };
            let mark = if self.broken.contains(&name.as_str()) { "  broken" } else { "" };
            println!("{name:<24} {value:>12}{mark}");
        }
        println!("{}", serde_json::to_string(self)?);
        Ok(())
    }
}

/// Prints the counts of the run so far.
pub(super) fn print_progress(
    second: u64,
    callers: &CallerRecords,
    maintained: usize,
    hosts: usize,
    revision: u64,
) {
    use tamarackproxy::protocol::caller::Outcome::{Answered, NotRun, Unknown};
    let count = |wanted| {
        callers.attempts.iter().filter(|attempt| attempt.end.outcome() == Some(wanted)).count()
    };
    println!(
        "{second:>4} s  requests {:>6}  answered {:>6}  not-run {:>5}  unknown {:>4}  \
         rebooted {maintained:>3} of {hosts}  revision {revision:>3}",
        callers.requests(),
        count(Answered),
        count(NotRun),
        count(Unknown),
    );
}

/// Prints the deployment and the addresses of its entry hosts.
pub(super) fn print_addresses(
    deployment: Deployment,
    fault: Option<Fault>,
    plan: &Plan,
    callers: &[std::net::SocketAddr],
) {
    let fault = fault.map_or_else(|| "no fault".to_owned(), |fault| format!("fault {fault}"));
    println!(
        "{deployment}: {} hosts, {} data centres, {fault}",
        plan.hosts.len(),
        plan.data_centres.len()
    );
    for (planned, caller) in plan.entries.iter().zip(callers) {
        let admin = admin_address(plan, planned);
        println!(
            "entry host {:<16} callers http://{caller}  operators http://{admin}",
            planned.entry
        );
    }
}

/// Prints curl commands for a deployment that stays up.
pub(super) fn print_curl(plan: &Plan, callers: &[std::net::SocketAddr]) {
    let (Some(entry), Some(planned)) = (callers.first(), plan.entries.first()) else { return };
    let admin = admin_address(plan, planned);
    let caller = plan.document.callers.iter().find(|(_, section)| !section.services.is_empty());
    if let Some((caller, section)) = caller {
        let token = token_of(caller.as_str());
        let service = &section.services[0];
        println!(
            "curl -i -H 'Authorization: Bearer {token}' \
             'http://{entry}/call/{service}/echo/1?bytes=20'"
        );
    }
    let token = token_of("operations");
    for path in ["status", "pools", "hosts", "services", "budgets", "waves"] {
        println!("curl -s -H 'Authorization: Bearer {token}' http://{admin}/admin/v1/{path}");
    }
}

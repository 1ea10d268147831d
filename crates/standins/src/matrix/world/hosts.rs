//! Failures and reboots of hosts, puts of the document, and samples of the entry
//! hosts' state.

use tamarackproxy::{
    node::core::{Input, NodeCore},
    state::ids::HostId,
};

use crate::matrix::step::Step;
use crate::{
    platform::{Condition, RebootAnswer},
    target::Cut,
    verdict::Sighting,
};

use super::{Event, LOCAL_MS, PLATFORM_MS, SAMPLE_MS, STORE_TIMEOUT_MS, Simulation};

impl Simulation {
    /// Returns all hosts in the rack of `host`.
    pub(in crate::matrix) fn hosts_in_rack_of(&self, host: &HostId) -> Vec<HostId> {
        let rack = self.racks.get(host);
        let hosts = self.racks.iter().filter(|(_, other)| Some(*other) == rack);
        hosts.map(|(host, _)| host.clone()).collect()
    }

    pub(in crate::matrix) fn kill_host(&mut self, host: &HostId) {
        let now_ms = self.now_ms();
        if self.platform.condition(host) == Some(Condition::Up) {
            self.platform.kill(now_ms, host);
            self.interrupt_runs(host, Cut::Died);
        }
    }

    pub(in crate::matrix) fn restart_host(&mut self, host: &HostId) {
        if self.platform.condition(host) == Some(Condition::Dead) {
            self.platform.revive(self.now_ms(), host);
        }
    }

    /// Replaces the change marker in a section of the document, by a put through an
    /// entry host.
    pub(in crate::matrix) fn put(&mut self, entry: usize, section: &str, number: u32) {
        use tamarackproxy::{
            coordination::configuration::{OperatorCall, SectionEdit},
            state::{document::DocumentText, ids::TeamId},
        };
        let Some(body) = self.nodes[entry].core.as_ref().and_then(NodeCore::document_body) else {
            return;
        };
        let Ok(name) = section.parse() else { return };
        let text = DocumentText::parse(&body.text).unwrap_or_default();
        let Some(old) = text.section(&name) else { return };
        let line = format!("; change {number}");
        let kept = old.lines().filter(|line| !line.starts_with("; change"));
        let new: Vec<&str> = kept.chain([line.as_str()]).collect();
        let edit = SectionEdit {
            section: name,
            text: Some(new.join("\n").into()),
            base: body.position.revision,
        };
        let call = OperatorCall(u64::from(number));
        self.put_lines.insert(call.0, (section.into(), line.as_str().into()));
        self.reached_steps.push((Step::PutReceived, Some(entry), None));
        let team = TeamId::new("operations");
        let input = Input::Put { call, team, edits: vec![edit], raise_epoch: false };
        self.schedule(entry, LOCAL_MS, input);
    }

    pub(in crate::matrix) fn reboot(&mut self, node: usize, host: HostId, key: &str) {
        if self.platform_down || !self.reaches_platform(node) {
            let input = Input::RebootEnded { host, accepted: false };
            return self.schedule(node, STORE_TIMEOUT_MS, input);
        }
        let now_ms = self.now_ms();
        let was_up = self.platform.condition(&host) == Some(Condition::Up);
        let accepted = self.platform.reboot(now_ms, &host, key) == RebootAnswer::Accepted;
        let is_rebooting =
            matches!(self.platform.condition(&host), Some(Condition::Rebooting { .. }));
        if was_up && is_rebooting {
            self.reached_steps.push((Step::HostRebooting, Some(node), Some(host.clone())));
            self.interrupt_runs(&host, Cut::PlannedStop);
            self.targets.end_leaving_signals(&host, now_ms);
        }
        self.schedule(node, 2 * PLATFORM_MS, Input::RebootEnded { host, accepted });
    }

    /// Ends reboots that are due and records the positions of all entry hosts.
    pub(in crate::matrix) fn sample(&mut self) {
        let now_ms = self.now_ms();
        let before = self.platform.events().len();
        self.platform.advance(now_ms);
        let back: Vec<HostId> =
            self.platform.events()[before..].iter().map(|event| event.host.clone()).collect();
        self.reached_steps.extend(back.into_iter().map(|host| (Step::HostBack, None, Some(host))));
        for node in &self.nodes {
            let Some(core) = node.core.as_ref().filter(|_| now_ms >= node.paused_until_ms) else {
                continue;
            };
            let position = core.position();
            self.observations.sightings.push(Sighting {
                entry: node.settings.entry.clone(),
                at_ms: now_ms,
                position: (position.epoch.0, position.revision.0),
                ready: core.is_configured(),
            });
        }
        self.push_watches();
        self.queue.push_in(SAMPLE_MS, Event::Sample);
    }
}

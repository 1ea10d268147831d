//! Messages and forwarded requests between entry hosts.

use rand::Rng;
use tamarackproxy::{
    node::core::Input,
    protocol::peer::{ForwardFailure, ForwardRequest, Hello, PeerMessage},
    state::ids::{EntryId, RequestId},
};

use crate::matrix::step::Step;

use super::{Event, Forwarded, LOCAL_MS, REMOTE_MS, Simulation};

impl Simulation {
    pub(in crate::matrix) fn is_reachable(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.data_centre_of(from), self.data_centre_of(to));
        from == to || !(self.partitioned.contains(from) || self.partitioned.contains(to))
    }

    pub(in crate::matrix) fn latency_ms(&self, from: usize, to: usize) -> u64 {
        if self.data_centre_of(from) == self.data_centre_of(to) { LOCAL_MS } else { REMOTE_MS }
    }

    pub(in crate::matrix) fn index_of(&self, entry: &EntryId) -> Option<usize> {
        self.nodes.iter().position(|node| node.settings.entry == *entry)
    }

    pub(in crate::matrix) fn send_peer(&mut self, from: usize, to: &EntryId, message: PeerMessage) {
        let step = match &message {
            PeerMessage::Configuration(_) => Some(Step::PutPushed),
            PeerMessage::Fleet(tamarackproxy::coordination::fleet::FleetMessage::DrainStatus {
                ..
            }) => Some(Step::HostDrained),
            _ => None,
        };
        self.reached_steps.extend(step.map(|step| (step, Some(from), None)));
        let Some(to) = self.index_of(to) else { return };
        if !self.is_reachable(from, to) || self.random.random_bool(self.message_loss) {
            return;
        }
        let delay_ms = self.latency_ms(from, to);
        if self.nodes[to].core.is_none() {
            let peer = self.nodes[to].settings.entry.clone();
            return self.schedule(from, 2 * delay_ms, Input::PeerRefused { peer });
        }
        let settings = &self.nodes[from].settings;
        let hello =
            Hello { entry: settings.entry.clone(), data_centre: settings.data_centre.clone() };
        self.schedule(to, delay_ms, Input::PeerMessage { hello, message });
    }

    pub(in crate::matrix) fn forward(
        &mut self,
        node: usize,
        incarnation: u32,
        request: RequestId,
        to: &EntryId,
        message: ForwardRequest,
        timeout_ms: u64,
    ) {
        if message.key.is_some() {
            self.reached_steps.push((Step::ChargeForwarded, Some(node), None));
        }
        let from = Forwarded { node, incarnation, request };
        let Some(to) = self.index_of(to) else {
            return self.forward_ended(&from, LOCAL_MS, Err(ForwardFailure::NotSent));
        };
        if !self.is_reachable(node, to) {
            return self.forward_ended(&from, timeout_ms, Err(ForwardFailure::Lost));
        }
        let delay_ms = self.latency_ms(node, to);
        if self.nodes[to].core.is_none() {
            return self.forward_ended(&from, 2 * delay_ms, Err(ForwardFailure::NotSent));
        }
        self.nodes[to].next_request += 1;
        let number = RequestId(self.nodes[to].next_request);
        // The sender gives up at its deadline if there is no reply.
        self.forward_ended(&from, timeout_ms + 1, Err(ForwardFailure::Lost));
        self.forwarded.insert((to, self.nodes[to].incarnation, number), from);
        let message = Box::new(message);
        self.schedule(to, delay_ms, Input::Forwarded { request: number, message });
    }

    pub(super) fn forward_ended(
        &mut self,
        from: &Forwarded,
        delay_ms: u64,
        reply: Result<tamarackproxy::protocol::peer::ForwardResponse, ForwardFailure>,
    ) {
        let input = Box::new(Input::ForwardEnded { request: from.request, reply });
        let (node, incarnation) = (from.node, from.incarnation);
        self.queue.push_in(delay_ms, Event::Input { node, incarnation, input });
    }
}

//! Choice of peers, what is remembered of them, and the bound on requests in
//! flight.

use hashbrown::HashMap;
use tamarackproxy::state::ids::{DataCentreId, EntryId};

use super::request::{AttemptResult, ForwardOutcome, ForwardedRequest, RequestKind, Verdict};
use crate::coordination::relay::Member;

/// Most forwarded requests in flight, at the process that forwards and at the
/// peer that handles them: messages with bodies of the default limit of 256 KiB
/// take 16 MiB, a tenth of the memory of the smallest host.
pub const IN_FLIGHT_MAX: usize = 64;
/// Time without an answer after which a state request or a cancellation is also
/// sent to a peer, in milliseconds: two thirds of the timeout of a store call.
pub const HEDGE_DELAY_MS: u64 = 600;
/// Most peers asked for one request: the second covers a peer that is cut off
/// too; further ones are left to the caller, who retries elsewhere.
const ASKED_MAX: usize = 2;
/// Time for which a peer that cannot help is not asked, in milliseconds: a cut
/// lasts for seconds.
const AVOID_MS: u64 = 1_000;
/// Time for which a peer that could not help is asked after the others, in
/// milliseconds: the time to live of an entry in the list of processes.
const SUSPECT_MS: u64 = 10_000;
/// Least time for which a peer is asked, in milliseconds. The peer reserves 60 ms
/// for its response, so that less leaves it no time for the store.
const ASK_MIN_MS: u64 = 100;

/// When a peer last was of no help, in milliseconds on the local clock.
#[derive(Clone, Copy, Debug)]
struct Failure {
    failed_ms: u64,
    /// Until when the peer is not asked.
    avoid_until_ms: u64,
}

/// A peer to ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The peer.
    pub peer: Member,
    /// Time within which it has to answer, in milliseconds.
    pub limit_ms: u64,
}

/// Peers of a process and its forwarded requests.
#[derive(Debug)]
pub struct Forwarding {
    data_centre: DataCentreId,
    /// Peers in the order of their names.
    peers: Vec<Member>,
    /// Peers that last were of no help.
    failures: HashMap<EntryId, Failure>,
    /// Number of choices so far; peers of equal rank take turns by it.
    turn: usize,
    in_flight: usize,
}

impl Forwarding {
    /// Creates the state of a process in this data centre; `turn` is random, so
    /// that processes do not all begin with the same peer.
    pub fn new(data_centre: DataCentreId, turn: usize) -> Self {
        let (peers, failures) = (Vec::new(), HashMap::new());
        Self { data_centre, peers, failures, turn, in_flight: 0 }
    }

    /// Replaces the list of peers. What is remembered of those that stay is kept.
    pub fn set_peers(&mut self, mut peers: Vec<Member>) {
        peers.sort_by(|left, right| left.entry.cmp(&right.entry));
        self.failures.retain(|entry, _| peers.iter().any(|peer| peer.entry == *entry));
        self.peers = peers;
    }

    /// Returns whether any peer is known.
    pub fn has_peers(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Begins to forward a request; [`Self::end`] must follow.
    /// `may_take_effect` states that this process has sent a write that may
    /// still take effect.
    ///
    /// # Errors
    ///
    /// Returns why the request is not forwarded.
    pub fn begin(
        &mut self,
        kind: RequestKind,
        may_take_effect: bool,
        deadline_ms: u64,
    ) -> Result<ForwardedRequest, ForwardOutcome> {
        if !self.has_peers() {
            return Err(ForwardOutcome::NoPeers);
        }
        if self.in_flight >= IN_FLIGHT_MAX {
            return Err(ForwardOutcome::AtLimit);
        }
        self.in_flight += 1;
        Ok(ForwardedRequest::new(kind, may_take_effect, deadline_ms))
    }

    /// Ends a request that [`Self::begin`] has returned.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the peer to ask next.
    ///
    /// # Errors
    ///
    /// Returns how the request ended if no peer is left.
    pub fn next(
        &mut self,
        now_ms: u64,
        request: &mut ForwardedRequest,
    ) -> Result<Question, ForwardOutcome> {
        let last = request.last_result().map(ForwardOutcome::from);
        if request.asked() >= ASKED_MAX {
            return Err(last.unwrap_or(ForwardOutcome::PeersAvoided));
        }
        let left_ms = request.left_ms(now_ms);
        if left_ms < ASK_MIN_MS {
            return Err(last.unwrap_or(ForwardOutcome::TimeOver));
        }
        let (peer, is_last) = {
            let mut candidates = self.candidates(now_ms, request);
            let best = candidates.next().ok_or(last.unwrap_or(ForwardOutcome::PeersAvoided))?;
            (best.clone(), request.asked() + 1 >= ASKED_MAX || candidates.next().is_none())
        };
        self.turn = self.turn.wrapping_add(1);
        request.ask(&peer);
        // A peer that does not answer must leave time for another one.
        let limit_ms = if is_last { left_ms } else { left_ms / 2 };
        Ok(Question { peer, limit_ms })
    }

    /// Handles the result of asking a peer.
    pub fn on_result(
        &mut self,
        now_ms: u64,
        peer: &EntryId,
        request: &mut ForwardedRequest,
        result: AttemptResult,
    ) -> Verdict {
        let avoid_ms = match result {
            AttemptResult::NoStore | AttemptResult::NotConnected | AttemptResult::Rejected => {
                Some(AVOID_MS)
            }
            // The peer may be paused, but its answer may also have been lost on
            // the way: it is asked after the others.
            AttemptResult::Lost => Some(0),
            AttemptResult::Answered(_) | AttemptResult::Overloaded => None,
        };
        match avoid_ms {
            Some(avoid_ms) => {
                let failure = Failure { failed_ms: now_ms, avoid_until_ms: now_ms + avoid_ms };
                self.failures.insert(peer.clone(), failure);
            }
            None => drop(self.failures.remove(peer)),
        }
        request.on_result(result)
    }

    /// Lists the peers that may be asked, best first: those that have not failed
    /// recently, then those outside a data centre that this request has asked in
    /// vain, since a cut often covers a data centre, then those of the own data
    /// centre.
    fn candidates(
        &self,
        now_ms: u64,
        request: &ForwardedRequest,
    ) -> impl Iterator<Item = &Member> + use<'_> {
        let failure = |peer: &Member| self.failures.get(&peer.entry);
        let is_avoided =
            |peer: &Member| failure(peer).is_some_and(|failure| now_ms < failure.avoid_until_ms);
        let is_suspect = |peer: &Member| {
            failure(peer).is_some_and(|failure| now_ms < failure.failed_ms + SUSPECT_MS)
        };
        let count = self.peers.len().max(1);
        let mut ranked: Vec<_> = (self.peers.iter().enumerate())
            .filter(|(_, peer)| !request.has_asked(&peer.entry) && !is_avoided(peer))
            .map(|(index, peer)| {
                let is_suspect = is_suspect(peer);
                let is_asked = request.has_asked_in(&peer.data_centre);
                let is_far = peer.data_centre != self.data_centre;
                let turns = (index + count - self.turn % count) % count;
                ((is_suspect, is_asked, is_far, turns), peer)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, peer)| peer)
    }
}

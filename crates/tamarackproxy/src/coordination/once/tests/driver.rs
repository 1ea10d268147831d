//! Test harness: engines connected to each other and to a simulated store whose
//! replies can be held back or lost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;

use crate::{
    coordination::once::{
        BodyDigest, Claim, KeyDigest, OnceAction, OnceEngine, OnceEvent, SeatTenure, home_seat,
    },
    protocol::{
        caller::Refusal,
        store::{KeyValue, StoreError, StoreReply, StoreRequest},
    },
    state::{
        clock::ClockReading,
        ids::{CallId, DataCentreId, EntryId, RecordVersion, RequestId, Term},
    },
};

pub const START_UNIX_MS: u64 = 1_800_000_000_000;

/// How the simulated store handles compare-and-swap requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Writes {
    /// The write takes effect and is answered.
    Answered,
    /// The write takes effect and its reply is lost.
    ReplyLost,
    /// The write stays in flight until [`Driver::release_held`].
    Held,
}

/// Engines by number, the simulated store, and what the engines' actions did.
#[derive(Debug)]
pub struct Driver {
    pub engines: Vec<OnceEngine>,
    pub now_ms: u64,
    pub writes: Writes,
    pub store_up: bool,
    /// Engines that receive no events, as if their process had died or paused.
    pub stopped: BTreeSet<usize>,
    pub runs: Vec<(usize, RequestId)>,
    pub ended: BTreeMap<RequestId, OnceAction>,
    pub forgotten: Vec<RequestId>,
    pub open: BTreeMap<usize, bool>,
    pub created: u64,
    keys: BTreeMap<Box<str>, (Bytes, RecordVersion)>,
    held: Vec<(usize, CallId, StoreRequest)>,
    version: u64,
}

impl Driver {
    /// Creates `count` entry hosts in a data centre with `seats` seats.
    pub fn new(count: usize, seats: u16) -> Self {
        let centre = DataCentreId::new("dc");
        let engine = |number: usize| {
            OnceEngine::new(EntryId::new(format!("e{number}")), centre.clone(), count as u32)
        };
        let mut driver = Self {
            engines: (0..count).map(engine).collect(),
            now_ms: 1_000,
            writes: Writes::Answered,
            store_up: true,
            stopped: BTreeSet::new(),
            runs: Vec::new(),
            ended: BTreeMap::new(),
            forgotten: Vec::new(),
            open: BTreeMap::new(),
            created: 0,
            keys: BTreeMap::new(),
            held: Vec::new(),
            version: 0,
        };
        for number in 0..count {
            driver.handle(number, OnceEvent::SeatsConfigured { seats });
        }
        driver
    }

    pub fn take_seat(&mut self, engine: usize, index: u16, term: u64) {
        let seat = Some(SeatTenure { index, term: Term(term) });
        self.handle(engine, OnceEvent::SeatChanged { seat });
        self.advance(1_500);
    }

    pub fn set_peers(&mut self, engines: &[usize]) {
        for &engine in engines {
            let others = engines.iter().filter(|&&other| other != engine);
            let peers = others.map(|other| EntryId::new(format!("e{other}"))).collect();
            self.handle(engine, OnceEvent::PeersChanged { peers });
        }
    }

    pub fn set_detached(&mut self, detached: bool, engines: &[usize]) {
        self.store_up = !detached;
        for &engine in engines {
            self.handle(engine, OnceEvent::DetachedChanged { detached });
        }
    }

    /// Returns a claim whose home is `seat` of `seats`, created at the current time plus
    /// the offset.
    pub fn claim(&self, number: u64, seat: u16, seats: u16, offset_ms: i64) -> Claim {
        let created_unix_ms = (START_UNIX_MS + self.now_ms).saturating_add_signed(offset_ms);
        let claim_of = |salt: u64| {
            let mut key = [0; 16];
            key[..8].copy_from_slice(&(number * 1_000 + salt).to_be_bytes());
            Claim { key: KeyDigest(key), body: BodyDigest([7; 16]), created_unix_ms }
        };
        (0..1_000).map(claim_of).find(|claim| home_seat(claim, seats) == seat).expect("a claim")
    }

    pub fn submit(&mut self, engine: usize, request: u64, claim: Claim) {
        self.handle(engine, OnceEvent::Submitted { request: RequestId(request), claim });
        self.advance(100);
    }

    pub fn advance(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            let step_ms = if duration_ms > 100_000 { 500 } else { 5 };
            self.now_ms = (self.now_ms + step_ms).min(until_ms);
            for engine in 0..self.engines.len() {
                if self.engines[engine].next_tick_ms().is_some_and(|at_ms| at_ms <= self.now_ms) {
                    self.handle(engine, OnceEvent::Tick);
                }
            }
        }
    }

    pub fn handle(&mut self, engine: usize, event: OnceEvent) {
        let mut events = VecDeque::from([(engine, event)]);
        while let Some((engine, event)) = events.pop_front() {
            if self.stopped.contains(&engine) {
                continue;
            }
            let mut actions = Vec::new();
            let now = ClockReading::new(self.now_ms, START_UNIX_MS + self.now_ms);
            self.engines[engine].handle(now, event, &mut actions);
            for action in actions {
                self.execute(engine, action, &mut events);
            }
        }
    }

    fn execute(
        &mut self,
        engine: usize,
        action: OnceAction,
        events: &mut VecDeque<(usize, OnceEvent)>,
    ) {
        match action {
            OnceAction::Run { request } => self.runs.push((engine, request)),
            OnceAction::Replay { request, .. }
            | OnceAction::NotRun { request, .. }
            | OnceAction::Unknown { request, .. } => {
                self.ended.insert(request, action);
            }
            OnceAction::Forget { first } => self.forgotten.push(first),
            OnceAction::LogOpen { open } => {
                self.open.insert(engine, open);
            }
            OnceAction::Send { to, message } => {
                let to = to.as_str()[1..].parse().expect("a name of this test");
                let from = EntryId::new(format!("e{engine}"));
                events.push_back((to, OnceEvent::Received { from, message }));
            }
            OnceAction::Store { call, request } => {
                let creates = matches!(request, StoreRequest::CompareAndSwap { .. });
                if creates && self.writes == Writes::Held {
                    self.held.push((engine, call, request));
                    return;
                }
                let mut result = self.apply(&request);
                if creates && self.writes == Writes::ReplyLost {
                    result = Err(StoreError::Unknown);
                }
                events.push_back((engine, OnceEvent::StoreReplied { call, result }));
            }
        }
    }

    /// Applies the held writes to the store and answers them.
    pub fn release_held(&mut self) {
        for (engine, call, request) in std::mem::take(&mut self.held) {
            let result = self.apply(&request);
            self.handle(engine, OnceEvent::StoreReplied { call, result });
        }
    }

    pub fn drop_held(&mut self) {
        self.writes = Writes::Answered;
        self.held.clear();
    }

    pub fn batches(&self) -> usize {
        self.keys.keys().filter(|key| !key.ends_with("layout")).count()
    }

    fn apply(&mut self, request: &StoreRequest) -> Result<StoreReply, StoreError> {
        if !self.store_up {
            return Err(StoreError::NotSent);
        }
        let get = |keys: &BTreeMap<Box<str>, (Bytes, RecordVersion)>, key: &str| {
            let (value, version) = keys.get(key)?;
            Some(KeyValue { key: key.into(), value: value.clone(), version: *version })
        };
        Ok(match request {
            StoreRequest::Get { key } => StoreReply::Value(get(&self.keys, key)),
            StoreRequest::List { prefix, after, limit } => {
                let from = after.clone().unwrap_or_else(|| prefix.clone());
                let keys = self.keys.range(from..).filter(|(key, _)| after.as_ref() != Some(*key));
                let keys = keys.take_while(|(key, _)| key.starts_with(&**prefix));
                let mut items: Vec<_> = keys.filter_map(|(key, _)| get(&self.keys, key)).collect();
                let more = items.len() > *limit as usize;
                items.truncate(*limit as usize);
                StoreReply::Values { items, more }
            }
            StoreRequest::CompareAndSwap { key, expected, value, .. } => {
                let present = get(&self.keys, key);
                if present.as_ref().map_or(RecordVersion(0), |item| item.version) != *expected {
                    return Ok(StoreReply::Conflict(present));
                }
                self.version += 1;
                self.created += 1;
                self.keys.insert(key.clone(), (value.clone(), RecordVersion(self.version)));
                StoreReply::Swapped(RecordVersion(self.version))
            }
            StoreRequest::CompareAndDelete { key, .. } => {
                self.keys.remove(key);
                StoreReply::Swapped(RecordVersion(self.version))
            }
            _ => StoreReply::Revoked,
        })
    }

    pub fn refusal(&self, request: u64) -> Option<(&'static str, &Refusal)> {
        match self.ended.get(&RequestId(request))? {
            OnceAction::NotRun { refusal, .. } => Some(("not-run", refusal)),
            OnceAction::Unknown { refusal, .. } => Some(("unknown", refusal)),
            _ => None,
        }
    }
}

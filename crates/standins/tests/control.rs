//! Control leases under races, lost replies and paused holders.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tamarack_standins::sim::VirtualStore;
use tamarackproxy::{
    coordination::control::ControlLease,
    protocol::store::{StoreError, StoreRequest},
    state::{
        clock::ClockReading,
        ids::{EntryId, Term},
    },
};

struct Rivals {
    leases: Vec<ControlLease>,
    waiting: Vec<Option<StoreRequest>>,
    paused_until_ms: Vec<u64>,
    store: VirtualStore,
    lost_replies: f64,
    random: ChaCha8Rng,
    now_ms: u64,
    terms: Vec<(Term, usize)>,
}

impl Rivals {
    fn new(count: usize, lost_replies: f64, seed: u64) -> Self {
        println!("seed {seed}");
        let lease = |n| ControlLease::new("pool/web", EntryId::new(format!("e{n}")));
        Self {
            leases: (0..count).map(lease).collect(),
            waiting: vec![None; count],
            paused_until_ms: vec![0; count],
            store: VirtualStore::default(),
            lost_replies,
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 1_000,
            terms: Vec::new(),
        }
    }

    fn holders(&self) -> Vec<usize> {
        let runs = |n: &usize| self.paused_until_ms[*n] <= self.now_ms;
        (0..self.leases.len()).filter(runs).filter(|n| self.leases[*n].held().is_some()).collect()
    }

    /// One step of 10 ms: every running rival sends or receives one message.
    fn step(&mut self) {
        self.now_ms += 10;
        let now = ClockReading::new(self.now_ms, self.now_ms);
        for n in 0..self.leases.len() {
            if self.paused_until_ms[n] > self.now_ms {
                continue;
            }
            let next = match self.waiting[n].take() {
                Some(request) => {
                    let reply = self.store.apply(self.now_ms, &request);
                    let lost = self.random.random_bool(self.lost_replies);
                    let result = if lost { Err(StoreError::Unknown) } else { Ok(reply) };
                    self.leases[n].on_store_reply(now, result)
                }
                None => self.leases[n].tick(now),
            };
            self.waiting[n] = next;
            if let Some(term) = self.leases[n].held()
                && self.terms.last() != Some(&(term, n))
            {
                self.terms.push((term, n));
            }
        }
    }

    fn run_ms(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / 10 {
            self.step();
            assert!(self.holders().len() <= 1, "two holders at {} ms", self.now_ms);
        }
    }

    fn assert_terms_grow(&self) {
        assert!(
            self.terms.is_sorted_by(|one, next| one.0 < next.0),
            "terms {:?} must grow from holder to holder",
            self.terms
        );
    }
}

/// Guards against two holders or falling terms when rivals race, replies are
/// lost and holders pause for longer than their lease.
#[rstest]
fn control_has_one_holder_and_growing_terms(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rivals = Rivals::new(4, 0.1, seed);
    for _ in 0..20 {
        rivals.run_ms(5_000);
        if let Some(&holder) = rivals.holders().first() {
            rivals.paused_until_ms[holder] = rivals.now_ms + 25_000;
        }
    }
    rivals.run_ms(40_000);
    assert_eq!(rivals.holders().len(), 1, "the scope is held in the end");
    assert!(rivals.terms.len() >= 5, "control changed hands");
    rivals.assert_terms_grow();
}

/// Guards against a holder that trusts its lease after a pause.
#[test]
fn control_is_given_up_by_a_paused_holder() {
    let mut rivals = Rivals::new(2, 0.0, 1);
    rivals.run_ms(2_000);
    let holder = rivals.holders()[0];
    rivals.paused_until_ms[holder] = rivals.now_ms + 30_000;
    rivals.run_ms(30_000);
    rivals.step();
    assert_eq!(rivals.leases[holder].held(), None);
    rivals.assert_terms_grow();
}

/// Guards against a holder that trusts its lease while the reply to a renewal
/// is outstanding.
#[test]
fn control_lapses_while_a_renewal_is_in_flight() {
    let mut rivals = Rivals::new(1, 0.0, 1);
    rivals.run_ms(1_000);
    assert!(rivals.leases[0].held().is_some());
    let reading = |now_ms| ClockReading::new(now_ms, now_ms);
    let renewal = rivals.leases[0].tick(reading(rivals.now_ms + 3_000));
    assert!(matches!(renewal, Some(StoreRequest::KeepAlive { .. })));
    assert_eq!(rivals.leases[0].tick(reading(rivals.now_ms + 10_000)), None);
    assert_eq!(rivals.leases[0].held(), None);
    assert_eq!(rivals.leases[0].next_tick_ms(), None, "nothing to do before the reply");
}

/// Guards against a release that leaves the successor waiting for the lease.
#[test]
fn control_released_is_free_at_once() {
    let mut rivals = Rivals::new(1, 0.0, 1);
    rivals.run_ms(1_000);
    let request = rivals.leases[0].release().expect("the lease is ended");
    rivals.store.apply(rivals.now_ms, &request);
    rivals.leases.push(ControlLease::new("pool/web", EntryId::new("e9")));
    rivals.waiting = vec![None, None];
    rivals.paused_until_ms = vec![u64::MAX, 0];
    rivals.run_ms(200);
    assert_eq!(rivals.leases[1].held(), Some(Term(2)));
}

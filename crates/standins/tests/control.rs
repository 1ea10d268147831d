//! Control leases with concurrent candidates, lost replies and paused holders.

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

/// Several candidates for the control lease of one scope, on virtual time.
struct LeaseSimulation {
    leases: Vec<ControlLease>,
    /// Request of each candidate that the store has not executed yet.
    pending: Vec<Option<StoreRequest>>,
    paused_until_ms: Vec<u64>,
    store: VirtualStore,
    /// Probability that a reply of the store is lost.
    lost_replies: f64,
    random: ChaCha8Rng,
    now_ms: u64,
    /// Every term with its holder, in the order of acquisition.
    terms: Vec<(Term, usize)>,
}

impl LeaseSimulation {
    fn new(count: usize, lost_replies: f64, seed: u64) -> Self {
        println!("seed {seed}");
        let lease = |n| ControlLease::new("pool/web", EntryId::new(format!("e{n}")));
        Self {
            leases: (0..count).map(lease).collect(),
            pending: vec![None; count],
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

    /// Advances the time by 10 ms; every candidate that is not paused sends one
    /// request or receives one reply.
    fn step(&mut self) {
        self.now_ms += 10;
        let now = ClockReading::new(self.now_ms, self.now_ms);
        for n in 0..self.leases.len() {
            if self.paused_until_ms[n] > self.now_ms {
                continue;
            }
            let next = match self.pending[n].take() {
                Some(request) => {
                    let reply = self.store.apply(self.now_ms, &request);
                    let lost = self.random.random_bool(self.lost_replies);
                    let result = if lost { Err(StoreError::Unknown) } else { Ok(reply) };
                    self.leases[n].on_store_reply(now, result)
                }
                None => self.leases[n].tick(now),
            };
            self.pending[n] = next;
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

    fn assert_terms_increase(&self) {
        assert!(
            self.terms.is_sorted_by(|one, next| one.0 < next.0),
            "terms must increase with every acquisition: {:?}",
            self.terms
        );
    }
}

/// Guards against two holders at once, or a term that does not increase, when
/// candidates race, replies are lost and holders pause for longer than their
/// lease.
#[rstest]
fn control_has_one_holder_and_increasing_terms(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut simulation = LeaseSimulation::new(4, 0.1, seed);
    for _ in 0..20 {
        simulation.run_ms(5_000);
        if let Some(&holder) = simulation.holders().first() {
            simulation.paused_until_ms[holder] = simulation.now_ms + 25_000;
        }
    }
    simulation.run_ms(40_000);
    assert_eq!(simulation.holders().len(), 1, "the scope is held after the pauses");
    assert!(simulation.terms.len() >= 5, "control passed from holder to holder");
    simulation.assert_terms_increase();
}

/// Guards against a holder that still regards its lease as valid after a pause
/// longer than the lease.
#[test]
fn control_is_given_up_by_a_paused_holder() {
    let mut simulation = LeaseSimulation::new(2, 0.0, 1);
    simulation.run_ms(2_000);
    let holder = simulation.holders()[0];
    simulation.paused_until_ms[holder] = simulation.now_ms + 30_000;
    simulation.run_ms(30_000);
    simulation.step();
    assert_eq!(simulation.leases[holder].held(), None);
    simulation.assert_terms_increase();
}

/// Guards against a holder that regards its lease as valid past its expiry while
/// a renewal is in flight.
#[test]
fn control_expires_while_a_renewal_is_in_flight() {
    let mut simulation = LeaseSimulation::new(1, 0.0, 1);
    simulation.run_ms(1_000);
    assert!(simulation.leases[0].held().is_some());
    let reading = |now_ms| ClockReading::new(now_ms, now_ms);
    let renewal = simulation.leases[0].tick(reading(simulation.now_ms + 3_000));
    assert!(matches!(renewal, Some(StoreRequest::KeepAlive { .. })));
    assert_eq!(simulation.leases[0].tick(reading(simulation.now_ms + 10_000)), None);
    assert_eq!(simulation.leases[0].held(), None);
    assert_eq!(simulation.leases[0].next_tick_ms(), None, "nothing to do before the reply");
}

/// Guards against a release after which the next holder has to wait for the
/// lease to expire.
#[test]
fn control_released_is_free_at_once() {
    let mut simulation = LeaseSimulation::new(1, 0.0, 1);
    simulation.run_ms(1_000);
    let request = simulation.leases[0].release().expect("the lease is ended");
    simulation.store.apply(simulation.now_ms, &request);
    simulation.leases.push(ControlLease::new("pool/web", EntryId::new("e9")));
    simulation.pending = vec![None, None];
    simulation.paused_until_ms = vec![u64::MAX, 0];
    simulation.run_ms(200);
    assert_eq!(simulation.leases[1].held(), Some(Term(2)));
}

//! Faults: kills, pauses, outages, partitions and changes of seats.

use rand::{Rng, seq::IndexedRandom};
use tamarackproxy::coordination::once::{CLOCK_TOLERANCE_MS, OnceEvent, SeatTenure};

use super::{
    callers::SEATS_SPREAD_MS,
    cluster::{Cluster, Event, Fault},
};

/// Time without contact after which a seat may be taken over.
const TAKEOVER_MS: u64 = 16_000;
/// Time without the store after which a data centre works detached.
const DETACH_MS: u64 = 10_000;
/// Deadline of callers and the time to open a log, by which the effect of a
/// fault reaches beyond the fault itself.
const MARGIN_MS: u64 = 12_000;
/// Time in which a holder writes after a pause, unless the store is lost.
const CONFIRM_MS: u64 = 2_000;
/// Time for which keys that are in no log stay unknown after a gap.
const GAP_MS: u64 = CLOCK_TOLERANCE_MS + 30_000;
/// Time before a fault in which a holder may have been without the store, or
/// its peers out of touch, so that nobody can vouch for its log.
const EVIDENCE_MS: u64 = 60_000;

impl Cluster {
    pub(super) fn plan_faults(&mut self) {
        for fault in [
            Fault::Kill,
            Fault::Pause,
            Fault::Outage,
            Fault::CutOff,
            Fault::Partition,
            Fault::SeatsChange,
        ] {
            self.plan_next(fault);
        }
    }

    fn plan_next(&mut self, fault: Fault) {
        let faults = &self.setup.faults;
        let mean_ms = match fault {
            Fault::Kill => faults.kill_every_ms,
            Fault::Pause => faults.pause_every_ms,
            Fault::Outage => faults.outage_every_ms,
            Fault::CutOff => faults.cut_off_every_ms,
            Fault::Partition => faults.partition_every_ms,
            Fault::SeatsChange => faults.seats_change_every_ms,
        };
        if mean_ms > 0 {
            let delay_ms = self.rng.random_range(mean_ms / 5..=mean_ms * 9 / 5);
            self.queue.push_in(delay_ms, Event::Fault(fault));
        }
    }

    pub(super) fn inject(&mut self, fault: Fault) {
        self.plan_next(fault);
        let centre = self.rng.random_range(0..self.centres.len());
        let now_ms = self.queue.now_ms();
        match fault {
            Fault::Kill => self.kill(),
            Fault::Pause => self.pause(),
            Fault::Outage => {
                let length_ms = self.rng.random_range(1_000..=40_000);
                for centre in 0..self.centres.len() {
                    self.lose_store(centre, length_ms);
                }
            }
            Fault::CutOff => {
                let length_ms = self.rng.random_range(1_000..=60_000);
                self.lose_store(centre, length_ms);
            }
            Fault::Partition => {
                let length_ms = self.rng.random_range(1_000..=30_000);
                self.centres[centre].partitioned_until_ms = now_ms + length_ms;
            }
            Fault::SeatsChange => {
                let grow = self.centres[centre].seats <= self.setup.seats;
                let seats = if grow { self.centres[centre].seats + 1 } else { self.setup.seats };
                self.queue.push_in(0, Event::SeatsChange { centre, seats });
            }
        }
    }

    fn choose_holder(&mut self) -> Option<(usize, u16, usize)> {
        let now_ms = self.queue.now_ms();
        let mut holders = Vec::new();
        for (number, centre) in self.centres.iter().enumerate() {
            for (seat, holder) in centre.holders.iter().enumerate() {
                let Some((node, _)) = *holder else { continue };
                if self.nodes[node].alive && now_ms >= self.nodes[node].paused_until_ms {
                    holders.push((number, seat as u16, node));
                }
            }
        }
        holders.choose(&mut self.rng).copied()
    }

    fn kill(&mut self) {
        let Some((centre, seat, node)) = self.choose_holder() else { return };
        self.nodes[node].alive = false;
        self.announce_peers(centre);
        let now_ms = self.queue.now_ms();
        self.expose(centre, seat, now_ms.saturating_sub(MARGIN_MS), now_ms + TAKEOVER_MS);
        self.queue.push_in(TAKEOVER_MS, Event::Takeover { centre, seat, failed: node });
    }

    /// Pauses a holder; a pause that outlasts the takeover time loses the seat.
    fn pause(&mut self) {
        let Some((centre, seat, node)) = self.choose_holder() else { return };
        let length_ms = self.rng.random_range(200..=30_000);
        let now_ms = self.queue.now_ms();
        let until_ms = now_ms + length_ms;
        self.nodes[node].paused_until_ms = until_ms;
        // After a pause, a holder needs a write to know that it still holds
        // the seat.
        let known_ms = until_ms.max(self.centres[centre].store_lost_until_ms);
        self.expose(centre, seat, now_ms.saturating_sub(MARGIN_MS), known_ms + MARGIN_MS);
        // Half of the pauses are noticed by the seat engine, which suspends the
        // seat; the other half shows that the log alone protects the keys.
        if length_ms > 1_000 && self.rng.random_bool(0.5) {
            let event = OnceEvent::SeatChanged { seat: None };
            self.queue.push_at(until_ms, Event::Engine { node, event });
            let term = self.centres[centre].holders[usize::from(seat)].map(|(_, term)| term);
            if let Some(term) = term.filter(|_| length_ms < TAKEOVER_MS) {
                let event = OnceEvent::SeatChanged { seat: Some(SeatTenure { index: seat, term }) };
                self.queue.push_at(until_ms + 5, Event::Engine { node, event });
            }
        }
        if length_ms >= TAKEOVER_MS {
            self.queue.push_in(TAKEOVER_MS, Event::Takeover { centre, seat, failed: node });
        }
    }

    pub(super) fn take_over(&mut self, centre: usize, seat: u16, failed: usize) {
        let now_ms = self.queue.now_ms();
        let holder = self.centres[centre].holders.get(usize::from(seat)).copied().flatten();
        if holder.is_none_or(|(node, _)| node != failed) {
            return;
        }
        let node = &self.nodes[failed];
        if node.alive && now_ms >= node.paused_until_ms {
            // The holder returned before the store was in reach, and keeps it.
            let term = self.centres[centre].holders[usize::from(seat)].map(|(_, term)| term);
            let tenure = term.map(|term| SeatTenure { index: seat, term });
            self.deliver(failed, OnceEvent::SeatChanged { seat: tenure });
            return;
        }
        if !self.store_in_reach(centre) {
            self.expose(centre, seat, now_ms, now_ms + 2_000);
            self.queue.push_in(500, Event::Takeover { centre, seat, failed });
            return;
        }
        self.counts.takeovers += 1;
        let length_ms = if self.log_may_miss_claims(centre, seat) { GAP_MS } else { 0 };
        self.expose(centre, seat, now_ms, now_ms + length_ms + MARGIN_MS);
        self.seat_new_node(centre, seat);
        let detached = self.centres[centre].detached;
        if detached && let Some((node, _)) = self.centres[centre].holders[usize::from(seat)] {
            self.deliver(node, OnceEvent::DetachedChanged { detached });
        }
    }

    /// Tells whether no witness can vouch for the log: the data centre was
    /// without the store, or the other holders were out of touch.
    fn log_may_miss_claims(&self, centre: usize, seat: u16) -> bool {
        let since_ms = self.queue.now_ms().saturating_sub(TAKEOVER_MS + EVIDENCE_MS);
        let state = &self.centres[centre];
        let detached = state.detached_until_ms.is_some_and(|until_ms| until_ms >= since_ms);
        let recent = |times: &Vec<(u64, u64)>| times.iter().any(|&(_, to_ms)| to_ms >= since_ms);
        let others = || state.exposed.iter().any(|(&other, times)| other != seat && recent(times));
        detached || others()
    }

    pub(super) fn expose(&mut self, centre: usize, seat: u16, from_ms: u64, to_ms: u64) {
        let times = self.centres[centre].exposed.entry(seat).or_default();
        match times.last_mut() {
            Some(last) if from_ms <= last.1 => last.1 = last.1.max(to_ms),
            _ => times.push((from_ms, to_ms)),
        }
    }

    fn lose_store(&mut self, centre: usize, length_ms: u64) {
        let now_ms = self.queue.now_ms();
        let state = &mut self.centres[centre];
        state.store_lost_until_ms = state.store_lost_until_ms.max(now_ms + length_ms);
        state.store_lost_since_ms.get_or_insert(now_ms);
        let until_ms = state.store_lost_until_ms;
        // A log that is being opened stays closed until the store returns, and
        // a holder after a pause stays unsure of its seat.
        for seat in 0..self.centres[centre].holders.len() as u16 {
            let holder = self.centres[centre].holders[usize::from(seat)];
            let unsure = holder.is_some_and(|(node, _)| {
                let node = &self.nodes[node];
                !node.engine.is_open() || now_ms < node.paused_until_ms + CONFIRM_MS
            });
            if unsure {
                self.expose(centre, seat, now_ms, until_ms + MARGIN_MS);
            }
        }
        self.queue.push_in(DETACH_MS, Event::StoreCheck { centre });
        self.queue.push_at(until_ms, Event::StoreCheck { centre });
    }

    pub(super) fn check_store(&mut self, centre: usize) {
        let now_ms = self.queue.now_ms();
        let in_reach = self.store_in_reach(centre);
        let state = &mut self.centres[centre];
        let lost_for_ms = state.store_lost_since_ms.map_or(0, |since_ms| now_ms - since_ms);
        let detached = !in_reach && (state.detached || lost_for_ms >= DETACH_MS);
        if in_reach {
            state.store_lost_since_ms = None;
        }
        if detached == state.detached {
            return;
        }
        state.detached = detached;
        state.detached_until_ms = Some(if detached { u64::MAX } else { now_ms });
        for node in self.live_holders(centre) {
            let delay_ms = self.rng.random_range(0..=1_000);
            let event = OnceEvent::DetachedChanged { detached };
            self.queue.push_in(delay_ms, Event::Engine { node, event });
        }
    }

    pub(super) fn change_seats(&mut self, centre: usize, seats: u16) {
        let now_ms = self.queue.now_ms();
        let state = &mut self.centres[centre];
        if now_ms < state.seats_changed_ms + SEATS_SPREAD_MS && state.seats_changed_ms > 0 {
            return;
        }
        state.former_seats = std::mem::replace(&mut state.seats, seats);
        state.seats_changed_ms = now_ms;
        let known = state.holders.len() as u16;
        // The record of the change is written when the store is in reach.
        let written_ms = now_ms.max(state.store_lost_until_ms);
        for seat in 0..known.max(seats) {
            let to_ms = written_ms + GAP_MS + MARGIN_MS;
            self.expose(centre, seat, now_ms.saturating_sub(MARGIN_MS), to_ms);
        }
        for node in self.live_holders(centre) {
            let delay_ms = self.rng.random_range(0..SEATS_SPREAD_MS);
            let event = OnceEvent::SeatsConfigured { seats };
            self.queue.push_in(delay_ms, Event::Engine { node, event });
        }
        for seat in known..seats {
            self.centres[centre].holders.push(None);
            self.seat_new_node(centre, seat);
        }
    }
}

//! Injected faults: kills, pauses, store outages, partitions and changes of the
//! number of seats.

use rand::{Rng, seq::IndexedRandom};
use tamarackproxy::coordination::once::{CLOCK_TOLERANCE_MS, OnceEvent, SeatTenure};

use super::{
    callers::SEATS_PROPAGATION_MS,
    cluster::{Cluster, Event, Fault},
};

/// Time without contact after which a seat may be taken over, in milliseconds.
const TAKEOVER_MS: u64 = 16_000;
/// Time without the store after which a data centre enters detached mode, in
/// milliseconds.
const DETACH_MS: u64 = 10_000;
/// Time for which a fault takes effect before and after the fault itself: the
/// callers' deadline and the time to open a log, in milliseconds.
const MARGIN_MS: u64 = 12_000;
/// Time within which a holder writes after a pause, unless the store is
/// unreachable, in milliseconds.
const CONFIRM_MS: u64 = 2_000;
/// Time after a gap in the log for which the outcome of keys that are in no log is
/// unknown, in milliseconds.
const GAP_MS: u64 = CLOCK_TOLERANCE_MS + 30_000;
/// Time before a fault in which an unreachable store or unreachable peers mean that
/// no witness can confirm the holder's log, in milliseconds.
const WITNESS_MS: u64 = 60_000;

impl Cluster {
    pub(super) fn schedule_faults(&mut self) {
        for fault in [
            Fault::Kill,
            Fault::Pause,
            Fault::Outage,
            Fault::CutOff,
            Fault::Partition,
            Fault::SeatsChange,
        ] {
            self.schedule_next(fault);
        }
    }

    fn schedule_next(&mut self, fault: Fault) {
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
        self.schedule_next(fault);
        let data_centre = self.rng.random_range(0..self.data_centres.len());
        let now_ms = self.queue.now_ms();
        match fault {
            Fault::Kill => self.kill(),
            Fault::Pause => self.pause(),
            Fault::Outage => {
                let length_ms = self.rng.random_range(1_000..=40_000);
                for data_centre in 0..self.data_centres.len() {
                    self.lose_store(data_centre, length_ms);
                }
            }
            Fault::CutOff => {
                let length_ms = self.rng.random_range(1_000..=60_000);
                self.lose_store(data_centre, length_ms);
            }
            Fault::Partition => {
                let length_ms = self.rng.random_range(1_000..=30_000);
                self.data_centres[data_centre].partitioned_until_ms = now_ms + length_ms;
            }
            Fault::SeatsChange => {
                let grow = self.data_centres[data_centre].seats <= self.setup.seats;
                let seats =
                    if grow { self.data_centres[data_centre].seats + 1 } else { self.setup.seats };
                self.queue.push_in(0, Event::SeatsChange { data_centre, seats });
            }
        }
    }

    fn choose_holder(&mut self) -> Option<(usize, u16, usize)> {
        let now_ms = self.queue.now_ms();
        let mut holders = Vec::new();
        for (number, data_centre) in self.data_centres.iter().enumerate() {
            for (seat, holder) in data_centre.holders.iter().enumerate() {
                let Some((node, _)) = *holder else { continue };
                if self.nodes[node].alive && now_ms >= self.nodes[node].paused_until_ms {
                    holders.push((number, seat as u16, node));
                }
            }
        }
        holders.choose(&mut self.rng).copied()
    }

    fn kill(&mut self) {
        let Some((data_centre, seat, node)) = self.choose_holder() else { return };
        self.nodes[node].alive = false;
        self.announce_peers(data_centre);
        let now_ms = self.queue.now_ms();
        self.expose(data_centre, seat, now_ms.saturating_sub(MARGIN_MS), now_ms + TAKEOVER_MS);
        self.queue.push_in(TAKEOVER_MS, Event::Takeover { data_centre, seat, failed: node });
    }

    /// Pauses a holder; it loses its seat if the pause exceeds the takeover time.
    fn pause(&mut self) {
        let Some((data_centre, seat, node)) = self.choose_holder() else { return };
        let length_ms = self.rng.random_range(200..=30_000);
        let now_ms = self.queue.now_ms();
        let until_ms = now_ms + length_ms;
        self.nodes[node].paused_until_ms = until_ms;
        // After a pause, only a write confirms to a holder that it still holds the
        // seat.
        let known_ms = until_ms.max(self.data_centres[data_centre].store_lost_until_ms);
        self.expose(data_centre, seat, now_ms.saturating_sub(MARGIN_MS), known_ms + MARGIN_MS);
        // In half of the long pauses the seat engine suspends the seat; the others
        // test that the log alone protects the keys.
        if length_ms > 1_000 && self.rng.random_bool(0.5) {
            let event = OnceEvent::SeatChanged { seat: None };
            self.queue.push_at(until_ms, Event::Engine { node, event });
            let term =
                self.data_centres[data_centre].holders[usize::from(seat)].map(|(_, term)| term);
            if let Some(term) = term.filter(|_| length_ms < TAKEOVER_MS) {
                let event = OnceEvent::SeatChanged { seat: Some(SeatTenure { index: seat, term }) };
                self.queue.push_at(until_ms + 5, Event::Engine { node, event });
            }
        }
        if length_ms >= TAKEOVER_MS {
            self.queue.push_in(TAKEOVER_MS, Event::Takeover { data_centre, seat, failed: node });
        }
    }

    pub(super) fn take_over(&mut self, data_centre: usize, seat: u16, failed: usize) {
        let now_ms = self.queue.now_ms();
        let holder =
            self.data_centres[data_centre].holders.get(usize::from(seat)).copied().flatten();
        if holder.is_none_or(|(node, _)| node != failed) {
            return;
        }
        let node = &self.nodes[failed];
        if node.alive && now_ms >= node.paused_until_ms {
            // The holder resumed before the store was reachable and keeps the seat.
            let term =
                self.data_centres[data_centre].holders[usize::from(seat)].map(|(_, term)| term);
            let tenure = term.map(|term| SeatTenure { index: seat, term });
            self.deliver(failed, OnceEvent::SeatChanged { seat: tenure });
            return;
        }
        if !self.is_store_reachable(data_centre) {
            self.expose(data_centre, seat, now_ms, now_ms + 2_000);
            self.queue.push_in(500, Event::Takeover { data_centre, seat, failed });
            return;
        }
        self.counts.takeovers += 1;
        let length_ms = if self.log_may_miss_claims(data_centre, seat) { GAP_MS } else { 0 };
        self.expose(data_centre, seat, now_ms, now_ms + length_ms + MARGIN_MS);
        self.start_seat_holder(data_centre, seat);
        let detached = self.data_centres[data_centre].detached;
        if detached
            && let Some((node, _)) = self.data_centres[data_centre].holders[usize::from(seat)]
        {
            self.deliver(node, OnceEvent::DetachedChanged { detached });
        }
    }

    /// Returns whether no witness can confirm the log: the data centre was without the
    /// store, or the other holders were unreachable.
    fn log_may_miss_claims(&self, data_centre: usize, seat: u16) -> bool {
        let since_ms = self.queue.now_ms().saturating_sub(TAKEOVER_MS + WITNESS_MS);
        let state = &self.data_centres[data_centre];
        let detached = state.detached_until_ms.is_some_and(|until_ms| until_ms >= since_ms);
        let recent = |times: &Vec<(u64, u64)>| times.iter().any(|&(_, to_ms)| to_ms >= since_ms);
        let others = || state.exposed.iter().any(|(&other, times)| other != seat && recent(times));
        detached || others()
    }

    pub(super) fn expose(&mut self, data_centre: usize, seat: u16, from_ms: u64, to_ms: u64) {
        let times = self.data_centres[data_centre].exposed.entry(seat).or_default();
        match times.last_mut() {
            Some(last) if from_ms <= last.1 => last.1 = last.1.max(to_ms),
            _ => times.push((from_ms, to_ms)),
        }
    }

    fn lose_store(&mut self, data_centre: usize, length_ms: u64) {
        let now_ms = self.queue.now_ms();
        let state = &mut self.data_centres[data_centre];
        state.store_lost_until_ms = state.store_lost_until_ms.max(now_ms + length_ms);
        state.store_lost_since_ms.get_or_insert(now_ms);
        let until_ms = state.store_lost_until_ms;
        // A log that is being opened stays closed until the store is reachable again,
        // and a holder after a pause cannot confirm its seat.
        for seat in 0..self.data_centres[data_centre].holders.len() as u16 {
            let holder = self.data_centres[data_centre].holders[usize::from(seat)];
            let unconfirmed = holder.is_some_and(|(node, _)| {
                let node = &self.nodes[node];
                !node.engine.is_open() || now_ms < node.paused_until_ms + CONFIRM_MS
            });
            if unconfirmed {
                self.expose(data_centre, seat, now_ms, until_ms + MARGIN_MS);
            }
        }
        self.queue.push_in(DETACH_MS, Event::StoreCheck { data_centre });
        self.queue.push_at(until_ms, Event::StoreCheck { data_centre });
    }

    pub(super) fn check_store(&mut self, data_centre: usize) {
        let now_ms = self.queue.now_ms();
        let reachable = self.is_store_reachable(data_centre);
        let state = &mut self.data_centres[data_centre];
        let lost_for_ms = state.store_lost_since_ms.map_or(0, |since_ms| now_ms - since_ms);
        let detached = !reachable && (state.detached || lost_for_ms >= DETACH_MS);
        if reachable {
            state.store_lost_since_ms = None;
        }
        if detached == state.detached {
            return;
        }
        state.detached = detached;
        state.detached_until_ms = Some(if detached { u64::MAX } else { now_ms });
        for node in self.live_holders(data_centre) {
            let delay_ms = self.rng.random_range(0..=1_000);
            let event = OnceEvent::DetachedChanged { detached };
            self.queue.push_in(delay_ms, Event::Engine { node, event });
        }
    }

    pub(super) fn change_seats(&mut self, data_centre: usize, seats: u16) {
        let now_ms = self.queue.now_ms();
        let state = &mut self.data_centres[data_centre];
        if now_ms < state.seats_changed_ms + SEATS_PROPAGATION_MS && state.seats_changed_ms > 0 {
            return;
        }
        state.previous_seats = std::mem::replace(&mut state.seats, seats);
        state.seats_changed_ms = now_ms;
        let known = state.holders.len() as u16;
        // The record of the change is written once the store is reachable.
        let written_ms = now_ms.max(state.store_lost_until_ms);
        for seat in 0..known.max(seats) {
            let to_ms = written_ms + GAP_MS + MARGIN_MS;
            self.expose(data_centre, seat, now_ms.saturating_sub(MARGIN_MS), to_ms);
        }
        for node in self.live_holders(data_centre) {
            let delay_ms = self.rng.random_range(0..SEATS_PROPAGATION_MS);
            let event = OnceEvent::SeatsConfigured { seats };
            self.queue.push_in(delay_ms, Event::Engine { node, event });
        }
        for seat in known..seats {
            self.data_centres[data_centre].holders.push(None);
            self.start_seat_holder(data_centre, seat);
        }
    }
}

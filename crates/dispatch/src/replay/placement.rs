//! A full pool with many waiting steps, for the cost of a placement round.

use tamarackproxy::{
    coordination::jobs::Resources,
    state::{clock::ClockReading, ids::AccountId},
};

use super::pool::{PoolSimulation, job, step};

/// Time between two rounds, in milliseconds: longer than the engine's shortest
/// interval between them.
const ROUND_MS: u64 = 10;

/// A pool in which every placement round ranks all waiting steps and starts none.
pub struct WaitingPool {
    simulation: PoolSimulation,
    now: ClockReading,
    accounts: Vec<(AccountId, f64)>,
}

impl WaitingPool {
    /// Creates a pool in which `steps` steps of as many jobs wait. The jobs belong
    /// to `accounts` accounts in turn, or to none.
    pub fn new(steps: usize, accounts: usize) -> Self {
        // One worker has processors but no memory left, the other the reverse, so
        // that a waiting step cannot be ruled out by the largest free capacity.
        let mut simulation = PoolSimulation::new(2, 64);
        simulation.workers[0].set_capacity(Resources::new(64_000, 0, 0));
        simulation.workers[1].set_capacity(Resources::new(0, 128 << 30, 0));
        simulation.register();
        let names: Vec<String> = (0..accounts).map(|index| format!("account-{index}")).collect();
        let weights: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 1.0)).collect();
        simulation.set_accounts(&weights);
        for index in 0..steps {
            let spec = job(vec![step(2, 1_000 + (index as u64 % 7) * 100, 500)]);
            match names.get(index % accounts.max(1)) {
                Some(name) => simulation.submit_as(name, spec),
                None => simulation.submit(spec),
            };
        }
        simulation.run_ms(200);
        let now = simulation.now();
        let accounts = names.iter().map(|name| (AccountId::new(name.as_str()), 1.0)).collect();
        Self { simulation, now, accounts }
    }

    /// Runs placement rounds.
    pub fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now.monotonic_ms += ROUND_MS;
            self.now.unix_ms += ROUND_MS;
            let engine = self.simulation.engine(0);
            // A change of the configuration asks for a round.
            engine.set_accounts(self.accounts.iter().cloned());
            drop(engine.step(self.now));
        }
    }
}

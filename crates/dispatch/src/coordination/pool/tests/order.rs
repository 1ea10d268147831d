//! Order of waiting work under the users' load: a surge of several times the
//! pool's capacity, then nearly no load.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::replay::pool::{PoolSimulation, job, step};
use crate::state::JobNumber;

/// Guards against late work that starves behind new work after a surge, and
/// against a surge in which no job meets its objective because all of them
/// share the capacity.
#[test]
fn surge_keeps_most_objectives_and_everything_ends() {
    let seed = 7;
    println!("seed {seed}");
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut simulation = PoolSimulation::new(4, 16);
    let mut jobs: Vec<(JobNumber, u64)> = Vec::new();
    for _ in 0..40 {
        // Each job has 1 to 8 tasks of 2 cores for 300 to 900 ms; one job every
        // 50 ms needs about twice the 64 cores.
        let estimate_ms = random.random_range(300..900);
        let spec = job(vec![step(random.random_range(1..=8), 2_000, estimate_ms)]);
        let objective_ms = u64::from(estimate_ms) * 16 / 10 + 600;
        jobs.push((simulation.submit(spec), objective_ms));
        simulation.run_ms(50);
    }
    simulation.run_ms(6_000);
    let timely = |&&(job, objective_ms): &&(JobNumber, u64)| {
        simulation.took_ms(job).is_some_and(|took_ms| took_ms <= objective_ms)
    };
    let timely = jobs.iter().filter(timely).count();
    assert!(jobs.iter().all(|&(job, _)| simulation.outcome(job).is_some()));
    assert!(timely * 2 > jobs.len(), "{timely} of {} jobs met their objectives", jobs.len());
}

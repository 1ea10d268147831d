//! Baselines with one central queue for each service and data centre, as if the
//! data centre had a single entry host.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use crate::bench::request_sim::{Arrival, Deployment, RequestOutcome, SLOTS};

/// Order in which a baseline serves its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// First in, first out.
    Fifo,
    /// The most urgent class first; first in, first out within a class.
    StrictPriority,
}

/// Idle slots of a service in a data centre, and its queue by class.
struct Pool {
    idle: usize,
    queues: [VecDeque<usize>; 3],
}

/// Runs the arrivals through a baseline.
///
/// The queue of a service has the capacity of the queues of all entry hosts
/// together. New requests are refused when it is full, and waiting ones are dropped
/// at dispatch if their deadline has passed.
pub fn run(
    deployment: &Deployment,
    arrivals: &[Arrival],
    discipline: Discipline,
) -> Vec<RequestOutcome> {
    let mut outcomes = vec![RequestOutcome::default(); arrivals.len()];
    let mut pools = pools(deployment);
    let limit = deployment.queue_limit as usize * deployment.entries;
    let mut done: BinaryHeap<Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let services = deployment.instances.len();
    for (number, arrival) in arrivals.iter().enumerate() {
        while let Some(&Reverse((at_us, finished, pool))) = done.peek() {
            if at_us > arrival.at_us {
                break;
            }
            done.pop();
            outcomes[finished].answered_us = Some(at_us);
            pools[pool].idle += 1;
            serve(&mut pools[pool], pool, at_us, arrivals, &mut outcomes, &mut done);
        }
        let index = arrival.data_centre * services + arrival.service;
        let pool = &mut pools[index];
        if pool.queues.iter().map(VecDeque::len).sum::<usize>() >= limit {
            outcomes[number].refused_us = Some(arrival.at_us);
            continue;
        }
        let class = match discipline {
            Discipline::Fifo => 0,
            Discipline::StrictPriority => arrival.urgency as usize,
        };
        pool.queues[class].push_back(number);
        serve(pool, index, arrival.at_us, arrivals, &mut outcomes, &mut done);
    }
    while let Some(Reverse((at_us, finished, pool))) = done.pop() {
        outcomes[finished].answered_us = Some(at_us);
        pools[pool].idle += 1;
        serve(&mut pools[pool], pool, at_us, arrivals, &mut outcomes, &mut done);
    }
    outcomes
}

fn pools(deployment: &Deployment) -> Vec<Pool> {
    let services = deployment.instances.len();
    let mut pools: Vec<Pool> = (0..deployment.data_centres * services)
        .map(|_| Pool { idle: 0, queues: Default::default() })
        .collect();
    for service in 0..services {
        for (data_centre, instances) in
            deployment.instances_by_data_centre(service).into_iter().enumerate()
        {
            pools[data_centre * services + service].idle = instances * usize::from(SLOTS);
        }
    }
    pools
}

fn serve(
    pool: &mut Pool,
    index: usize,
    now_us: u64,
    arrivals: &[Arrival],
    outcomes: &mut [RequestOutcome],
    done: &mut BinaryHeap<Reverse<(u64, usize, usize)>>,
) {
    while pool.idle > 0 {
        let Some(number) = pool.queues.iter_mut().find_map(VecDeque::pop_front) else { return };
        let arrival = &arrivals[number];
        if now_us > arrival.at_us + arrival.deadline_ms * 1_000 {
            outcomes[number].refused_us = Some(now_us);
            continue;
        }
        pool.idle -= 1;
        outcomes[number].started_us = Some(now_us);
        done.push(Reverse((now_us + arrival.service_us, number, index)));
    }
}

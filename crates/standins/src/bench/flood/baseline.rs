//! Baselines: one queue for each service of a data centre, in front of all of
//! its slots, as if its entry hosts were one.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use crate::bench::request_sim::{Arrival, Deployment, Fate, SLOTS};

/// Order in which a baseline serves its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// First in, first out.
    Fifo,
    /// The most urgent first; first in, first out among equals.
    StrictPriority,
}

struct Pool {
    idle: usize,
    queues: [VecDeque<usize>; 3],
}

/// Runs the arrivals through the baseline. A queue holds as many requests as
/// those of all entry hosts together, drops new ones when it is full, and
/// drops requests whose deadline has passed when their turn comes.
pub fn run(deployment: &Deployment, arrivals: &[Arrival], discipline: Discipline) -> Vec<Fate> {
    let mut fates = vec![Fate::default(); arrivals.len()];
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
            fates[finished].answered_us = Some(at_us);
            pools[pool].idle += 1;
            serve(&mut pools[pool], pool, at_us, arrivals, &mut fates, &mut done);
        }
        let index = arrival.data_centre * services + arrival.service;
        let pool = &mut pools[index];
        if pool.queues.iter().map(VecDeque::len).sum::<usize>() >= limit {
            fates[number].refused_us = Some(arrival.at_us);
            continue;
        }
        let class = match discipline {
            Discipline::Fifo => 0,
            Discipline::StrictPriority => arrival.urgency as usize,
        };
        pool.queues[class].push_back(number);
        serve(pool, index, arrival.at_us, arrivals, &mut fates, &mut done);
    }
    while let Some(Reverse((at_us, finished, pool))) = done.pop() {
        fates[finished].answered_us = Some(at_us);
        pools[pool].idle += 1;
        serve(&mut pools[pool], pool, at_us, arrivals, &mut fates, &mut done);
    }
    fates
}

fn pools(deployment: &Deployment) -> Vec<Pool> {
    let services = deployment.instances.len();
    let mut pools: Vec<Pool> = (0..deployment.data_centres * services)
        .map(|_| Pool { idle: 0, queues: Default::default() })
        .collect();
    for service in 0..services {
        for (data_centre, instances) in deployment.placed(service).into_iter().enumerate() {
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
    fates: &mut [Fate],
    done: &mut BinaryHeap<Reverse<(u64, usize, usize)>>,
) {
    while pool.idle > 0 {
        let Some(number) = pool.queues.iter_mut().find_map(VecDeque::pop_front) else { return };
        let arrival = &arrivals[number];
        if now_us > arrival.at_us + arrival.deadline_ms * 1_000 {
            fates[number].refused_us = Some(now_us);
            continue;
        }
        pool.idle -= 1;
        fates[number].started_us = Some(now_us);
        done.push(Reverse((now_us + arrival.service_us, number, index)));
    }
}

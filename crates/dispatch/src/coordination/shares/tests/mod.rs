//! Tests of the share engine: several pools with one store, on virtual time.
//! Each start is checked against the limit by the simulation.

mod faults;
mod movement;
mod world;

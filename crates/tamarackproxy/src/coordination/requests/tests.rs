//! Tests of the request engine in virtual time.

mod support;

mod answers;
mod flood;
mod leaving;
mod outcomes;
mod outcomes_model;
mod retry;
mod slots;
mod slots_model;

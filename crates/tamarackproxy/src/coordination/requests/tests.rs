//! Tests of the request engine on virtual time.

mod support;

mod leaving;
mod outcomes;
mod slots;
mod slots_model;

//! Unit tests of parts of the fleet engine; whole engines are tested in the
//! simulation of the stand-ins crate.

mod control;
mod rules;
mod sizing;

//! Tests of the rules of the fleet engine; whole engines are tested in the
//! virtual world of the stand-ins.

mod control;
mod rules;
mod sizing;

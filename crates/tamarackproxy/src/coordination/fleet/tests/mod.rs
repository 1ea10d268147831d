//! Tests of the fleet engine.

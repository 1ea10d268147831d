//! Tests of the share engine.

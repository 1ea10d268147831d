//! `slots`: overruns and use of shared slots, against static shares.

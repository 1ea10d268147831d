//! stand-ins

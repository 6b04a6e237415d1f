//! Ragwortreel.

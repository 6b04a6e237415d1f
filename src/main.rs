//! Ragwortreel.

fn main() {}

//! Part of ragwortreel.

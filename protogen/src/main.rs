//! Generates `crates/entry/src/generated.rs` from `crates/entry/proto/entry.proto`.
//!
//! Run it from the workspace's root with `cargo run -p protogen` after a change of the .proto file, and commit the
//! result. No build runs it.

use std::{error::Error, fs, path::Path};

const PROTO_DIR: &str = "crates/entry/proto";
const OUT_DIR: &str = "target/protogen";
const GENERATED: &str = "crates/entry/src/generated.rs";

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["entry.proto"], [PROTO_DIR])?;
    fs::create_dir_all(OUT_DIR)?;
    tonic_prost_build::configure()
        .out_dir(OUT_DIR)
        .build_transport(false)
        .btree_map(".")
        .compile_fds(descriptors)?;
    fs::copy(
        Path::new(OUT_DIR).join("ragwortreel.entry.v1.rs"),
        GENERATED,
    )?;
    Ok(())
}

//! Generates `crates/entry/src/generated.rs` from `crates/entry/proto/entry.proto`.
//!
//! Run `cargo run -p protogen` in the workspace root after each change to the .proto file, and commit the result. No
//! build runs the generator.

use std::{error::Error, fs, path::Path};

const PROTO_DIR: &str = "crates/entry/proto";
const OUT_DIR: &str = "target/protogen";
const GENERATED_FILE: &str = "crates/entry/src/generated.rs";

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
        GENERATED_FILE,
    )?;
    Ok(())
}

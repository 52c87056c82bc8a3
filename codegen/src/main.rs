//! Makes the committed code in `proto/src/generated` again from `proto/proto`.
//!
//! Run from the root of the repository:
//! `cargo run --manifest-path codegen/Cargo.toml`.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["proto/proto/peer.proto"], ["proto/proto"])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir("proto/src/generated")
        .compile_fds(descriptors)?;
    Ok(())
}

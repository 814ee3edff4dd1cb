//! Regenerates the committed Rust code of the protobuf messages in the wire crate. Run from the
//! root of the repository: `cargo run -p generate`, then `cargo fmt --all`.

use anyhow::Result;

const PROTO_DIRECTORY: &str = "components/wire/proto";
const PROTO_FILE: &str = "dragonflyfront.proto";
const OUTPUT_DIRECTORY: &str = "components/wire/src/generated";

fn main() -> Result<()> {
    let file_descriptors = protox::compile([PROTO_FILE], [PROTO_DIRECTORY])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(OUTPUT_DIRECTORY)
        .compile_fds(file_descriptors)?;
    Ok(())
}

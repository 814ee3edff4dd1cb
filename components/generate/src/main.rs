//! Regenerates the committed code of the wire component; run from the root of the repository:
//! `cargo run -p generate`.

use anyhow::Result;

const PROTO_FOLDER: &str = "components/wire/proto";
const PROTO_FILE: &str = "dragonflyfront.proto";
const OUT_FOLDER: &str = "components/wire/src/generated";

fn main() -> Result<()> {
    let descriptors = protox::compile([PROTO_FILE], [PROTO_FOLDER])?;
    tonic_prost_build::configure().bytes(".").out_dir(OUT_FOLDER).compile_fds(descriptors)?;
    Ok(())
}

//! Writes the Rust code of the schema into the folder named by the first argument.

use anyhow::Context;

/// Fields whose values are parts of the message that was read, as there are many of them or they are large.
const SHARED_BYTES: [&str; 7] = [
    ".jaylock.v1.Organisation.key_hashes",
    ".jaylock.v1.Document.source",
    ".jaylock.v1.DocumentReply.source",
    ".jaylock.v1.AppendRequest.entries",
    ".jaylock.v1.ReadReply.configuration",
    ".jaylock.v1.WatchReply.whole",
    ".jaylock.v1.WatchReply.changes",
];

fn main() -> anyhow::Result<()> {
    let target = std::env::args().nth(1).context("name the folder to write into")?;
    let files = protox::compile(["jaylock.proto"], ["proto"])?;
    let mut builder = tonic_prost_build::configure().build_transport(false);
    for field in SHARED_BYTES {
        builder = builder.bytes(field);
    }
    builder
        .out_dir(target)
        .compile_fds(files)?;
    Ok(())
}

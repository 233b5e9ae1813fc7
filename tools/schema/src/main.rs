//! Writes the Rust code of the schema into the folder named by the first argument.

use anyhow::Context;

fn main() -> anyhow::Result<()> {
    let target = std::env::args().nth(1).context("name the folder to write into")?;
    let files = protox::compile(["jaylock.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(target)
        .compile_fds(files)?;
    Ok(())
}

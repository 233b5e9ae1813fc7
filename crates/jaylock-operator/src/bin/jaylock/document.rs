use clap::Command;
use jaylock_rpc::v1::ReadRequest;

use crate::failure::Result;
use crate::output::{Output, Record};
use crate::session::Session;

/// Name of the command on whole configurations.
pub const NOUN: &str = "document";

/// The command that shows which whole configuration is in force.
pub fn command() -> Command {
    Command::new(NOUN)
        .about("Shows the whole configuration that was put in force last, as it was written")
}

/// Shows the version of the newest document and its text.
pub async fn show(session: &Session) -> Result<Output> {
    let call = session.call(async |mut client| client.get_document(ReadRequest {}).await);
    let reply = call.await?;
    let source = String::from_utf8_lossy(&reply.source).into_owned();
    let record = Record::new()
        .with("version", reply.version)
        .with("source", source.as_str());
    Ok(Output::Record(record))
}

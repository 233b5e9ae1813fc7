use clap::Command;
use jaylock_rpc::v1::ReadRequest;

use crate::error::Result;
use crate::output::{Output, Record};
use crate::session::Session;

/// Name of the command for configuration documents.
pub const NAME: &str = "document";

/// The command that shows the newest configuration document.
pub fn command() -> Command {
    Command::new(NAME).about("Shows the newest configuration document as submitted")
}

/// Shows the version and the text of the newest document.
pub async fn show(session: &Session) -> Result<Output> {
    let call = session.call(async |mut client| client.get_document(ReadRequest {}).await);
    let reply = call.await?;
    let source = String::from_utf8_lossy(&reply.source).into_owned();
    let record = Record::new()
        .with("version", reply.version)
        .with("source", source.as_str());
    Ok(Output::Record(record))
}

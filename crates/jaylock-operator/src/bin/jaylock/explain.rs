use clap::{ArgMatches, Command};
use jaylock_rpc::v1;
use jaylock_types::RequestId;

use crate::arguments::{id_argument, id_value};
use crate::error::{Error, Result};
use crate::output::{Listing, Output};
use crate::report::time;
use crate::session::Session;

/// Name of the command that explains a request.
pub const NAME: &str = "explain";

/// The command that explains a request.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Shows why a request waited, where it was sent and how it ended")
        .arg(id_argument::<RequestId>().help("x-request-id of the response"))
}

/// Collects the trace of a request from the fleet.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    let id = id_value::<RequestId>(matches);
    let request = v1::TraceRequest {
        request: id.clone(),
    };
    let call = session.call(async |mut client| client.explain(request.clone()).await);
    let report = call.await?;
    if report.steps.is_empty() && report.unheard.is_empty() {
        let text = format!("no instance has a trace of request {id}: the request may be too old");
        return Err(Error::Refused(text));
    }
    let mut listing = Listing::new(&["at", "instance", "step"]);
    for step in report.steps {
        listing.push(vec![
            time(step.at_ms).into(),
            step.instance.into(),
            step.text.into(),
        ]);
    }
    Ok(Output::Listing(listing).with_unresponsive(report.unheard))
}

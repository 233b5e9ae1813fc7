use clap::{ArgMatches, Command};
use jaylock_rpc::v1;
use jaylock_types::RequestId;

use crate::arguments::{name, name_argument};
use crate::failure::{Failure, Result};
use crate::output::{Listing, Output};
use crate::report::time;
use crate::session::Session;

/// Name of the command that explains a request.
pub const NOUN: &str = "explain";

/// The command that explains a request.
pub fn command() -> Command {
    Command::new(NOUN)
        .about("Tells why a request waited, where it went and how it ended")
        .arg(name_argument::<RequestId>().help("The x-request-id of its answer"))
}

/// Gathers what the fleet knows of a request.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    let id = name::<RequestId>(matches);
    let request = v1::TraceRequest {
        request: id.clone(),
    };
    let call = session.call(async |mut client| client.explain(request.clone()).await);
    let report = call.await?;
    if report.steps.is_empty() && report.unheard.is_empty() {
        let text = format!("no instance remembers request {id}: it may be too long ago");
        return Err(Failure::Refused(text));
    }
    let mut listing = Listing::new(&["at", "instance", "step"]);
    for step in report.steps {
        listing.push(vec![
            time(step.at_ms).into(),
            step.instance.into(),
            step.text.into(),
        ]);
    }
    Ok(Output::Listing(listing).unless_heard(report.unheard))
}

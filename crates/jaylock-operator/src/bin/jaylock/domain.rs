use clap::{Arg, ArgMatches, Command};
use jaylock_control::{find_evacuation, is_known_domain};
use jaylock_rpc::v1;
use jaylock_rpc::v1::command::Body;
use jaylock_types::DomainId;

use crate::arguments::{from_str_parser, option_value};
use crate::change::{Edit, edit_entry};
use crate::error::{Error, Result};
use crate::instance::lags;
use crate::output::{Cell, Listing, Output};
use crate::report::time;
use crate::session::Session;

/// Name of the commands for failure domains.
pub const NAME: &str = "domain";
/// State of a backend server that gets requests.
const READY: &str = "ready";

/// The commands for failure domains.
pub fn command() -> Command {
    let with_name = |name: &'static str| Command::new(name).arg(name_argument());
    Command::new(NAME)
        .about("Failure domains: machines that fail together")
        .subcommand_required(true)
        .subcommand(with_name("evacuate").about(
            "Sends no new requests to the backend servers of a domain; running requests finish",
        ))
        .subcommand(
            with_name("restore")
                .about("Sends requests to the backend servers of an evacuated domain again"),
        )
        .subcommand(Command::new("list").about(
            "Lists the domains, the instances that have the order, and what still runs there",
        ))
}

fn name_argument() -> Arg {
    Arg::new("name")
        .value_name("NAME")
        .help("Name of the failure domain")
        .required(true)
        .value_parser(from_str_parser::<DomainId>())
}

/// Runs one of the commands.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("evacuate", submatches)) => order(session, submatches, true).await,
        Some(("restore", submatches)) => order(session, submatches, false).await,
        _ => list(session).await,
    }
}

async fn order(session: &Session, matches: &ArgMatches, evacuated: bool) -> Result<Output> {
    let domain = option_value::<DomainId>(matches, "name").unwrap_or_default();
    let compute = |configuration: &v1::Configuration| order_edit(configuration, &domain, evacuated);
    let state = if evacuated { "evacuated" } else { "restored" };
    let extra = [("domain", domain.as_str().into()), ("state", state.into())];
    edit_entry(session, compute, &extra).await
}

/// The order for a domain, based on the last one; the log decides whether it changes anything.
fn order_edit(configuration: &v1::Configuration, domain: &str, evacuated: bool) -> Result<Edit> {
    if !is_known_domain(configuration, domain) {
        return Err(Error::Refused(format!(
            "no instance ever registered in failure domain {domain}: see \"jaylock domain list\""
        )));
    }
    let order = v1::SetEvacuation {
        domain: domain.to_owned(),
        evacuated,
        prior_index: find_evacuation(configuration, domain).map_or(0, |e| e.index),
    };
    Ok(Edit {
        body: Body::SetEvacuation(order),
        refusal: None,
    })
}

async fn list(session: &Session) -> Result<Output> {
    let configuration = session.configuration().await?;
    let lags = lags(session).await?;
    let request = v1::ListBackendsRequest::default();
    let call = session.call(async |mut client| client.list_backends(request.clone()).await);
    let reply = call.await?;
    let mut listing = Listing::new(&[
        "domain",
        "state",
        "since",
        "informed",
        "instances",
        "running",
        "usable",
        "backends",
    ]);
    for domain in &configuration.domains {
        let (state, since, index) = domain_state(&configuration, domain);
        let informed = lags.iter().filter(|lag| lag.index >= index).count();
        let [running, usable, all] = totals(&reply.backends, domain);
        listing.push(vec![
            domain.as_str().into(),
            state.into(),
            since.into(),
            Cell::Number(informed as u64),
            Cell::Number(lags.len() as u64),
            running.into(),
            usable.into(),
            all.into(),
        ]);
    }
    Ok(Output::Listing(listing).with_unresponsive(reply.unheard))
}

/// State of a domain, when the last order for it was given, and the index of that order.
fn domain_state(configuration: &v1::Configuration, domain: &str) -> (&'static str, String, u64) {
    match find_evacuation(configuration, domain) {
        None => ("in use", String::new(), 0),
        Some(last) if last.since_ms > 0 => ("evacuated", time(last.since_ms), last.index),
        Some(last) => ("in use", time(last.restored_ms), last.index),
    }
}

/// Requests that run at the backend servers of a domain, its usable backend servers, and all of them.
fn totals(backends: &[v1::BackendState], domain: &str) -> [u64; 3] {
    let mut totals = [0; 3];
    for state in backends {
        let Some(report) = state.report.as_ref().filter(|r| r.domain == domain) else {
            continue;
        };
        // Slots are granted before the server reports the request, and a report may outlast the slot.
        totals[0] += u64::from(report.running.max(state.granted));
        totals[1] += u64::from(state.state == READY);
        totals[2] += 1;
    }
    totals
}

use clap::{ArgMatches, Command};
use jaylock_rpc::v1;
use jaylock_rpc::v1::command::Body;
use jaylock_types::{BackendId, PoolId};

use crate::arguments::{name, name_argument, name_option, named};
use crate::change::apply;
use crate::failure::Result;
use crate::output::{Cell, Listing, Output};
use crate::session::Session;

/// Name of the commands on backend servers.
pub const NOUN: &str = "backend";

/// The commands on backend servers.
pub fn command() -> Command {
    let pool = name_option::<PoolId>("pool", "Only those of this pool");
    Command::new(NOUN)
        .about("Backend servers: model engines and plain services' replicas")
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists those that announced themselves")
                .arg(pool),
        )
        .subcommand(
            Command::new("drain")
                .about("Gives it no new work; what runs there finishes")
                .arg(name_argument::<BackendId>()),
        )
        .subcommand(
            Command::new("undrain")
                .about("Gives it work again")
                .arg(name_argument::<BackendId>()),
        )
}

/// Runs one of the commands.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("drain", chosen)) => {
            apply(session, Body::DrainBackend(name::<BackendId>(chosen))).await
        }
        Some(("undrain", chosen)) => {
            apply(session, Body::UndrainBackend(name::<BackendId>(chosen))).await
        }
        Some((_, chosen)) => list(session, named::<PoolId>(chosen, "pool")).await,
        None => list(session, None).await,
    }
}

async fn list(session: &Session, pool: Option<String>) -> Result<Output> {
    let request = v1::ListBackendsRequest {
        pool: pool.unwrap_or_default(),
    };
    let call = session.call(async |mut client| client.list_backends(request.clone()).await);
    let reply = call.await?;
    let mut listing = Listing::new(&[
        "id",
        "pool",
        "kind",
        "domain",
        "address",
        "state",
        "running",
        "granted",
        "slots",
        "models",
        "heard_ms_ago",
    ]);
    for state in reply.backends {
        listing.push(row(state));
    }
    Ok(Output::Listing(listing).unless_heard(reply.unheard))
}

fn row(state: v1::BackendState) -> Vec<Cell> {
    let report = state.report.unwrap_or_default();
    let kind = match report.kind() {
        v1::backend_report::Kind::Engine => "engine",
        v1::backend_report::Kind::Service => "service",
    };
    let models = report.models.iter().map(loaded);
    vec![
        report.id.as_str().into(),
        report.pool.as_str().into(),
        kind.into(),
        report.domain.as_str().into(),
        report.address.as_str().into(),
        state.state.into(),
        report.running.into(),
        state.granted.into(),
        report.slots.into(),
        models.collect::<Vec<_>>().into(),
        state.heard_ms_ago.into(),
    ]
}

/// A model as `model@version`, with its adapters behind plus signs.
fn loaded(model: &v1::LoadedModel) -> String {
    let mut text = format!("{}@{}", model.model, model.version);
    for adapter in &model.adapters {
        text.push('+');
        text.push_str(adapter);
    }
    text
}

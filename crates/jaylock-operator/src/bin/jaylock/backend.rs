use clap::{ArgMatches, Command};
use jaylock_rpc::v1;
use jaylock_rpc::v1::command::Body;
use jaylock_types::{BackendId, PoolId};

use crate::arguments::{id_argument, id_option, id_value, option_value};
use crate::change::apply;
use crate::error::Result;
use crate::output::{Cell, Listing, Output};
use crate::session::Session;

/// Name of the commands for backend servers.
pub const NAME: &str = "backend";

/// The commands for backend servers.
pub fn command() -> Command {
    let pool = id_option::<PoolId>("pool", "Lists only the backend servers of this pool");
    Command::new(NAME)
        .about("Backend servers: model engines and plain services' replicas")
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists the registered backend servers")
                .arg(pool),
        )
        .subcommand(
            Command::new("drain")
                .about("Sends no new requests to a backend server; running requests finish")
                .arg(id_argument::<BackendId>()),
        )
        .subcommand(
            Command::new("undrain")
                .about("Sends requests to a drained backend server again")
                .arg(id_argument::<BackendId>()),
        )
}

/// Runs one of the commands.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("drain", submatches)) => {
            apply(
                session,
                Body::DrainBackend(id_value::<BackendId>(submatches)),
            )
            .await
        }
        Some(("undrain", submatches)) => {
            apply(
                session,
                Body::UndrainBackend(id_value::<BackendId>(submatches)),
            )
            .await
        }
        Some((_, submatches)) => list(session, option_value::<PoolId>(submatches, "pool")).await,
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
        "pace_percent",
        "work_time_percent",
        "models",
        "software",
        "heard_ms_ago",
    ]);
    for state in reply.backends {
        listing.push(row(state));
    }
    Ok(Output::Listing(listing).with_unresponsive(reply.unheard))
}

fn row(state: v1::BackendState) -> Vec<Cell> {
    let report = state.report.unwrap_or_default();
    let kind = match report.kind() {
        v1::backend_report::Kind::Engine => "engine",
        v1::backend_report::Kind::Service => "service",
    };
    let models = report.models.iter().map(model_text);
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
        state.pace_percent.into(),
        state.work_time_percent.into(),
        models.collect::<Vec<_>>().into(),
        report.software.as_str().into(),
        state.heard_ms_ago.into(),
    ]
}

/// A model as `model@version`, followed by `+adapter` for each of its adapters.
fn model_text(model: &v1::LoadedModel) -> String {
    let mut text = format!("{}@{}", model.model, model.version);
    for adapter in &model.adapters {
        text.push('+');
        text.push_str(adapter);
    }
    text
}

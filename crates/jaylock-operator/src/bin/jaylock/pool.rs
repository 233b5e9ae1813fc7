use clap::{ArgMatches, Command};
use jaylock_rpc::v1;
use jaylock_types::PoolId;

use crate::arguments::{name_option, named};
use crate::failure::Result;
use crate::output::{Cell, Listing, Output};
use crate::session::Session;

/// Name of the commands on pools.
pub const NOUN: &str = "pool";

/// The commands on pools.
pub fn command() -> Command {
    let pool = name_option::<PoolId>("pool", "Only this pool");
    Command::new(NOUN)
        .about("Pools and how organisations share them")
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists schedulers and organisations")
                .arg(pool),
        )
}

/// Lists the pools and each organisation's part in them.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    let chosen = matches
        .subcommand()
        .and_then(|(_, chosen)| named::<PoolId>(chosen, "pool"));
    let request = v1::ListPoolsRequest {
        pool: chosen.unwrap_or_default(),
    };
    let call = session.call(async |mut client| client.list_pools(request.clone()).await);
    let reply = call.await?;
    let parts = vec![
        ("pools", Output::Listing(schedulers(&reply.pools))),
        (
            "organisations",
            Output::Listing(organisations(&reply.pools)),
        ),
    ];
    Ok(Output::Parts(parts).unless_heard(reply.unheard))
}

fn schedulers(pools: &[v1::PoolReport]) -> Listing {
    let mut listing = Listing::new(&[
        "pool",
        "scheduler",
        "epoch",
        "backends",
        "utilisation_percent",
    ]);
    for pool in pools {
        listing.push(vec![
            pool.pool.as_str().into(),
            pool.instance.as_str().into(),
            pool.epoch.into(),
            Cell::Number(pool.backends.len() as u64),
            Cell::Decimal(f64::from(pool.utilisation_ppm) / PPM_PER_PERCENT, 1),
        ]);
    }
    listing
}

fn organisations(pools: &[v1::PoolReport]) -> Listing {
    let mut listing = Listing::new(&[
        "pool",
        "organisation",
        "weight",
        "backlog",
        "running",
        "tokens",
        "share_percent",
        "weighted_service",
        "wait_p50_ms",
        "wait_p99_ms",
        "refused",
    ]);
    for pool in pools {
        let all: u64 = pool.organisations.iter().map(|o| o.tokens).sum();
        for own in &pool.organisations {
            listing.push(vec![
                pool.pool.as_str().into(),
                own.organisation.as_str().into(),
                own.weight.into(),
                own.backlog.into(),
                own.running.into(),
                own.tokens.into(),
                Cell::Decimal(percent(own.tokens, all), 1),
                own.weighted_service.into(),
                own.wait_p50_ms.into(),
                own.wait_p99_ms.into(),
                own.refused.into(),
            ]);
        }
    }
    listing
}

#[allow(clippy::cast_precision_loss)]
fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

/// Millionths in a percent.
const PPM_PER_PERCENT: f64 = 1e4;

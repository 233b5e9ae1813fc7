use clap::{ArgMatches, Command};
use jaylock_rpc::v1;
use jaylock_types::PoolId;

use crate::arguments::{id_option, option_value};
use crate::error::Result;
use crate::output::{Cell, Listing, Output};
use crate::session::Session;

/// Name of the commands for pools.
pub const NAME: &str = "pool";

/// The commands for pools.
pub fn command() -> Command {
    let pool = id_option::<PoolId>("pool", "Lists only this pool");
    Command::new(NAME)
        .about("Pools and how organisations share them")
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists the schedulers and the shares of the organisations")
                .arg(pool),
        )
}

/// Lists the pools and the share of each organisation.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    let submatches = matches
        .subcommand()
        .and_then(|(_, submatches)| option_value::<PoolId>(submatches, "pool"));
    let request = v1::ListPoolsRequest {
        pool: submatches.unwrap_or_default(),
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
    Ok(Output::Parts(parts).with_unresponsive(reply.unheard))
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
        let total: u64 = pool.organisations.iter().map(|o| o.tokens).sum();
        for share in &pool.organisations {
            listing.push(vec![
                pool.pool.as_str().into(),
                share.organisation.as_str().into(),
                share.weight.into(),
                share.backlog.into(),
                share.running.into(),
                share.tokens.into(),
                Cell::Decimal(percent(share.tokens, total), 1),
                share.weighted_service.into(),
                share.wait_p50_ms.into(),
                share.wait_p99_ms.into(),
                share.refused.into(),
            ]);
        }
    }
    listing
}

#[allow(clippy::cast_precision_loss)]
fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

/// Parts per million in one percent.
const PPM_PER_PERCENT: f64 = 1e4;

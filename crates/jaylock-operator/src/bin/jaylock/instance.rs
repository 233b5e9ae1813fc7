use clap::Command;
use jaylock_rpc::v1;

use crate::error::Result;
use crate::output::{Cell, Listing, Output};
use crate::session::Session;

/// Name of the commands for instances.
pub const NAME: &str = "instance";

/// The commands for instances.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Instances of the fleet")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists the live instances"))
}

/// Lists the live instances and the active revision of each.
pub async fn list(session: &Session) -> Result<Output> {
    let configuration = session.configuration().await?;
    let lags = lags(session).await?;
    Ok(Output::Listing(listing(&configuration, &lags)))
}

/// The revision and index that each live instance reported.
pub async fn lags(session: &Session) -> Result<Vec<v1::InstanceLag>> {
    // No instance reaches the maximum revision, so the reply lists all instances and revisions.
    let request = v1::WaitRequest {
        revision: u64::MAX,
        timeout_ms: 0,
    };
    let call = session.call(async |mut client| client.wait_revision(request).await);
    Ok(call.await?.lagging)
}

/// The live instances of a configuration, with the revision that each one reported.
pub fn listing(configuration: &v1::Configuration, lags: &[v1::InstanceLag]) -> Listing {
    let mut listing = Listing::new(&[
        "id",
        "domain",
        "callers",
        "peers",
        "replica",
        "pools",
        "leaving",
        "incarnation",
        "revision",
    ]);
    for instance in &configuration.instances {
        let lag = lags.iter().find(|lag| lag.instance == instance.id);
        let leases = configuration
            .pools
            .iter()
            .filter(|lease| lease.instance == instance.id);
        let pools: Vec<String> = leases.map(|lease| lease.pool.clone()).collect();
        listing.push(vec![
            instance.id.as_str().into(),
            instance.domain.as_str().into(),
            instance.caller_address.as_str().into(),
            instance.peer_address.as_str().into(),
            role(configuration, instance).into(),
            Cell::List(pools),
            instance.leaving.into(),
            instance.incarnation.into(),
            lag.map_or(0, |lag| lag.revision).into(),
        ]);
    }
    listing
}

/// Role of an instance in the replicated log.
fn role(configuration: &v1::Configuration, instance: &v1::Instance) -> &'static str {
    let member = configuration
        .members
        .iter()
        .find(|m| m.instance == instance.id);
    match member {
        Some(member) if member.voter => "voter",
        Some(_) => "learner",
        None if instance.disk => "spare",
        None => "none",
    }
}

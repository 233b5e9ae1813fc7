use clap::Command;
use jaylock_rpc::v1;

use crate::failure::Result;
use crate::output::{Cell, Listing, Output};
use crate::session::Session;

/// Name of the commands on instances.
pub const NOUN: &str = "instance";

/// The commands on instances.
pub fn command() -> Command {
    Command::new(NOUN)
        .about("Instances of the fleet")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists the live instances"))
}

/// Lists the live instances and the revision that each has in force.
pub async fn list(session: &Session) -> Result<Output> {
    let config = session.configuration().await?;
    // No instance has the last revision there is, so each is told with the one that it has.
    let request = v1::WaitRequest {
        revision: u64::MAX,
        timeout_ms: 0,
    };
    let call = session.call(async |mut client| client.wait_revision(request).await);
    let told = call.await?.lagging;
    Ok(Output::Listing(listing(&config, &told)))
}

/// The live instances of a configuration, with the revision that each told of.
pub fn listing(config: &v1::Configuration, told: &[v1::InstanceLag]) -> Listing {
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
    for instance in &config.instances {
        let lag = told.iter().find(|lag| lag.instance == instance.id);
        let leases = config
            .pools
            .iter()
            .filter(|lease| lease.instance == instance.id);
        let pools: Vec<String> = leases.map(|lease| lease.pool.clone()).collect();
        listing.push(vec![
            instance.id.as_str().into(),
            instance.domain.as_str().into(),
            instance.caller_address.as_str().into(),
            instance.peer_address.as_str().into(),
            role(config, instance).into(),
            Cell::List(pools),
            instance.leaving.into(),
            instance.incarnation.into(),
            lag.map_or(0, |lag| lag.revision).into(),
        ]);
    }
    listing
}

/// What the instance does for the replicated log.
fn role(config: &v1::Configuration, instance: &v1::Instance) -> &'static str {
    let member = config.members.iter().find(|m| m.instance == instance.id);
    match member {
        Some(member) if member.voter => "voter",
        Some(_) => "learner",
        None if instance.disk => "spare",
        None => "none",
    }
}

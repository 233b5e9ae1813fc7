use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use jaylock_control::{KeyRequirement, key_requirement};
use jaylock_rpc::v1;
use jaylock_rpc::v1::command::Body;

use crate::change::apply;
use crate::error::{Error, Result};
use crate::instance;
use crate::output::{Cell, Listing, Output, Record};
use crate::report;
use crate::resource::listing;
use crate::session::Session;

/// Name of the commands for the configuration.
pub const NAME: &str = "config";

/// The commands for the configuration.
pub fn command() -> Command {
    let revision = Arg::new("revision")
        .help("Revision to wait for, the newest by default")
        .value_parser(value_parser!(u64));
    Command::new(NAME)
        .about("The complete configuration")
        .subcommand_required(true)
        .subcommand(Command::new("show").about("Shows the newest configuration"))
        .subcommand(
            Command::new("wait")
                .about("Waits until a revision is active on every live instance")
                .arg(revision),
        )
        .subcommand(
            Command::new("require-keys")
                .about("Sets whether callers of routes need a key while there are no organisations")
                .arg(
                    Arg::new("required")
                        .required(true)
                        .value_name("true|false")
                        .value_parser(value_parser!(bool)),
                ),
        )
}

/// Runs one of the commands.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("wait", submatches)) => wait(session, submatches.get_one("revision").copied()).await,
        Some(("require-keys", submatches)) => {
            let is_required = submatches.get_one("required").copied().unwrap_or(true);
            apply(session, Body::RequireKeys(is_required)).await
        }
        _ => session
            .configuration()
            .await
            .map(|configuration| show(&configuration)),
    }
}

async fn wait(session: &Session, revision: Option<u64>) -> Result<Output> {
    let deadline = session.deadline();
    let revision = match revision {
        Some(revision) => revision,
        None => session.configuration().await?.revision,
    };
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let remaining = remaining.saturating_sub(REPLY_MARGIN).min(MAX_WAIT);
        let request = v1::WaitRequest {
            revision,
            timeout_ms: u32::try_from(remaining.as_millis()).unwrap_or_default(),
        };
        let call = session.call(async |mut client| client.wait_revision(request).await);
        let reply = call.await?;
        if reply.in_force {
            return Ok(Output::Record(Record::new().with("revision", revision)));
        }
        if Instant::now() + REPLY_MARGIN >= deadline {
            let lagging = reply
                .lagging
                .iter()
                .map(|lag| format!("{} (has {})", lag.instance, lag.revision));
            let lagging = lagging.collect::<Vec<_>>().join(", ");
            return Err(Error::NotActive { revision, lagging });
        }
    }
}

fn show(configuration: &v1::Configuration) -> Output {
    let head = Record::new()
        .with("revision", configuration.revision)
        .with("index", configuration.index)
        .with("key-required", key_requirement_text(configuration));
    Output::Parts(vec![
        ("configuration", Output::Record(head)),
        (
            "organisations",
            Output::Listing(listing::<v1::Organisation>(configuration)),
        ),
        (
            "models",
            Output::Listing(listing::<v1::Model>(configuration)),
        ),
        (
            "adapters",
            Output::Listing(listing::<v1::Adapter>(configuration)),
        ),
        (
            "services",
            Output::Listing(listing::<v1::Service>(configuration)),
        ),
        ("drains", Output::Listing(drains(configuration))),
        ("evacuations", Output::Listing(evacuations(configuration))),
        (
            "instances",
            Output::Listing(instance::listing(configuration, &[])),
        ),
        ("pools", Output::Listing(pools(configuration))),
        ("replicas", Output::Listing(replicas(configuration))),
        ("orders", Output::Listing(orders(configuration))),
        ("quarantines", Output::Listing(quarantines(configuration))),
        ("crash-causes", Output::Listing(crash_causes(configuration))),
    ])
}

fn key_requirement_text(configuration: &v1::Configuration) -> &'static str {
    match key_requirement(configuration) {
        KeyRequirement::Required => "yes",
        KeyRequirement::NotRequired => "no",
        KeyRequirement::Unknown => "unknown",
    }
}

fn drains(configuration: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(&["backend"]);
    for drain in &configuration.drains {
        listing.push(vec![drain.backend.as_str().into()]);
    }
    listing
}

fn evacuations(configuration: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(&["domain", "index", "since", "restored"]);
    let time_text = |ms: u64| {
        if ms > 0 {
            report::time(ms)
        } else {
            String::new()
        }
    };
    for evacuation in &configuration.evacuations {
        listing.push(vec![
            evacuation.domain.as_str().into(),
            evacuation.index.into(),
            time_text(evacuation.since_ms).into(),
            time_text(evacuation.restored_ms).into(),
        ]);
    }
    listing
}

fn pools(configuration: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(&["pool", "scheduler", "incarnation", "epoch"]);
    for lease in &configuration.pools {
        listing.push(vec![
            lease.pool.as_str().into(),
            lease.instance.as_str().into(),
            lease.incarnation.into(),
            lease.epoch.into(),
        ]);
    }
    listing
}

fn replicas(configuration: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(&["instance", "domain", "peers", "voter", "generation"]);
    for member in &configuration.members {
        listing.push(vec![
            member.instance.as_str().into(),
            member.domain.as_str().into(),
            member.peer_address.as_str().into(),
            member.voter.into(),
            // As text, because many JSON parsers lose digits of such a large number.
            member.generation.to_string().into(),
        ]);
    }
    listing
}

fn orders(configuration: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(&["backend", "fence", "models"]);
    for order in &configuration.orders {
        let models = order
            .models
            .iter()
            .map(|m| format!("{}@{}", m.model, m.version));
        listing.push(vec![
            order.backend.as_str().into(),
            order.fence.into(),
            Cell::List(models.collect()),
        ]);
    }
    listing
}

fn quarantines(configuration: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(&["organisation", "request", "until"]);
    for quarantine in &configuration.quarantines {
        listing.push(vec![
            quarantine.organisation.as_str().into(),
            quarantine.request.as_str().into(),
            crate::report::time(quarantine.until_ms).into(),
        ]);
    }
    listing
}

fn crash_causes(configuration: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(&["pool", "cause", "backend", "quarantines", "until"]);
    for cause in &configuration.crash_causes {
        listing.push(vec![
            cause.pool.as_str().into(),
            format!("{:016x}", cause.hash).into(),
            cause.backend.as_str().into(),
            cause.quarantines.into(),
            crate::report::time(cause.until_ms).into(),
        ]);
    }
    listing
}

/// Time before the deadline that is reserved for the last reply.
const REPLY_MARGIN: Duration = Duration::from_millis(200);

/// Longest wait in one call.
const MAX_WAIT: Duration = Duration::from_secs(2);

use std::str::FromStr;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgMatches, Command, value_parser};
use jaylock_rpc::v1::placement::Outcome;
use jaylock_rpc::v1::{Placement, PreviewReply, PreviewRequest, PromptPart};
use jaylock_types::millis;

use crate::arguments::{from_str_parser, number_option, number_value};
use crate::error::{Error, Result};
use crate::output::{Listing, Output, Record};
use crate::session::Session;

/// Name of the command that shows where a request would go.
pub const NAME: &str = "preview";

/// The command that shows where a request would go.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Shows where a request would go now, and why, without sending it")
        .arg(text_option("host", "HOST", "Host of the request"))
        .arg(text_option("path", "PATH", "Path of the request"))
        .arg(
            text_option("pool", "POOL", "Pool, instead of host and path")
                .conflicts_with_all(["host", "path"]),
        )
        .arg(text_option(
            "organisation",
            "ID",
            "Organisation of the caller",
        ))
        .arg(text_option("model", "ID", "Model that the request needs"))
        .arg(text_option("version", "VERSION", "Version of the model"))
        .arg(text_option(
            "adapter",
            "ID",
            "Adapter that the request needs",
        ))
        .arg(text_option(
            "domain",
            "NAME",
            "Failure domain of the router that the caller reaches",
        ))
        .arg(number_option("prompt-tokens", "Tokens of the prompt"))
        .arg(number_option("limit", "Limit on generated tokens"))
        .arg(
            Arg::new("parts")
                .long("parts")
                .value_name("ID:TOKENS,..")
                .value_delimiter(',')
                .value_parser(from_str_parser::<Part>())
                .help("Parts of the prompt, in order"),
        )
        .arg(
            Arg::new("objective")
                .long("objective")
                .value_name("DURATION")
                .value_parser(ValueParser::new(humantime::parse_duration))
                .help("Target time to the response, instead of that of the route"),
        )
}

fn text_option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    let option = Arg::new(name).long(name).value_name(value).help(help);
    option.value_parser(value_parser!(String))
}

/// A part of a prompt on the command line.
#[derive(Debug, Clone)]
struct Part(PromptPart);

impl FromStr for Part {
    type Err = PartError;

    fn from_str(text: &str) -> Result<Self, PartError> {
        let (id, tokens) = text.split_once(':').ok_or(PartError)?;
        let tokens = tokens.parse().map_err(|_| PartError)?;
        Ok(Self(PromptPart::from_id(id, tokens)))
    }
}

#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("write each part as ID:TOKENS, as in \"5c1e07a2:800\"")]
struct PartError;

/// Shows where a request would go.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    let request = request(matches)?;
    let call = session.call(async |mut client| client.preview(request.clone()).await);
    let reply = call.await?;
    let unresponsive = reply.unheard.clone();
    let parts = vec![
        ("request", Output::Record(summary(&reply))),
        ("placements", Output::Listing(placements(&reply.placements))),
        ("candidates", Output::Listing(candidates(&reply.placements))),
    ];
    Ok(Output::Parts(parts).with_unresponsive(unresponsive))
}

fn request(matches: &ArgMatches) -> Result<PreviewRequest> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| number_value(matches, name).unwrap_or(0);
    let parts = matches.get_many::<Part>("parts").unwrap_or_default();
    let objective = matches.get_one::<Duration>("objective").copied();
    let request = PreviewRequest {
        host: text("host"),
        path: text("path"),
        pool: text("pool"),
        organisation: text("organisation"),
        model: text("model"),
        version: text("version"),
        adapter: text("adapter"),
        prompt_tokens: number("prompt-tokens"),
        limit: number("limit"),
        parts: parts.map(|part| part.0).collect(),
        objective_ms: objective.map_or(0, millis),
        domain: text("domain"),
    };
    let has_target = !request.pool.is_empty() || !request.host.is_empty();
    if !has_target {
        let text = "give --host and --path, or --pool";
        return Err(Error::Usage(text.into()));
    }
    Ok(request)
}

fn summary(reply: &PreviewReply) -> Record {
    Record::new()
        .with("route", reply.route.as_str())
        .with("organisation", reply.organisation.as_str())
        .with("objective_ms", reply.objective_ms)
}

fn placements(placements: &[Placement]) -> Listing {
    let mut listing = Listing::new(&[
        "pool",
        "share_percent",
        "outcome",
        "backend",
        "reason",
        "expected_wait_ms",
        "retry_after_ms",
        "backlog",
        "scheduler",
        "epoch",
    ]);
    for placement in placements {
        listing.push(vec![
            placement.pool.as_str().into(),
            placement.share_percent.into(),
            outcome_text(placement.outcome()).into(),
            placement.backend.as_str().into(),
            placement.reason.as_str().into(),
            placement.expected_wait_ms.into(),
            placement.retry_after_ms.into(),
            placement.backlog.into(),
            placement.instance.as_str().into(),
            placement.epoch.into(),
        ]);
    }
    listing
}

fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Unspecified => "unknown",
        Outcome::Granted => "granted",
        Outcome::Waits => "waits",
        Outcome::Refused => "refused",
    }
}

fn candidates(placements: &[Placement]) -> Listing {
    let mut listing = Listing::new(&[
        "pool",
        "backend",
        "domain",
        "free_slots",
        "pace_percent",
        "pending_prefill",
        "uncached_tokens",
        "objection",
    ]);
    for placement in placements {
        for candidate in &placement.candidates {
            listing.push(vec![
                placement.pool.as_str().into(),
                candidate.backend.as_str().into(),
                candidate.domain.as_str().into(),
                candidate.free_slots.into(),
                candidate.pace_percent.into(),
                candidate.pending_prefill.into(),
                candidate.uncached_tokens.into(),
                candidate.objection.as_str().into(),
            ]);
        }
    }
    listing
}

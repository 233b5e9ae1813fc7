use std::fmt::Display;

use compact_str::format_compact;

use crate::control::REPLICAS;
use crate::document::Document;
use crate::key::Part;
use crate::{ControlSettings, InstanceSettings, Problem, Result, Settings};

/// Checks values that depend on each other.
pub(crate) fn check(settings: &Settings, document: &Document) -> Result<()> {
    check_addresses(settings, document)?;
    check_times(&settings.control, document)?;
    check_replicas(settings, document)
}

fn check_addresses(settings: &Settings, document: &Document) -> Result<()> {
    let own = &settings.instance;
    if own.caller_address == Some(own.peer_address) {
        let value = own.peer_address;
        let remedy = "another port than that of caller_address";
        return conflict::<InstanceSettings>(document, "peer_address", value, remedy);
    }
    if own.caller_listen() == Some(own.peer_listen()) {
        let value = own.peer_listen();
        let remedy = "another port than that for callers";
        return conflict::<InstanceSettings>(document, "peer_listen", value, remedy);
    }
    Ok(())
}

fn check_times(control: &ControlSettings, document: &Document) -> Result<()> {
    if control.heartbeat * HEARTBEATS_PER_ELECTION > control.election {
        let value = format_compact!("{:?}", control.election);
        let remedy = "at least three times the heartbeat";
        return conflict::<ControlSettings>(document, "election", value, remedy);
    }
    if control.lease < control.election {
        let value = format_compact!("{:?}", control.lease);
        let remedy = "no less than the election time";
        return conflict::<ControlSettings>(document, "lease", value, remedy);
    }
    Ok(())
}

/// Compares the list of replicas with what the instance says of itself.
fn check_replicas(settings: &Settings, document: &Document) -> Result<()> {
    let own = &settings.instance;
    check_origin(&settings.control, document)?;
    let mut replicas = settings.control.replicas.iter();
    let Some(listed) = replicas.find(|r| r.instance == own.id) else {
        return Ok(());
    };
    if listed.peer_address != own.peer_address || listed.domain != own.domain {
        let value = listed;
        let remedy = "this instance with the peer_address and domain of section [instance]";
        return conflict::<ControlSettings>(document, "replicas", value, remedy);
    }
    if own.data.is_none() {
        let value = listed;
        let remedy = "instances that have a data folder, or give this one a key data";
        return conflict::<ControlSettings>(document, "replicas", value, remedy);
    }
    Ok(())
}

/// Checks that either replicas or seeds are named.
fn check_origin(control: &ControlSettings, document: &Document) -> Result<()> {
    match (control.replicas.is_empty(), control.seeds.is_empty()) {
        (true, true) => {
            let section = document.section(ControlSettings::SECTION);
            let problem = Problem::Missing {
                section: ControlSettings::SECTION.into(),
                key: "replicas".into(),
                remedy: REPLICAS.into(),
            };
            Err(document.error(section.map_or(document.lines, |s| s.line), problem))
        }
        (false, false) => {
            let remedy = "left out where replicas are listed";
            conflict::<ControlSettings>(document, "seeds", control.seeds[0], remedy)
        }
        _ => Ok(()),
    }
}

/// An error at a key, or at its section when the key is left out.
fn conflict<T: Part>(
    document: &Document,
    key: &str,
    value: impl Display,
    remedy: &str,
) -> Result<()> {
    let section = document.section(T::SECTION);
    let entry = section.and_then(|s| s.entries.iter().find(|e| e.key == key));
    let line = match (entry, section) {
        (Some(entry), _) => entry.line,
        (None, Some(section)) => section.line,
        (None, None) => document.lines,
    };
    let problem = Problem::Invalid {
        section: T::SECTION.into(),
        key: key.into(),
        value: format_compact!("\"{value}\""),
        remedy: remedy.into(),
    };
    Err(document.error(line, problem))
}

/// Heartbeats that fit into the silence before an election, at least.
const HEARTBEATS_PER_ELECTION: u32 = 3;

use std::fmt::Display;

use compact_str::format_compact;

use crate::control::REPLICA_LIST;
use crate::document::Document;
use crate::key::SettingsSection;
use crate::{ControlSettings, ErrorKind, InstanceSettings, Result, Settings};

/// Checks settings that depend on each other.
pub(crate) fn check(settings: &Settings, document: &Document) -> Result<()> {
    check_addresses(settings, document)?;
    check_times(&settings.control, document)?;
    check_replicas(settings, document)
}

fn check_addresses(settings: &Settings, document: &Document) -> Result<()> {
    let instance = &settings.instance;
    if instance.caller_address == Some(instance.peer_address) {
        let value = instance.peer_address;
        let expected = "another port than that of caller_address";
        return invalid::<InstanceSettings>(document, "peer_address", value, expected);
    }
    if instance.caller_listen() == Some(instance.peer_listen()) {
        let value = instance.peer_listen();
        let expected = "another port than that for callers";
        return invalid::<InstanceSettings>(document, "peer_listen", value, expected);
    }
    Ok(())
}

fn check_times(control: &ControlSettings, document: &Document) -> Result<()> {
    if control.heartbeat * MIN_HEARTBEATS_PER_ELECTION > control.election {
        let value = format_compact!("{:?}", control.election);
        let expected = "at least three times the heartbeat";
        return invalid::<ControlSettings>(document, "election", value, expected);
    }
    if control.lease < control.election {
        let value = format_compact!("{:?}", control.lease);
        let expected = "at least the election timeout";
        return invalid::<ControlSettings>(document, "lease", value, expected);
    }
    Ok(())
}

/// Checks that the list of replicas agrees with the instance's own section.
fn check_replicas(settings: &Settings, document: &Document) -> Result<()> {
    let instance = &settings.instance;
    check_bootstrap(&settings.control, document)?;
    let mut replicas = settings.control.replicas.iter();
    let Some(listed) = replicas.find(|r| r.instance == instance.id) else {
        return Ok(());
    };
    if listed.peer_address != instance.peer_address || listed.domain != instance.domain {
        let value = listed;
        let expected = "this instance with the peer_address and domain of section [instance]";
        return invalid::<ControlSettings>(document, "replicas", value, expected);
    }
    if instance.data.is_none() {
        let value = listed;
        let expected = "instances that have a data folder, or give this one a key data";
        return invalid::<ControlSettings>(document, "replicas", value, expected);
    }
    Ok(())
}

/// Checks that either replicas or seeds are set, but not both.
fn check_bootstrap(control: &ControlSettings, document: &Document) -> Result<()> {
    match (control.replicas.is_empty(), control.seeds.is_empty()) {
        (true, true) => {
            let section = document.section(ControlSettings::SECTION);
            let kind = ErrorKind::Missing {
                section: ControlSettings::SECTION.into(),
                key: "replicas".into(),
                expected: REPLICA_LIST.into(),
            };
            Err(document.error(section.map_or(document.line_count, |s| s.line), kind))
        }
        (false, false) => {
            let expected = "nothing where replicas are listed";
            invalid::<ControlSettings>(document, "seeds", control.seeds[0], expected)
        }
        _ => Ok(()),
    }
}

/// Returns an error at the line of a key, or of its section if the key is not set.
fn invalid<T: SettingsSection>(
    document: &Document,
    key: &str,
    value: impl Display,
    expected: &str,
) -> Result<()> {
    let section = document.section(T::SECTION);
    let entry = section.and_then(|s| s.entries.iter().find(|e| e.key == key));
    let line = match (entry, section) {
        (Some(entry), _) => entry.line,
        (None, Some(section)) => section.line,
        (None, None) => document.line_count,
    };
    let kind = ErrorKind::Invalid {
        section: T::SECTION.into(),
        key: key.into(),
        value: format_compact!("\"{value}\""),
        expected: expected.into(),
    };
    Err(document.error(line, kind))
}

/// Minimum number of heartbeats within the election timeout.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;

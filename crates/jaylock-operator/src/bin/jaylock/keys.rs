use std::fmt::Write;

use clap::ArgMatches;
use jaylock_types::KeyHash;
use rand::Rng;

use crate::failure::{Failure, Result};

/// Callers' keys that a command adds; only their hashes are sent.
pub struct Keys {
    /// Hashes to add, sorted.
    pub hashes: Vec<Vec<u8>>,
    /// Key that was made for this command.
    pub made: Option<String>,
}

impl Keys {
    /// Takes the keys from the command line, and makes one when asked to.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let given = matches.get_many::<String>("key").unwrap_or_default();
        let mut hashes: Vec<_> = given.map(|key| hash(key)).collect();
        let made = matches.get_flag("new-key").then(random_key);
        hashes.extend(made.iter().map(|key| hash(key)));
        hashes.sort();
        hashes.dedup();
        Self { hashes, made }
    }

    /// Tells the key that was made to someone who has to repeat the command.
    pub fn explain(&self, failure: Failure) -> Failure {
        match (failure, &self.made) {
            (Failure::Unknown { reason, advice }, Some(key)) => Failure::Unknown {
                reason,
                advice: format!("{advice} --key {key} in place of --new-key"),
            },
            (failure, _) => failure,
        }
    }
}

/// What is kept of a key.
pub fn hash(key: &str) -> Vec<u8> {
    KeyHash::of(key).0.to_vec()
}

/// Checks a key before it is hashed.
pub fn check(key: &str) -> Result<String, String> {
    let visible = key.bytes().all(|b| b.is_ascii_graphic());
    if key.len() >= SHORTEST_KEY && visible {
        return Ok(key.to_owned());
    }
    Err(String::from("use at least 8 characters without spaces"))
}

/// Checks that a made key isn't lost in a resend.
pub fn check_resend(matches: &ArgMatches, command_id: Option<&String>) -> Result<()> {
    if matches.get_flag("new-key") && command_id.is_some() {
        let text = "--new-key would make another key under the same command id: use --key KEY";
        return Err(Failure::Usage(text.into()));
    }
    Ok(())
}

fn random_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Shortest key, in characters.
const SHORTEST_KEY: usize = 8;

/// Random bytes of a made key.
const KEY_BYTES: usize = 24;

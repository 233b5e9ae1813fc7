use std::fmt::Write;

use jaylock_types::KeyHash;
use rand::Rng;

use crate::failure::{Failure, Result};

/// Name of the flag that asks for a key.
pub const NEW_KEY: &str = "new-key";

/// What is sent and kept of a key.
pub fn hash(key: &str) -> Vec<u8> {
    KeyHash::from_key(key).0.to_vec()
}

/// Makes a key that nobody can guess.
pub fn random() -> String {
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
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
pub fn check_resend(command_id: Option<&String>) -> Result<()> {
    if command_id.is_some() {
        let text = "--new-key would make another key under the same command id: use --key KEY";
        return Err(Failure::Usage(text.into()));
    }
    Ok(())
}

/// Tells a key that was made to someone who has to repeat the command.
pub fn explain(failure: Failure, key: &str) -> Failure {
    match failure {
        Failure::Unknown { reason, advice } => Failure::Unknown {
            reason,
            advice: format!("{advice} --key {key} in place of --new-key"),
        },
        failure => failure,
    }
}

/// Shortest key, in characters.
const SHORTEST_KEY: usize = 8;

/// Random bytes of a made key.
const KEY_BYTES: usize = 24;

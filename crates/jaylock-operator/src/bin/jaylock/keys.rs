use std::fmt::Write;

use bytes::Bytes;
use jaylock_types::KeyHash;
use rand::Rng;

use crate::error::{Error, Result};

/// Flag that generates a key.
pub const NEW_KEY: &str = "new-key";

/// The hash of a key, which is sent and stored instead of the key.
pub fn hash(key: &str) -> Bytes {
    Bytes::copy_from_slice(&KeyHash::from_key(key).0)
}

/// Generates a random key.
pub fn generate() -> String {
    let bytes: [u8; RANDOM_KEY_BYTES] = rand::rng().random();
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Validates a key before it is hashed.
pub fn check(key: &str) -> Result<String, String> {
    let is_visible = key.bytes().all(|b| b.is_ascii_graphic());
    if key.len() >= MIN_KEY_CHARS && is_visible {
        return Ok(key.to_owned());
    }
    Err(String::from("use at least 8 characters without spaces"))
}

/// Refuses `--new-key` with a given command id, because a retry would generate another key.
pub fn check_command_id(command_id: Option<&String>) -> Result<()> {
    if command_id.is_some() {
        let text = "--new-key would generate another key for the same command id: use --key KEY";
        return Err(Error::Usage(text.into()));
    }
    Ok(())
}

/// Adds the generated key to the options for repeating the command.
pub fn with_key_option(error: Error, key: &str) -> Error {
    match error {
        Error::Unknown { reason, options } => Error::Unknown {
            reason,
            options: format!("{options} --key {key} instead of --new-key"),
        },
        error => error,
    }
}

/// Minimum length of a key, in characters.
const MIN_KEY_CHARS: usize = 8;

/// Number of random bytes in a generated key.
const RANDOM_KEY_BYTES: usize = 24;

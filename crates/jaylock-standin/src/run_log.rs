use std::fmt::Write as _;
use std::fs::{File, OpenOptions};
use std::io::{self, Write as _};
use std::path::Path;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// One run of a request, as recorded by a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Id of the backend server.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Id of the attempt.
    pub request: String,
    /// Idempotency key; empty if the request has none.
    pub key: String,
    /// Organisation; empty if the request has no `x-organisation`.
    pub organisation: String,
    /// SHA-256 of the body, or of the prompt on an engine, in hex.
    pub digest: String,
}

/// The file to which a backend server appends its runs as lines of JSON.
pub(crate) struct RunLog {
    file: Option<File>,
}

impl RunLog {
    /// Opens the file; without a path, nothing is recorded.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let mut options = OpenOptions::new();
        options.create(true).append(true);
        let file = path.map(|path| options.open(path)).transpose()?;
        Ok(Self { file })
    }

    /// Appends a run.
    pub fn append(&self, record: &RunRecord) -> io::Result<()> {
        let Some(mut file) = self.file.as_ref() else {
            return Ok(());
        };
        let mut line = serde_json::to_vec(record)?;
        line.push(b'\n');
        file.write_all(&line)
    }
}

/// Returns the SHA-256 of some bytes in hex.
#[must_use]
pub fn sha256_hex(body: &[u8]) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(body) {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

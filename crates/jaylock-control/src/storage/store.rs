use std::io;
use std::rc::Rc;

use jaylock_rpc::v1::Entry;
use prost::Message;

use crate::storage::{Disk, EntryBatch, FileName, HardState, Snapshot, frame};
use crate::{Error, Result};

/// Reads and writes the records of a replica.
#[derive(Clone)]
pub struct Store {
    disk: Rc<dyn Disk>,
}

/// Contents of the disk of a replica when it is loaded.
#[derive(Debug, Default)]
pub struct DiskContents {
    /// `None` on an empty disk.
    pub hard_state: Option<HardState>,
    pub snapshot: Option<Snapshot>,
    /// Entries in the order in which they were written; an entry replaces all earlier ones from its
    /// index on.
    pub entries: Vec<Entry>,
}

impl Store {
    pub fn new(disk: Rc<dyn Disk>) -> Self {
        Self { disk }
    }

    /// Reads all files and removes a torn write at the end of the log.
    pub async fn load(&self) -> Result<DiskContents> {
        let hard_state = self.read_record(FileName::Vote).await?;
        let snapshot = self.read_record(FileName::Snapshot).await?;
        let entries = self.read_log().await?;
        Ok(DiskContents {
            hard_state,
            snapshot,
            entries,
        })
    }

    pub async fn write_hard_state(&self, hard_state: &HardState) -> Result<()> {
        self.write_record(FileName::Vote, hard_state).await
    }

    pub async fn write_snapshot(&self, snapshot: &Snapshot) -> Result<()> {
        self.write_record(FileName::Snapshot, snapshot).await
    }

    /// Appends entries to the log.
    pub async fn append(&self, entries: Vec<Entry>) -> Result<()> {
        let bytes = frame::encode(&EntryBatch { entries }.encode_to_vec());
        let outcome = self.disk.append(FileName::Log, bytes).await;
        outcome.map_err(|source| self.disk_error(FileName::Log, source))
    }

    /// Replaces the whole log.
    pub async fn rewrite(&self, entries: Vec<Entry>) -> Result<()> {
        self.write_record(FileName::Log, &EntryBatch { entries })
            .await
    }

    /// Path of a file for messages.
    pub fn file_path(&self, file: FileName) -> String {
        self.disk.file_path(file)
    }

    /// The error for a log that lacks entries after the snapshot.
    pub fn missing_entries_error(&self) -> Error {
        self.corrupt_error(FileName::Log, 0)
    }

    async fn read_log(&self) -> Result<Vec<Entry>> {
        let Some(bytes) = self.read(FileName::Log).await? else {
            return Ok(Vec::new());
        };
        let frames =
            frame::decode(&bytes).map_err(|offset| self.corrupt_error(FileName::Log, offset))?;
        let mut entries = Vec::new();
        for payload in frames.payloads {
            let start = payload.start;
            let batch = EntryBatch::decode(&bytes[payload])
                .map_err(|_| self.corrupt_error(FileName::Log, start))?;
            entries.extend(batch.entries);
        }
        if frames.valid_bytes < bytes.len() {
            let torn = bytes.len() - frames.valid_bytes;
            log::warn!(target: "control", "removed {torn} bytes of a torn write from {}", self.disk.file_path(FileName::Log));
            let valid = bytes[..frames.valid_bytes].to_vec();
            let outcome = self.disk.replace(FileName::Log, valid).await;
            outcome.map_err(|source| self.disk_error(FileName::Log, source))?;
        }
        Ok(entries)
    }

    async fn read_record<M: Message + Default>(&self, file: FileName) -> Result<Option<M>> {
        let Some(bytes) = self.read(file).await? else {
            return Ok(None);
        };
        let frames = frame::decode(&bytes).map_err(|offset| self.corrupt_error(file, offset))?;
        let [payload] = frames.payloads.as_slice() else {
            return Err(self.corrupt_error(file, frames.valid_bytes));
        };
        let record = M::decode(&bytes[payload.clone()]).map_err(|_| self.corrupt_error(file, 0))?;
        Ok(Some(record))
    }

    async fn write_record(&self, file: FileName, record: &impl Message) -> Result<()> {
        let bytes = frame::encode(&record.encode_to_vec());
        let outcome = self.disk.replace(file, bytes).await;
        outcome.map_err(|source| self.disk_error(file, source))
    }

    async fn read(&self, file: FileName) -> Result<Option<Vec<u8>>> {
        let outcome = self.disk.read(file).await;
        outcome.map_err(|source| self.disk_error(file, source))
    }

    fn disk_error(&self, file: FileName, source: io::Error) -> Error {
        let file = self.disk.file_path(file);
        Error::Disk { file, source }
    }

    fn corrupt_error(&self, file: FileName, offset: usize) -> Error {
        let file = self.disk.file_path(file);
        Error::Corrupt { file, offset }
    }
}

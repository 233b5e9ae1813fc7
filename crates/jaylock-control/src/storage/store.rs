use std::io;
use std::rc::Rc;

use jaylock_rpc::v1::Entry;
use prost::Message;

use crate::storage::{Disk, EntryBatch, FileName, HardState, Snapshot, frame};
use crate::{Error, Result};

/// Writes and reads the records of a replica.
#[derive(Clone)]
pub struct Store {
    disk: Rc<dyn Disk>,
}

/// What the disk of a replica held at its start.
#[derive(Debug, Default)]
pub struct DiskContents {
    /// `None` on an empty disk.
    pub hard_state: Option<HardState>,
    pub snapshot: Option<Snapshot>,
    /// Entries in the order in which they were written; a later one replaces all from its index.
    pub entries: Vec<Entry>,
}

impl Store {
    pub fn new(disk: Rc<dyn Disk>) -> Self {
        Self { disk }
    }

    /// Reads everything and cuts a torn end of the log.
    pub async fn load(&self) -> Result<DiskContents> {
        let hard_state = self.read_one(FileName::Vote).await?;
        let snapshot = self.read_one(FileName::Snapshot).await?;
        let entries = self.read_log().await?;
        Ok(DiskContents {
            hard_state,
            snapshot,
            entries,
        })
    }

    pub async fn write_hard_state(&self, hard_state: &HardState) -> Result<()> {
        self.write_one(FileName::Vote, hard_state).await
    }

    pub async fn write_snapshot(&self, snapshot: &Snapshot) -> Result<()> {
        self.write_one(FileName::Snapshot, snapshot).await
    }

    /// Adds entries at the end of the log.
    pub async fn append(&self, entries: Vec<Entry>) -> Result<()> {
        let bytes = frame::encode(&EntryBatch { entries }.encode_to_vec());
        let outcome = self.disk.append(FileName::Log, bytes).await;
        outcome.map_err(|source| self.failed(FileName::Log, source))
    }

    /// Replaces the log by other entries.
    pub async fn rewrite(&self, entries: Vec<Entry>) -> Result<()> {
        self.write_one(FileName::Log, &EntryBatch { entries }).await
    }

    /// Names a file for messages.
    pub fn describe(&self, file: FileName) -> String {
        self.disk.describe(file)
    }

    /// The error of a log that lacks entries between the snapshot and its end.
    pub fn incomplete(&self) -> Error {
        self.corrupt(FileName::Log, 0)
    }

    async fn read_log(&self) -> Result<Vec<Entry>> {
        let Some(bytes) = self.read(FileName::Log).await? else {
            return Ok(Vec::new());
        };
        let frames = frame::decode(&bytes).map_err(|at| self.corrupt(FileName::Log, at))?;
        let mut entries = Vec::new();
        for payload in frames.payloads {
            let start = payload.start;
            let batch = EntryBatch::decode(&bytes[payload])
                .map_err(|_| self.corrupt(FileName::Log, start))?;
            entries.extend(batch.entries);
        }
        if frames.whole < bytes.len() {
            let torn = bytes.len() - frames.whole;
            log::warn!(target: "control", "cut {torn} bytes of a torn write from {}", self.disk.describe(FileName::Log));
            let whole = bytes[..frames.whole].to_vec();
            let outcome = self.disk.replace(FileName::Log, whole).await;
            outcome.map_err(|source| self.failed(FileName::Log, source))?;
        }
        Ok(entries)
    }

    async fn read_one<M: Message + Default>(&self, file: FileName) -> Result<Option<M>> {
        let Some(bytes) = self.read(file).await? else {
            return Ok(None);
        };
        let frames = frame::decode(&bytes).map_err(|at| self.corrupt(file, at))?;
        let [payload] = frames.payloads.as_slice() else {
            return Err(self.corrupt(file, frames.whole));
        };
        let record = M::decode(&bytes[payload.clone()]).map_err(|_| self.corrupt(file, 0))?;
        Ok(Some(record))
    }

    async fn write_one(&self, file: FileName, record: &impl Message) -> Result<()> {
        let bytes = frame::encode(&record.encode_to_vec());
        let outcome = self.disk.replace(file, bytes).await;
        outcome.map_err(|source| self.failed(file, source))
    }

    async fn read(&self, file: FileName) -> Result<Option<Vec<u8>>> {
        let outcome = self.disk.read(file).await;
        outcome.map_err(|source| self.failed(file, source))
    }

    fn failed(&self, file: FileName, source: io::Error) -> Error {
        let file = self.disk.describe(file);
        Error::Disk { file, source }
    }

    fn corrupt(&self, file: FileName, offset: usize) -> Error {
        let file = self.disk.describe(file);
        Error::Corrupt { file, offset }
    }
}

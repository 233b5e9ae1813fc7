use std::io;
use std::rc::Rc;

use prost::Message;

use crate::storage::{Disk, EncodedEntry, EntryBatch, FileName, HardState, Snapshot, frame};
use crate::{Error, Result};

/// Size of the pieces in which the log is read.
const PIECE_BYTES: usize = 1 << 20;
/// Size of the entries after which no further entry is added to a frame.
///
/// A batch of the log ends at the same size, so that what is appended at once is one frame: only the last frame can be torn.
pub const FRAME_TARGET_BYTES: usize = 1 << 20;

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
    pub entries: Vec<EncodedEntry>,
}

impl Store {
    pub fn new(disk: Rc<dyn Disk>) -> Self {
        Self { disk }
    }

    /// Reads all files, removes a torn write at the end of the log, and syncs the log.
    pub async fn load(&self) -> Result<DiskContents> {
        let hard_state = self.read_record(FileName::Vote).await?;
        let snapshot = self.read_record(FileName::Snapshot).await?;
        let entries = self.read_log().await?;
        if !entries.is_empty() {
            // A process that ended between write and sync leaves entries that the next power loss would take.
            self.append(&[]).await?;
        }
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
    pub async fn append(&self, entries: &[EncodedEntry]) -> Result<()> {
        let outcome = self
            .disk
            .append(FileName::Log, encode_entries(entries))
            .await;
        outcome.map_err(|source| self.disk_error(FileName::Log, source))
    }

    /// Replaces the whole log.
    pub async fn rewrite(&self, entries: &[EncodedEntry]) -> Result<()> {
        let outcome = self
            .disk
            .replace(FileName::Log, encode_entries(entries))
            .await;
        outcome.map_err(|source| self.disk_error(FileName::Log, source))
    }

    /// Path of a file for messages.
    pub fn file_path(&self, file: FileName) -> String {
        self.disk.file_path(file)
    }

    /// The error for a log that lacks entries after the snapshot.
    pub fn missing_entries_error(&self) -> Error {
        self.corrupt_error(FileName::Log, 0)
    }

    /// Reads the log in pieces, as a long one exceeds the memory that the file and its entries would take together.
    async fn read_log(&self) -> Result<Vec<EncodedEntry>> {
        let mut entries = Vec::new();
        let mut unread = Vec::new();
        let (mut offset, mut valid_bytes) = (0, 0);
        loop {
            let piece = self.disk.read_at(FileName::Log, offset, PIECE_BYTES).await;
            let piece = piece.map_err(|source| self.disk_error(FileName::Log, source))?;
            if piece.is_empty() {
                break;
            }
            offset += piece.len() as u64;
            unread.extend_from_slice(&piece);
            let taken = self.take_frames(&unread, valid_bytes, &mut entries)?;
            unread.drain(..taken);
            valid_bytes += taken;
        }
        if frame::has_later_frame(&unread) {
            return Err(self.corrupt_error(FileName::Log, valid_bytes));
        }
        if !unread.is_empty() {
            self.remove_torn_write(valid_bytes, unread.len()).await?;
        }
        Ok(entries)
    }

    /// Decodes the complete frames at the start of `bytes`, which begin at `offset` in the log; returns their size.
    fn take_frames(
        &self,
        bytes: &[u8],
        offset: usize,
        entries: &mut Vec<EncodedEntry>,
    ) -> Result<usize> {
        let mut taken = 0;
        while let Some(payload) = frame::frame_at(bytes, taken) {
            taken = payload.end;
            let start = offset + payload.start;
            let corrupt = |_| self.corrupt_error(FileName::Log, start);
            let batch = EntryBatch::decode(&bytes[payload]).map_err(corrupt)?;
            for encoding in batch.entries {
                entries.push(EncodedEntry::from_bytes(encoding).map_err(corrupt)?);
            }
        }
        Ok(taken)
    }

    async fn remove_torn_write(&self, valid_bytes: usize, torn_bytes: usize) -> Result<()> {
        let file = self.file_path(FileName::Log);
        log::warn!(target: "control", "removed {torn_bytes} bytes of a torn write from {file}");
        let outcome = self.disk.truncate(FileName::Log, valid_bytes as u64).await;
        outcome.map_err(|source| self.disk_error(FileName::Log, source))
    }

    async fn read_record<M: Message + Default>(&self, file: FileName) -> Result<Option<M>> {
        let Some(bytes) = self.read(file).await? else {
            return Ok(None);
        };
        let payload = frame::frame_at(&bytes, 0).filter(|payload| payload.end == bytes.len());
        let payload = payload.ok_or_else(|| self.corrupt_error(file, 0))?;
        let record = M::decode(&bytes[payload]).map_err(|_| self.corrupt_error(file, 0))?;
        Ok(Some(record))
    }

    async fn write_record(&self, file: FileName, record: &impl Message) -> Result<()> {
        let outcome = self.disk.replace(file, frame::encode(record)).await;
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

/// Encodes entries in frames of limited size, so that they can be read piece by piece.
fn encode_entries(entries: &[EncodedEntry]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut batch = EntryBatch::default();
    let mut batch_bytes = 0;
    for entry in entries {
        if batch_bytes >= FRAME_TARGET_BYTES {
            bytes.extend_from_slice(&frame::encode(&std::mem::take(&mut batch)));
            batch_bytes = 0;
        }
        batch_bytes += entry.bytes().len();
        batch.entries.push(entry.bytes().clone());
    }
    if !batch.entries.is_empty() {
        bytes.extend_from_slice(&frame::encode(&batch));
    }
    bytes
}

//! A disk in memory that loses writes that were not synced.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use jaylock_control::{Disk, FileName};

/// Contents and faults of a disk, which outlive the processes that use it.
#[derive(Default)]
pub struct SimulatedDisk {
    files: RefCell<[SimulatedFile; 3]>,
    /// Incremented at every crash; handles of an earlier epoch no longer reach the disk.
    epoch: Cell<u64>,
    /// Whether writes fail for lack of space.
    pub is_full: Cell<bool>,
    /// Size of all files together at which a write fails after its first part; unlimited if `None`.
    capacity: Cell<Option<usize>>,
    /// Operations that fail.
    fault: Cell<Option<DiskFault>>,
    /// Size of the largest part of a file that was read at once.
    pub largest_read: Cell<usize>,
    /// Additional duration of each write.
    pub write_delay_ms: Cell<u64>,
    /// Whether the last write of a process that ends has reached the file as a whole, but not the disk.
    pub ends_before_sync: Cell<bool>,
    /// Whether the machine is suspended, so that its writes and messages wait.
    pub is_suspended: Cell<bool>,
}

/// The operations on a file that fail, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiskFault {
    pub file: FileName,
    pub step: FailingStep,
}

/// The step at which an operation fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailingStep {
    /// A part of the bytes is stored.
    Write,
    /// All is visible but, after the next power loss, as it was before.
    Sync,
    /// All is stored.
    Close,
    /// Bytes are neither added nor removed.
    Truncate,
    /// Nothing can be read or written.
    Open,
}

#[derive(Default)]
struct SimulatedFile {
    content: Option<Vec<u8>>,
    /// What a power loss leaves of it, if that differs.
    durable: Option<Durable>,
}

/// What a power loss leaves of a file whose last write was not synced.
enum Durable {
    /// The content before it was replaced.
    Earlier(Option<Vec<u8>>),
    /// The first bytes; whether a later sync stores the others, which it doesn't after one that failed.
    First(usize, bool),
}

/// The handle of one process on a disk.
pub struct DiskHandle {
    disk: Rc<SimulatedDisk>,
    epoch: u64,
}

impl SimulatedDisk {
    /// Opens the disk for a new process; handles of earlier processes become invalid.
    pub fn open(self: &Rc<Self>) -> DiskHandle {
        self.crash();
        DiskHandle {
            disk: self.clone(),
            epoch: self.epoch.get(),
        }
    }

    /// Invalidates the handle of the current process; its last write may be stored in part.
    pub fn crash(&self) {
        self.epoch.set(self.epoch.get() + 1);
    }

    /// Removes all files.
    pub fn wipe(&self) {
        self.crash();
        self.files.take();
    }

    /// Loses what was not synced.
    pub fn lose_power(&self) {
        self.crash();
        for file in self.files.borrow_mut().iter_mut() {
            file.lose_power();
        }
    }

    /// Leaves room for so many further bytes.
    pub fn fill(&self, free_bytes: usize) {
        self.capacity.set(Some(self.used_bytes() + free_bytes));
    }

    /// Makes operations fail until the disk is repaired.
    pub fn fail(&self, file: FileName, step: FailingStep) {
        self.fault.set(Some(DiskFault { file, step }));
    }

    /// Ends all faults.
    pub fn repair(&self) {
        self.is_full.set(false);
        self.capacity.set(None);
        self.fault.set(None);
    }

    /// Whether writes may fail.
    pub fn is_faulty(&self) -> bool {
        self.is_full.get() || self.capacity.get().is_some() || self.fault.get().is_some()
    }

    /// Whether the disk holds a vote, without which its replica starts as one that has lost its disk.
    pub fn has_vote(&self) -> bool {
        self.files.borrow()[FileName::Vote as usize]
            .content
            .is_some()
    }

    /// Size of a file in bytes.
    pub fn size(&self, file: FileName) -> usize {
        self.files.borrow()[file as usize].size()
    }

    /// The bytes of a file.
    pub fn content(&self, file: FileName) -> Vec<u8> {
        let files = self.files.borrow();
        files[file as usize].content.clone().unwrap_or_default()
    }

    fn used_bytes(&self) -> usize {
        self.files.borrow().iter().map(SimulatedFile::size).sum()
    }

    fn free_bytes(&self) -> usize {
        let capacity = self.capacity.get().unwrap_or(usize::MAX);
        capacity.saturating_sub(self.used_bytes())
    }

    fn record_read(&self, bytes: usize) {
        self.largest_read.set(self.largest_read.get().max(bytes));
    }

    /// Modifies a file directly.
    pub fn edit(&self, file: FileName, change: impl FnOnce(&mut Vec<u8>)) {
        let mut files = self.files.borrow_mut();
        change(files[file as usize].content.get_or_insert_default());
    }

    /// Adds bytes that the next power loss takes, unless they are synced before.
    fn write_unsynced(&self, file: FileName, bytes: &[u8]) {
        let target = &mut self.files.borrow_mut()[file as usize];
        let before = target.size();
        target
            .content
            .get_or_insert_default()
            .extend_from_slice(bytes);
        target.unsync(before, false);
    }

    fn fails_at(&self, file: FileName, step: FailingStep) -> bool {
        self.fault.get() == Some(DiskFault { file, step })
    }

    fn check(&self, file: FileName, step: FailingStep) -> io::Result<()> {
        if self.fails_at(file, step) {
            return Err(io::Error::other("a simulated fault"));
        }
        Ok(())
    }

    /// How many of the bytes of a write are stored, which is less than all of them if the write fails.
    fn writable_bytes(&self, file: FileName, wanted: usize) -> usize {
        if self.fails_at(file, FailingStep::Write) {
            return rand::random_range(0..wanted.max(1));
        }
        wanted.min(self.free_bytes())
    }

    fn append_bytes(&self, file: FileName, bytes: &[u8]) -> io::Result<()> {
        let stored = self.writable_bytes(file, bytes.len());
        let is_synced = self.check(file, FailingStep::Sync);
        let mut files = self.files.borrow_mut();
        let target = &mut files[file as usize];
        let before = target.size();
        let content = target.content.get_or_insert_default();
        content.extend_from_slice(&bytes[..stored]);
        if stored < bytes.len() {
            target.unsync(before, false);
            return Err(io::ErrorKind::StorageFull.into());
        }
        if is_synced.is_err() {
            target.unsync(before, true);
            return is_synced;
        }
        target.sync();
        drop(files);
        self.check(file, FailingStep::Close)
    }

    fn replace_bytes(&self, file: FileName, bytes: Vec<u8>) -> io::Result<()> {
        // The first part goes to another file, which is removed again.
        if self.writable_bytes(file, bytes.len()) < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let is_synced = self.check(file, FailingStep::Sync);
        let target = &mut self.files.borrow_mut()[file as usize];
        let before = target.content.replace(bytes);
        if is_synced.is_err() {
            target.durable.get_or_insert(Durable::Earlier(before));
            return is_synced;
        }
        target.durable = None;
        self.check(file, FailingStep::Close)
    }

    fn truncate_to(&self, file: FileName, length: u64) -> io::Result<()> {
        self.check(file, FailingStep::Truncate)?;
        let target = &mut self.files.borrow_mut()[file as usize];
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        target.content.get_or_insert_default().truncate(length);
        target.sync();
        Ok(())
    }
}

impl SimulatedFile {
    fn size(&self) -> usize {
        self.content.as_ref().map_or(0, Vec::len)
    }

    /// Records that the bytes from `length` on are not on the disk.
    fn unsync(&mut self, length: usize, has_failed: bool) {
        match &mut self.durable {
            None => self.durable = Some(Durable::First(length, !has_failed)),
            Some(Durable::First(_, is_kept)) => *is_kept &= !has_failed,
            Some(Durable::Earlier(_)) => {}
        }
    }

    fn sync(&mut self) {
        let size = self.size();
        self.durable = self.durable.take().filter(|durable| match durable {
            Durable::Earlier(_) => true,
            Durable::First(length, is_kept) => !is_kept && *length < size,
        });
    }

    fn lose_power(&mut self) {
        match self.durable.take() {
            Some(Durable::Earlier(before)) => self.content = before,
            Some(Durable::First(length, _)) => {
                self.content.get_or_insert_default().truncate(length);
            }
            None => {}
        }
    }
}

impl DiskHandle {
    /// Waits like a real disk; fails if the disk is full and never returns after a crash.
    async fn simulate_write(&self, bytes: &[u8], file: FileName) -> io::Result<()> {
        compio::time::sleep(Duration::from_micros(rand::random_range(50..1500))).await;
        compio::time::sleep(Duration::from_millis(self.disk.write_delay_ms.get())).await;
        while self.disk.is_suspended.get() {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        if self.disk.is_full.get() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if self.disk.epoch.get() != self.epoch {
            // The first or all bytes of the last write may have reached the file, but not the disk.
            if self.disk.epoch.get() == self.epoch + 1 && file == FileName::Log {
                let is_whole = self.disk.ends_before_sync.get() || rand::random();
                let written = rand::random_range(0..bytes.len().max(1));
                let stored = if is_whole { bytes.len() } else { written };
                self.disk.write_unsynced(file, &bytes[..stored]);
            }
            std::future::pending::<()>().await;
        }
        self.disk.check(file, FailingStep::Open)
    }
}

impl Disk for DiskHandle {
    fn read(&self, file: FileName) -> LocalBoxFuture<'_, io::Result<Option<Vec<u8>>>> {
        let found = self.disk.files.borrow()[file as usize].content.clone();
        self.disk.record_read(found.as_ref().map_or(0, Vec::len));
        async move {
            self.disk.check(file, FailingStep::Open)?;
            Ok(found)
        }
        .boxed_local()
    }

    fn read_at(
        &self,
        file: FileName,
        offset: u64,
        max_bytes: usize,
    ) -> LocalBoxFuture<'_, io::Result<Vec<u8>>> {
        let files = self.disk.files.borrow();
        let bytes = files[file as usize].content.as_deref().unwrap_or_default();
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(bytes.len());
        let end = bytes.len().min(start + max_bytes);
        let found = bytes[start..end].to_vec();
        self.disk.record_read(found.len());
        async move {
            self.disk.check(file, FailingStep::Open)?;
            Ok(found)
        }
        .boxed_local()
    }

    fn truncate(&self, file: FileName, length: u64) -> LocalBoxFuture<'_, io::Result<()>> {
        async move {
            self.simulate_write(&[], file).await?;
            self.disk.truncate_to(file, length)
        }
        .boxed_local()
    }

    fn append(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>> {
        async move {
            self.simulate_write(&bytes, file).await?;
            self.disk.append_bytes(file, &bytes)
        }
        .boxed_local()
    }

    fn replace(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>> {
        async move {
            self.simulate_write(&[], file).await?;
            self.disk.replace_bytes(file, bytes)
        }
        .boxed_local()
    }

    fn file_path(&self, file: FileName) -> String {
        format!("memory/{file}")
    }
}

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
    files: RefCell<[Option<Vec<u8>>; 3]>,
    /// Incremented at every crash; handles of an earlier epoch no longer reach the disk.
    epoch: Cell<u64>,
    /// Whether writes fail for lack of space.
    pub is_full: Cell<bool>,
    /// Size of the largest part of a file that was read at once.
    pub largest_read: Cell<usize>,
    /// Additional duration of each write.
    pub write_delay_ms: Cell<u64>,
    /// Whether the machine is suspended, so that its writes and messages wait.
    pub is_suspended: Cell<bool>,
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

    /// Whether the disk holds a vote, without which its replica starts as one that has lost its disk.
    pub fn has_vote(&self) -> bool {
        self.files.borrow()[FileName::Vote as usize].is_some()
    }

    /// Size of a file in bytes.
    pub fn size(&self, file: FileName) -> usize {
        self.files.borrow()[file as usize]
            .as_ref()
            .map_or(0, Vec::len)
    }

    fn record_read(&self, bytes: usize) {
        self.largest_read.set(self.largest_read.get().max(bytes));
    }

    /// Modifies a file directly.
    pub fn edit(&self, file: FileName, change: impl FnOnce(&mut Vec<u8>)) {
        let mut files = self.files.borrow_mut();
        change(files[file as usize].get_or_insert_default());
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
            // The first bytes of the last write may have reached the disk.
            if self.disk.epoch.get() == self.epoch + 1 && file == FileName::Log {
                let written = rand::random_range(0..=bytes.len());
                let torn = &bytes[..written.min(bytes.len().saturating_sub(1))];
                self.disk.edit(file, |old| old.extend_from_slice(torn));
            }
            std::future::pending::<()>().await;
        }
        Ok(())
    }
}

impl Disk for DiskHandle {
    fn read(&self, file: FileName) -> LocalBoxFuture<'_, io::Result<Option<Vec<u8>>>> {
        let found = self.disk.files.borrow()[file as usize].clone();
        self.disk.record_read(found.as_ref().map_or(0, Vec::len));
        async move { Ok(found) }.boxed_local()
    }

    fn read_at(
        &self,
        file: FileName,
        offset: u64,
        max_bytes: usize,
    ) -> LocalBoxFuture<'_, io::Result<Vec<u8>>> {
        let files = self.disk.files.borrow();
        let bytes = files[file as usize].as_deref().unwrap_or_default();
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(bytes.len());
        let end = bytes.len().min(start + max_bytes);
        let found = bytes[start..end].to_vec();
        self.disk.record_read(found.len());
        async move { Ok(found) }.boxed_local()
    }

    fn truncate(&self, file: FileName, length: u64) -> LocalBoxFuture<'_, io::Result<()>> {
        async move {
            self.simulate_write(&[], file).await?;
            self.disk.edit(file, |old| {
                old.truncate(usize::try_from(length).unwrap_or(usize::MAX));
            });
            Ok(())
        }
        .boxed_local()
    }

    fn append(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>> {
        async move {
            self.simulate_write(&bytes, file).await?;
            self.disk.edit(file, |old| old.extend_from_slice(&bytes));
            Ok(())
        }
        .boxed_local()
    }

    fn replace(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>> {
        async move {
            self.simulate_write(&[], file).await?;
            self.disk.edit(file, |old| *old = bytes);
            Ok(())
        }
        .boxed_local()
    }

    fn file_path(&self, file: FileName) -> String {
        format!("memory/{file}")
    }
}

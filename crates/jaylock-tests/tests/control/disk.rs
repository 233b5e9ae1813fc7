//! A disk in memory that loses what was not synced.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use jaylock_control::{Disk, FileName};

/// The medium; it outlives the processes that use it.
#[derive(Default)]
pub struct Medium {
    files: RefCell<[Option<Vec<u8>>; 3]>,
    /// Raised with every crash: an older handle reaches the medium no more.
    start: Cell<u64>,
    /// Whether writes fail for lack of space.
    pub full: Cell<bool>,
    /// Time that each write takes on top, ms.
    pub slow: Cell<u64>,
    /// Whether operations wait.
    pub frozen: Cell<bool>,
}

/// A process's handle on a medium.
pub struct MemoryDisk {
    medium: Rc<Medium>,
    start: u64,
}

impl Medium {
    /// Opens the medium for a new process.
    pub fn open(self: &Rc<Self>) -> MemoryDisk {
        self.crash();
        MemoryDisk {
            medium: self.clone(),
            start: self.start.get(),
        }
    }

    /// Cuts the present process off; what it was writing may stay in part.
    pub fn crash(&self) {
        self.start.set(self.start.get() + 1);
    }

    /// Loses every file.
    pub fn wipe(&self) {
        self.crash();
        self.files.take();
    }

    /// Changes a file behind the process's back.
    pub fn edit(&self, file: FileName, change: impl FnOnce(&mut Vec<u8>)) {
        let mut files = self.files.borrow_mut();
        change(files[file as usize].get_or_insert_default());
    }
}

impl MemoryDisk {
    /// Waits as a disk does; fails when it is full, never returns after a crash.
    async fn spend(&self, bytes: &[u8], file: FileName) -> io::Result<()> {
        compio::time::sleep(Duration::from_micros(rand::random_range(50..1500))).await;
        compio::time::sleep(Duration::from_millis(self.medium.slow.get())).await;
        while self.medium.frozen.get() {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        if self.medium.full.get() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if self.medium.start.get() != self.start {
            // The head of the last write may have reached the medium.
            if self.medium.start.get() == self.start + 1 && file == FileName::Log {
                let kept = rand::random_range(0..=bytes.len());
                let torn = &bytes[..kept.min(bytes.len().saturating_sub(1))];
                self.medium.edit(file, |old| old.extend_from_slice(torn));
            }
            std::future::pending::<()>().await;
        }
        Ok(())
    }
}

impl Disk for MemoryDisk {
    fn read(&self, file: FileName) -> LocalBoxFuture<'_, io::Result<Option<Vec<u8>>>> {
        let found = self.medium.files.borrow()[file as usize].clone();
        async move { Ok(found) }.boxed_local()
    }

    fn append(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>> {
        async move {
            self.spend(&bytes, file).await?;
            self.medium.edit(file, |old| old.extend_from_slice(&bytes));
            Ok(())
        }
        .boxed_local()
    }

    fn replace(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>> {
        async move {
            self.spend(&[], file).await?;
            self.medium.edit(file, |old| *old = bytes);
            Ok(())
        }
        .boxed_local()
    }

    fn file_path(&self, file: FileName) -> String {
        format!("memory/{file}")
    }
}

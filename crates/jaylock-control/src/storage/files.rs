use std::cell::RefCell;
use std::fs::TryLockError;
use std::io;
use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};

use compio::fs::{File, OpenOptions};
use compio::io::{AsyncReadAt, AsyncWriteAtExt};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::storage::{Disk, FileName};
use crate::{Error, Result};

/// Name of the file in the data folder that is locked while a process uses the folder.
const LOCK_FILE: &str = "lock";
/// Error of an operation that panicked.
const PANICKED: &str =
    "the operation panicked, as when the system starts no thread: see standard error";

/// A replica's files in one data folder.
pub struct FileDisk {
    folder: PathBuf,
    log: RefCell<Option<LogTail>>,
    /// Locked for as long as this process uses the folder; `None` until the folder could be created.
    lock: RefCell<Option<std::fs::File>>,
}

/// The open log file and its length.
#[derive(Clone)]
struct LogTail {
    file: File,
    length: u64,
}

impl FileDisk {
    /// Opens a data folder, which is created if missing.
    ///
    /// If the disk fails, the folder is opened by the first read that succeeds.
    ///
    /// # Errors
    /// [`Error::Locked`] if another process uses the folder; [`Error::Disk`] if it can't become one, however long the
    /// instance waits.
    pub async fn open(folder: &Path) -> Result<Self> {
        let disk = Self {
            folder: folder.into(),
            log: RefCell::default(),
            lock: RefCell::default(),
        };
        match without_panic(disk.open_folder()).await {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                let file = folder.join(LOCK_FILE).display().to_string();
                Err(Error::Locked { file })
            }
            Err(source) if is_permanent(&source) => {
                let file = folder.display().to_string();
                Err(Error::Disk { file, source })
            }
            Err(error) => {
                log::warn!(target: "control", "{} can't be opened: {error}", folder.display());
                Ok(disk)
            }
            Ok(()) => Ok(disk),
        }
    }

    /// Creates and locks the folder and removes what an ended process has left; fails with `WouldBlock` if it is locked.
    async fn open_folder(&self) -> io::Result<()> {
        if self.lock.borrow().is_some() {
            return Ok(());
        }
        compio::fs::create_dir_all(&self.folder).await?;
        let lock = std::fs::File::create(self.folder.join(LOCK_FILE))?;
        lock.try_lock().map_err(|error| match error {
            TryLockError::WouldBlock => io::ErrorKind::WouldBlock.into(),
            TryLockError::Error(error) => error,
        })?;
        for file in FileName::ALL {
            remove_if_present(&self.temporary(file)).await?;
        }
        self.lock.replace(Some(lock));
        Ok(())
    }

    fn temporary(&self, file: FileName) -> PathBuf {
        self.path(file).with_extension("new")
    }

    fn path(&self, file: FileName) -> PathBuf {
        self.folder.join(file.to_string())
    }

    async fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder).await?.sync_all().await
    }

    async fn log_tail(&self, file: FileName) -> io::Result<LogTail> {
        if let Some(log_tail) = self.log.borrow().clone() {
            return Ok(log_tail);
        }
        let path = self.path(file);
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .open(&path)
            .await?;
        let length = file.metadata().await?.len();
        self.sync_folder().await?;
        Ok(LogTail { file, length })
    }

    async fn read_bytes(&self, file: FileName) -> io::Result<Option<Vec<u8>>> {
        self.open_folder().await?;
        match compio::fs::read(self.path(file)).await {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn read_bytes_at(
        &self,
        file: FileName,
        offset: u64,
        max_bytes: usize,
    ) -> io::Result<Vec<u8>> {
        let input = match File::open(self.path(file)).await {
            Ok(input) => input,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            Err(error) => return Err(error),
        };
        let (outcome, bytes) = input
            .read_at(Vec::with_capacity(max_bytes), offset)
            .await
            .into();
        outcome.map(|_| bytes)
    }

    async fn truncate_file(&self, file: FileName, length: u64) -> io::Result<()> {
        if file == FileName::Log {
            self.log.take();
        }
        let output = OpenOptions::new().write(true).open(self.path(file)).await?;
        output.set_len(length).await?;
        output.sync_all().await
    }

    async fn append_bytes(&self, file: FileName, bytes: Vec<u8>) -> io::Result<()> {
        let mut log_tail = self.log_tail(file).await?;
        // After a failed write the length is read again, as some of the bytes may have been written.
        self.log.take();
        let length = bytes.len() as u64;
        log_tail.file.write_all_at(bytes, log_tail.length).await.0?;
        log_tail.file.sync_data().await?;
        log_tail.length += length;
        *self.log.borrow_mut() = Some(log_tail);
        Ok(())
    }

    async fn replace_bytes(&self, file: FileName, bytes: Vec<u8>) -> io::Result<()> {
        if file == FileName::Log {
            self.log.take();
        }
        let temporary = self.temporary(file);
        let outcome = self.move_into_place(&temporary, file, bytes).await;
        if outcome.is_err() {
            // It takes the space that the next attempt needs.
            remove_if_present(&temporary).await?;
        }
        outcome
    }

    async fn move_into_place(
        &self,
        temporary: &Path,
        file: FileName,
        bytes: Vec<u8>,
    ) -> io::Result<()> {
        let mut output = File::create(temporary).await?;
        output.write_all_at(bytes, 0).await.0?;
        output.sync_all().await?;
        compio::fs::rename(temporary, self.path(file)).await?;
        self.sync_folder().await
    }
}

/// Whether a folder can't be opened because of its path or its owner, and not because its disk fails.
fn is_permanent(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::NotADirectory
            | io::ErrorKind::PermissionDenied
            | io::ErrorKind::InvalidInput
            | io::ErrorKind::InvalidFilename
    )
}

async fn remove_if_present(path: &Path) -> io::Result<()> {
    match compio::fs::remove_file(path).await {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

impl Disk for FileDisk {
    fn read(&self, file: FileName) -> LocalBoxFuture<'_, io::Result<Option<Vec<u8>>>> {
        without_panic(self.read_bytes(file))
    }

    fn read_at(
        &self,
        file: FileName,
        offset: u64,
        max_bytes: usize,
    ) -> LocalBoxFuture<'_, io::Result<Vec<u8>>> {
        without_panic(self.read_bytes_at(file, offset, max_bytes))
    }

    fn truncate(&self, file: FileName, length: u64) -> LocalBoxFuture<'_, io::Result<()>> {
        without_panic(self.truncate_file(file, length))
    }

    fn append(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>> {
        without_panic(self.append_bytes(file, bytes))
    }

    fn replace(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>> {
        without_panic(self.replace_bytes(file, bytes))
    }

    fn file_path(&self, file: FileName) -> String {
        self.path(file).display().to_string()
    }
}

/// Turns a panic of an operation into an error.
///
/// The runtime panics when the system refuses the thread on which the operation would run.
fn without_panic<'a, T>(
    operation: impl Future<Output = io::Result<T>> + 'a,
) -> LocalBoxFuture<'a, io::Result<T>> {
    let caught = AssertUnwindSafe(operation).catch_unwind();
    caught
        .map(|outcome| outcome.unwrap_or_else(|_| Err(io::Error::other(PANICKED))))
        .boxed_local()
}

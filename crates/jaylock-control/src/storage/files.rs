use std::cell::RefCell;
use std::fs::TryLockError;
use std::io;
use std::path::{Path, PathBuf};

use compio::fs::{File, OpenOptions};
use compio::io::AsyncWriteAtExt;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::storage::{Disk, FileName};
use crate::{Error, Result};

/// The files of a replica in one data folder.
pub struct FileDisk {
    folder: PathBuf,
    log: RefCell<Option<Tail>>,
    // Held for as long as the folder is in use.
    _lock: std::fs::File,
}

/// The open end of the log.
#[derive(Clone)]
struct Tail {
    file: File,
    length: u64,
}

impl FileDisk {
    /// Opens a data folder and creates it when missing.
    ///
    /// # Errors
    /// [`Error::Locked`] when another process uses it, [`Error::Disk`] when it can't be made.
    pub async fn open(folder: &Path) -> Result<Self> {
        let failed = |source| Error::Disk {
            file: folder.display().to_string(),
            source,
        };
        compio::fs::create_dir_all(folder).await.map_err(failed)?;
        let path = folder.join("lock");
        let lock = std::fs::File::create(&path).map_err(failed)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let file = path.display().to_string();
                return Err(Error::Locked { file });
            }
            Err(TryLockError::Error(error)) => return Err(failed(error)),
        }
        Ok(Self {
            folder: folder.into(),
            log: RefCell::default(),
            _lock: lock,
        })
    }

    fn path(&self, file: FileName) -> PathBuf {
        self.folder.join(file.to_string())
    }

    async fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder).await?.sync_all().await
    }

    async fn tail(&self, file: FileName) -> io::Result<Tail> {
        if let Some(tail) = self.log.borrow().clone() {
            return Ok(tail);
        }
        let path = self.path(file);
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .open(&path)
            .await?;
        let length = file.metadata().await?.len();
        self.sync_folder().await?;
        Ok(Tail { file, length })
    }

    async fn append_bytes(&self, file: FileName, bytes: Vec<u8>) -> io::Result<()> {
        let mut tail = self.tail(file).await?;
        // After a failure the end is looked up anew, as part of the bytes may stand there.
        self.log.take();
        let length = bytes.len() as u64;
        tail.file.write_all_at(bytes, tail.length).await.0?;
        tail.file.sync_data().await?;
        tail.length += length;
        *self.log.borrow_mut() = Some(tail);
        Ok(())
    }

    async fn replace_bytes(&self, file: FileName, bytes: Vec<u8>) -> io::Result<()> {
        if file == FileName::Log {
            self.log.take();
        }
        let path = self.path(file);
        let fresh = path.with_extension("new");
        let mut target = File::create(&fresh).await?;
        target.write_all_at(bytes, 0).await.0?;
        target.sync_all().await?;
        compio::fs::rename(&fresh, &path).await?;
        self.sync_folder().await
    }
}

impl Disk for FileDisk {
    fn read(&self, file: FileName) -> LocalBoxFuture<'_, io::Result<Option<Vec<u8>>>> {
        async move {
            match compio::fs::read(self.path(file)).await {
                Ok(bytes) => Ok(Some(bytes)),
                Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
                Err(error) => Err(error),
            }
        }
        .boxed_local()
    }

    fn append(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>> {
        self.append_bytes(file, bytes).boxed_local()
    }

    fn replace(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>> {
        self.replace_bytes(file, bytes).boxed_local()
    }

    fn describe(&self, file: FileName) -> String {
        self.path(file).display().to_string()
    }
}

use std::fs::{self, File};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use rustix::fs::{CWD, Mode, OFlags, mkfifoat};

use super::wait_until;

/// A settings file from which the starting instance reads nothing yet.
pub struct StalledStart {
    path: PathBuf,
    pipe: Option<File>,
    text: String,
}

impl StalledStart {
    /// Creates a pipe in place of the settings file.
    pub fn new(path: &Path, text: String) -> Self {
        let _ = fs::remove_file(path);
        mkfifoat(CWD, path, Mode::RUSR | Mode::WUSR).expect("a pipe");
        Self {
            path: path.into(),
            pipe: None,
            text,
        }
    }

    /// Waits until the instance has opened its settings file.
    pub fn wait_until_opened(&mut self) {
        let flags = OFlags::NONBLOCK.bits().cast_signed();
        wait_until("the settings file is opened", || {
            let pipe = File::options()
                .write(true)
                .custom_flags(flags)
                .open(&self.path);
            self.pipe = pipe.ok();
            self.pipe.is_some()
        });
    }

    /// Lets the start go on with the settings, which are in a regular file from now on.
    pub fn finish(self) {
        let regular = self.path.with_extension("regular");
        fs::write(&regular, &self.text).expect("the settings are written");
        fs::rename(regular, &self.path).expect("the settings are in place");
        let mut pipe = self.pipe.expect("an opened pipe");
        pipe.write_all(self.text.as_bytes())
            .expect("the settings are read");
    }
}

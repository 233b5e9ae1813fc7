use compact_str::CompactString;

/// Starts that are remembered; beyond this number the oldest is dropped.
const MAX_STARTS: usize = 256;

/// Starts of backend servers that a router saw end in a crash.
///
/// What listens at their addresses is a newer start, whose software version is not known.
#[derive(Debug, Default)]
pub struct CrashedStarts {
    // Oldest first.
    list: Vec<CrashedStart>,
}

#[derive(Debug)]
struct CrashedStart {
    backend: CompactString,
    incarnation: u64,
}

impl CrashedStarts {
    pub fn record(&mut self, backend: &str, incarnation: u64) {
        self.list.retain(|known| known.backend != backend);
        if self.list.len() >= MAX_STARTS {
            self.list.remove(0);
        }
        self.list.push(CrashedStart {
            backend: backend.into(),
            incarnation,
        });
    }

    /// Whether a start has ended.
    pub fn contains(&self, backend: &str, incarnation: u64) -> bool {
        let mut starts = self.list.iter();
        starts.any(|known| known.backend == backend && known.incarnation >= incarnation)
    }

    /// Forgets the starts at a backend server that a scheduler regards as usable.
    pub fn forget(&mut self, backend: &str) {
        self.list.retain(|known| known.backend != backend);
    }
}

/// Backend servers on which equal requests may run at the same time.
///
/// A request that crashes engines may be sent through many routers at the same moment; it then
/// crashes no more than these.
const MAX_BACKENDS: usize = 2;

/// Backend servers on which equal requests run, by fingerprint.
#[derive(Debug, Default)]
pub struct Duplicates {
    // Sorted by fingerprint and backend server.
    running: Vec<DuplicateRuns>,
}

#[derive(Debug)]
struct DuplicateRuns {
    fingerprint: u64,
    backend: usize,
    runs: u32,
}

impl Duplicates {
    /// Whether a request with this fingerprint may run on a backend server; 0 means no fingerprint.
    pub fn admits(&self, fingerprint: u64, backend: usize) -> bool {
        if fingerprint == 0 || self.search(fingerprint, backend).is_ok() {
            return true;
        }
        let first = self
            .running
            .partition_point(|entry| entry.fingerprint < fingerprint);
        let same = self.running[first..]
            .iter()
            .take_while(|entry| entry.fingerprint == fingerprint);
        same.count() < MAX_BACKENDS
    }

    /// Adds a run that begins.
    pub fn add(&mut self, fingerprint: u64, backend: usize) {
        if fingerprint == 0 {
            return;
        }
        match self.search(fingerprint, backend) {
            Ok(index) => self.running[index].runs += 1,
            Err(index) => {
                let entry = DuplicateRuns {
                    fingerprint,
                    backend,
                    runs: 1,
                };
                self.running.insert(index, entry);
            }
        }
    }

    /// Removes a run that has ended.
    pub fn remove(&mut self, fingerprint: u64, backend: usize) {
        let Ok(index) = self.search(fingerprint, backend) else {
            return;
        };
        self.running[index].runs -= 1;
        if self.running[index].runs == 0 {
            self.running.remove(index);
        }
    }

    fn search(&self, fingerprint: u64, backend: usize) -> Result<usize, usize> {
        let key = (fingerprint, backend);
        self.running
            .binary_search_by_key(&key, |entry| (entry.fingerprint, entry.backend))
    }
}

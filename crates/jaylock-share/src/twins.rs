/// Backend servers on which equal requests may run at once.
///
/// A request that crashes whatever runs it may be sent through many routers at the same moment; it
/// takes no more than these.
const MOST_PLACES: usize = 2;

/// Where equal requests run.
#[derive(Debug, Default)]
pub struct Twins {
    // Sorted by fingerprint and place.
    running: Vec<Twin>,
}

#[derive(Debug)]
struct Twin {
    fingerprint: u64,
    place: usize,
    runs: u32,
}

impl Twins {
    /// Whether a request with this fingerprint may run at a place; 0 is the fingerprint of none.
    pub fn admits(&self, fingerprint: u64, place: usize) -> bool {
        if fingerprint == 0 || self.search(fingerprint, place).is_ok() {
            return true;
        }
        let first = self
            .running
            .partition_point(|t| t.fingerprint < fingerprint);
        let same = self.running[first..]
            .iter()
            .take_while(|t| t.fingerprint == fingerprint);
        same.count() < MOST_PLACES
    }

    /// Counts a run that begins.
    pub fn add(&mut self, fingerprint: u64, place: usize) {
        if fingerprint == 0 {
            return;
        }
        match self.search(fingerprint, place) {
            Ok(at) => self.running[at].runs += 1,
            Err(at) => {
                let twin = Twin {
                    fingerprint,
                    place,
                    runs: 1,
                };
                self.running.insert(at, twin);
            }
        }
    }

    /// Counts a run that ended.
    pub fn remove(&mut self, fingerprint: u64, place: usize) {
        let Ok(at) = self.search(fingerprint, place) else {
            return;
        };
        self.running[at].runs -= 1;
        if self.running[at].runs == 0 {
            self.running.remove(at);
        }
    }

    fn search(&self, fingerprint: u64, place: usize) -> Result<usize, usize> {
        let wanted = (fingerprint, place);
        self.running
            .binary_search_by_key(&wanted, |t| (t.fingerprint, t.place))
    }
}

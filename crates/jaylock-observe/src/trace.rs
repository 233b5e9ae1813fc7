use std::collections::VecDeque;

use compact_str::CompactString;
use jaylock_rpc::v1::TraceStep;
use jaylock_types::RequestId;

/// Maximum number of steps of a request; the middle ones of a longer trace are dropped.
const MAX_STEPS: usize = 24;

/// Traces of the newest requests.
#[derive(Debug)]
pub struct Traces {
    /// Sorted by request.
    entries: Vec<Trace>,
    /// Requests in the order of their first step.
    arrivals: VecDeque<RequestId>,
    max_requests: usize,
}

#[derive(Debug)]
struct Trace {
    request: RequestId,
    steps: Vec<TraceStep>,
}

impl Traces {
    /// Creates a store for the traces of at most this many requests.
    pub fn new(max_requests: usize) -> Self {
        Self {
            entries: Vec::new(),
            arrivals: VecDeque::new(),
            max_requests,
        }
    }

    /// Adds a step to the trace of a request.
    pub fn push(&mut self, request: &RequestId, at_ms: u64, text: CompactString) {
        let index = self.find(request).unwrap_or_else(|index| {
            let request = request.clone();
            self.arrivals.push_back(request.clone());
            let steps = Vec::new();
            self.entries.insert(index, Trace { request, steps });
            index
        });
        let steps = &mut self.entries[index].steps;
        if steps.len() == MAX_STEPS {
            steps.remove(MAX_STEPS / 2);
        }
        let text = text.into_string();
        steps.push(TraceStep { at_ms, text });
        self.remove_oldest();
    }

    /// The steps of a request, oldest first.
    pub fn steps(&self, request: &RequestId) -> Vec<TraceStep> {
        let found = self.find(request).ok();
        found.map_or_else(Vec::new, |index| self.entries[index].steps.clone())
    }

    fn remove_oldest(&mut self) {
        while self.entries.len() > self.max_requests {
            let Some(oldest) = self.arrivals.pop_front() else {
                return;
            };
            if let Ok(index) = self.find(&oldest) {
                self.entries.remove(index);
            }
        }
    }

    fn find(&self, request: &RequestId) -> Result<usize, usize> {
        self.entries.binary_search_by(|t| t.request.cmp(request))
    }
}

use std::collections::VecDeque;

use compact_str::CompactString;
use jaylock_rpc::v1::TraceStep;
use jaylock_types::RequestId;

/// Steps that are kept of one request; the middle ones of a longer story are dropped.
const MOST_STEPS: usize = 24;

/// The steps of the newest requests.
#[derive(Debug)]
pub struct Traces {
    /// Sorted by request.
    stories: Vec<Story>,
    /// Requests in the order of their first step.
    arrivals: VecDeque<RequestId>,
    most: usize,
}

#[derive(Debug)]
struct Story {
    request: RequestId,
    steps: Vec<TraceStep>,
}

impl Traces {
    /// Keeps the steps of at most this many requests.
    pub fn new(most: usize) -> Self {
        Self {
            stories: Vec::new(),
            arrivals: VecDeque::new(),
            most,
        }
    }

    /// Adds a step.
    pub fn push(&mut self, request: &RequestId, at_ms: u64, text: CompactString) {
        let place = self.find(request).unwrap_or_else(|place| {
            let request = request.clone();
            self.arrivals.push_back(request.clone());
            let steps = Vec::new();
            self.stories.insert(place, Story { request, steps });
            place
        });
        let steps = &mut self.stories[place].steps;
        if steps.len() == MOST_STEPS {
            steps.remove(MOST_STEPS / 2);
        }
        let text = text.into_string();
        steps.push(TraceStep { at_ms, text });
        self.forget();
    }

    /// The steps of a request, oldest first.
    pub fn of(&self, request: &RequestId) -> Vec<TraceStep> {
        let found = self.find(request).ok();
        found.map_or_else(Vec::new, |place| self.stories[place].steps.clone())
    }

    fn forget(&mut self) {
        while self.stories.len() > self.most {
            let Some(oldest) = self.arrivals.pop_front() else {
                return;
            };
            if let Ok(place) = self.find(&oldest) {
                self.stories.remove(place);
            }
        }
    }

    fn find(&self, request: &RequestId) -> Result<usize, usize> {
        self.stories.binary_search_by(|s| s.request.cmp(request))
    }
}

use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, End};

/// Size classes that are tracked for each organisation.
const MAX_SIZE_CLASSES: usize = 32;
/// Ended requests from which a size class's own mean is used.
const MIN_SAMPLES: u32 = 4;
/// Inverse weight of the newest value in a running mean.
const MEAN_WINDOW: u64 = 16;
/// Ratio between the costliest and the cheapest size class from which short requests have a queue of their own.
const MIN_COST_RATIO: u64 = 4;
/// Scale of the fixed-point number in a mean.
const FIXED_POINT_SCALE: u64 = 256;

/// Observed costs of one organisation's requests, in tokens.
#[derive(Debug, Default)]
pub struct CostModel {
    overall: Mean,
    // Sorted by size class.
    size_classes: Vec<(SizeClass, Mean)>,
}

impl CostModel {
    /// Expected cost of a request; `default` before any request of the organisation has ended.
    pub fn expected(&self, size_class: SizeClass, default: u64) -> u64 {
        let class_mean = self
            .find(size_class)
            .filter(|mean| mean.count >= MIN_SAMPLES);
        let mean = class_mean.unwrap_or(&self.overall);
        if mean.count == 0 {
            return default.max(1);
        }
        mean.value().max(1)
    }

    /// Whether a request of this expected cost counts as short.
    pub fn is_short(&self, expected: u64) -> bool {
        let trusted = self
            .size_classes
            .iter()
            .filter(|(_, mean)| mean.count >= MIN_SAMPLES);
        let costs = trusted.map(|(_, mean)| mean.value().max(1));
        let (least, most) = costs.fold((u64::MAX, 0), |(least, most), cost| {
            (least.min(cost), most.max(cost))
        });
        // The geometric mean of the extremes does not depend on how frequent each of them is.
        most >= least.saturating_mul(MIN_COST_RATIO)
            && expected.saturating_mul(expected) <= least * most
    }

    /// Adds the cost of an ended request.
    pub fn observe(&mut self, size_class: SizeClass, tokens: u64) {
        self.overall.add(tokens);
        match self
            .size_classes
            .binary_search_by_key(&size_class, |(known, _)| *known)
        {
            Ok(index) => self.size_classes[index].1.add(tokens),
            Err(index) if self.size_classes.len() < MAX_SIZE_CLASSES => {
                let mut mean = Mean::default();
                mean.add(tokens);
                self.size_classes.insert(index, (size_class, mean));
            }
            Err(_) => {}
        }
    }

    fn find(&self, size_class: SizeClass) -> Option<&Mean> {
        let index = self
            .size_classes
            .binary_search_by_key(&size_class, |(known, _)| *known);
        index.ok().map(|index| &self.size_classes[index].1)
    }
}

/// Size of a request as known on arrival: limit and prompt length, by powers of two.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SizeClass {
    limit: u8,
    prompt: u8,
}

impl SizeClass {
    /// Returns the size class of a request.
    pub fn from_ask(ask: &Ask) -> Self {
        Self {
            limit: magnitude(ask.limit),
            prompt: magnitude(ask.prompt_tokens),
        }
    }
}

/// Running mean with an exponential window.
#[derive(Debug, Default, Clone, Copy)]
pub struct Mean {
    scaled: u64,
    count: u32,
}

impl Mean {
    /// Adds a value; the first values have equal weights, as in an arithmetic mean.
    pub fn add(&mut self, value: u64) {
        self.count = self.count.saturating_add(1);
        let window = MEAN_WINDOW.min(u64::from(self.count));
        let value = value.saturating_mul(FIXED_POINT_SCALE);
        self.scaled = (self.scaled / window) * (window - 1) + value / window;
    }

    /// Returns the mean, or `default` without values.
    pub fn value_or(&self, default: u64) -> u64 {
        if self.count == 0 {
            default
        } else {
            self.value()
        }
    }

    fn value(&self) -> u64 {
        self.scaled / FIXED_POINT_SCALE
    }
}

/// Estimate of the tokens that a pool's runs still generate at a random moment.
#[derive(Debug, Default)]
pub struct Residual {
    costs: Mean,
    squares: Mean,
}

impl Residual {
    /// Adds the cost of an ended request.
    pub fn observe(&mut self, tokens: u64) {
        self.costs.add(tokens);
        self.squares.add(tokens.saturating_mul(tokens));
    }

    /// Mean cost of a request.
    pub fn mean(&self, default: u64) -> u64 {
        self.costs.value_or(default)
    }

    /// Mean remaining tokens of a run, by renewal theory: the mean square over twice the mean.
    pub fn remaining_tokens(&self, default: u64) -> u64 {
        self.squares.value_or(default * default) / (2 * self.costs.value_or(default).max(1))
    }
}

fn magnitude(number: u32) -> u8 {
    u8::try_from(u32::BITS - number.leading_zeros()).unwrap_or(u8::MAX)
}

/// Service of an ended run, in tokens; a call of a plain service counts as one.
pub fn cost_of(end: &End) -> u64 {
    match end.outcome() {
        Outcome::NotRun => 0,
        _ => end.tokens.max(1),
    }
}

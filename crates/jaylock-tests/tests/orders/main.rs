//! Orders to engines: the plan, and engines with and without checks of fencing numbers.

mod fakes;
mod odd_answers;
mod plan;
mod reconciler;

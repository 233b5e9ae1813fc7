//! Orders to engines: the plan and the engines that refuse or ignore old fencing numbers.

mod fakes;
mod plan;
mod reconciler;

use std::fmt::Write;

/// Height of a bar chart, in pixels.
const CHART_HEIGHT: u64 = 60;
/// Width of a bar in a chart, in pixels.
const BAR_WIDTH: usize = 2;
/// Width of a bar for a budget, in pixels.
const BUDGET_WIDTH: f64 = 80.0;

/// Draws a bar for each count; the largest count has the full height.
pub fn bar_chart(counts: &[u64]) -> String {
    let width = counts.len() * BAR_WIDTH;
    let max = counts.iter().copied().max().unwrap_or_default().max(1);
    let mut svg = format!(
        "<svg width=\"{width}\" height=\"{CHART_HEIGHT}\" role=\"img\">\
         <title>bad requests per minute, maximum {max}</title>\
         <rect width=\"100%\" height=\"100%\" fill=\"#f4f4f4\"/>",
    );
    for (index, count) in counts.iter().enumerate().filter(|(_, count)| **count > 0) {
        let height = (count * CHART_HEIGHT).div_ceil(max);
        let (x, y) = (index * BAR_WIDTH, CHART_HEIGHT - height);
        // Writing to a string never fails.
        let _ = write!(
            svg,
            "<rect x=\"{x}\" y=\"{y}\" width=\"{BAR_WIDTH}\" height=\"{height}\" fill=\"#b03030\"/>",
        );
    }
    svg.push_str("</svg>");
    svg
}

/// Draws the remaining share of a budget.
pub fn budget_bar(left: f64) -> String {
    let width = BUDGET_WIDTH * left.clamp(0.0, 1.0);
    let colour = if left > 0.25 { "#3a8f4a" } else { "#b03030" };
    format!(
        "<svg width=\"{BUDGET_WIDTH:.0}\" height=\"10\"><rect width=\"100%\" height=\"10\" \
         fill=\"#ddd\"/><rect width=\"{width:.0}\" height=\"10\" fill=\"{colour}\"/></svg>",
    )
}

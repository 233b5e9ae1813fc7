use std::fmt::Write;

/// Height of a plot, in pixels.
const HEIGHT: u64 = 60;
/// Width of a bar, in pixels.
const BAR: usize = 2;
/// Width of the bar of a budget, in pixels.
const BUDGET_WIDTH: f64 = 80.0;

/// A bar for each count, as an SVG picture; the largest count has the full height.
pub fn bars(counts: &[u64]) -> String {
    let width = counts.len() * BAR;
    let most = counts.iter().copied().max().unwrap_or_default().max(1);
    let mut text = format!(
        "<svg width=\"{width}\" height=\"{HEIGHT}\" role=\"img\">\
         <title>bad requests a minute, at most {most}</title>\
         <rect width=\"100%\" height=\"100%\" fill=\"#f4f4f4\"/>",
    );
    for (place, count) in counts.iter().enumerate().filter(|(_, count)| **count > 0) {
        let height = (count * HEIGHT).div_ceil(most);
        let (x, y) = (place * BAR, HEIGHT - height);
        // Writing to a string never fails.
        let _ = write!(
            text,
            "<rect x=\"{x}\" y=\"{y}\" width=\"{BAR}\" height=\"{height}\" fill=\"#b03030\"/>",
        );
    }
    text.push_str("</svg>");
    text
}

/// The share of a budget that is left, as an SVG picture.
pub fn budget(left: f64) -> String {
    let width = BUDGET_WIDTH * left.clamp(0.0, 1.0);
    let colour = if left > 0.25 { "#3a8f4a" } else { "#b03030" };
    format!(
        "<svg width=\"{BUDGET_WIDTH:.0}\" height=\"10\"><rect width=\"100%\" height=\"10\" \
         fill=\"#ddd\"/><rect width=\"{width:.0}\" height=\"10\" fill=\"{colour}\"/></svg>",
    )
}

use std::fmt::{self, Display, Formatter};

use hdrhistogram::Histogram;

/// Percentiles of several histograms, one row each.
#[derive(Default)]
pub struct Table {
    rows: Vec<Row>,
}

struct Row {
    name: String,
    percentiles: [u64; 3],
}

impl Table {
    /// Percentiles in each row.
    const PERCENTILES: [f64; 3] = [50.0, 95.0, 99.0];

    /// Adds a row for a histogram in microseconds.
    pub fn add(&mut self, name: impl Into<String>, histogram: &Histogram<u64>) {
        let percentiles = Self::PERCENTILES.map(|p| histogram.value_at_percentile(p));
        self.rows.push(Row {
            name: name.into(),
            percentiles,
        });
    }

    /// Adds a row with the differences of two earlier rows, given by their indices.
    pub fn add_difference(&mut self, name: impl Into<String>, larger: usize, smaller: usize) {
        let (larger, smaller) = (&self.rows[larger], &self.rows[smaller]);
        let mut percentiles = larger.percentiles;
        for (value, smaller) in percentiles.iter_mut().zip(smaller.percentiles) {
            *value = value.saturating_sub(smaller);
        }
        self.rows.push(Row {
            name: name.into(),
            percentiles,
        });
    }
}

impl Display for Table {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<28}{:>10}{:>10}{:>10}", "ms", "p50", "p95", "p99")?;
        for row in &self.rows {
            write!(f, "{:<28}", row.name)?;
            for micros in row.percentiles {
                let whole = micros / 1000;
                let fraction = micros % 1000;
                write!(f, "{:>10}", format!("{whole}.{fraction:03}"))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

use serde_json::{Map, Value, json};

/// Output of a command, printed as text or JSON.
pub enum Output {
    /// Named values.
    Record(Record),
    /// A table.
    Listing(Listing),
    /// A table whose text output has a separate form.
    Rendered {
        /// Text output.
        text: String,
        /// JSON output.
        listing: Listing,
    },
    /// Several outputs with headings.
    Parts(Vec<(&'static str, Output)>),
    /// An output with the names of instances or pools that did not respond.
    Partial(Box<Output>, Vec<String>),
}

impl Output {
    /// Adds a warning if any instances or pools did not respond.
    pub fn with_unresponsive(self, names: Vec<String>) -> Self {
        if names.is_empty() {
            return self;
        }
        Self::Partial(Box::new(self), names)
    }

    /// The output as text.
    pub fn text(&self) -> String {
        match self {
            Self::Record(record) => record.text(),
            Self::Listing(listing) => listing.text(),
            Self::Rendered { text, .. } => text.clone(),
            Self::Parts(parts) => {
                let texts = parts
                    .iter()
                    .map(|(name, part)| format!("{name}\n{}", part.text()));
                texts.collect::<Vec<_>>().join("\n")
            }
            Self::Partial(inner, unresponsive) => {
                format!(
                    "{}\nno response from: {}\n",
                    inner.text(),
                    unresponsive.join(", ")
                )
            }
        }
    }

    /// The output as one line of JSON.
    pub fn json(&self) -> String {
        format!("{}\n", self.value())
    }

    fn value(&self) -> Value {
        match self {
            Self::Record(record) => record.value(),
            Self::Listing(listing) | Self::Rendered { listing, .. } => listing.value(),
            Self::Parts(parts) => {
                let members = parts
                    .iter()
                    .map(|(name, part)| ((*name).to_owned(), part.value()));
                Value::Object(members.collect())
            }
            Self::Partial(inner, unresponsive) => {
                json!({ "result": inner.value(), "unheard": unresponsive })
            }
        }
    }
}

/// A value in a table or record.
#[derive(Debug, Clone)]
pub enum Cell {
    /// Text.
    Text(String),
    /// An integer.
    Number(u64),
    /// A value and the number of decimals in text output.
    Decimal(f64, usize),
    /// A Boolean.
    Bool(bool),
    /// Several texts.
    List(Vec<String>),
}

impl Cell {
    fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Number(number) => number.to_string(),
            Self::Decimal(number, decimals) => format!("{number:.decimals$}"),
            Self::Bool(flag) => String::from(if *flag { "yes" } else { "no" }),
            Self::List(items) => items.join(" "),
        }
    }

    fn value(&self) -> Value {
        match self {
            Self::Text(text) => json!(text),
            Self::Number(number) => json!(number),
            Self::Decimal(number, _) => json!(number),
            Self::Bool(flag) => json!(flag),
            Self::List(items) => json!(items),
        }
    }
}

impl From<&str> for Cell {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Cell {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<u64> for Cell {
    fn from(number: u64) -> Self {
        Self::Number(number)
    }
}

impl From<u32> for Cell {
    fn from(number: u32) -> Self {
        Self::Number(number.into())
    }
}

impl From<bool> for Cell {
    fn from(flag: bool) -> Self {
        Self::Bool(flag)
    }
}

impl From<Vec<String>> for Cell {
    fn from(items: Vec<String>) -> Self {
        Self::List(items)
    }
}

/// Named values in insertion order.
#[derive(Debug, Default)]
pub struct Record {
    members: Vec<(&'static str, Cell)>,
}

impl Record {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a value.
    pub fn with(mut self, name: &'static str, cell: impl Into<Cell>) -> Self {
        self.members.push((name, cell.into()));
        self
    }

    fn text(&self) -> String {
        let lines = self
            .members
            .iter()
            .map(|(name, cell)| format!("{name}: {}\n", cell.text()));
        lines.collect()
    }

    fn value(&self) -> Value {
        object(self.members.iter().map(|(name, cell)| (*name, cell)))
    }
}

/// A table; each row has a cell for each column.
#[derive(Debug)]
pub struct Listing {
    columns: &'static [&'static str],
    rows: Vec<Vec<Cell>>,
}

impl Listing {
    /// Creates an empty table.
    pub fn new(columns: &'static [&'static str]) -> Self {
        Self {
            columns,
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<Cell>) {
        debug_assert_eq!(row.len(), self.columns.len(), "a cell for each column");
        self.rows.push(row);
    }

    fn text(&self) -> String {
        let headers = self
            .columns
            .iter()
            .map(|name| name.to_uppercase().replace('_', " "));
        let mut lines: Vec<Vec<String>> = vec![headers.collect()];
        lines.extend(
            self.rows
                .iter()
                .map(|row| row.iter().map(Cell::text).collect()),
        );
        let width = |column: usize| lines.iter().map(|line| line[column].chars().count()).max();
        let widths: Vec<usize> = (0..self.columns.len()).filter_map(width).collect();
        let mut text = String::new();
        for line in &lines {
            let cells = line
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"));
            let joined = cells.collect::<Vec<_>>().join("  ");
            text.push_str(joined.trim_end());
            text.push('\n');
        }
        text
    }

    fn value(&self) -> Value {
        let rows = self
            .rows
            .iter()
            .map(|row| object(self.columns.iter().copied().zip(row)));
        Value::Array(rows.collect())
    }
}

fn object<'a>(members: impl Iterator<Item = (&'static str, &'a Cell)>) -> Value {
    let members = members.map(|(name, cell)| (name.to_owned(), cell.value()));
    Value::Object(members.collect::<Map<_, _>>())
}

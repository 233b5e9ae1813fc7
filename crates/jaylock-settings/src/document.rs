use compact_str::{CompactString, format_compact};
use ini::{Ini, ParseOption};

use crate::{Error, ErrorKind, Result};

/// The sections of a settings file with the line number of each key.
#[derive(Debug)]
pub(crate) struct Document {
    pub file: CompactString,
    pub line_count: usize,
    /// Sorted by name.
    pub sections: Vec<Section>,
}

/// A section, its keys and its line number.
#[derive(Debug)]
pub(crate) struct Section {
    pub name: CompactString,
    pub line: usize,
    /// Sorted by name.
    pub entries: Vec<Entry>,
}

/// A key, its value and its line number.
#[derive(Debug)]
pub(crate) struct Entry {
    pub key: CompactString,
    pub value: CompactString,
    pub line: usize,
}

impl Document {
    /// Parses the text of a settings file; duplicate sections and keys are errors.
    pub fn parse(text: &str, file: &str) -> Result<Self> {
        let mut document = Self {
            file: file.into(),
            line_count: text.lines().count().max(1),
            sections: Vec::new(),
        };
        document.record_lines(text)?;
        document.fill(text)?;
        Ok(document)
    }

    /// Returns the section of a name, if the file has it.
    pub fn section(&self, name: &str) -> Option<&Section> {
        let found = self
            .sections
            .binary_search_by(|s| s.name.as_str().cmp(name));
        found.ok().map(|index| &self.sections[index])
    }

    pub fn error(&self, line: usize, kind: ErrorKind) -> Error {
        Error {
            file: self.file.clone(),
            line,
            kind: Box::new(kind),
        }
    }

    /// Records the line number of each section and key, which the INI library does not report.
    fn record_lines(&mut self, text: &str) -> Result<()> {
        let mut current = None;
        for (index, raw) in text.lines().enumerate() {
            let line = index + 1;
            let trimmed = raw.trim();
            if trimmed.is_empty() || trimmed.starts_with(['#', ';']) {
                continue;
            }
            if let Some(name) = section_name(trimmed) {
                self.add_section(name, line)?;
                current = Some(CompactString::from(name));
                continue;
            }
            let key = key_name(trimmed)
                .ok_or_else(|| self.error(line, ErrorKind::Syntax(trimmed.into())))?;
            let Some(section) = &current else {
                return Err(self.error(line, ErrorKind::NoSection(key.into())));
            };
            self.add_key(section, key, line)?;
        }
        Ok(())
    }

    fn add_section(&mut self, name: &str, line: usize) -> Result<()> {
        match self
            .sections
            .binary_search_by(|s| s.name.as_str().cmp(name))
        {
            Ok(index) => {
                let first = self.sections[index].line;
                let name = name.into();
                Err(self.error(line, ErrorKind::DuplicateSection { name, first }))
            }
            Err(index) => {
                let section = Section {
                    name: name.into(),
                    line,
                    entries: Vec::new(),
                };
                self.sections.insert(index, section);
                Ok(())
            }
        }
    }

    fn add_key(&mut self, section: &str, key: &str, line: usize) -> Result<()> {
        let Some(found) = self.sections.iter_mut().find(|s| s.name == section) else {
            return Ok(());
        };
        match found.entries.binary_search_by(|e| e.key.as_str().cmp(key)) {
            Ok(index) => {
                let first = found.entries[index].line;
                let kind = ErrorKind::DuplicateKey {
                    section: section.into(),
                    key: key.into(),
                    first,
                };
                Err(self.error(line, kind))
            }
            Err(index) => {
                let entry = Entry {
                    key: key.into(),
                    value: CompactString::default(),
                    line,
                };
                found.entries.insert(index, entry);
                Ok(())
            }
        }
    }

    /// Fills in the values as the INI library parses them.
    fn fill(&mut self, text: &str) -> Result<()> {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let parsed = Ini::load_from_str_opt(text, options).map_err(|error| {
            let kind = ErrorKind::Syntax(format_compact!("{}", error.msg));
            self.error(error.line, kind)
        })?;
        for section in &mut self.sections {
            for entry in &mut section.entries {
                let value = parsed.get_from(Some(section.name.as_str()), &entry.key);
                entry.value = value.unwrap_or_default().trim().into();
            }
        }
        Ok(())
    }
}

fn section_name(line: &str) -> Option<&str> {
    let inner = line.strip_prefix('[')?.strip_suffix(']')?;
    Some(inner.trim())
}

fn key_name(line: &str) -> Option<&str> {
    let (key, _) = line.split_once('=')?;
    let key = key.trim();
    let is_allowed = |c: char| c.is_ascii_lowercase() || c == '_';
    (!key.is_empty() && key.chars().all(is_allowed)).then_some(key)
}

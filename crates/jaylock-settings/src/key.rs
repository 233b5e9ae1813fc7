use compact_str::{CompactString, format_compact};

use crate::document::{Document, Entry};
use crate::{ErrorKind, Result};

/// A key of a section.
pub(crate) struct Key<T> {
    pub name: &'static str,
    /// Form of a valid value.
    pub expected: &'static str,
    pub requirement: Requirement,
    /// Parses and stores the value; returns `None` for an invalid one.
    pub set: fn(&mut T, &str) -> Option<()>,
}

/// Whether a key may be omitted, and whether its value may be shown in errors.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Requirement {
    Optional,
    Required,
    /// Required and never shown in errors.
    Secret,
}

impl<T> Key<T> {
    pub const fn optional(
        name: &'static str,
        expected: &'static str,
        set: fn(&mut T, &str) -> Option<()>,
    ) -> Self {
        let requirement = Requirement::Optional;
        Self {
            name,
            expected,
            requirement,
            set,
        }
    }

    pub const fn required(
        name: &'static str,
        expected: &'static str,
        set: fn(&mut T, &str) -> Option<()>,
    ) -> Self {
        let key = Self::optional(name, expected, set);
        Self {
            requirement: Requirement::Required,
            ..key
        }
    }

    pub const fn secret(
        name: &'static str,
        expected: &'static str,
        set: fn(&mut T, &str) -> Option<()>,
    ) -> Self {
        let key = Self::optional(name, expected, set);
        Self {
            requirement: Requirement::Secret,
            ..key
        }
    }
}

/// Settings that are read from one section.
pub(crate) trait SettingsSection: Default + 'static {
    const SECTION: &'static str;
    const KEYS: &'static [Key<Self>];

    /// Reads the section; omitted keys keep their defaults.
    fn read(document: &Document) -> Result<Self> {
        let mut settings = Self::default();
        let section = document.section(Self::SECTION);
        for entry in section.map_or(&[][..], |s| &s.entries) {
            settings.apply(document, entry)?;
        }
        let is_set = |key: &str| section.is_some_and(|s| s.entries.iter().any(|e| e.key == key));
        let missing = Self::KEYS
            .iter()
            .find(|k| k.requirement != Requirement::Optional && !is_set(k.name));
        if let Some(key) = missing {
            let kind = ErrorKind::Missing {
                section: Self::SECTION.into(),
                key: key.name.into(),
                expected: key.expected.into(),
            };
            return Err(document.error(section.map_or(document.line_count, |s| s.line), kind));
        }
        Ok(settings)
    }

    fn apply(&mut self, document: &Document, entry: &Entry) -> Result<()> {
        let Some(key) = Self::KEYS.iter().find(|k| k.name == entry.key) else {
            let kind = ErrorKind::UnknownKey {
                section: Self::SECTION.into(),
                key: entry.key.clone(),
                known: comma_separated(Self::KEYS.iter().map(|k| k.name)),
            };
            return Err(document.error(entry.line, kind));
        };
        (key.set)(self, &entry.value).ok_or_else(|| {
            let value = match key.requirement {
                Requirement::Secret => "the given text".into(),
                _ => format_compact!("\"{}\"", entry.value),
            };
            let kind = ErrorKind::Invalid {
                section: Self::SECTION.into(),
                key: entry.key.clone(),
                value,
                expected: key.expected.into(),
            };
            document.error(entry.line, kind)
        })
    }
}

/// Joins names with commas, for errors.
pub(crate) fn comma_separated<'a>(names: impl Iterator<Item = &'a str>) -> CompactString {
    let mut text = CompactString::default();
    for name in names {
        if !text.is_empty() {
            text.push_str(", ");
        }
        text.push_str(name);
    }
    text
}

use compact_str::{CompactString, format_compact};

use crate::document::{Document, Entry};
use crate::{Problem, Result};

/// A key that a section knows.
pub(crate) struct Key<T> {
    pub name: &'static str,
    /// What a right value looks like.
    pub remedy: &'static str,
    pub need: Need,
    /// Puts the value in its place; `None` when the value is wrong.
    pub set: fn(&mut T, &str) -> Option<()>,
}

/// Whether a key may be left out, and whether its value may be shown.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Need {
    Optional,
    Obligatory,
    /// Obligatory, and never shown in errors.
    Secret,
}

impl<T> Key<T> {
    pub const fn optional(
        name: &'static str,
        remedy: &'static str,
        set: fn(&mut T, &str) -> Option<()>,
    ) -> Self {
        let need = Need::Optional;
        Self {
            name,
            remedy,
            need,
            set,
        }
    }

    pub const fn obligatory(
        name: &'static str,
        remedy: &'static str,
        set: fn(&mut T, &str) -> Option<()>,
    ) -> Self {
        let key = Self::optional(name, remedy, set);
        Self {
            need: Need::Obligatory,
            ..key
        }
    }

    pub const fn secret(
        name: &'static str,
        remedy: &'static str,
        set: fn(&mut T, &str) -> Option<()>,
    ) -> Self {
        let key = Self::optional(name, remedy, set);
        Self {
            need: Need::Secret,
            ..key
        }
    }
}

/// A part of the settings that stands in one section.
pub(crate) trait Part: Default + 'static {
    const SECTION: &'static str;
    const KEYS: &'static [Key<Self>];

    /// Reads the part from its section; keys that are left out keep their defaults.
    fn read(document: &Document) -> Result<Self> {
        let mut part = Self::default();
        let section = document.section(Self::SECTION);
        for entry in section.map_or(&[][..], |s| &s.entries) {
            part.apply(document, entry)?;
        }
        let given = |key: &str| section.is_some_and(|s| s.entries.iter().any(|e| e.key == key));
        let missing = Self::KEYS
            .iter()
            .find(|k| k.need != Need::Optional && !given(k.name));
        if let Some(key) = missing {
            let problem = Problem::Missing {
                section: Self::SECTION.into(),
                key: key.name.into(),
                remedy: key.remedy.into(),
            };
            return Err(document.error(section.map_or(document.lines, |s| s.line), problem));
        }
        Ok(part)
    }

    fn apply(&mut self, document: &Document, entry: &Entry) -> Result<()> {
        let Some(key) = Self::KEYS.iter().find(|k| k.name == entry.key) else {
            let problem = Problem::UnknownKey {
                section: Self::SECTION.into(),
                key: entry.key.clone(),
                known: joined(Self::KEYS.iter().map(|k| k.name)),
            };
            return Err(document.error(entry.line, problem));
        };
        (key.set)(self, &entry.value).ok_or_else(|| {
            let value = match key.need {
                Need::Secret => "the given text".into(),
                _ => format_compact!("\"{}\"", entry.value),
            };
            let problem = Problem::Invalid {
                section: Self::SECTION.into(),
                key: entry.key.clone(),
                value,
                remedy: key.remedy.into(),
            };
            document.error(entry.line, problem)
        })
    }
}

/// Names in a row, for errors.
pub(crate) fn joined<'a>(names: impl Iterator<Item = &'a str>) -> CompactString {
    let mut text = CompactString::default();
    for name in names {
        if !text.is_empty() {
            text.push_str(", ");
        }
        text.push_str(name);
    }
    text
}

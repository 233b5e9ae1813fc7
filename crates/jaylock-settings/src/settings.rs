use std::fs;
use std::path::Path;

use compact_str::format_compact;

use crate::document::Document;
use crate::key::{Part, joined};
use crate::{
    AddressSettings, ControlSettings, Error, InstanceSettings, LimitSettings, LogSettings,
    ObjectiveSettings, Problem, Result, SecuritySettings, TimeoutSettings, check,
};

/// All settings of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Settings {
    /// Section `[instance]`.
    pub instance: InstanceSettings,
    /// Section `[control]`.
    pub control: ControlSettings,
    /// Section `[security]`.
    pub security: SecuritySettings,
    /// Section `[limits]`.
    pub limits: LimitSettings,
    /// Section `[timeouts]`.
    pub timeouts: TimeoutSettings,
    /// Section `[addresses]`.
    pub addresses: AddressSettings,
    /// Section `[log]`.
    pub log: LogSettings,
    /// Section `[objectives]`.
    pub objectives: ObjectiveSettings,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The first fault, with file, line, key and what would be right.
    pub fn read(path: impl AsRef<Path>) -> Result<Self> {
        Self::read_with_extra_sections(path, &[])
    }

    /// The same where the file holds further sections that belong to another part of the program.
    ///
    /// # Errors
    /// As [`Settings::read`].
    pub fn read_with_extra_sections(path: impl AsRef<Path>, others: &[&str]) -> Result<Self> {
        let path = path.as_ref();
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| Error {
            file: file.as_str().into(),
            line: 1,
            problem: Box::new(Problem::Unreadable(format_compact!("{error}"))),
        })?;
        Self::parse_beside(&text, &file, others)
    }

    /// Checks settings that stand in a text; errors give its place as `file`.
    ///
    /// # Errors
    /// The first fault, with file, line, key and what would be right.
    pub fn parse(text: &str, file: &str) -> Result<Self> {
        Self::parse_beside(text, file, &[])
    }

    fn parse_beside(text: &str, file: &str, others: &[&str]) -> Result<Self> {
        let document = Document::parse(text, file)?;
        let unknown = document
            .sections
            .iter()
            .filter(|s| !SECTIONS.contains(&s.name.as_str()) && !others.contains(&s.name.as_str()))
            .min_by_key(|s| s.line);
        if let Some(section) = unknown {
            let problem = Problem::UnknownSection {
                name: section.name.clone(),
                known: joined(SECTIONS.into_iter()),
            };
            return Err(document.error(section.line, problem));
        }
        let settings = Self {
            instance: Part::read(&document)?,
            control: Part::read(&document)?,
            security: Part::read(&document)?,
            limits: Part::read(&document)?,
            timeouts: Part::read(&document)?,
            addresses: Part::read(&document)?,
            log: Part::read(&document)?,
            objectives: Part::read(&document)?,
        };
        check::check(&settings, &document)?;
        Ok(settings)
    }

    /// Every section and key that a settings file may hold.
    #[must_use]
    pub fn keys() -> Vec<(&'static str, &'static str)> {
        let mut keys = Vec::new();
        keys.extend(names::<InstanceSettings>());
        keys.extend(names::<ControlSettings>());
        keys.extend(names::<SecuritySettings>());
        keys.extend(names::<LimitSettings>());
        keys.extend(names::<TimeoutSettings>());
        keys.extend(names::<AddressSettings>());
        keys.extend(names::<LogSettings>());
        keys.extend(names::<ObjectiveSettings>());
        keys
    }
}

fn names<T: Part>() -> impl Iterator<Item = (&'static str, &'static str)> {
    T::KEYS.iter().map(|key| (T::SECTION, key.name))
}

/// Names of the sections, in the order of the reference.
const SECTIONS: [&str; 8] = [
    InstanceSettings::SECTION,
    ControlSettings::SECTION,
    SecuritySettings::SECTION,
    LimitSettings::SECTION,
    TimeoutSettings::SECTION,
    AddressSettings::SECTION,
    LogSettings::SECTION,
    ObjectiveSettings::SECTION,
];

use std::fs;
use std::path::Path;

use compact_str::format_compact;

use crate::document::Document;
use crate::key::{SettingsSection, comma_separated};
use crate::{
    AddressSettings, ControlSettings, Error, ErrorKind, InstanceSettings, LimitSettings,
    LogSettings, ObjectiveSettings, Result, SecuritySettings, TimeoutSettings, check,
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
    /// The first error, with file, line, key and the form of a valid value.
    pub fn read(path: impl AsRef<Path>) -> Result<Self> {
        Self::read_with_extra_sections(path, &[])
    }

    /// Reads and checks a settings file in which `extra_sections` belong to other code.
    ///
    /// # Errors
    /// The same as for [`Settings::read`].
    pub fn read_with_extra_sections(
        path: impl AsRef<Path>,
        extra_sections: &[&str],
    ) -> Result<Self> {
        let path = path.as_ref();
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| Error {
            file: file.as_str().into(),
            line: 1,
            kind: Box::new(ErrorKind::Unreadable(format_compact!("{error}"))),
        })?;
        Self::parse_with_extra_sections(&text, &file, extra_sections)
    }

    /// Parses and checks settings from a text; errors name `file` as its source.
    ///
    /// # Errors
    /// The first error, with file, line, key and the form of a valid value.
    pub fn parse(text: &str, file: &str) -> Result<Self> {
        Self::parse_with_extra_sections(text, file, &[])
    }

    fn parse_with_extra_sections(text: &str, file: &str, extra_sections: &[&str]) -> Result<Self> {
        let document = Document::parse(text, file)?;
        let unknown = document
            .sections
            .iter()
            .filter(|s| {
                !SECTIONS.contains(&s.name.as_str()) && !extra_sections.contains(&s.name.as_str())
            })
            .min_by_key(|s| s.line);
        if let Some(section) = unknown {
            let kind = ErrorKind::UnknownSection {
                name: section.name.clone(),
                known: comma_separated(SECTIONS.into_iter()),
            };
            return Err(document.error(section.line, kind));
        }
        let settings = Self {
            instance: SettingsSection::read(&document)?,
            control: SettingsSection::read(&document)?,
            security: SettingsSection::read(&document)?,
            limits: SettingsSection::read(&document)?,
            timeouts: SettingsSection::read(&document)?,
            addresses: SettingsSection::read(&document)?,
            log: SettingsSection::read(&document)?,
            objectives: SettingsSection::read(&document)?,
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

fn names<T: SettingsSection>() -> impl Iterator<Item = (&'static str, &'static str)> {
    T::KEYS.iter().map(|key| (T::SECTION, key.name))
}

/// Names of the sections, in the order of the settings reference.
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

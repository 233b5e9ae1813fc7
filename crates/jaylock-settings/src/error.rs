use compact_str::CompactString;
use thiserror::Error;

/// What reading settings gives.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A settings file that can't be used, and the place in it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: {problem}")]
pub struct Error {
    /// Path as it was given.
    pub file: CompactString,
    /// Line of the fault, from 1; the last line when something is missing at the end.
    pub line: usize,
    /// What is wrong there.
    pub problem: Box<Problem>,
}

/// What is wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// The file can't be read at all.
    #[error("the file can't be read ({0}); check the path and its permissions")]
    Unreadable(CompactString),
    /// A line is neither a section, a key, a comment nor empty.
    #[error(
        "\"{0}\" is no setting; write \"[section]\", \"key = value\" or a comment that starts with #"
    )]
    Syntax(CompactString),
    /// A key stands before the first section.
    #[error("key {0} stands in no section; put it below a line such as [instance]")]
    NoSection(CompactString),
    /// No section has this name.
    #[error("there is no section [{name}]; the sections are {known}")]
    UnknownSection {
        /// Name as written.
        name: CompactString,
        /// Names that would be right.
        known: CompactString,
    },
    /// The section has no such key.
    #[error("section [{section}] has no key {key}; its keys are {known}")]
    UnknownKey {
        /// Section of the key.
        section: CompactString,
        /// Name as written.
        key: CompactString,
        /// Names that would be right.
        known: CompactString,
    },
    /// A section stands twice.
    #[error("section [{name}] stands already in line {first}; join the two")]
    DuplicateSection {
        /// Name of the section.
        name: CompactString,
        /// Line of the first one.
        first: usize,
    },
    /// A key stands twice in its section.
    #[error("key {key} of section [{section}] stands already in line {first}; remove one of them")]
    DuplicateKey {
        /// Section of the key.
        section: CompactString,
        /// Name of the key.
        key: CompactString,
        /// Line of the first one.
        first: usize,
    },
    /// An obligatory key is missing.
    #[error("section [{section}] needs the key {key}; write {key} = {remedy}")]
    Missing {
        /// Section of the key.
        section: CompactString,
        /// Name of the key.
        key: CompactString,
        /// What would be right.
        remedy: CompactString,
    },
    /// A value does not fit its key.
    #[error("key {key} of section [{section}] can't be {value}; write {remedy}")]
    Invalid {
        /// Section of the key.
        section: CompactString,
        /// Name of the key.
        key: CompactString,
        /// Value as written, in quotes; secrets are left out.
        value: CompactString,
        /// What would be right.
        remedy: CompactString,
    },
}

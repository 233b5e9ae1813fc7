use compact_str::CompactString;
use thiserror::Error;

/// Result of reading settings.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error in a settings file and its position.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: {kind}")]
pub struct Error {
    /// Path of the file as given.
    pub file: CompactString,
    /// Line number of the error, from 1; the last line if a whole section is missing.
    pub line: usize,
    /// Kind of the error.
    pub kind: Box<ErrorKind>,
}

/// Kind of an error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ErrorKind {
    /// The file can't be read.
    #[error("the file can't be read ({0}); check the path and its permissions")]
    Unreadable(CompactString),
    /// A line is neither a section, a key nor a comment.
    #[error(
        "\"{0}\" is not a setting; write \"[section]\", \"key = value\" or a comment that starts with #"
    )]
    Syntax(CompactString),
    /// A key precedes the first section.
    #[error("key {0} is outside any section; put it below a line such as [instance]")]
    NoSection(CompactString),
    /// A section is unknown.
    #[error("there is no section [{name}]; the sections are {known}")]
    UnknownSection {
        /// Name in the file.
        name: CompactString,
        /// Valid names.
        known: CompactString,
    },
    /// A key is unknown in its section.
    #[error("section [{section}] has no key {key}; its keys are {known}")]
    UnknownKey {
        /// Section of the key.
        section: CompactString,
        /// Name in the file.
        key: CompactString,
        /// Valid names.
        known: CompactString,
    },
    /// A section occurs twice.
    #[error("section [{name}] is already defined in line {first}; merge the two")]
    DuplicateSection {
        /// Name of the section.
        name: CompactString,
        /// Line of the first occurrence.
        first: usize,
    },
    /// A key occurs twice in its section.
    #[error("key {key} of section [{section}] is already set in line {first}; remove one of them")]
    DuplicateKey {
        /// Section of the key.
        section: CompactString,
        /// Name of the key.
        key: CompactString,
        /// Line of the first occurrence.
        first: usize,
    },
    /// A required key is missing.
    #[error("section [{section}] needs the key {key}; write {key} = {expected}")]
    Missing {
        /// Section of the key.
        section: CompactString,
        /// Name of the key.
        key: CompactString,
        /// Form of a valid value.
        expected: CompactString,
    },
    /// A value is invalid for its key.
    #[error("key {key} of section [{section}] can't be {value}; write {expected}")]
    Invalid {
        /// Section of the key.
        section: CompactString,
        /// Name of the key.
        key: CompactString,
        /// Value in the file, in quotes; secrets are not shown.
        value: CompactString,
        /// Form of a valid value.
        expected: CompactString,
    },
}

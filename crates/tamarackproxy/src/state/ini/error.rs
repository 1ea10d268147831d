//! Errors in INI texts, with location, cause and remedy.

use std::fmt;

use displaydoc::Display;

/// What is wrong, and the remedy.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum IniErrorKind {
    /// the text is not INI: {0}; write section headers in brackets and key = value lines
    Syntax(Box<str>),
    /// the section is missing; add it
    MissingSection,
    /// the section's kind is unknown; use one of {accepted}{suggestion}
    UnknownSection { accepted: Box<str>, suggestion: Box<str> },
    /// the section's name is unusable: {0}
    BadName(Box<str>),
    /// the section stands twice; merge the two or rename one
    DuplicateSection,
    /// the key stands twice; remove one line
    DuplicateKey,
    /// the key is unknown{suggestion}; remove it or use one of {accepted}
    UnknownKey { accepted: Box<str>, suggestion: Box<str> },
    /// the key is missing; add it with {accepted}
    MissingKey { accepted: Box<str> },
    /// found {found:?}, accepted is {accepted}
    BadValue { found: Box<str>, accepted: Box<str> },
    /// found {found:?}, but there is no section [{kind} {found}]{suggestion}; add that section or correct the name
    NoSuchSection { found: Box<str>, kind: Box<str>, suggestion: Box<str> },
    /// {message}; {remedy}
    Inconsistent { message: Box<str>, remedy: Box<str> },
    /// the text has {found} bytes, accepted are at most {accepted}; remove what is no longer used
    TooLarge { found: usize, accepted: usize },
}

/// One error, with file, section and key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniError {
    /// Name of the file, if the text came from one.
    pub file: Option<Box<str>>,
    /// Header of the section, without brackets; empty for the whole text.
    pub section: Box<str>,
    /// The key, if the error concerns one.
    pub key: Option<Box<str>>,
    pub kind: IniErrorKind,
}

impl fmt::Display for IniError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{file}: ")?;
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if let Some(key) = &self.key {
            write!(f, "{key}: ")?;
        }
        write!(f, "{}", self.kind)
    }
}

impl std::error::Error for IniError {}

/// All errors of one text, at least one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniErrors(Vec<IniError>);

impl IniErrors {
    /// Returns `Err` if there are errors.
    pub fn check(errors: Vec<IniError>) -> Result<(), Self> {
        if errors.is_empty() { Ok(()) } else { Err(Self(errors)) }
    }

    /// Returns the errors in the order of the text.
    pub fn as_slice(&self) -> &[IniError] {
        &self.0
    }

    /// Sets the name of the file in each error.
    #[must_use]
    pub fn with_file<N>(mut self, file: N) -> Self
    where
        N: Into<Box<str>>,
    {
        let file = file.into();
        self.0.iter_mut().for_each(|error| error.file = Some(file.clone()));
        self
    }
}

impl fmt::Display for IniErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines = self.0.iter();
        if let Some(first) = lines.next() {
            write!(f, "{first}")?;
        }
        lines.try_for_each(|line| write!(f, "\n{line}"))
    }
}

impl std::error::Error for IniErrors {}

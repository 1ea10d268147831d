//! The text of the document, split into sections, with comments preserved.

use std::{collections::BTreeMap, fmt, str::FromStr};

use super::{SectionKind, SectionName};
use crate::state::{
    ids::TeamId,
    ini::{IniError, IniErrorKind, IniErrors, did_you_mean, read_sections},
};

use strum::VariantNames;

/// The texts of a document's sections, ordered by kind and name.
///
/// Text before the first header is discarded: it belongs to no section, and so
/// no team owns it.
///
/// ```
/// use tamarackproxy::state::document::DocumentText;
/// let text = DocumentText::parse("[document]\ndeployment = kigali\n").unwrap();
/// assert_eq!(text.sections().count(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentText {
    sections: BTreeMap<SectionName, Box<str>>,
}

fn header_of(line: &str) -> Option<&str> {
    line.trim().strip_prefix('[')?.strip_suffix(']').map(str::trim)
}

/// Parses a header such as `service booking`.
pub(super) fn parse_header(header: &str) -> Result<SectionName, IniErrorKind> {
    let (kind, name) = header.split_once(char::is_whitespace).unwrap_or((header, ""));
    let kind: SectionKind = kind.parse().map_err(|_| IniErrorKind::UnknownSection {
        accepted: SectionKind::VARIANTS.join(", ").into(),
        suggestion: did_you_mean(kind, SectionKind::VARIANTS.iter().copied()),
    })?;
    let name = name.trim();
    let is_valid = match kind {
        SectionKind::Document => name.is_empty(),
        _ => name.parse::<TeamId>().is_ok(),
    };
    if !is_valid {
        let message = match kind {
            SectionKind::Document => "[document] has no name; remove it".to_owned(),
            _ => {
                format!("found {name:?}; use 1 to 64 lower-case letters, digits, '-', '_' and '.'")
            }
        };
        return Err(IniErrorKind::BadName(message.into()));
    }
    Ok(SectionName { kind, name: name.into() })
}

impl DocumentText {
    /// Splits a text into sections.
    ///
    /// # Errors
    ///
    /// Returns an error for every header that is unknown, invalid or occurs
    /// twice.
    pub fn parse(text: &str) -> Result<Self, IniErrors> {
        let mut errors = Vec::new();
        let mut sections: BTreeMap<SectionName, String> = BTreeMap::new();
        let mut current = None;
        for line in text.lines() {
            match header_of(line) {
                Some(header) => current = Self::open(header, &mut sections, &mut errors),
                None => {
                    if let Some(body) = current.as_ref().and_then(|name| sections.get_mut(name)) {
                        body.push_str(line);
                        body.push('\n');
                    }
                }
            }
        }
        IniErrors::check(errors)?;
        let trimmed = |(name, body): (SectionName, String)| (name, body.trim().into());
        Ok(Self { sections: sections.into_iter().map(trimmed).collect() })
    }

    fn open(
        header: &str,
        sections: &mut BTreeMap<SectionName, String>,
        errors: &mut Vec<IniError>,
    ) -> Option<SectionName> {
        let kind = match parse_header(header) {
            Ok(name) if !sections.contains_key(&name) => {
                sections.insert(name.clone(), String::new());
                return Some(name);
            }
            Ok(_) => IniErrorKind::DuplicateSection,
            Err(kind) => kind,
        };
        errors.push(IniError { file: None, section: header.into(), key: None, kind });
        None
    }

    /// Returns the sections with their bodies, in order.
    pub fn sections(&self) -> impl Iterator<Item = (&SectionName, &str)> {
        self.sections.iter().map(|(name, body)| (name, &**body))
    }

    /// Returns the body of a section.
    pub fn section(&self, name: &SectionName) -> Option<&str> {
        self.sections.get(name).map(|body| &**body)
    }

    /// Replaces the body of a section, or removes the section.
    #[must_use]
    pub fn with_section(mut self, name: SectionName, body: Option<&str>) -> Self {
        match body {
            Some(body) => self.sections.insert(name, body.trim().into()),
            None => self.sections.remove(&name),
        };
        self
    }

    /// Returns the team that a section names as its owner.
    pub fn owner(&self, name: &SectionName) -> Option<TeamId> {
        Self::owner_of(self.section(name)?)
    }

    /// Returns the team that a section's body names as its owner.
    pub fn owner_of(body: &str) -> Option<TeamId> {
        let sections = read_sections(body).ok()?;
        let mut entries = sections.iter().flat_map(|section| &section.entries);
        let (_, owner) = entries.find(|(key, _)| &**key == "owner")?;
        owner.trim().parse().ok()
    }

    /// Returns the whole text with sections in order.
    pub fn to_text(&self) -> String {
        self.to_string()
    }
}

impl fmt::Display for DocumentText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.sections.iter().try_for_each(|(name, body)| write!(f, "[{name}]\n{body}\n\n"))
    }
}

impl FromStr for SectionName {
    type Err = IniErrorKind;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_header(text.trim())
    }
}

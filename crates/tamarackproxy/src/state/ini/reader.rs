//! Reads typed values from sections and collects all errors.

use std::{collections::BTreeSet, str::FromStr};

use ini::Ini;

use super::{IniError, IniErrorKind};

/// Least similarity (normalised Damerau-Levenshtein) of a name that is suggested.
const SUGGESTION_SIMILARITY: f64 = 0.7;

/// A section's header and its keys in the order of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawSection {
    /// Text between the brackets.
    pub header: Box<str>,
    /// Keys with their values.
    pub entries: Vec<(Box<str>, Box<str>)>,
}

/// Splits an INI text into sections; keys before the first header go into a
/// section with an empty header.
///
/// # Errors
///
/// Returns a syntax error with its location.
pub fn read_sections(text: &str) -> Result<Vec<RawSection>, IniError> {
    let ini = Ini::load_from_str_noescape(text).map_err(|error| IniError {
        file: None,
        section: "".into(),
        key: None,
        kind: IniErrorKind::Syntax(error.to_string().into()),
    })?;
    let section = |(header, properties): (Option<&str>, &ini::Properties)| RawSection {
        header: header.unwrap_or_default().into(),
        entries: properties.iter().map(|(key, value)| (key.into(), value.into())).collect(),
    };
    let is_used = |raw: &RawSection| !raw.header.is_empty() || !raw.entries.is_empty();
    Ok(ini.iter().map(section).filter(is_used).collect())
}

/// Returns a hint that names the closest of `known`, or an empty text if none is
/// similar.
pub(crate) fn did_you_mean<'a, I>(found: &str, known: I) -> Box<str>
where
    I: IntoIterator<Item = &'a str>,
{
    known
        .into_iter()
        .map(|name| (strsim::normalized_damerau_levenshtein(found, name), name))
        .filter(|&(similarity, _)| similarity >= SUGGESTION_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map_or_else(|| "".into(), |(_, name)| format!("; did you mean {name:?}?").into())
}

/// Reads typed values from one section.
pub struct SectionReader<'a> {
    header: Box<str>,
    entries: &'a [(Box<str>, Box<str>)],
    known: BTreeSet<&'static str>,
    errors: &'a mut Vec<IniError>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of `raw` that adds errors to `errors`.
    pub fn new(raw: &'a RawSection, errors: &'a mut Vec<IniError>) -> Self {
        Self { header: raw.header.clone(), entries: &raw.entries, known: BTreeSet::new(), errors }
    }

    /// Records an error of one key.
    pub fn error(&mut self, key: &str, kind: IniErrorKind) {
        let (section, key) = (self.header.clone(), Some(key.into()));
        self.errors.push(IniError { file: None, section, key, kind });
    }

    fn find(&mut self, key: &'static str) -> Option<&'a str> {
        self.known.insert(key);
        let mut values = self.entries.iter().filter(|(name, _)| &**name == key);
        let first = values.next().map(|(_, value)| value.trim());
        if values.next().is_some() {
            self.error(key, IniErrorKind::DuplicateKey);
        }
        first
    }

    fn convert<T>(&mut self, key: &str, found: &str, accepted: &str) -> Option<T>
    where
        T: FromStr,
    {
        let value = found.parse().ok();
        if value.is_none() {
            let (found, accepted) = (found.into(), accepted.into());
            self.error(key, IniErrorKind::BadValue { found, accepted });
        }
        value
    }

    /// Reads a required key.
    pub fn required<T>(&mut self, key: &'static str, accepted: &str) -> Option<T>
    where
        T: FromStr,
    {
        match self.find(key) {
            Some(found) => self.convert(key, found, accepted),
            None => {
                self.error(key, IniErrorKind::MissingKey { accepted: accepted.into() });
                None
            }
        }
    }

    /// Reads an optional key.
    pub fn optional<T>(&mut self, key: &'static str, accepted: &str) -> Option<T>
    where
        T: FromStr,
    {
        let found = self.find(key)?;
        self.convert(key, found, accepted)
    }

    /// Reads a key that has a default; also returns the default if the value is
    /// invalid, which is reported.
    pub fn or_default<T>(&mut self, key: &'static str, accepted: &str, default: T) -> T
    where
        T: FromStr,
    {
        self.optional(key, accepted).unwrap_or(default)
    }

    /// Reads a value that must be within a range; the key is required if there is
    /// no default.
    pub fn in_range<T>(
        &mut self,
        key: &'static str,
        range: std::ops::RangeInclusive<T>,
        default: Option<T>,
    ) -> Option<T>
    where
        T: FromStr + PartialOrd + std::fmt::Display,
    {
        let accepted = format!("a value from {} to {}", range.start(), range.end());
        let value = match default {
            Some(default) => self.or_default(key, &accepted, default),
            None => self.required(key, &accepted)?,
        };
        if !range.contains(&value) {
            let found = value.to_string().into();
            self.error(key, IniErrorKind::BadValue { found, accepted: accepted.into() });
            return None;
        }
        Some(value)
    }

    /// Reads a comma-separated list; a missing key is an empty list.
    pub fn list<T>(&mut self, key: &'static str, accepted: &str) -> Vec<T>
    where
        T: FromStr,
    {
        let Some(found) = self.find(key) else {
            return Vec::new();
        };
        let items = found.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.filter_map(|item| self.convert(key, item, accepted)).collect()
    }

    /// Reports keys that were not read, as unknown.
    pub fn finish(mut self) {
        let known = std::mem::take(&mut self.known);
        let accepted: Vec<&str> = known.iter().copied().collect();
        let unknown = self.entries.iter().filter(|(key, _)| !known.contains(&**key));
        for (key, _) in unknown {
            let suggestion = did_you_mean(key, known.iter().copied());
            let accepted = accepted.join(", ").into();
            self.error(key, IniErrorKind::UnknownKey { accepted, suggestion });
        }
    }
}

/// Reads one section; a missing section is read as empty, so that each of its
/// required keys is reported.
pub fn read_section<T, F>(
    sections: &[RawSection],
    header: &'static str,
    errors: &mut Vec<IniError>,
    read: F,
) -> Option<T>
where
    F: FnOnce(&mut SectionReader<'_>) -> Option<T>,
{
    let empty = RawSection { header: header.into(), entries: Vec::new() };
    let raw = sections.iter().find(|raw| &*raw.header == header).unwrap_or(&empty);
    let mut reader = SectionReader::new(raw, errors);
    let value = read(&mut reader);
    reader.finish();
    value
}

/// Reports sections with an unknown header and sections that occur twice.
pub fn check_sections(sections: &[RawSection], known: &[&str], errors: &mut Vec<IniError>) {
    let error =
        |section: &str, kind| IniError { file: None, section: section.into(), key: None, kind };
    for (index, raw) in sections.iter().enumerate() {
        if !known.contains(&&*raw.header) {
            let kind = IniErrorKind::UnknownSection {
                accepted: known.join(", ").into(),
                suggestion: did_you_mean(&raw.header, known.iter().copied()),
            };
            errors.push(error(&raw.header, kind));
        } else if sections[..index].iter().any(|other| other.header == raw.header) {
            errors.push(error(&raw.header, IniErrorKind::DuplicateSection));
        }
    }
}

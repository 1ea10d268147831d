//! Reader of INI texts that reports all errors instead of only the first.

mod error;
mod reader;

pub use self::error::{IniError, IniErrorKind, IniErrors};
pub(crate) use self::reader::did_you_mean;
pub use self::reader::{RawSection, SectionReader, check_sections, read_section, read_sections};

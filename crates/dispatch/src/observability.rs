//! Logging as JSON lines on standard output, with bounded memory and without
//! blocking.
//!
//! Lines are buffered in memory and written periodically by the event loop. If
//! the reader of the pipe is slow, lines are dropped and their number is logged
//! with the next line that is accepted.

use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
};

use anyhow::Result as AnyResult;
use displaydoc::Display;
use log::{Record, kv};
use log4rs::{
    append::Append,
    config::{Appender, Config, Root},
};
use serde::ser::{Serialize, SerializeMap, Serializer};
use serde_json::ser::CompactFormatter;

/// Target of lines that say how a caller's work ended. They are not counted
/// against the rate limit.
pub const OUTCOME_TARGET: &str = "outcome";

/// Buffered bytes from which on further lines are dropped.
const BUFFER_MAX_BYTES: usize = 64 << 10;
/// The same for warnings and outcomes.
const IMPORTANT_MAX_BYTES: usize = 256 << 10;
/// Maximum size of one write: a pipe writes up to this size (`PIPE_BUF`)
/// atomically.
const CHUNK_BYTES: usize = 4_096;
/// Lines per second from which on lines below the level of warnings are dropped.
/// Twice what the controller of a pool of a dozen workers writes in a load surge.
const LINES_PER_SECOND: u32 = 800;

/// Reasons why logging cannot be set up.
#[derive(Debug, Display)]
pub enum LoggingError {
    /// standard output cannot be made non-blocking: {0}; start the process with an open standard output
    Output(io::Error),
    /// the log settings cannot be used: {0}; correct the level
    Settings(Box<str>),
    /// a logger is already installed; set up logging only once for each process
    Installed,
}

impl std::error::Error for LoggingError {}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    second: u64,
    lines: u32,
}

/// Buffer of log lines that are yet to be written.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    buffer: Arc<Mutex<Buffer>>,
}

type LineMap<'a> = serde_json::ser::Compound<'a, &'a mut Vec<u8>, CompactFormatter>;

/// Writes the pairs of a record as fields of a line.
struct Fields<'a, 'b>(&'b mut LineMap<'a>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_, '_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let key = key.as_str();
        let written = match (value.to_u64(), value.to_bool(), value.to_f64()) {
            (Some(number), ..) => self.0.serialize_entry(key, &number),
            (None, Some(flag), _) => self.0.serialize_entry(key, &flag),
            (None, None, Some(number)) => self.0.serialize_entry(key, &number),
            _ => self.0.serialize_entry(key, &Text(&value)),
        };
        written.map_err(kv::Error::boxed)
    }
}

/// Serializes a value as the text that it displays.
struct Text<'a, T>(&'a T);

impl<T> Serialize for Text<'_, T>
where
    T: std::fmt::Display,
{
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self.0)
    }
}

/// Appends a record as one JSON object.
fn write_line(
    bytes: &mut Vec<u8>,
    unix_ms: u64,
    record: &Record<'_>,
    dropped: u64,
) -> Result<(), serde_json::Error> {
    let mut serializer = serde_json::Serializer::new(bytes);
    let mut line = serializer.serialize_map(None)?;
    line.serialize_entry("unix_ms", &unix_ms)?;
    line.serialize_entry("level", record.level().as_str())?;
    line.serialize_entry("message", &Text(record.args()))?;
    if dropped > 0 {
        line.serialize_entry("dropped_lines", &dropped)?;
    }
    // A pair that cannot be formatted is missing from the line.
    let _ = record.key_values().visit(&mut Fields(&mut line));
    line.end()
}

fn unix_ms() -> u64 {
    crate::node::clock::read().unix_ms
}

impl LogBuffer {
    /// Appends a record as one line, or counts it as dropped if a limit is
    /// exceeded.
    fn push(&self, record: &Record<'_>) {
        let unix_ms = unix_ms();
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let second = unix_ms / 1_000;
        if buffer.second != second {
            buffer.second = second;
            buffer.lines = 0;
        }
        let is_important = record.level() <= log::Level::Warn || record.target() == OUTCOME_TARGET;
        if !is_important {
            buffer.lines += 1;
        }
        let max_bytes = if is_important { IMPORTANT_MAX_BYTES } else { BUFFER_MAX_BYTES };
        if (!is_important && buffer.lines > LINES_PER_SECOND) || buffer.bytes.len() >= max_bytes {
            buffer.dropped += 1;
            return;
        }
        let (begin, dropped) = (buffer.bytes.len(), buffer.dropped);
        match write_line(&mut buffer.bytes, unix_ms, record, dropped) {
            Ok(()) => {
                buffer.bytes.push(b'\n');
                buffer.dropped = 0;
            }
            // A line must not stay in the buffer in part.
            Err(_) => {
                buffer.bytes.truncate(begin);
                buffer.dropped += 1;
            }
        }
    }

    /// Writes as much as the pipe accepts without blocking.
    pub fn flush(&self) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        while !buffer.bytes.is_empty() {
            let end = chunk_end(&buffer.bytes);
            // SAFETY: the pointer and the length describe initialized bytes of
            // `buffer`, which is locked during the call.
            let written =
                unsafe { libc::write(libc::STDOUT_FILENO, buffer.bytes.as_ptr().cast(), end) };
            match usize::try_from(written) {
                Ok(written) if written > 0 => drop(buffer.bytes.drain(..written)),
                _ => break,
            }
        }
    }
}

/// Returns the end of the next chunk: after the last whole line that fits, or
/// within a line that is longer than a chunk.
fn chunk_end(bytes: &[u8]) -> usize {
    let end = bytes.len().min(CHUNK_BYTES);
    bytes[..end].iter().rposition(|&byte| byte == b'\n').map_or(end, |at| at + 1)
}

impl Append for LogBuffer {
    fn append(&self, record: &Record<'_>) -> AnyResult<()> {
        self.push(record);
        Ok(())
    }

    fn flush(&self) {
        Self::flush(self);
    }
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Returns [`LoggingError`] if standard output cannot be used or a logger is
/// already installed.
pub fn init_logging(level: log::LevelFilter) -> Result<LogBuffer, LoggingError> {
    set_non_blocking()?;
    let buffer = LogBuffer::default();
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(buffer.clone())))
        .build(Root::builder().appender("stdout").build(level))
        .map_err(|error| LoggingError::Settings(error.to_string().into()))?;
    log4rs::init_config(config).map_err(|_| LoggingError::Installed)?;
    log::logger().flush();
    Ok(buffer)
}

fn set_non_blocking() -> Result<(), LoggingError> {
    // SAFETY: both calls take a descriptor and flags and access no memory.
    let result = unsafe {
        let flags = libc::fcntl(libc::STDOUT_FILENO, libc::F_GETFL);
        if flags < 0 {
            flags
        } else {
            libc::fcntl(libc::STDOUT_FILENO, libc::F_SETFL, flags | libc::O_NONBLOCK)
        }
    };
    if result < 0 { Err(LoggingError::Output(io::Error::last_os_error())) } else { Ok(()) }
}

//! Resident memory of an entry host per idle caller connection.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use anyhow::Context;

use super::{BENCH, Figure};

/// Numbers of connections to measure.
const CONNECTIONS: [usize; 2] = [1_000, 10_000];
/// File descriptors reserved for everything else. Each connection takes two, one at
/// each end.
const OTHER_DESCRIPTORS: usize = 500;
/// Delay between the last connection and the reading of the memory.
const SETTLE: Duration = Duration::from_millis(500);
/// Time after which a response is given up.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens connections that send one request and then stay idle, and returns the
/// memory per connection.
pub(super) fn measure(address: SocketAddr) -> anyhow::Result<Vec<Figure>> {
    let fitting = descriptors()?.saturating_sub(OTHER_DESCRIPTORS) / 2;
    let (mut connections, mut figures) = (Vec::new(), Vec::new());
    let before = resident_bytes()?;
    for wanted in CONNECTIONS {
        let count = wanted.min(fitting);
        while connections.len() < count {
            connections.push(open(address)?);
        }
        thread::sleep(SETTLE);
        let each = (resident_bytes()? - before) / count as f64;
        let limited = if count < wanted {
            format!(", {wanted} do not fit the limit of file descriptors")
        } else {
            String::new()
        };
        let name = format!("memory per connection at {count} idle connections{limited}");
        figures.push(Figure::new(BENCH, name, each, "bytes"));
        let name = format!("of {count} idle connections, open at the end");
        let open = connections.iter().filter(|connection| is_open(connection)).count();
        figures.push(Figure::new(BENCH, name, open as f64, "count"));
    }
    Ok(figures)
}

/// Opens a connection and sends a request for an unknown service, which no target
/// receives.
fn open(address: SocketAddr) -> anyhow::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    stream.write_all(format!("GET /call/none/ HTTP/1.1\r\nhost: {address}\r\n\r\n").as_bytes())?;
    let mut response = [0; 2_048];
    let read = stream.read(&mut response)?;
    anyhow::ensure!(read > 0, "the entry host closed a connection without a response");
    stream.set_nonblocking(true)?;
    Ok(stream)
}

/// Returns whether the peer has not closed the connection.
fn is_open(stream: &TcpStream) -> bool {
    !matches!(stream.peek(&mut [0]), Ok(0))
}

fn resident_bytes() -> anyhow::Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    let kilobytes: f64 = kilobytes.context("no VmRSS in /proc/self/status")?.parse()?;
    Ok(kilobytes * 1_024.0)
}

fn descriptors() -> anyhow::Result<usize> {
    let limits = fs::read_to_string("/proc/self/limits")?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().next());
    Ok(soft.context("no limit of open files in /proc/self/limits")?.parse()?)
}

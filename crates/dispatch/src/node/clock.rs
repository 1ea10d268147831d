//! Readings of the clocks.

use tamarackproxy::state::clock::ClockReading;

fn read_clock(clock: libc::clockid_t) -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is valid for writes; both clocks exist on every Linux.
    unsafe { libc::clock_gettime(clock, &raw mut time) };
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Reads both clocks. The monotonic one counts the time for which the machine
/// was suspended, so leases that ended meanwhile are noticed.
pub fn read() -> ClockReading {
    ClockReading::new(read_clock(libc::CLOCK_BOOTTIME), read_clock(libc::CLOCK_REALTIME))
}

//! System clocks.

use tamarackproxy::state::clock::ClockReading;

fn read_clock(clock: libc::clockid_t) -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is valid for writes; both clocks exist on every Linux system.
    unsafe { libc::clock_gettime(clock, &raw mut time) };
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Reads the monotonic and the wall clock. The monotonic clock includes time
/// during which the machine was suspended, so that leases which ended in that
/// time are recognized as expired.
pub fn read() -> ClockReading {
    ClockReading::new(read_clock(libc::CLOCK_BOOTTIME), read_clock(libc::CLOCK_REALTIME))
}

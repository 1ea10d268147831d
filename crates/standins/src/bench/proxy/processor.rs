//! CPU time of this process and of one of its threads.

use std::{collections::HashMap, fs};

use anyhow::Context;

/// CPU time of each thread since its start, in nanoseconds, and whether the thread
/// has the requested name.
pub(super) struct CpuTime {
    threads: HashMap<String, (bool, u64)>,
}

/// CPU time between two readings, in seconds.
pub(super) struct Used {
    pub(super) process_s: f64,
    pub(super) thread_s: f64,
}

impl CpuTime {
    /// Reads the CPU times of all threads; `name` selects the threads of
    /// [`Used::thread_s`].
    pub(super) fn read(name: &str) -> anyhow::Result<Self> {
        let mut threads = HashMap::new();
        for entry in fs::read_dir("/proc/self/task").context("/proc/self/task cannot be read")? {
            let path = entry?.path();
            // The files of a thread disappear when it ends.
            let Ok(comm) = fs::read_to_string(path.join("comm")) else { continue };
            let Ok(times) = fs::read_to_string(path.join("schedstat")) else { continue };
            let time_ns = times
                .split_whitespace()
                .next()
                .context("schedstat of a thread is empty")?
                .parse()?;
            let key = path.to_string_lossy().into_owned();
            threads.insert(key, (comm.trim_end() == name, time_ns));
        }
        Ok(Self { threads })
    }

    pub(super) fn since(&self, before: &Self) -> Used {
        let mut used = Used { process_s: 0.0, thread_s: 0.0 };
        for (thread, (is_named, now_ns)) in &self.threads {
            let before_ns = before.threads.get(thread).map_or(0, |(_, time_ns)| *time_ns);
            let time_s = now_ns.saturating_sub(before_ns) as f64 / 1e9;
            used.process_s += time_s;
            used.thread_s += if *is_named { time_s } else { 0.0 };
        }
        used
    }
}

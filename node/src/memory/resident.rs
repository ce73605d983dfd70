//! How much memory the process takes, as the system reports it.

/// Bytes of resident memory; none if the system does not report them.
pub fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: usize = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes * 1024)
}

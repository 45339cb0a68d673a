//! Memory of the process as the kernel accounts it.

/// Returns the resident memory of the process in bytes. `None` where the kernel doesn't tell it.
///
/// Reads `VmRSS` of `/proc/self/status`, which is in kB whatever the page size.
pub fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: usize = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib * 1_024)
}

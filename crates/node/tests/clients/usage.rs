//! Reads what a process uses, as the kernel accounts it.

use crate::process::Process;

/// Returns the largest memory that the process has had resident, in MiB.
pub fn peak_memory_mb(process: &Process) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()));
    let status = status.expect("the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|text| text.trim().strip_suffix(" kB"));
    kib.and_then(|text| text.parse::<u64>().ok()).expect("the peak memory in kB") / 1_024
}

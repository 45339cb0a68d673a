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

/// Returns the number of descriptors that the process has open.
pub fn open_descriptors(process: &Process) -> usize {
    let entries = std::fs::read_dir(format!("/proc/{}/fd", process.id()));
    entries.expect("the descriptors of the process").count()
}

/// Returns the number of bytes that callers have sent and the process has not read.
pub fn unread_bytes(process: &Process) -> u64 {
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the sockets of the machine");
    let local = format!(":{:04X}", process.callers().port());
    let unread = sockets.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next()?.ends_with(&local);
        // Of a socket that listens, the queue holds connections.
        let (_, state, queues) = (fields.next()?, fields.next()?, fields.next()?);
        let (_, received) = queues.split_once(':')?;
        let bytes = u64::from_str_radix(received, 16).ok()?;
        (is_local && state != "0A").then_some(bytes)
    });
    unread.sum()
}

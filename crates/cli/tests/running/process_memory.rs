//! Resident memory of a process, from `/proc`.
#![allow(dead_code)] // not every test binary uses all of it

/// What the program's file takes in a build of the deploy file. The file of a build with debug assertions is larger.
const PROGRAM_BYTES: u64 = 7_000_000;

/// Memory of a process without the pages of files, in bytes.
///
/// # Panics
/// If the process does not run.
pub fn anonymous_bytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("the process runs");
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
}

/// Resident memory of a process, as if it ran a build of the deploy file, in bytes.
pub fn resident_bytes(process: u32) -> u64 {
    anonymous_bytes(process) + PROGRAM_BYTES
}

//! The memory of the process, as the system counts it.

const STATUS_FILE: &str = "/proc/self/status";
const BYTES_PER_KIB: usize = 1024;

/// The resident memory of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessMemory {
    /// Memory that belongs to no file.
    pub anonymous_bytes: usize,
    /// Pages of files, such as the program.
    pub file_bytes: usize,
}

impl ProcessMemory {
    /// Reads the memory of this process; `None` if the system does not tell it.
    pub fn read() -> Option<ProcessMemory> {
        ProcessMemory::parse(&std::fs::read_to_string(STATUS_FILE).ok()?)
    }

    /// Parses the text of a status file.
    pub(super) fn parse(status: &str) -> Option<ProcessMemory> {
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            let kib: usize = line.split_whitespace().next()?.parse().ok()?;
            Some(kib * BYTES_PER_KIB)
        };
        Some(ProcessMemory { anonymous_bytes: field("RssAnon:")?, file_bytes: field("RssFile:")? })
    }

    /// Returns all resident memory.
    pub fn resident_bytes(&self) -> usize {
        self.anonymous_bytes + self.file_bytes
    }
}

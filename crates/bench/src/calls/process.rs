//! Figures that the kernel reports in `/proc`.

use std::fs;

/// Number of established IPv4 TCP connections of the process `pid`.
pub(super) fn count_connections(pid: u32) -> Option<usize> {
    let established = established_inodes(pid)?;
    let mut open = 0;
    for fd in fs::read_dir(format!("/proc/{pid}/fd")).ok()? {
        let Ok(link) = fs::read_link(fd.ok()?.path()) else {
            continue;
        };
        let link = link.to_string_lossy().into_owned();
        let inode = link.strip_prefix("socket:[");
        let inode = inode.and_then(|rest| rest.strip_suffix(']'));
        if inode.is_some_and(|inode| established.iter().any(|known| known == inode)) {
            open += 1;
        }
    }
    Some(open)
}

/// The machine's load average over one, five and fifteen minutes.
pub(crate) fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let parts: Vec<&str> = text.split_whitespace().take(3).collect();
    parts.join(" ")
}

fn established_inodes(pid: u32) -> Option<Vec<String>> {
    /// State of an established connection in `/proc/{pid}/net/tcp`.
    const ESTABLISHED: &str = "01";
    let table = fs::read_to_string(format!("/proc/{pid}/net/tcp")).ok()?;
    let rows = table.lines().skip(1);
    let fields = rows.map(|row| row.split_whitespace().collect::<Vec<_>>());
    let open = fields.filter(|fields| fields.get(3) == Some(&ESTABLISHED));
    Some(
        open.filter_map(|fields| fields.get(9).map(|inode| (*inode).to_owned()))
            .collect(),
    )
}

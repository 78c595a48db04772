//! Bytes that wait in the socket buffers of loopback connections, from `/proc/net/tcp`.

use std::net::Ipv4Addr;

/// State of an established connection.
const ESTABLISHED: &str = "01";

/// Bytes that clients have sent on established connections to `ip` and that are not read yet.
pub fn unread_bytes(ip: Ipv4Addr) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the connections can be listed");
    let address = format!("{:08X}:", u32::from_le_bytes(ip.octets()));
    let queues = table.lines().filter_map(|line| {
        let mut columns = line.split_whitespace().skip(1);
        let (local, remote, state) = (columns.next()?, columns.next()?, columns.next()?);
        let (unsent, unread) = columns.next()?.split_once(':')?;
        let size = |queue| u64::from_str_radix(queue, 16).unwrap_or(0);
        let from_client = if remote.starts_with(&address) { size(unsent) } else { 0 };
        let at_server = if local.starts_with(&address) { size(unread) } else { 0 };
        (state == ESTABLISHED).then_some(from_client + at_server)
    });
    queues.sum()
}

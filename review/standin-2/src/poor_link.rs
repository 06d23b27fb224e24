//! Connections with the small segments and buffers of a poor link.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::os::fd::FromRawFd;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Bytes of a segment, as on Ethernet. The loopback interface has 64 KB, and a sender's
/// buffer grows with it.
const SEGMENT_BYTES: i32 = 1_448;

/// The receive buffer, in bytes.
const RECEIVE_BYTES: i32 = 4 * 1024;

/// An IPv4 socket address of the system.
#[repr(C)]
struct SockAddr {
    family: u16,
    port: [u8; 2],
    addr: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, addr: *const SockAddr, len: u32) -> i32;
}

/// Opens a connection.
pub fn open(addr: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(addr) = addr else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: The call has no pointers.
    let fd = unsafe { socket(AF_INET, SOCK_STREAM, 0) };
    check(fd)?;
    // SAFETY: The descriptor is new and has no other owner.
    let stream = unsafe { TcpStream::from_raw_fd(fd) };
    set(fd, SOL_SOCKET, SO_RCVBUF, RECEIVE_BYTES)?;
    set(fd, IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES)?;
    let peer = to_system(addr);
    // SAFETY: The address lives during the call, and the length is its own.
    check(unsafe { connect(fd, &peer, size_of::<SockAddr>() as u32) })?;
    Ok(stream)
}

fn set(fd: i32, level: i32, name: i32, value: i32) -> io::Result<()> {
    // SAFETY: The value lives during the call, and the length is its own.
    check(unsafe { setsockopt(fd, level, name, &value, size_of::<i32>() as u32) })
}

fn to_system(addr: SocketAddrV4) -> SockAddr {
    SockAddr {
        family: AF_INET as u16,
        port: addr.port().to_be_bytes(),
        addr: addr.ip().octets(),
        zero: [0; 8],
    }
}

fn check(result: i32) -> io::Result<()> {
    match result < 0 {
        true => Err(io::Error::last_os_error()),
        false => Ok(()),
    }
}

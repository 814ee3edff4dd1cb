//! Connections of clients that are not on the gateway's own host.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::time::Duration;

/// Segment size of Ethernet.
const SEGMENT_BYTES: i32 = 1_460;

/// Receive buffer of the client.
const RECEIVE_BUFFER_BYTES: i32 = 4 << 10;

#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    host: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const Address, length: u32) -> i32;
}

/// Connects with the segment size of Ethernet and a small receive buffer, so that the kernel buffers
/// what it does on a link between two machines, and not the megabytes of a loopback connection.
pub fn connect_over_a_link(to: SocketAddr) -> io::Result<TcpStream> {
    let address =
        Address { family: 2, port: to.port().to_be_bytes(), host: [127, 0, 0, 1], zero: [0; 8] };
    let length = size_of::<i32>() as u32;
    // SAFETY: plain system calls; the pointers are to values that live until they return.
    let client = unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let client = TcpStream::from_raw_fd(fd);
        // SO_RCVBUF at the level of sockets, TCP_MAXSEG at that of TCP.
        if setsockopt(fd, 1, 8, &RECEIVE_BUFFER_BYTES, length) != 0
            || setsockopt(fd, 6, 2, &SEGMENT_BYTES, length) != 0
            || connect(fd, &address, size_of::<Address>() as u32) != 0
        {
            return Err(io::Error::last_os_error());
        }
        client
    };
    client.set_read_timeout(Some(Duration::from_secs(3)))?;
    Ok(client)
}

//! Opens non-blocking TCP sockets.
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use stonegw_constants::LISTEN_BACKLOG;

/// Error number of Linux for a connection attempt that is in progress on a non-blocking socket.
const EINPROGRESS: i32 = 115;

fn open_socket(addr: SocketAddr) -> io::Result<Socket> {
    Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))
}

/// Opens a listening socket.
pub(super) fn open_listener(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = open_socket(addr)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Starts a connection attempt. A write event signals its end.
pub(super) fn start_connect(addr: &str) -> io::Result<TcpStream> {
    let addr: SocketAddr = addr
        .parse()
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "not an IP address and port"))?;
    let socket = open_socket(addr)?;
    socket.set_nonblocking(true)?;
    let _ = socket.set_tcp_nodelay(true);
    match socket.connect(&addr.into()) {
        Ok(()) => {}
        Err(error) if is_in_progress(&error) => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}

fn is_in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(EINPROGRESS) || error.kind() == io::ErrorKind::WouldBlock
}

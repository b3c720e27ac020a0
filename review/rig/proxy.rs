//! A TCP proxy for one link, which passes or holds back what goes through it.
//!
//! While it holds, nothing passes in either direction; what was sent on open connections, their ends
//! included, is delivered in order afterwards. New connections do not come about: the queue of the
//! listening socket is full, so that an attempt hangs, as behind a cut.
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

const PASS: u8 = 0;
const HOLD: u8 = 1;

pub struct Proxy {
    pub addr: String,
    mode: Arc<AtomicU8>,
    listener: TcpListener,
    fillers: Mutex<Vec<TcpStream>>,
}

fn wait_while_held(mode: &AtomicU8) {
    while mode.load(Ordering::SeqCst) == HOLD {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Reads on while the link holds, so that nothing is lost when the sender gives up meanwhile.
fn read_into_queue(mut from: TcpStream) -> Receiver<Vec<u8>> {
    let (sender, receiver) = channel();
    thread::spawn(move || {
        let mut chunk = [0u8; 65536];
        while let Ok(n) = from.read(&mut chunk) {
            if n == 0 || sender.send(chunk[..n].to_vec()).is_err() {
                return;
            }
        }
    });
    receiver
}

fn pump(from: TcpStream, mut to: TcpStream, mode: Arc<AtomicU8>) {
    thread::spawn(move || {
        let queue = read_into_queue(from);
        for bytes in queue {
            wait_while_held(&mode);
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        wait_while_held(&mode);
        let _ = to.shutdown(Shutdown::Both);
    });
}

impl Proxy {
    pub fn new(target: &str) -> Arc<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address").to_string();
        let mode = Arc::new(AtomicU8::new(PASS));
        let proxy = Arc::new(Proxy {
            addr,
            mode,
            listener,
            fillers: Mutex::new(vec![]),
        });
        let (accepting, target) = (
            proxy.clone(),
            target.parse::<SocketAddr>().expect("an address"),
        );
        thread::spawn(move || accepting.accept(target));
        proxy
    }

    fn accept(&self, target: SocketAddr) {
        self.listener.set_nonblocking(true).expect("a socket");
        loop {
            if self.mode.load(Ordering::SeqCst) == HOLD {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            match self.listener.accept() {
                Ok((client, from)) => {
                    let is_filler = |filler: &TcpStream| filler.local_addr().ok() == Some(from);
                    if self.mode.load(Ordering::SeqCst) != PASS
                        || self.fillers.lock().unwrap().iter().any(is_filler)
                    {
                        continue;
                    }
                    let _ = client.set_nonblocking(false);
                    let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_secs(1))
                    else {
                        continue;
                    };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    if let (Ok(client2), Ok(server2)) = (client.try_clone(), server.try_clone()) {
                        pump(client, server, self.mode.clone());
                        pump(server2, client2, self.mode.clone());
                    }
                }
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Holds back everything from now on.
    pub fn hold(&self) {
        self.mode.store(HOLD, Ordering::SeqCst);
        // SAFETY: the socket is open and listens already; only its queue gets shorter.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let addr = self.addr.parse().expect("an address");
        for _ in 0..4 {
            match TcpStream::connect_timeout(&addr, Duration::from_millis(50)) {
                Ok(filler) => self.fillers.lock().unwrap().push(filler),
                Err(_) => break,
            }
        }
    }

    /// Passes everything again, what was held back first.
    pub fn pass(&self) {
        // SAFETY: as in `hold`.
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        self.mode.store(PASS, Ordering::SeqCst);
    }
}

//! TCP proxy whose open channels can go silent for good, without a reset, while new ones work, and
//! which can cut the link.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Channel through the proxy.
#[derive(Debug)]
pub struct Channel {
    pub is_silent: AtomicBool,
    /// Latest request that was passed on: when, and its first bytes.
    pub latest: Mutex<Option<(Instant, String)>>,
    /// Whether the latest request has an answer.
    pub is_idle: AtomicBool,
    pub is_closed: AtomicBool,
    ends: Vec<TcpStream>,
}

/// Proxy that works in threads of its own.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    channels: Arc<Mutex<Vec<Arc<Channel>>>>,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let address = listener.local_addr().expect("a bound listener has an address");
        let channels: Arc<Mutex<Vec<Arc<Channel>>>> = Arc::default();
        let known = channels.clone();
        let is_cut: Arc<AtomicBool> = Arc::default();
        let is_silent_at_once = is_cut.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let channel = Arc::new(Channel {
                    is_silent: AtomicBool::new(is_silent_at_once.load(Ordering::Relaxed)),
                    latest: Mutex::new(None),
                    is_idle: AtomicBool::new(true),
                    is_closed: AtomicBool::new(false),
                    ends: [client.try_clone(), server.try_clone()].into_iter().flatten().collect(),
                });
                known.lock().expect("no writer panics").push(channel.clone());
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else { continue };
                let requests = channel.clone();
                std::thread::spawn(move || pump(from, to, &requests, true));
                std::thread::spawn(move || pump(server, client, &channel, false));
            }
        });
        Self { address, channels, is_cut }
    }

    /// Cuts the link silently: what is sent over open or new channels is lost.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
        for channel in self.open_channels() {
            channel.is_silent.store(true, Ordering::Relaxed);
        }
    }

    /// Ends the cut. The channels of before and of the cut are reset; new ones work.
    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::Relaxed);
        for channel in self.open_channels() {
            if channel.is_silent.load(Ordering::Relaxed) {
                channel.is_closed.store(true, Ordering::Relaxed);
                for end in &channel.ends {
                    let _ = end.shutdown(Shutdown::Both);
                }
            }
        }
    }

    /// Channels that are open now.
    pub fn open_channels(&self) -> Vec<Arc<Channel>> {
        let channels = self.channels.lock().expect("no writer panics");
        let is_open = |channel: &&Arc<Channel>| !channel.is_closed.load(Ordering::Relaxed);
        channels.iter().filter(is_open).cloned().collect()
    }
}

impl Channel {
    /// Age of the latest request, and its first line.
    pub fn latest(&self) -> Option<(Duration, String)> {
        let latest = self.latest.lock().expect("no writer panics");
        latest.as_ref().map(|(at, line)| (at.elapsed(), line.clone()))
    }
}

/// Passes bytes on until the channel is silent; from then on it reads and drops them.
fn pump(mut from: TcpStream, mut to: TcpStream, channel: &Channel, is_request: bool) {
    let mut buffer = [0; 16384];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        if channel.is_silent.load(Ordering::Relaxed) {
            // Neither bytes nor the end of the channel pass any more.
            if count == 0 {
                return;
            }
            continue;
        }
        if count == 0 {
            channel.is_closed.store(true, Ordering::Relaxed);
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
        if is_request {
            let line = String::from_utf8_lossy(&buffer[..count.min(120)]).into_owned();
            let line = line.lines().next().unwrap_or_default().to_owned();
            *channel.latest.lock().expect("no writer panics") = Some((Instant::now(), line));
            channel.is_idle.store(false, Ordering::Relaxed);
        } else {
            channel.is_idle.store(true, Ordering::Relaxed);
        }
        if to.write_all(&buffer[..count]).is_err() {
            channel.is_closed.store(true, Ordering::Relaxed);
            return;
        }
    }
}

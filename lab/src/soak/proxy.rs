//! A fault-injecting TCP proxy between an instance and the store.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rand::Rng;
use rand::rngs::SmallRng;
use smol::LocalExecutor;
use smol::net::{TcpListener, TcpStream};

/// Interval at which connections, idle ones too, check whether they have to be closed.
const MODE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Size of the copy buffer.
const BUFFER_BYTES: usize = 16 << 10;

/// How the proxy treats connections. The names go to the log through `Debug`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards all bytes.
    #[default]
    Whole,
    /// Forwards bytes after a delay.
    Delays(Duration),
    /// Closes all connections.
    Resets,
    /// Drops what the instance sends.
    LosesCalls,
    /// Drops what the store sends.
    LosesAnswers,
    /// Keeps connections open and drops everything.
    Silent,
    /// Drops everything on connections that are older, for good; newer ones work.
    SilentBefore(Instant),
}

/// The mode, shared with the connections of the proxy.
pub type SharedLinkMode = Rc<Cell<LinkMode>>;

/// Picks a random failing mode.
pub fn random_link_mode(rng: &mut SmallRng) -> LinkMode {
    match rng.random_range(0..5) {
        0 => LinkMode::Delays(Duration::from_millis(rng.random_range(50..900))),
        1 => LinkMode::Resets,
        2 => LinkMode::LosesCalls,
        3 => LinkMode::LosesAnswers,
        _ => LinkMode::Silent,
    }
}

/// Accepts connections at `from` and forwards them to `to`, until an error occurs.
///
/// # Errors
///
/// Fails if the address cannot be bound or a connection cannot be accepted.
pub async fn run(
    ex: Rc<LocalExecutor<'static>>,
    from: SocketAddr,
    to: SocketAddr,
    mode: SharedLinkMode,
) -> io::Result<()> {
    let listener = TcpListener::bind(from).await?;
    loop {
        let (client, _) = listener.accept().await?;
        if mode.get() != LinkMode::Resets {
            ex.spawn(forward(client, to, Rc::clone(&mode))).detach();
        }
    }
}

async fn forward(client: TcpStream, to: SocketAddr, mode: SharedLinkMode) {
    let opened = Instant::now();
    // The end of either direction closes both; the instance sees a broken connection.
    if let Ok(server) = TcpStream::connect(to).await {
        let requests = copy(client.clone(), server.clone(), &mode, LinkMode::LosesCalls, opened);
        let responses = copy(server, client, &mode, LinkMode::LosesAnswers, opened);
        let _ = requests.or(responses).or(wait_for_reset(&mode)).await;
    }
}

async fn wait_for_reset(mode: &SharedLinkMode) -> io::Result<()> {
    while mode.get() != LinkMode::Resets {
        smol::Timer::after(MODE_CHECK_INTERVAL).await;
    }
    Ok(())
}

fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    mode: &SharedLinkMode,
    losing: LinkMode,
    opened: Instant,
) -> impl Future<Output = io::Result<()>> {
    let mode = Rc::clone(mode);
    async move {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            let len = from.read(&mut buf).await?;
            if len == 0 {
                return Ok(());
            }
            match mode.get() {
                mode if mode == losing || mode == LinkMode::Silent => continue,
                LinkMode::SilentBefore(time) if opened < time => continue,
                LinkMode::Delays(delay) => {
                    smol::Timer::after(delay).await;
                }
                _ => {}
            }
            to.write_all(&buf[..len]).await?;
        }
    }
}

//! A proxy between an instance and the store, which harms connections.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rand::Rng;
use rand::rngs::SmallRng;
use smol::LocalExecutor;
use smol::net::{TcpListener, TcpStream};

/// Time between two looks at the mode of connections that carry nothing.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Bytes that are carried at once.
const CHUNK: usize = 16 << 10;

/// What the proxy does to connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// It carries all bytes.
    #[default]
    Whole,
    /// It carries bytes late.
    Delays(Duration),
    /// It closes all connections.
    Resets,
    /// It drops what the instance sends.
    LosesCalls,
    /// It drops what the store sends.
    LosesAnswers,
    /// It keeps connections open and drops everything.
    Silent,
}

/// The mode as the connections share it.
pub type SharedMode = Rc<Cell<LinkMode>>;

/// Draws a harm.
pub fn draw_link(rng: &mut SmallRng) -> LinkMode {
    match rng.random_range(0..5) {
        0 => LinkMode::Delays(Duration::from_millis(rng.random_range(50..900))),
        1 => LinkMode::Resets,
        2 => LinkMode::LosesCalls,
        3 => LinkMode::LosesAnswers,
        _ => LinkMode::Silent,
    }
}

/// Carries connections from one address to another for good.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn carry(
    ex: Rc<LocalExecutor<'static>>,
    from: SocketAddr,
    to: SocketAddr,
    mode: SharedMode,
) -> io::Result<()> {
    let listener = TcpListener::bind(from).await?;
    loop {
        let (near, _) = listener.accept().await?;
        if mode.get() != LinkMode::Resets {
            ex.spawn(connect(near, to, Rc::clone(&mode))).detach();
        }
    }
}

async fn connect(near: TcpStream, to: SocketAddr, mode: SharedMode) {
    // An end of either way closes both; the instance sees that as any broken connection.
    if let Ok(far) = TcpStream::connect(to).await {
        let calls = pump(near.clone(), far.clone(), &mode, LinkMode::LosesCalls);
        let answers = pump(far, near, &mode, LinkMode::LosesAnswers);
        let _ = calls.or(answers).or(reset(&mode)).await;
    }
}

async fn reset(mode: &SharedMode) -> io::Result<()> {
    while mode.get() != LinkMode::Resets {
        smol::Timer::after(LOOK_EVERY).await;
    }
    Ok(())
}

fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    mode: &SharedMode,
    loses: LinkMode,
) -> impl Future<Output = io::Result<()>> {
    let mode = Rc::clone(mode);
    async move {
        let mut buf = vec![0; CHUNK];
        loop {
            let len = from.read(&mut buf).await?;
            if len == 0 {
                return Ok(());
            }
            match mode.get() {
                mode if mode == loses || mode == LinkMode::Silent => continue,
                LinkMode::Delays(time) => {
                    smol::Timer::after(time).await;
                }
                _ => {}
            }
            to.write_all(&buf[..len]).await?;
        }
    }
}

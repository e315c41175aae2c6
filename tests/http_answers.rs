//! Answers of HTTP calls that come twice, late or only in part.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use limpetdeck::http::{self, CallError, Request};

const TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a server whose connections are handled by a function, which gets their number and the
/// path of the request.
fn serve(respond: fn(usize, &str, &mut TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().enumerate() {
            std::thread::spawn(move || {
                let mut stream = stream.expect("a connection");
                let mut buf = [0; 1_024];
                let len = stream.read(&mut buf).expect("a request");
                let request = String::from_utf8_lossy(&buf[..len]).into_owned();
                let path = request.split(' ').nth(1).expect("a path").to_owned();
                respond(n, &path, &mut stream);
                // The connection stays open, so that an answer is not ended by its end.
                std::thread::sleep(Duration::from_secs(5));
            });
        }
    });
    address
}

fn answer(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn call(address: SocketAddr, path: &str) -> Result<String, CallError> {
    let response = smol::block_on(http::call(address, Request::get(path), TIMEOUT))?;
    Ok(String::from_utf8(response.body).expect("text"))
}

/// The second copy of an answer does not reach the next call.
#[test]
fn second_copy() {
    let address = serve(|_, path, stream| {
        for _ in 0..2 {
            stream.write_all(&answer(path)).expect("sent");
        }
    });
    for path in ["/first", "/second", "/third"] {
        // An answer too many may spoil its own call, but no other.
        match call(address, path) {
            Ok(body) => assert_eq!(body, path),
            Err(e) => assert!(matches!(e, CallError::Exchange(_)), "{e}"),
        }
    }
}

/// An answer that comes after its call has timed out does not reach the next call.
#[test]
fn late_answer() {
    let address = serve(|n, path, stream| {
        if n == 0 {
            std::thread::sleep(2 * TIMEOUT);
        }
        let _ = stream.write_all(&answer(path));
    });
    assert_eq!(call(address, "/late"), Err(CallError::TimedOut));
    assert_eq!(call(address, "/next"), Ok("/next".to_owned()));
    std::thread::sleep(2 * TIMEOUT);
    assert_eq!(call(address, "/after"), Ok("/after".to_owned()));
}

/// An answer of which a part is missing is an error, whether the connection ends or falls silent.
#[test]
fn broken_off() {
    let address = serve(|_, path, stream| {
        let whole = answer("0123456789");
        stream.write_all(&whole[..whole.len() - 4]).expect("sent");
        if path == "/ends" {
            stream.shutdown(std::net::Shutdown::Both).expect("ended");
        }
    });
    assert!(matches!(call(address, "/ends"), Err(CallError::Exchange(_))));
    assert_eq!(call(address, "/silent"), Err(CallError::TimedOut));
}

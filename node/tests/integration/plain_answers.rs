//! Answers of plain applications to the whole VM's client for them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use merlinrudder_fakes::raw_server::RawServer;
use merlinrudder_node::backend::plain::{PlainCall, PlainResult, call};
use merlinrudder_node::memory_budget::{MemoryBudget, MemoryShare};
use socket2::SockRef;

const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Size of an upload, of which the buffers of the connection do not hold all, in bytes.
const UPLOAD_BYTES: usize = 4_000_000;

/// Sends a call to an address.
fn send(address: &str, path: &str, body: Vec<u8>) -> PlainResult {
    let plain = PlainCall {
        method: "POST".to_owned(),
        path: path.to_owned(),
        content_type: String::new(),
        body,
        key: None,
        request_id: "r".to_owned(),
    };
    let budget = Arc::new(MemoryBudget::new(10_000_000));
    call(address, &plain, TIME_LIMIT, &mut MemoryShare::new(&budget))
}

/// Guards against answers that reach callers with a status that HTTP does not have.
#[test]
fn a_plain_answer_without_a_valid_status_is_none() {
    let server = RawServer::bind(|connection, request| {
        let status = request.path.trim_start_matches('/');
        write!(
            connection,
            "HTTP/1.1 {status} Trouble\r\nContent-Length: 5\r\n\r\nwrong"
        )
    });
    let address = server.expect("raw server listens").address.to_string();
    for status in ["000", "042", "099", "101", "600", "777", "999"] {
        let result = send(&address, &format!("/{status}"), Vec::new());
        assert!(
            matches!(result, PlainResult::Broken(_)),
            "{status}: {result:?}"
        );
    }
    let result = send(&address, "/599", Vec::new());
    assert!(matches!(result, PlainResult::Answered(_)), "{result:?}");
}

/// Guards against a part of an early answer that becomes a whole one, as its reset was seen by the
/// upload only.
#[test]
fn an_early_plain_answer_that_is_reset_during_the_upload_is_none() {
    let server = RawServer::bind_early(|connection, _request| {
        connection.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")?;
        SockRef::from(&*connection).set_linger(Some(Duration::ZERO))?;
        Err(std::io::Error::other("breaks off"))
    });
    let address = server.expect("raw server listens").address.to_string();
    for _ in 0..12 {
        let result = send(&address, "/", vec![b'x'; UPLOAD_BYTES]);
        assert!(matches!(result, PlainResult::Broken(_)), "{result:?}");
    }
}

/// Listens for one call, sends a part of an answer without a length, and closes the connection.
///
/// If it `crashes`, nothing listens any more when the connection closes.
fn answer_once(crashes: bool) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a call");
        let mut head = [0; 4096];
        let _length = connection.read(&mut head).expect("a request");
        let _kept = (!crashes).then_some(listener);
        connection
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")
            .expect("the caller reads");
        connection
            .shutdown(Shutdown::Both)
            .expect("an open connection");
        thread::sleep(TIME_LIMIT);
    });
    address
}

/// Guards against half of an answer without a length that reaches its caller as a whole one.
#[test]
fn a_plain_answer_without_a_length_that_a_crash_cuts_is_none() {
    let cut = send(&answer_once(true).to_string(), "/", Vec::new());
    assert!(matches!(cut, PlainResult::Broken(_)), "{cut:?}");
    let whole = send(&answer_once(false).to_string(), "/", Vec::new());
    assert!(matches!(whole, PlainResult::Answered(_)), "{whole:?}");
}

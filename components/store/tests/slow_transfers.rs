//! Large values over slow links.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use store::{HttpStore, KeyValueStore};
use web::Client;

/// Serves one response: a value in `parts` parts, with a pause before each.
fn serve_slowly(parts: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind listener");
    let address = listener.local_addr().expect("local address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept connection");
        let _ = stream.read(&mut [0; 4_096]).expect("read request");
        let value = "7".repeat(parts * 20_000);
        let body = serde_json::json!({ "key": "configuration", "value": value, "revision": 3 })
            .to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).expect("write head");
        for part in body.as_bytes().chunks(body.len().div_ceil(parts)) {
            thread::sleep(pause);
            if stream.write_all(part).is_err() {
                return;
            }
        }
    });
    address
}

#[test]
fn a_large_value_is_cut_off_on_a_slow_link() {
    let address = serve_slowly(30, Duration::from_millis(100));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let read = runtime.expect("start runtime").block_on(async {
        let store = HttpStore::new(Client::spawn().expect("start client"), address);
        store.get("configuration").await
    });
    let value = read.expect("complete response").expect("a value");
    assert_eq!(value.value.len(), 600_000);
}

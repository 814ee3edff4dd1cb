//! Transfers of unknown length, and their limits.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use link::{LinkError, Timeouts, TransferLimits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_secs(30),
    unacknowledged: Duration::from_secs(30),
    keepalive_interval: Duration::from_secs(30),
};

const LIMITS: TransferLimits = TransferLimits {
    max_bytes: 20_000,
    progress_interval: Duration::from_millis(1_000),
    min_progress_bytes: 500,
};

/// Serves one response of `parts` parts, with a pause before each.
async fn serve_in_parts(parts: usize, part_bytes: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
    let address = listener.local_addr().expect("local address");
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("accept connection");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await.expect("read request");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", parts * part_bytes);
        stream.write_all(head.as_bytes()).await.expect("write head");
        for _ in 0..parts {
            tokio::time::sleep(pause).await;
            if stream.write_all(&vec![b'x'; part_bytes]).await.is_err() {
                return;
            }
        }
    });
    address
}

fn transfer(parts: usize, part_bytes: usize, pause: Duration) -> Result<usize, LinkError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("start runtime"), async move {
        let address = serve_in_parts(parts, part_bytes, pause).await;
        let mut connection = link::connect(address, TIMEOUTS).await?;
        let request = Request::builder().uri("/").header("Host", "x");
        let request = request.body(Full::new(Bytes::new())).expect("build request");
        let response = connection.send(request).await?;
        let body = link::read_transfer(response.into_body(), LIMITS, |_| {}).await?;
        Ok(body.len())
    })
}

#[test]
fn a_slow_transfer_is_cut_off() {
    let received = transfer(24, 600, Duration::from_millis(100));
    assert_eq!(received, Ok(14_400), "longer than one interval, but it made progress");
}

#[test]
fn a_transfer_that_sends_a_byte_now_and_then_never_ends() {
    let received = transfer(100_000, 1, Duration::from_millis(20));
    assert!(matches!(&received, Err(LinkError::Unknown(reason)) if reason.contains("stalled")));
}

#[test]
fn a_transfer_without_end_fills_the_memory() {
    let received = transfer(100_000, 4_000, Duration::ZERO);
    assert!(matches!(&received, Err(LinkError::Unknown(reason)) if reason.contains("limit")));
}

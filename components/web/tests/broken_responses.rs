//! Servers that answer before they have read the request, or break off within a response.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use web::{Client, ClientError, Request};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Larger than the buffers of the sockets.
const UPLOAD_BYTES: usize = 8 << 20;

/// Part of a response without a length.
const PART: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nfirst half";

/// Accepts connections, reads this much of each request, sends `response` and resets the connection
/// after a pause.
async fn serve(read_bytes: usize, response: &'static [u8], pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
    let address = listener.local_addr().expect("local address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = vec![0; read_bytes];
                let _ = stream.read_exact(&mut request).await;
                let _ = stream.write_all(response).await;
                tokio::time::sleep(pause).await;
                // Unread bytes of the request make the close a reset.
            });
        }
    });
    address
}

async fn read_response(address: SocketAddr, body: Vec<u8>) -> Result<(u16, Bytes), ClientError> {
    let client = Client::spawn().expect("start client");
    let request = Request::new("POST", "/upload").body(body);
    let mut response = client.send(address, request, TIMEOUT).await?;
    let body = response.read_body().await?;
    Ok((response.status, body))
}

/// Guards against a part of a response that is taken for the whole, as its connection is reset while
/// the request is still being written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_is_reset_during_an_upload_is_taken_for_a_complete_one() {
    for read_bytes in [1, 1_000, 100_000, 1 << 20] {
        for pause_ms in [0, 1, 20, 100] {
            let address = serve(read_bytes, PART, Duration::from_millis(pause_ms)).await;
            let response = read_response(address, vec![b'u'; UPLOAD_BYTES]).await;
            let Err(ClientError::Unknown(_)) = response else {
                panic!("read {read_bytes}, pause {pause_ms}: {response:?}");
            };
        }
    }
}

/// Guards against a client that takes what is no HTTP response for one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_with_a_status_of_zero_or_half_a_head_is_taken_for_a_response() {
    let responses: [&[u8]; 6] = [
        b"HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody",
        b"HTTP/1.1 099 Trouble\r\nContent-Length: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Type: text",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
        b"HTTP/1.1 200 OK\nContent-Le",
    ];
    for response in responses {
        let address = serve(20, response, Duration::ZERO).await;
        let received = read_response(address, Vec::new()).await;
        let text = String::from_utf8_lossy(response);
        assert!(matches!(received, Err(ClientError::Unknown(_))), "{text:?}: {received:?}");
    }
}

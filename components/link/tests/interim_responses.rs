//! Interim responses before the response.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use link::{LinkError, Timeouts};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const TIMEOUT: Duration = Duration::from_secs(30);

const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

const BODY_BYTES: usize = 1 << 20;

/// Answers a request with this many interim responses, and then with a body. Counts the bytes of the
/// interim responses that it could send.
async fn serve(interim_count: usize, sent_bytes: Rc<Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
    let address = listener.local_addr().expect("local address");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1_024];
            let _ = stream.read(&mut request).await;
            for _ in 0..interim_count {
                if stream.write_all(INTERIM).await.is_err() {
                    break;
                }
                sent_bytes.set(sent_bytes.get() + INTERIM.len());
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
            let response = [head.as_bytes(), &vec![b'b'; BODY_BYTES]].concat();
            let _ = stream.write_all(&response).await;
        }
    });
    address
}

async fn read_response(address: SocketAddr) -> Result<Bytes, LinkError> {
    let timeouts =
        Timeouts { connect: TIMEOUT, unacknowledged: TIMEOUT, keepalive_interval: TIMEOUT };
    let mut connection = link::connect(address, timeouts).await?;
    let request = Request::builder().uri("/").header("Host", "x");
    let request = request.body(Full::new(Bytes::new())).expect("build request");
    let response = connection.send(request).await?;
    link::read_body(response.into_body(), 2 * BODY_BYTES).await
}

/// Guards against interim responses without end, which take all time of the thread.
#[tokio::test]
async fn interim_responses_are_read_without_end() {
    const FAR_TOO_MANY: usize = 1 << 20;
    LocalSet::new()
        .run_until(async {
            let sent_bytes = Rc::new(Cell::new(0));
            let address = serve(FAR_TOO_MANY, sent_bytes.clone()).await;
            let response = read_response(address).await;
            assert!(matches!(response, Err(LinkError::Unknown(_))), "a response was received");
            // What the sockets buffer comes on top of what was read.
            assert!(sent_bytes.get() < FAR_TOO_MANY * INTERIM.len(), "all were read");
        })
        .await;
}

/// The other side: some interim responses, and a body that is larger than the limit before it.
#[tokio::test]
async fn a_response_after_some_interim_ones_is_refused() {
    LocalSet::new()
        .run_until(async {
            for interim_count in [0, 1, 100] {
                let address = serve(interim_count, Rc::default()).await;
                let body = read_response(address).await.expect("a response");
                assert_eq!(body.len(), BODY_BYTES, "after {interim_count} interim responses");
            }
        })
        .await;
}

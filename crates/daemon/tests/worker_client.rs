//! Stop requests to a worker whose connections stall.

use parsleyspool_core::id::{TaskId, submission_id};
use parsleyspool_daemon::interfaces::WorkerControl;
use parsleyspool_daemon::worker_client::WorkerClient;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// Starts a worker that never answers on its first connection; the channel receives the head of each
/// request on a later one.
async fn start_worker() -> (SocketAddr, UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let (sender, requests) = unbounded_channel();
    tokio::spawn(async move {
        let _silent = listener.accept().await.expect("the first connection");
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut head = vec![0; 1024];
            let length = connection.read(&mut head).await.expect("a request");
            head.truncate(length);
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            connection.write_all(answer).await.expect("the client reads");
            let _ = sender.send(String::from_utf8_lossy(&head).into_owned());
        }
    });
    (address, requests)
}

/// Failure: a stop is lost in a silent connection, and the run goes on.
#[tokio::test]
async fn an_unanswered_stop_is_repeated_over_a_new_connection() {
    let (address, mut requests) = start_worker().await;
    let client = WorkerClient::new(Some(&format!("http://{address}"))).expect("a client");

    let stopped = client.stop(TaskId::new(submission_id(7, 1), 3));
    let stopped = tokio::time::timeout(LONGEST_WAIT, stopped).await;

    assert!(stopped.is_ok());
    let request = requests.try_recv().expect("the stop was repeated");
    assert!(request.starts_with("POST /stop "), "{request}");
    assert!(request.contains("x-task: 3"), "{request}");
}

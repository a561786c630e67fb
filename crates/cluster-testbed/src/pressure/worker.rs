//! A worker that records when requests arrive.
use crate::stubs::{header_field, read_message};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Service time of each request.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Service time of requests with [`LONG_RUN`].
const LONG_SERVICE_TIME: Duration = Duration::from_secs(60);
/// Begin of the body of a request that runs for long.
pub(super) const LONG_RUN: &str = "long run";
/// Begin of the body of a request with a large result.
pub(super) const LARGE_RESULT: &str = "large result";
const LARGE_RESULT_BYTES: usize = 60_000;

/// Arrival of the last byte of a request at a worker.
#[derive(Clone, Debug)]
pub(super) struct Execution {
    pub id: String,
    /// Time since the start of the run.
    pub at: Duration,
}

/// A worker on a loopback port that runs all requests at once.
pub(super) struct RecordingWorker {
    pub address: String,
    executions: Arc<Mutex<Vec<Execution>>>,
}

impl RecordingWorker {
    pub fn start(started_at: Instant) -> RecordingWorker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let executions = Arc::<Mutex<Vec<Execution>>>::default();
        let recorded = executions.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let recorded = recorded.clone();
                thread::spawn(move || serve(&stream, started_at, &recorded));
            }
        });
        RecordingWorker {
            address,
            executions,
        }
    }

    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().unwrap().clone()
    }
}

/// Serves requests until the connection ends.
fn serve(
    mut stream: &TcpStream,
    started_at: Instant,
    executions: &Mutex<Vec<Execution>>,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (head, body) = read_message(&mut reader)?;
        let id = header_field(&head, "request-id")?;
        executions.lock().unwrap().push(Execution {
            id: id.clone(),
            at: started_at.elapsed(),
        });
        thread::sleep(if body.starts_with(LONG_RUN.as_bytes()) {
            LONG_SERVICE_TIME
        } else {
            SERVICE_TIME
        });
        let result = if body.starts_with(LARGE_RESULT.as_bytes()) {
            "r".repeat(LARGE_RESULT_BYTES)
        } else {
            "ok".to_string()
        };
        let line = json!({"id": id, "from": "w", "state": "done", "result": result}).to_string();
        let length = line.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{line}");
        stream.write_all(response.as_bytes()).ok()?;
    }
}

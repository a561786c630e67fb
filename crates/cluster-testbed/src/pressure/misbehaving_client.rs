//! What one misbehaving client does on its connections.
use super::attack::{Attack, Departure, Record};
use super::misbehaviour::{MIXED, Misbehaviour};
use super::worker;
use crate::stubs::request;
use rosewall::pcg::Pcg;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Longest pause before a client connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Body of the largest requests.
const LARGE_BODY_BYTES: usize = 64 * 1024;
/// Bytes of each long name: three of them fit in a head.
const LONG_NAME_BYTES: usize = 5_000;
/// Bytes of an id that fills almost a whole head.
const LONG_ID_BYTES: usize = 15_000;
/// Time-out of requests that are not waited for, in seconds.
const LONGEST_TIMEOUT: f64 = 86_399.0;
/// Time after which a client that reads nothing gives up writing.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of requests sent at once.
const REQUESTS_AT_ONCE: usize = 400;
/// Number of requests that a client sends before it reads their answers.
const REQUESTS_IN_TURN: usize = 50;
/// Bytes behind the requests of a client that leaves.
const UNREAD_BYTES: usize = 4 * 1024 * 1024;
/// Bytes per write of a flood.
const FLOOD_WRITE_BYTES: usize = 64 * 1024;

/// Time from a close to the same ids on a new connection.
const SEND_AGAIN_AFTER: Duration = Duration::from_millis(700);

/// What a client that leaves has done with the answers so far. A close with unread ones is a reset.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Answers {
    Unread,
    Read,
}

/// One client, on one connection after the other.
pub(super) struct MisbehavingClient {
    attack: Attack,
    index: usize,
    connections: usize,
    rng: Pcg,
    record: Record,
}

impl MisbehavingClient {
    /// Creates the client with this index.
    pub(super) fn new(attack: &Attack, index: usize) -> MisbehavingClient {
        MisbehavingClient {
            attack: attack.clone(),
            index,
            connections: 0,
            rng: Pcg::new(attack.seed ^ index as u64),
            record: Record::default(),
        }
    }

    /// Misbehaves until the end of the attack.
    pub(super) fn run(mut self, misbehaviour: Misbehaviour) -> Record {
        while !self.is_over() {
            if let Ok(stream) = TcpStream::connect(&self.attack.address) {
                self.connections += 1;
                // The dispatcher closes connections of misbehaving clients: errors are expected.
                let _ = self.misbehave(misbehaviour, stream);
            }
            thread::sleep(RECONNECT_PAUSE.mul_f64(self.rng.unit()));
        }
        self.record
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.attack.until
    }

    fn id_prefix(&self) -> String {
        format!("bad-{}-{}", self.index, self.connections)
    }

    fn misbehave(&mut self, misbehaviour: Misbehaviour, stream: TcpStream) -> std::io::Result<()> {
        let owned = stream;
        let stream = &owned;
        match misbehaviour {
            Misbehaviour::SlowWrite => self.write_slowly(stream),
            Misbehaviour::HalfRequest => self.send_half(stream),
            Misbehaviour::ShortFields => self.send_short_fields(stream),
            Misbehaviour::LongNames => self.send_long_names(stream),
            Misbehaviour::LongIds => self.send_long_ids(stream),
            Misbehaviour::LargeThenLeave => self.send_large_and_leave(stream),
            Misbehaviour::IdleAfterMuch => self.stay_idle_after_much(stream),
            Misbehaviour::UnreadAnswers => self.leave_answers_unread(stream),
            Misbehaviour::Mixed => self.misbehave(MIXED[self.index % MIXED.len()], owned),
            Misbehaviour::FloodRejected => self.flood_rejected(stream),
            Misbehaviour::Flood => self.flood(stream, |prefix, number| {
                request(
                    &format!("{prefix}-{number}"),
                    "thumb",
                    LONGEST_TIMEOUT,
                    "",
                    "x",
                )
            }),
            Misbehaviour::FloodUnknownNames => self.flood(stream, |prefix, number| {
                let tenant = format!("Tenant: t{number}\r\n");
                let id = format!("{prefix}-{number}");
                request(&id, "thumb", 1.0, "", "x").replace("Tenant: acme\r\n", &tenant)
            }),
            Misbehaviour::FloodOneId => self.flood(stream, |_, _| {
                request("bad-one-0", "thumb", LONGEST_TIMEOUT, "", "x")
            }),
            Misbehaviour::FloodChecks => self.flood(stream, |_, _| {
                "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".to_string()
            }),
            Misbehaviour::FloodLineEnds => self.flood(stream, |_, _| "\r\n".repeat(64)),
            Misbehaviour::LeaveUnread => self.leave(owned, Answers::Unread),
            Misbehaviour::LeaveRead => self.leave(owned, Answers::Read),
        }
    }

    fn write_slowly(&mut self, mut stream: &TcpStream) -> std::io::Result<()> {
        let text = request(&self.id_prefix(), "thumb", 2.0, "", &large_body());
        for part in text.as_bytes().chunks(512) {
            if self.is_over() {
                break;
            }
            stream.write_all(part)?;
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn send_half(&mut self, mut stream: &TcpStream) -> std::io::Result<()> {
        let text = request(&self.id_prefix(), "thumb", 2.0, "", &large_body());
        stream.write_all(&text.as_bytes()[..text.len() - 100])?;
        read_to_end(stream)
    }

    fn send_short_fields(&mut self, mut stream: &TcpStream) -> std::io::Result<()> {
        let fields = "a:b\r\n".repeat(3_200);
        stream.write_all(format!("POST / HTTP/1.1\r\n{fields}").as_bytes())?;
        read_to_end(stream)
    }

    fn send_long_names(&mut self, stream: &TcpStream) -> std::io::Result<()> {
        let name = "n".repeat(LONG_NAME_BYTES);
        for number in 0.. {
            let id = format!("{name}-{}-{number}", self.id_prefix());
            let key = format!("Idempotency-Key: {name}\r\n");
            let text =
                request(&id, "thumb", 2.0, &key, "x").replace("/api/do", &format!("/{name}"));
            if !self.exchange(stream, &text)? {
                break;
            }
        }
        Ok(())
    }

    fn send_long_ids(&mut self, stream: &TcpStream) -> std::io::Result<()> {
        let name = "n".repeat(LONG_ID_BYTES);
        let prefix = self.id_prefix();
        for number in 0.. {
            let text = request(&format!("{name}-{prefix}-{number}"), "thumb", 2.0, "", "x");
            if !self.exchange(stream, &text)? {
                break;
            }
        }
        Ok(())
    }

    /// Sends a request and reads a part of its answer. Returns false at the end of the run or the connection.
    fn exchange(&mut self, mut stream: &TcpStream, text: &str) -> std::io::Result<bool> {
        stream.write_all(text.as_bytes())?;
        self.record.requests += 1;
        let count = stream.read(&mut [0; 4096])?;
        Ok(count > 0 && !self.is_over())
    }

    fn stay_idle_after_much(&mut self, mut stream: &TcpStream) -> std::io::Result<()> {
        let prefix = self.id_prefix();
        let small = request(&format!("{prefix}-0"), "thumb", 2.0, "", "x");
        let large = request(&format!("{prefix}-1"), "thumb", 2.0, "", &large_body());
        stream.write_all((small + &large).as_bytes())?;
        self.record.requests += 2;
        read_to_end(stream)
    }

    fn leave_answers_unread(&mut self, mut stream: &TcpStream) -> std::io::Result<()> {
        let prefix = self.id_prefix();
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        for number in 0.. {
            if self.is_over() {
                break;
            }
            let body = worker::LARGE_RESULT;
            let text = request(&format!("{prefix}-{number}"), "thumb", 2.0, "", body);
            stream.write_all(text.as_bytes())?;
            self.record.requests += 1;
        }
        Ok(())
    }

    fn flood_rejected(&mut self, mut stream: &TcpStream) -> std::io::Result<()> {
        let prefix = self.id_prefix();
        let hint = "Work-Hint: 86399000000\r\n";
        let mut number = 0;
        while !self.is_over() {
            let mut text = String::new();
            for _ in 0..REQUESTS_IN_TURN {
                text += &request(
                    &format!("{prefix}-{number}"),
                    "charge",
                    LONGEST_TIMEOUT,
                    hint,
                    "x",
                );
                number += 1;
            }
            stream.write_all(text.as_bytes())?;
            self.record.requests += REQUESTS_IN_TURN;
            let mut answers = 0;
            let mut buffer = [0; 16 * 1024];
            while answers < REQUESTS_IN_TURN {
                let count = stream.read(&mut buffer)?;
                if count == 0 {
                    return Ok(());
                }
                answers += buffer[..count]
                    .windows(9)
                    .filter(|part| part == b"HTTP/1.1 ")
                    .count();
            }
        }
        Ok(())
    }

    fn send_large_and_leave(&mut self, mut stream: &TcpStream) -> std::io::Result<()> {
        let id = format!("{}-0", self.id_prefix());
        let body = worker::LONG_RUN.to_string() + &large_body()[worker::LONG_RUN.len()..];
        let text = request(&id, "thumb", LONGEST_TIMEOUT, "", &body);
        stream.write_all(text.as_bytes())?;
        self.record.requests += 1;
        thread::sleep(Duration::from_millis(6));
        stream.shutdown(Shutdown::Both)?;
        self.record_departure();
        Ok(())
    }

    /// Sends messages as fast as they are taken, while another thread reads the answers.
    fn flood(
        &mut self,
        mut stream: &TcpStream,
        message: impl Fn(&str, usize) -> String,
    ) -> std::io::Result<()> {
        let answers = stream.try_clone()?;
        let reading = thread::spawn(move || read_to_end(&answers));
        let prefix = self.id_prefix();
        let mut number = 0;
        let result = loop {
            let mut text = String::new();
            while text.len() < FLOOD_WRITE_BYTES {
                text += &message(&prefix, number);
                number += 1;
            }
            let written = stream.write_all(text.as_bytes());
            if written.is_err() || self.is_over() {
                break written;
            }
        };
        self.record.requests += number;
        let _ = stream.shutdown(Shutdown::Both);
        let _ = reading.join();
        result
    }

    /// Sends many requests and more bytes at once, closes at a random moment, and sends the same ids again.
    fn leave(&mut self, mut stream: TcpStream, answers: Answers) -> std::io::Result<()> {
        let prefix = self.id_prefix();
        let mut text = String::new();
        for number in 0..REQUESTS_AT_ONCE {
            text += &request(&format!("{prefix}-{number}"), "charge", 5.0, "", "x");
        }
        let unread = vec![b'x'; UNREAD_BYTES];
        stream.write_all(text.as_bytes())?;
        self.record.requests += REQUESTS_AT_ONCE;
        stream.set_nonblocking(true)?;
        let leave_at = Instant::now() + Duration::from_millis(80).mul_f64(self.rng.unit());
        let mut sent = 0;
        while Instant::now() < leave_at {
            sent += stream.write(&unread[sent..]).unwrap_or(0);
            thread::sleep(Duration::from_millis(1));
        }
        if answers == Answers::Read {
            let mut buffer = [0; 64 * 1024];
            while matches!(stream.read(&mut buffer), Ok(1..)) {}
        }
        drop(stream);
        self.record_departure();
        self.send_again(&prefix)
    }

    /// Sends the ids of a connection that was closed once more, a moment later.
    fn send_again(&mut self, prefix: &str) -> std::io::Result<()> {
        thread::sleep(SEND_AGAIN_AFTER);
        let mut stream = TcpStream::connect(&self.attack.address)?;
        for number in 0..20 {
            let text = request(&format!("{prefix}-{number}"), "charge", 1.0, "", "x");
            stream.write_all(text.as_bytes())?;
            let mut answer = [0; 4096];
            if stream.read(&mut answer)? == 0 {
                break;
            }
        }
        Ok(())
    }

    fn record_departure(&mut self) {
        let at = self.attack.started_at.elapsed();
        self.record.departures.push(Departure {
            id_prefix: self.id_prefix(),
            at,
            sent_again_at: at + SEND_AGAIN_AFTER,
        });
    }
}

fn large_body() -> String {
    "b".repeat(LARGE_BODY_BYTES)
}

/// Reads until the dispatcher closes the connection.
fn read_to_end(mut stream: &TcpStream) -> std::io::Result<()> {
    let mut buffer = [0; 4096];
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    while stream.read(&mut buffer)? > 0 {}
    Ok(())
}

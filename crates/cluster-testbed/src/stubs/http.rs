//! HTTP for the stubs: messages with a `Content-Length` body.
use std::io::BufRead;
use std::net::{TcpListener, TcpStream};
use std::thread;

/// Listens on a free loopback port and returns its address. For each connection, calls `serve` repeatedly on a
/// separate thread until it returns `None`, which closes the connection.
pub fn listen(serve: impl Fn(&TcpStream) -> Option<()> + Clone + Send + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || while serve(&stream).is_some() {});
        }
    });
    address
}

/// Reads a message and returns its head and its body; `None` if the connection ends or fails first.
pub fn read_message(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = header_field(&head, "content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Returns the trimmed value of a header field, by its case-insensitive name.
pub fn header_field(head: &str, name: &str) -> Option<String> {
    let mut pairs = head.lines().filter_map(|line| line.split_once(':'));
    pairs
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_string())
}

/// Returns a request with a timeout in seconds. Each of the `extra_headers` ends with CR LF.
pub fn request(id: &str, class: &str, seconds: f64, extra_headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /api/do?x=1&y=%20 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Tenant: acme\r\nRequest-Timeout: {seconds}\r\n{extra_headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

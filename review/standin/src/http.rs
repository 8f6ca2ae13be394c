//! HTTP/1.1 as far as the platform's calls need it.

use crate::gate::Gate;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|q| q.0 == name).map(|q| q.1.as_str())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }
}

/// Status and body of a response.
pub type Response = (u16, String);

/// Answers a request. The stream shows whether the sender is still there.
pub type Handler = Arc<dyn Fn(&Request, &TcpStream) -> Option<Response> + Send + Sync>;

/// Serves requests on a free port, through a path that can be cut.
pub fn serve(gate: Gate, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (gate, handler) = (gate.clone(), handler.clone());
            thread::spawn(move || serve_connection(&gate, &handler, stream));
        }
    });
    addr
}

fn serve_connection(gate: &Gate, handler: &Handler, mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let request = read_request(&mut reader)?;
        if !gate.pass(&stream) {
            return None;
        }
        let (status, body) = handler(&request, &stream)?;
        if !gate.pass(&stream) {
            return None;
        }
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).ok()?;
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|q| q.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        headers.push((name.to_ascii_lowercase(), value.to_owned()));
    }
    let length = headers.iter().find(|h| h.0 == "content-length").and_then(|h| h.1.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

/// Returns the status of a GET request; none without an answer.
pub fn get_status(addr: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").as_bytes())
        .ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

//! A minimal HTTP/1.1 server: one thread for each connection.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|q| q.0 == name).map(|q| q.1.as_str())
    }
}

pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    pub fn new(status: u16, body: impl Into<String>) -> Response {
        Response { status, body: body.into() }
    }
}

/// Serves requests on a free loopback port until the process ends.
pub fn serve(handle: impl Fn(Request) -> Response + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || talk(stream, &*handle));
        }
    });
    addr
}

fn talk(mut stream: TcpStream, handle: &dyn Fn(Request) -> Response) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let request = read_request(&mut reader)?;
        let Response { status, body } = handle(request);
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).ok()?;
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|h| h.0.eq_ignore_ascii_case("content-length"));
    let mut body = vec![0; length.and_then(|h| h.1.parse().ok()).unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|q| q.split_once('='));
    let query = query.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

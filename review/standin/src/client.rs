//! A client's session.

use crate::record;
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// What a client was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// Success, with the first row.
    Done(String),
    /// An error, with its code.
    Error(String),
    /// The connection ended, or there was no answer.
    Nothing,
}

/// A session.
pub struct Client {
    name: String,
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Opens a session on a database.
    pub fn open(name: &str, addr: SocketAddr, database: &str) -> Option<Client> {
        let mut stream = TcpStream::connect_timeout(&addr, PATIENCE).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        stream.write_all(format!("STARTUP {database} {name}\r\n").as_bytes()).ok()?;
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        line.starts_with("READY").then(|| Client { name: name.to_owned(), stream, reader })
    }

    /// Sends a statement and waits for its answer.
    pub fn ask(&mut self, id: &str, text: &str) -> Told {
        record!("client {}: QUERY {id} {text}", self.name);
        let told = self.exchange(id, text).unwrap_or(Told::Nothing);
        record!("client {}: {id} is told {told:?}", self.name);
        told
    }

    fn exchange(&mut self, id: &str, text: &str) -> Option<Told> {
        self.stream.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).ok()?;
        let (mut row, mut told) = (String::new(), Told::Nothing);
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            match line.split_once(' ').unwrap_or((line, "")) {
                ("ROW", data) => row = data.to_owned(),
                ("COMPLETE", _) => told = Told::Done(std::mem::take(&mut row)),
                ("ERROR", text) => told = Told::Error(text.split(' ').next().unwrap_or_default().to_owned()),
                _ => return Some(told),
            }
        }
    }
}

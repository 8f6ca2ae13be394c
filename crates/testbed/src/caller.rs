//! Callers over the stock client library.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
    tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage, config::SslMode},
};

/// Time for a caller's connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(5);

/// Opens a session.
pub async fn connect(addr: SocketAddr, user: &str, group: &str, options: &str) -> Result<Client, String> {
    let mut config = Config::new();
    config.host(addr.ip().to_string()).port(addr.port()).user(user).dbname(group);
    config.ssl_mode(SslMode::Disable).options(options);
    let (client, connection) = timeout(CONNECT_LIMIT, config.connect(NoTls))
        .await
        .map_err(|_| "no connection in time".to_owned())?
        .map_err(|e| describe(&e))?;
    tokio::spawn(async move {
        // The error, if any, is met by the statement that runs.
        let _ = connection.await;
    });
    Ok(client)
}

/// Runs a text; hands back the first cell of the first row, if there is one.
pub async fn one(client: &Client, text: &str) -> Result<Option<String>, tokio_postgres::Error> {
    let rows = client.simple_query(text).await?;
    let cell = rows.iter().find_map(|it| match it {
        SimpleQueryMessage::Row(row) => Some(row.get(0).map(str::to_owned)),
        _ => None,
    });
    Ok(cell.flatten())
}

/// An error with its SQLSTATE, message and hint.
pub fn describe(e: &tokio_postgres::Error) -> String {
    match e.as_db_error() {
        Some(it) => {
            let hint = it.hint().map(|it| format!(" (hint: {it})")).unwrap_or_default();
            format!("{} {}{hint}", it.code().code(), it.message())
        }
        None => e.to_string(),
    }
}

/// The SQLSTATE of an error; empty when the connection broke.
pub fn code(e: &tokio_postgres::Error) -> &str {
    e.code().map_or("", |it| it.code())
}

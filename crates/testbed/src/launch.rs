//! Starting stand-ins and instances, as threads or as processes.

use {
    crate::{db, platform},
    pondtrackd::Settings,
    std::{
        io, net::SocketAddr, path::PathBuf, process::Stdio, sync::OnceLock, thread::JoinHandle,
        time::Duration,
    },
    tokio::{
        io::{AsyncBufReadExt, BufReader},
        process::{Child, Command},
        sync::oneshot,
        time::timeout,
    },
};

/// Time for a process to say that it is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// A part running on a thread of its own; ends abruptly when dropped.
pub struct Thread {
    stop: Option<oneshot::Sender<()>>,
    join: Option<JoinHandle<()>>,
}

impl Thread {
    /// Runs a future on a thread with a loop of its own; hands back what it says when it is ready.
    pub fn spawn<T, F>(
        work: impl FnOnce(Box<dyn FnOnce(T) + Send>) -> F + Send + 'static,
    ) -> io::Result<(Thread, T)>
    where
        T: Send + 'static,
        F: Future<Output = ()>,
    {
        let (stop, stopped) = oneshot::channel();
        let (send, receive) = std::sync::mpsc::channel();
        let ready: Box<dyn FnOnce(T) + Send> = Box::new(move |it| drop(send.send(it)));
        let join = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            if let Ok(it) = runtime {
                it.block_on(async {
                    tokio::select! {
                        () = work(ready) => {}
                        _ = stopped => {}
                    }
                });
            }
        });
        let first = receive.recv().map_err(|_| io::Error::other("a part ended before it was ready"))?;
        Ok((Thread { stop: Some(stop), join: Some(join) }, first))
    }

    /// Ends it abruptly: its sockets are closed, nothing is finished.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        drop(self.stop.take());
        if let Some(it) = self.join.take() {
            let _ = it.join();
        }
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.end();
    }
}

/// The platform on a thread.
pub fn platform_thread() -> io::Result<(Thread, SocketAddr)> {
    Thread::spawn(|ready| async move {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let _ = platform::serve(listen, ready).await;
    })
}

/// A database server on a thread.
pub fn db_thread(config: db::DbConfig) -> io::Result<(Thread, SocketAddr)> {
    Thread::spawn(|ready| async move {
        let _ = db::serve(config, ready).await;
    })
}

/// An instance on a thread; it can be told to stop as by a signal.
pub fn instance_thread(settings: Settings) -> io::Result<(Thread, pondtrackd::Ready, oneshot::Sender<()>)> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (thread, ready) = Thread::spawn(|ready| async move {
        let stop = async {
            if stopped.await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        if let Err(e) = pondtrackd::run(settings, ready, stop).await {
            eprintln!("an instance ended: {e}");
        }
    })?;
    Ok((thread, ready, stop))
}

static PROGRAM: OnceLock<PathBuf> = OnceLock::new();

/// Says where the program `testbed` is, when it isn't the one running, as in a test.
pub fn set_program(path: impl Into<PathBuf>) {
    let _ = PROGRAM.set(path.into());
}

fn program() -> io::Result<PathBuf> {
    match PROGRAM.get() {
        Some(it) => Ok(it.clone()),
        None => std::env::current_exe(),
    }
}

/// A process of this program, with what it printed when it was ready.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The words of its ready line, as pairs.
    pub ready: Vec<(String, String)>,
}

impl Process {
    /// Starts this program with other arguments and waits for its ready line.
    pub async fn spawn(args: &[String], logs: Option<PathBuf>) -> io::Result<Process> {
        let mut command = Command::new(program()?);
        let errors = match logs {
            Some(it) => Stdio::from(std::fs::OpenOptions::new().create(true).append(true).open(it)?),
            None => Stdio::null(),
        };
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(errors).kill_on_drop(true);
        let mut child = command.spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        let mut lines = BufReader::new(out).lines();
        let line = timeout(READY_LIMIT, lines.next_line()).await;
        let line = line.map_err(|_| io::Error::other("not ready in time"))??;
        let line = line.ok_or_else(|| io::Error::other(format!("it ended at once: {args:?}")))?;
        let pairs = line.split_whitespace().filter_map(|it| it.split_once('='));
        let ready = pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
        // Whatever it prints later is read and thrown away.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(Process { child, ready })
    }

    /// An address of the ready line.
    pub fn addr(&self, key: &str) -> io::Result<SocketAddr> {
        let it = self.ready.iter().find(|it| it.0 == key);
        let text = it.map(|it| it.1.as_str()).unwrap_or("");
        text.parse().map_err(|_| io::Error::other(format!("no {key} in the ready line")))
    }

    /// The process id.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends it a signal.
    #[allow(unsafe_code)]
    pub fn signal(&self, signal: i32) {
        if let Some(id) = self.child.id() {
            // SAFETY: kill takes plain numbers; the id is that of a child not yet waited for.
            unsafe { libc::kill(id as i32, signal) };
        }
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Waits for its end, bounded in time; hands back whether it came.
    pub async fn wait(&mut self, limit: Duration) -> bool {
        timeout(limit, self.child.wait()).await.is_ok()
    }
}

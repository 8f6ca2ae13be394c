//! Relay: serves links of other instances and runs their statements over this instance's connections.

use {
    crate::{
        channel::{Channel, ChannelRequest, CommandRef, Direct, DirectError},
        count::Count,
        dispatch::{MAX_PERMIT_TIME, announce_overload, count_min_share_permits},
        distribution,
        group::{Group, status_reports},
        instance::{Instance, Micros, accept_all, micros},
        link::{Halves, Reader, STREAM_TIMEOUT, split},
        message::{Command, Message, PermitRequest, Request, Response, RunRequest, ServerProcess},
        model::{Order, Status, TxnState},
        order::send_direct,
        organisation::Owner,
        permit_queue::{Permit, PermitOutcome},
        pool::ConnRequest,
        ports::{Forward, Text},
        progress::Progress,
        session::Prepared,
        settings::STATUS_CONN_TIMEOUT,
        upload,
        upstream::{Exchange, Upstream},
    },
    bytes::BytesMut,
    futures::StreamExt,
    pondtrack_core::scheduler::Rank,
    pondtrack_proto::Name,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc::UnboundedSender,
        time::{Instant, sleep, timeout},
    },
};

/// The responding side of a link.
struct ServedLink {
    inst: Rc<Instance>,
    sender: UnboundedSender<Message>,
    /// Open transactions, sorted by stream.
    streams: RefCell<Vec<(u64, Channel)>>,
    /// Permits held by the other instance, by request id.
    permits: RefCell<Vec<(u64, Permit)>>,
    /// Cancellable requests in progress.
    requests: RefCell<Vec<ActiveRequest>>,
}

/// A cancellable request in progress.
struct ActiveRequest {
    id: u64,
    /// The stream whose transaction the request begins or continues; none for a permit request.
    stream: Option<u64>,
    progress: Rc<Progress>,
}

/// Accepts links of other instances. Never returns.
pub async fn accept(inst: Rc<Instance>, listener: TcpListener) {
    accept_all(&listener, "accept link", |stream| serve(inst.clone(), stream)).await;
}

async fn serve(inst: Rc<Instance>, stream: TcpStream) {
    let Halves { mut reader, sender, last_received } = split(stream, inst.clock);
    let link = Rc::new(ServedLink {
        inst,
        sender,
        streams: RefCell::default(),
        permits: RefCell::default(),
        requests: RefCell::default(),
    });
    while let Some(bytes) = link.receive(&mut reader, &last_received).await {
        let is_valid = Message::decode(&bytes).is_some_and(|message| link.handle(message));
        if !is_valid {
            break;
        }
    }
    // Transactions of a closed link are rolled back as their connections close.
    link.streams.borrow_mut().clear();
    link.permits.borrow_mut().clear();
    link.cancel_all();
}

impl ServedLink {
    /// Returns the next message; none if the link was closed, or if transactions are open on it and no bytes were
    /// received for [`STREAM_TIMEOUT`].
    async fn receive(&self, reader: &mut Reader, last_received: &Cell<Micros>) -> Option<BytesMut> {
        loop {
            if let Ok(message) = timeout(STREAM_TIMEOUT, reader.next()).await {
                return message?.ok();
            }
            let idle = self.inst.now().saturating_sub(last_received.get());
            let transactions = self.streams.borrow().len();
            if transactions > 0 && idle >= micros(STREAM_TIMEOUT) {
                log::info!(step = "link", transactions; "another instance is silent; its transactions are rolled back");
                return None;
            }
        }
    }

    /// Handles a message. Returns false if the message is unexpected and the link must be closed.
    fn handle(self: &Rc<Self>, message: Message) -> bool {
        match message {
            Message::Request { id, request } => {
                let progress = self.register(id, &request);
                tokio::task::spawn_local(self.clone().process(id, request, progress));
            }
            Message::Overloaded { server } => {
                if let Some((_, up)) = find(&self.inst, &server) {
                    up.mark_overloaded(self.inst.now());
                }
            }
            Message::ReleasePermit { permit } => self.release_permit(permit),
            Message::Drop { stream } => self.drop_stream(stream),
            Message::Heartbeat(heartbeat) => {
                drop(tokio::task::spawn_local(distribution::on_heartbeat(self.inst.clone(), heartbeat)))
            }
            // A request that was answered in the meantime is no longer registered.
            Message::Cancel { id } => self.cancel(id),
            // Fails only if the link is closed.
            Message::Ping => drop(self.sender.send(Message::Pong)),
            Message::Response { .. } | Message::Pong => return false,
        }
        true
    }

    /// Registers a request if it is cancellable, before the next message, which may cancel it, is handled.
    fn register(&self, id: u64, request: &Request) -> Rc<Progress> {
        let progress = Rc::new(Progress::default());
        let stream = match request {
            Request::Run(run) => Some(run.stream),
            _ => None,
        };
        if request.is_cancellable() {
            self.requests.borrow_mut().push(ActiveRequest { id, stream, progress: progress.clone() });
        }
        progress
    }

    /// Answers a request, unless it is cancelled before any part of it reached a server.
    async fn process(self: Rc<Self>, id: u64, request: Request, progress: Rc<Progress>) {
        tokio::select! {
            biased;
            // Polled first, so that a request that was cancelled immediately doesn't begin.
            () = progress.cancelled() => {
                self.inst.counters.increment(Count::Cancelled);
                self.respond(id, Response::Refused);
            }
            () = self.answer(id, request, &progress) => {}
        }
        self.unregister(id);
    }

    /// Removes a request that was answered.
    fn unregister(&self, id: u64) {
        self.requests.borrow_mut().retain(|r| r.id != id);
    }

    /// Cancels a request, as the other instance no longer waits for the response.
    fn cancel(&self, id: u64) {
        if let Some(request) = self.requests.borrow().iter().find(|r| r.id == id) {
            request.progress.disconnect();
        }
    }

    /// Abandons a transaction, even while one of its statements is at the server.
    fn drop_stream(&self, stream: u64) {
        drop(self.take_stream(stream));
        for request in self.requests.borrow().iter().filter(|r| r.stream == Some(stream)) {
            request.progress.abandon_txn();
        }
    }

    /// Cancels all requests and abandons their transactions after the link was closed.
    fn cancel_all(&self) {
        for request in &*self.requests.borrow() {
            request.progress.abandon_txn();
            request.progress.disconnect();
        }
    }

    async fn answer(&self, id: u64, request: Request, progress: &Progress) {
        let inst = &self.inst;
        let response = match request {
            Request::Run(run) => self.run(*run, progress).await,
            Request::Permit(request) => return self.grant_permit(id, request, progress).await,
            Request::Fetch(request) => upload::answer(inst, request).await,
            Request::Lend(loan) => inst.quotas.handle_loan(inst, &loan),
            Request::Claim(claims) => inst.quotas.handle_claims(inst, &claims),
            Request::State { group, wanted } => {
                Response::State(status_reports::collect(inst, &group, &wanted).await)
            }
            Request::Order { server, order } => order_server(inst, &server, &order).await,
        };
        self.respond(id, response);
    }

    /// Sends a response; returns false if the link is closed.
    fn respond(&self, id: u64, response: Response) -> bool {
        self.sender.send(Message::Response { id, response }).is_ok()
    }

    /// Grants a permit to the other instance, and revokes it after [`MAX_PERMIT_TIME`] if it isn't released.
    async fn grant_permit(&self, id: u64, request: PermitRequest, progress: &Progress) {
        let inst = &self.inst;
        let Some((_, up)) = find(inst, &request.server) else {
            self.respond(id, Response::NotSent("unknown server".to_owned()));
            return;
        };
        if up.mark_overloaded(inst.now()) {
            announce_overload(inst, &up);
        }
        let rank = Rank { soft_deadline: request.rank.soft_deadline + inst.now(), ..request.rank };
        let deadline = Instant::now() + Duration::from_millis(request.wait_ms.into());
        let outcome = up.shared_permits.acquire(rank, Some(request.slow), deadline).await;
        count_min_share_permits(inst, &up);
        match outcome {
            PermitOutcome::Granted(mut permit) => {
                // This instance doesn't see if the statement is sent, so the permit counts as used.
                permit.mark_sent();
                progress.set_sent();
                self.unregister(id);
                // If the link was closed in the meantime, the permit is released.
                if self.respond(
                    id,
                    Response::Permit { permit: id, overloaded: up.shared_permits.is_overloaded() },
                ) {
                    self.permits.borrow_mut().push((id, permit));
                    sleep(MAX_PERMIT_TIME).await;
                    self.release_permit(id);
                }
            }
            PermitOutcome::Refused => drop(self.respond(id, Response::Refused)),
            PermitOutcome::TimedOut => drop(self.respond(id, Response::Busy)),
        }
    }

    fn release_permit(&self, id: u64) {
        self.permits.borrow_mut().retain(|permit| permit.0 != id);
    }

    fn take_stream(&self, stream: u64) -> Option<Channel> {
        let mut streams = self.streams.borrow_mut();
        let at = streams.binary_search_by_key(&stream, |s| s.0).ok()?;
        Some(streams.remove(at).1)
    }

    fn put_stream(&self, stream: u64, channel: Channel) {
        let mut streams = self.streams.borrow_mut();
        let at = streams.partition_point(|s| s.0 < stream);
        streams.insert(at, (stream, channel));
    }

    /// Runs a statement, on the connection of its transaction or on a new one.
    async fn run(&self, request: RunRequest, progress: &Progress) -> Response {
        let inst = &self.inst;
        let now = Instant::now();
        let deadline = now + Duration::from_millis(request.left_ms.into());
        let Some((group, up)) = find(inst, &request.server.id) else {
            return Response::NotSent("unknown server".to_owned());
        };
        // An open transaction continues on its connection.
        if !request.pinned && up.entry().incarnation != request.server.incarnation {
            return Response::NotSent("another run of the server is known here".to_owned());
        }
        let rank = request.rank.map(|r| Rank { soft_deadline: r.soft_deadline + inst.now(), ..r });
        let mut channel = match (request.pinned, self.take_stream(request.stream)) {
            (true, Some(channel)) => channel,
            (true, None) => return Response::Broken("the transaction is gone".to_owned()),
            (false, _) => {
                let wait_deadline = (now + Duration::from_millis(request.wait_ms.into())).min(deadline);
                match open(inst, &up, request.owner, rank, request.slow, wait_deadline).await {
                    Ok(direct) => Channel::Direct(direct),
                    Err(response) => return response,
                }
            }
        };
        let values = Rc::new(request.values);
        let (sent, slow) = (inst.now(), request.slow);
        let sending = ChannelRequest {
            values: Some(&values),
            named: request.named.as_ref(),
            command: borrow_command(&request.command, request.named.as_ref()),
            rank,
            slow_after: slow,
            stall_timeout: up.stall_timeout(sent),
            deadline,
            progress: Some(progress),
        };
        let answer = match channel.run(inst, sending).await {
            Ok(answer) => answer,
            Err(e) => {
                up.record_run_error(&e, None, sent, inst.now());
                return e.into();
            }
        };
        up.record_answer(inst, &group, &answer, Exchange { sent_at: sent, slow_after: slow, direct: true });
        match answer.txn {
            TxnState::Idle => channel.release(),
            // A transaction that was abandoned in the meantime is rolled back, as are those of a closed link.
            TxnState::Open | TxnState::Failed if !self.sender.is_closed() && !progress.is_txn_abandoned() => {
                channel.pin();
                self.put_stream(request.stream, channel);
            }
            TxnState::Open | TxnState::Failed => {}
        }
        Response::Answer { answer, queued: up.has_queue() }
    }
}

fn find(inst: &Instance, server: &Name) -> Option<(Rc<Group>, Rc<Upstream>)> {
    inst.groups().into_iter().find_map(|group| {
        let up = group.servers().into_iter().find(|s| s.entry().id == *server)?;
        Some((group, up))
    })
}

/// Opens a connection and acquires a permit for another instance's statement; on failure, returns the response to send.
async fn open(
    inst: &Rc<Instance>,
    up: &Rc<Upstream>,
    owner: Owner,
    rank: Option<Rank>,
    slow: Micros,
    deadline: Instant,
) -> Result<Direct, Response> {
    inst.update_placement(up);
    if up.is_home_unreachable() {
        return Err(Response::NotSent("the server isn't reachable from here".to_owned()));
    }
    if up.pool.is_all_pinned() {
        return Err(Response::Busy);
    }
    let priority = rank.map_or(0, |r| r.priority);
    let want = ConnRequest { priority, deadline, values: None, owner: Some(owner) };
    Direct::open(inst, up, rank, slow, want).await.map_err(|e| match e {
        DirectError::Refused => Response::Refused,
        DirectError::TimedOut(_) | DirectError::Full => Response::Busy,
        DirectError::Unreachable(e) => {
            up.record_connect_failure(inst.now(), e.is_refusal());
            if e.is_refusal() { Response::Gone } else { Response::NotSent(e.to_string()) }
        }
    })
}

/// Converts a command of another instance to its borrowed form.
fn borrow_command<'a>(command: &'a Command, named: Option<&'a Prepared>) -> CommandRef<'a> {
    match command {
        Command::Statement { id, text, after } => {
            let text = match named {
                Some(named) => Text::Execute { name: &named.alias, args: text },
                None => Text::Plain(text),
            };
            CommandRef::Statement(Forward { id, text, after: *after })
        }
        Command::Order { order, after } => CommandRef::Order(order, *after),
    }
}

/// Sends an order of another instance to a server.
async fn order_server(inst: &Rc<Instance>, server: &ServerProcess, order: &Order) -> Response {
    let Some((group, up)) = find(inst, &server.id) else { return Response::Status(None) };
    inst.update_placement(&up);
    if up.is_home_unreachable() || up.entry().incarnation != server.incarnation {
        return Response::Status(None);
    }
    let status = match order {
        Order::Status => shared_status(inst, &group, &up).await,
        _ => send_direct(inst, &group, &up, order).await,
    };
    match status {
        None if up.refused_since().is_some() => Response::Gone,
        status => Response::Status(status),
    }
}

/// Returns a server's status, requested now or later; concurrent callers share one request. Returns none if the server
/// refuses connections or doesn't answer within [`STATUS_CONN_TIMEOUT`].
async fn shared_status(inst: &Instance, group: &Group, up: &Upstream) -> Option<Status> {
    let since = inst.now();
    up.request_status_since(since);
    let deadline = Instant::now() + STATUS_CONN_TIMEOUT;
    loop {
        let changed = group.changed.notified();
        match up.status() {
            Some((sent, status)) if sent >= since => return Some(status),
            _ if Instant::now() >= deadline || up.refused_since().is_some_and(|at| at >= since) => {
                return None;
            }
            // The status is checked once more after the deadline.
            _ => drop(timeout(STATUS_CONN_TIMEOUT, changed).await),
        }
    }
}

//! Statements that this instance runs for others.

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

/// A link, on the side that answers.
struct Served {
    inst: Rc<Instance>,
    sender: UnboundedSender<Message>,
    /// Transactions, by stream.
    streams: RefCell<Vec<(u64, Channel)>>,
    /// Turns that the other side has.
    turns: RefCell<Vec<(u64, Permit)>>,
    /// Questions that are being worked on and may be cancelled.
    asked: RefCell<Vec<Asked>>,
}

/// A question that is being worked on.
struct Asked {
    id: u64,
    /// The transaction that it begins or goes on with; none for a turn.
    stream: Option<u64>,
    progress: Rc<Progress>,
}

/// Accepts links of other instances until this instance ends.
pub async fn accept(inst: Rc<Instance>, listener: TcpListener) {
    accept_all(&listener, "accept link", |stream| serve(inst.clone(), stream)).await;
}

async fn serve(inst: Rc<Instance>, stream: TcpStream) {
    let Halves { mut reader, sender, last_received } = split(stream, inst.clock);
    let it = Rc::new(Served {
        inst,
        sender,
        streams: RefCell::default(),
        turns: RefCell::default(),
        asked: RefCell::default(),
    });
    while let Some(bytes) = it.receive(&mut reader, &last_received).await {
        let goes_on = Message::decode(&bytes).is_some_and(|message| it.take_in(message));
        if !goes_on {
            break;
        }
    }
    // Transactions of a link that is gone are rolled back as their connections close.
    it.streams.borrow_mut().clear();
    it.turns.borrow_mut().clear();
    it.give_up();
}

impl Served {
    /// The next message; none at the end of the link, or when it is silent and transactions rest on it.
    async fn receive(&self, reader: &mut Reader, last_received: &Cell<Micros>) -> Option<BytesMut> {
        loop {
            if let Ok(it) = timeout(STREAM_TIMEOUT, reader.next()).await {
                return it?.ok();
            }
            let silent = self.inst.now().saturating_sub(last_received.get());
            let transactions = self.streams.borrow().len();
            if transactions > 0 && silent >= micros(STREAM_TIMEOUT) {
                log::info!(step = "link", transactions; "another instance is silent; its transactions are rolled back");
                return None;
            }
        }
    }

    /// Takes a message in; says whether the link goes on.
    fn take_in(self: &Rc<Self>, message: Message) -> bool {
        match message {
            Message::Request { id, request: ask } => {
                let progress = self.expect(id, &ask);
                tokio::task::spawn_local(self.clone().attend(id, ask, progress));
            }
            Message::Overloaded { server } => {
                if let Some((_, up)) = find(&self.inst, &server) {
                    up.mark_overloaded(self.inst.now());
                }
            }
            Message::ReleasePermit { permit: turn } => self.end_turn(turn),
            Message::Drop { stream } => self.drop_stream(stream),
            Message::Heartbeat(it) => {
                drop(tokio::task::spawn_local(distribution::on_heartbeat(self.inst.clone(), it)))
            }
            // One that was answered meanwhile isn't known any longer.
            Message::Cancel { id } => self.cancel(id),
            // On a closed link nobody waits for it.
            Message::Ping => drop(self.sender.send(Message::Pong)),
            Message::Response { .. } | Message::Pong => return false,
        }
        true
    }

    /// Notes a question that may be cancelled from now on, be it with the next message.
    fn expect(&self, id: u64, ask: &Request) -> Rc<Progress> {
        let progress = Rc::new(Progress::default());
        let stream = match ask {
            Request::Run(it) => Some(it.stream),
            _ => None,
        };
        if ask.is_cancellable() {
            self.asked.borrow_mut().push(Asked { id, stream, progress: progress.clone() });
        }
        progress
    }

    /// Answers a question, unless it is cancelled before a server has anything of it.
    async fn attend(self: Rc<Self>, id: u64, ask: Request, progress: Rc<Progress>) {
        tokio::select! {
            biased;
            // First, as one that was cancelled at once needn't begin.
            () = progress.cancelled() => {
                self.inst.counters.increment(Count::Cancelled);
                self.tell(id, Response::Refused);
            }
            () = self.answer(id, ask, &progress) => {}
        }
        self.forget(id);
    }

    /// A question was answered.
    fn forget(&self, id: u64) {
        self.asked.borrow_mut().retain(|it| it.id != id);
    }

    /// Nobody waits for an answer.
    fn cancel(&self, id: u64) {
        if let Some(it) = self.asked.borrow().iter().find(|it| it.id == id) {
            it.progress.disconnect();
        }
    }

    /// A transaction was given up, be it while a statement of it is at its server.
    fn drop_stream(&self, stream: u64) {
        drop(self.take_stream(stream));
        for it in self.asked.borrow().iter().filter(|it| it.stream == Some(stream)) {
            it.progress.abandon_txn();
        }
    }

    /// The link has ended: nobody waits for its answers, or wants its transactions.
    fn give_up(&self) {
        for it in &*self.asked.borrow() {
            it.progress.abandon_txn();
            it.progress.disconnect();
        }
    }

    async fn answer(&self, id: u64, ask: Request, progress: &Progress) {
        let inst = &self.inst;
        let told = match ask {
            Request::Run(it) => self.run(*it, progress).await,
            Request::Permit(it) => return self.grant(id, it, progress).await,
            Request::Fetch(it) => upload::answer(inst, it).await,
            Request::Lend(it) => inst.quotas.handle_loan(inst, &it),
            Request::Claim(it) => inst.quotas.handle_claims(inst, &it),
            Request::State { group, wanted } => {
                Response::State(status_reports::collect(inst, &group, &wanted).await)
            }
            Request::Order { server, order } => order_server(inst, &server, &order).await,
        };
        self.tell(id, told);
    }

    /// Tells an answer; says whether the link is open. On a closed one the other side knows.
    fn tell(&self, id: u64, told: Response) -> bool {
        self.sender.send(Message::Response { id, response: told }).is_ok()
    }

    /// Hands out a turn, and takes it back after a while in any case.
    async fn grant(&self, id: u64, it: PermitRequest, progress: &Progress) {
        let inst = &self.inst;
        let Some((_, up)) = find(inst, &it.server) else {
            self.tell(id, Response::NotSent("unknown server".to_owned()));
            return;
        };
        if up.mark_overloaded(inst.now()) {
            announce_overload(inst, &up);
        }
        let rank = Rank { soft_deadline: it.rank.soft_deadline + inst.now(), ..it.rank };
        let until = Instant::now() + Duration::from_millis(it.wait_ms.into());
        let turn = up.shared_permits.acquire(rank, Some(it.slow), until).await;
        count_min_share_permits(inst, &up);
        match turn {
            PermitOutcome::Granted(mut permit) => {
                // Whether its statement runs isn't known here.
                permit.mark_sent();
                progress.set_sent();
                self.forget(id);
                // A link that has closed meanwhile needs no turn.
                if self
                    .tell(id, Response::Permit { permit: id, overloaded: up.shared_permits.is_overloaded() })
                {
                    self.turns.borrow_mut().push((id, permit));
                    sleep(MAX_PERMIT_TIME).await;
                    self.end_turn(id);
                }
            }
            PermitOutcome::Refused => drop(self.tell(id, Response::Refused)),
            PermitOutcome::TimedOut => drop(self.tell(id, Response::Busy)),
        }
    }

    fn end_turn(&self, turn: u64) {
        self.turns.borrow_mut().retain(|it| it.0 != turn);
    }

    fn take_stream(&self, stream: u64) -> Option<Channel> {
        let mut streams = self.streams.borrow_mut();
        let at = streams.binary_search_by_key(&stream, |it| it.0).ok()?;
        Some(streams.remove(at).1)
    }

    fn put_stream(&self, stream: u64, channel: Channel) {
        let mut streams = self.streams.borrow_mut();
        let at = streams.partition_point(|old| old.0 < stream);
        streams.insert(at, (stream, channel));
    }

    async fn run(&self, it: RunRequest, progress: &Progress) -> Response {
        let inst = &self.inst;
        let now = Instant::now();
        let end = now + Duration::from_millis(it.left_ms.into());
        let Some((group, up)) = find(inst, &it.server.id) else {
            return Response::NotSent("unknown server".to_owned());
        };
        // An open transaction goes on over the connection that it began on.
        if !it.pinned && up.entry().incarnation != it.server.incarnation {
            return Response::NotSent("another run of the server is known here".to_owned());
        }
        let rank = it.rank.map(|it| Rank { soft_deadline: it.soft_deadline + inst.now(), ..it });
        let mut channel = match (it.pinned, self.take_stream(it.stream)) {
            (true, Some(it)) => it,
            (true, None) => return Response::Broken("the transaction is gone".to_owned()),
            (false, _) => {
                let until = (now + Duration::from_millis(it.wait_ms.into())).min(end);
                match reach(inst, &up, it.owner, rank, it.slow, until).await {
                    Ok(it) => Channel::Direct(it),
                    Err(told) => return told,
                }
            }
        };
        let values = Rc::new(it.values);
        let (sent, slow) = (inst.now(), it.slow);
        let sending = ChannelRequest {
            values: Some(&values),
            named: it.named.as_ref(),
            command: what(&it.command, it.named.as_ref()),
            rank,
            slow_after: slow,
            stall_timeout: up.stall_timeout(sent),
            deadline: end,
            progress: Some(progress),
        };
        let answer = match channel.run(inst, sending).await {
            Ok(it) => it,
            Err(e) => {
                up.record_run_error(&e, None, sent, inst.now());
                return e.into();
            }
        };
        up.record_answer(inst, &group, &answer, Exchange { sent_at: sent, slow_after: slow, direct: true });
        match answer.txn {
            TxnState::Idle => channel.release(),
            // One that was given up meanwhile is rolled back, as are those of a link that has closed.
            TxnState::Open | TxnState::Failed if !self.sender.is_closed() && !progress.is_txn_abandoned() => {
                channel.pin();
                self.put_stream(it.stream, channel);
            }
            TxnState::Open | TxnState::Failed => {}
        }
        Response::Answer { answer, queued: up.has_queue() }
    }
}

fn find(inst: &Instance, server: &Name) -> Option<(Rc<Group>, Rc<Upstream>)> {
    inst.groups().into_iter().find_map(|group| {
        let it = group.servers().into_iter().find(|it| it.entry().id == *server)?;
        Some((group, it))
    })
}

/// A connection of this instance for another's statement, with a turn; or what the other is told instead.
async fn reach(
    inst: &Rc<Instance>,
    up: &Rc<Upstream>,
    owner: Owner,
    rank: Option<Rank>,
    slow: Micros,
    until: Instant,
) -> Result<Direct, Response> {
    inst.update_placement(up);
    if up.is_home_unreachable() {
        return Err(Response::NotSent("the server isn't reachable from here".to_owned()));
    }
    if up.pool.is_all_pinned() {
        return Err(Response::Busy);
    }
    let priority = rank.map_or(0, |it| it.priority);
    let want = ConnRequest { priority, deadline: until, values: None, owner: Some(owner) };
    Direct::open(inst, up, rank, slow, want).await.map_err(|e| match e {
        DirectError::Refused => Response::Refused,
        DirectError::TimedOut(_) | DirectError::Full => Response::Busy,
        DirectError::Unreachable(e) => {
            up.record_connect_failure(inst.now(), e.is_refusal());
            if e.is_refusal() { Response::Gone } else { Response::NotSent(e.to_string()) }
        }
    })
}

/// What is sent for another instance.
fn what<'a>(it: &'a Command, named: Option<&'a Prepared>) -> CommandRef<'a> {
    match it {
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

/// A server's account of itself; those who ask at the same time share one question.
async fn shared_status(inst: &Instance, group: &Group, up: &Upstream) -> Option<Status> {
    let since = inst.now();
    up.request_status_since(since);
    let end = Instant::now() + STATUS_CONN_TIMEOUT;
    loop {
        let changed = group.changed.notified();
        match up.status() {
            Some((sent, status)) if sent >= since => return Some(status),
            _ if Instant::now() >= end || up.refused_since().is_some_and(|at| at >= since) => return None,
            // At its end the loop looks once more.
            _ => drop(timeout(STATUS_CONN_TIMEOUT, changed).await),
        }
    }
}

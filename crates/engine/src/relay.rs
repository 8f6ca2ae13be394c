//! Statements that this instance runs for others.

use {
    crate::{
        ask::give_direct,
        channel::{Channel, Direct, NoWay, Sending, What},
        dispatch::{TURN_MOST, tell_homes},
        group::Group,
        handout,
        instance::{Instance, Micros, accept_all, micros},
        link::{Halves, STREAM_SILENCE, halves},
        message::{Ask, Message, Run, Sent, Told},
        model::{Order, Status, TxnState},
        pool::Want,
        ports::{Forward, Text},
        session::Prepared,
        settings::ASK_WAIT,
        spread,
        turnstile::{Permit, Turn},
        upstream::{Exchange, Upstream},
    },
    futures::StreamExt,
    pondtrack_core::turn::Rank,
    pondtrack_proto::Name,
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc::UnboundedSender,
        time::{Instant, sleep, timeout},
    },
};

/// The transactions of one link, by stream.
type Streams = Rc<RefCell<Vec<(u64, Channel)>>>;
/// The turns that the other side of a link has.
type HeldTurns = Rc<RefCell<Vec<(u64, Permit)>>>;

/// Accepts links of other instances until this instance ends.
pub async fn accept(inst: Rc<Instance>, listener: TcpListener) {
    accept_all(&listener, "accept link", |stream| serve(inst.clone(), stream)).await;
}

async fn serve(inst: Rc<Instance>, stream: TcpStream) {
    let Halves { mut reader, out, heard } = halves(stream, inst.clock);
    let streams = Streams::default();
    let held = HeldTurns::default();
    loop {
        let bytes = match timeout(STREAM_SILENCE, reader.next()).await {
            Ok(Some(Ok(it))) => it,
            Ok(Some(Err(_)) | None) => break,
            Err(_) if streams.borrow().is_empty() => continue,
            Err(_) if inst.now().saturating_sub(heard.get()) < micros(STREAM_SILENCE) => continue,
            Err(_) => {
                log::info!(step = "link", transactions = streams.borrow().len(); "another instance is silent; its transactions are rolled back");
                break;
            }
        };
        match Message::decode(&bytes) {
            Some(Message::Ask { id, ask }) => {
                tokio::task::spawn_local(answer(
                    inst.clone(),
                    streams.clone(),
                    held.clone(),
                    out.clone(),
                    id,
                    ask,
                ));
            }
            Some(Message::Crowded { server }) => {
                if let Some((_, up)) = find(&inst, &server) {
                    up.crowd(inst.now());
                }
            }
            Some(Message::EndTurn { turn }) => held.borrow_mut().retain(|it| it.0 != turn),
            Some(Message::Drop { stream }) => drop(take(&streams, stream)),
            Some(Message::Beat(it)) => {
                tokio::task::spawn_local(spread::heard(inst.clone(), it));
            }
            Some(Message::Ping) => {
                out.send(Message::Pong).ok();
            }
            Some(Message::Told { .. } | Message::Pong) | None => break,
        }
    }
    // Transactions of a link that is gone are rolled back as their connections close.
    streams.borrow_mut().clear();
    held.borrow_mut().clear();
}

/// Hands out a turn, and takes it back after a while in any case.
#[expect(clippy::too_many_arguments, reason = "a message's fields")]
async fn grant(
    inst: &Rc<Instance>,
    held: &HeldTurns,
    out: &UnboundedSender<Message>,
    id: u64,
    server: &Name,
    rank: Rank,
    slow: Micros,
    wait: Duration,
) {
    let told = |told| out.send(Message::Told { id, told }).is_ok();
    let Some((_, up)) = find(inst, server) else {
        told(Told::NotSent("unknown server".to_owned()));
        return;
    };
    if up.crowd(inst.now()) {
        tell_homes(inst, &up);
    }
    let rank = Rank { aim: rank.aim + inst.now(), ..rank };
    match up.shared.enter(rank, Some(slow), Instant::now() + wait).await {
        Turn::Granted(permit) => {
            // A link that has closed meanwhile needs no turn.
            if told(Told::Turn { turn: id, crowded: up.shared.is_crowded() }) {
                held.borrow_mut().push((id, permit));
                sleep(TURN_MOST).await;
                held.borrow_mut().retain(|it| it.0 != id);
            }
        }
        Turn::Refused => drop(told(Told::Refused)),
        Turn::Late => drop(told(Told::Busy)),
    }
}

async fn answer(
    inst: Rc<Instance>,
    streams: Streams,
    held: HeldTurns,
    out: UnboundedSender<Message>,
    id: u64,
    ask: Ask,
) {
    let told = match ask {
        Ask::Run(it) => run(&inst, &streams, &out, *it).await,
        Ask::Turn { server, rank, slow, wait_ms } => {
            let wait = Duration::from_millis(wait_ms.into());
            return grant(&inst, &held, &out, id, &server, rank, slow, wait).await;
        }
        Ask::Fetch(it) => handout::answer(&inst, it).await,
        Ask::Order { server, order } => order_server(&inst, &server, &order).await,
    };
    // The link may have closed meanwhile; its other side knows.
    out.send(Message::Told { id, told }).ok();
}

fn take(streams: &Streams, stream: u64) -> Option<Channel> {
    let mut streams = streams.borrow_mut();
    let at = streams.binary_search_by_key(&stream, |it| it.0).ok()?;
    Some(streams.remove(at).1)
}

fn find(inst: &Instance, server: &Name) -> Option<(Rc<Group>, Rc<Upstream>)> {
    inst.groups().into_iter().find_map(|group| {
        let it = group.servers().into_iter().find(|it| it.entry().id == *server)?;
        Some((group, it))
    })
}

async fn run(inst: &Rc<Instance>, streams: &Streams, out: &UnboundedSender<Message>, it: Run) -> Told {
    let now = Instant::now();
    let end = now + Duration::from_millis(it.left_ms.into());
    let Some((group, up)) = find(inst, &it.server) else { return Told::NotSent("unknown server".to_owned()) };
    let rank = it.rank.map(|it| Rank { aim: it.aim + inst.now(), ..it });
    let mut channel = match (it.pinned, take(streams, it.stream)) {
        (true, Some(it)) => it,
        (true, None) => return Told::Broken("the transaction is gone".to_owned()),
        (false, _) => {
            let until = (now + Duration::from_millis(it.wait_ms.into())).min(end);
            match reach(inst, &up, rank, it.slow, until).await {
                Ok(it) => Channel::Direct(it),
                Err(told) => return told,
            }
        }
    };
    let values = Rc::new(it.values);
    let (sent, slow) = (inst.now(), it.slow);
    let sending = Sending {
        values: Some(&values),
        named: it.named.as_ref(),
        what: what(&it.what, it.named.as_ref()),
        rank,
        slow,
        overdue: up.overdue(sent),
        end,
    };
    let answer = match channel.run(inst, sending).await {
        Ok(it) => it,
        Err(e) => {
            up.missed(&e, None, sent, inst.now());
            return e.into();
        }
    };
    up.judge(inst, &group, &answer, Exchange { sent, slow, direct: true });
    match answer.txn {
        TxnState::Idle => channel.give_back(),
        // A link that has closed meanwhile takes its transactions with it.
        TxnState::Open | TxnState::Failed if !out.is_closed() => {
            channel.pin();
            let mut streams = streams.borrow_mut();
            let at = streams.partition_point(|old| old.0 < it.stream);
            streams.insert(at, (it.stream, channel));
        }
        TxnState::Open | TxnState::Failed => {}
    }
    Told::Answer { answer, queued: up.is_queued() }
}

/// A connection of this instance for another's statement, with a turn; or what the other is told instead.
async fn reach(
    inst: &Rc<Instance>,
    up: &Rc<Upstream>,
    rank: Option<Rank>,
    slow: Micros,
    until: Instant,
) -> Result<Direct, Told> {
    inst.place(up);
    if up.is_lost() {
        return Err(Told::NotSent("the server isn't reachable from here".to_owned()));
    }
    if up.pool.is_pinned() {
        return Err(Told::Busy);
    }
    let want = Want { priority: rank.map_or(0, |it| it.priority), until, values: None };
    Direct::reach(inst, up, rank, slow, want).await.map_err(|e| match e {
        NoWay::Refused => Told::Refused,
        NoWay::Late(_) | NoWay::Full => Told::Busy,
        NoWay::Unreachable(e) => {
            up.failed(inst.now(), e.is_refusal());
            if e.is_refusal() { Told::Gone } else { Told::NotSent(e.to_string()) }
        }
    })
}

/// What is sent for another instance.
fn what<'a>(it: &'a Sent, named: Option<&'a Prepared>) -> What<'a> {
    match it {
        Sent::Statement { id, text, after } => {
            let text = match named {
                Some(named) => Text::Execute { name: &named.alias, args: text },
                None => Text::Plain(text),
            };
            What::Forward(Forward { id, text, after: *after })
        }
        Sent::Order { order, after } => What::Order(order, *after),
    }
}

async fn order_server(inst: &Rc<Instance>, server: &Name, order: &Order) -> Told {
    let Some((group, up)) = find(inst, server) else { return Told::Status(None) };
    inst.place(&up);
    if up.is_lost() {
        return Told::Status(None);
    }
    let status = match order {
        Order::Status => shared_status(inst, &group, &up).await,
        _ => give_direct(inst, &group, &up, order).await,
    };
    match status {
        None if up.refused().is_some() => Told::Gone,
        status => Told::Status(status),
    }
}

/// A server's account of itself; those who ask at the same time share one question.
async fn shared_status(inst: &Instance, group: &Group, up: &Upstream) -> Option<Status> {
    let since = inst.now();
    up.ask_after(since);
    let end = Instant::now() + ASK_WAIT;
    loop {
        let changed = group.changed.notified();
        match up.status() {
            Some((sent, status)) if sent >= since => return Some(status),
            _ if Instant::now() >= end || up.refused().is_some_and(|at| at >= since) => return None,
            // At its end the loop looks once more.
            _ => drop(timeout(ASK_WAIT, changed).await),
        }
    }
}

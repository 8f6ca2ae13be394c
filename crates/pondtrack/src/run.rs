//! Asking an instance.

use {
    crate::{
        command::{self, Command, Options},
        error::{CliError, Kind},
        show,
    },
    jsonrpsee::{
        core::client::Error,
        http_client::{HttpClient, HttpClientBuilder},
    },
    pondtrack_edge::operator::{OperatorClient, code},
    pondtrack_proto::{GroupSpec, Intent, Name, Plan, PlanState},
    serde::Serialize,
    std::{path::Path, time::Duration},
    tokio::time::sleep,
};

/// Time for an answer.
const LIMIT: Duration = Duration::from_secs(10);
/// Between two looks at a plan.
const LOOK: Duration = Duration::from_millis(150);

/// Runs a command; hands back what to print.
pub async fn run(options: &Options) -> Result<String, CliError> {
    let look = show::Style { colour: show::has_colour(options.colour), json: options.json };
    if let Command::Check { file } = &options.command {
        let spec = read_group(file)?;
        return Ok(format!(
            "{} is accepted: group {} with {} servers\n",
            file.display(),
            spec.name,
            spec.servers.len()
        ));
    }
    let client = connect(options)?;
    let who = Name::from(options.operator.as_str());
    match &options.command {
        Command::Status => print(&look, &asked(client.status().await)?, |it| show::status(&look, it)),
        Command::Plan(intent) => {
            let it = asked(client.propose(who, read_intent(intent)?).await)?;
            print(&look, &it, |it| show::proposed_plan(&look, it))
        }
        Command::Confirm { plan, no_watch } => {
            let it = asked(client.confirm(who, plan.as_str().into()).await)?;
            if *no_watch {
                print(&look, &it, |it| show::plan(&look, it))
            } else {
                watch(&client, &look, plan).await
            }
        }
        Command::Abort { plan } => {
            let it = asked(client.abort(who, plan.as_str().into()).await)?;
            print(&look, &it, |it| show::plan(&look, it))
        }
        Command::Watch { plan } => watch(&client, &look, plan).await,
        Command::Plans { plan: Some(plan) } => {
            let it = asked(client.plans(Some(plan.as_str().into())).await)?;
            print(&look, &it, |it| it.iter().map(|it| show::plan(&look, it)).collect())
        }
        Command::Plans { plan: None } => {
            print(&look, &asked(client.plans(None).await)?, |it| show::plans(&look, it))
        }
        Command::Explain { subject } => {
            let it = asked(client.explain(subject.as_deref().map(Name::from)).await)?;
            print(&look, &it, |it| show::decisions(&look, it))
        }
        Command::Check { .. } => Ok(String::new()),
    }
}

fn connect(options: &Options) -> Result<HttpClient, CliError> {
    let url = format!("http://{}", options.at);
    let built = HttpClientBuilder::default().request_timeout(LIMIT).build(url);
    built.map_err(|e| CliError::new(Kind::Usage, e.to_string()))
}

/// Turns an answer's error into one for people.
fn asked<T>(it: Result<T, Error>) -> Result<T, CliError> {
    it.map_err(|e| match e {
        Error::Call(it) => {
            let kind = match it.code() {
                code::REFUSED => Kind::Refused,
                code::RACED => Kind::Raced,
                _ => Kind::Unavailable,
            };
            CliError::new(kind, it.message())
        }
        other => CliError::new(Kind::Unavailable, other.to_string())
            .hint("name a running instance: pondtrack --at ADDRESS, or set PONDTRACK_AT"),
    })
}

fn print<T: Serialize>(
    look: &show::Style,
    it: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<String, CliError> {
    if !look.json {
        return Ok(text(it));
    }
    let json =
        serde_json::to_string_pretty(it).map_err(|e| CliError::new(Kind::Unavailable, e.to_string()))?;
    Ok(format!("{json}\n"))
}

async fn watch(client: &HttpClient, look: &show::Style, name: &str) -> Result<String, CliError> {
    let mut said = 0;
    loop {
        let all = asked(client.plans(Some(name.into())).await)?;
        let Some(it) = all.into_iter().next() else {
            return Err(CliError::new(Kind::Refused, format!("there is no plan {name:?}")));
        };
        if !look.json {
            for line in it.log.iter().skip(said) {
                eprintln!("{}", show::log_line(line));
            }
            said = it.log.len();
        }
        if it.state != PlanState::Running {
            return ended(look, &it);
        }
        sleep(LOOK).await;
    }
}

fn ended(look: &show::Style, it: &Plan) -> Result<String, CliError> {
    match it.state {
        PlanState::Failed => {
            let why = it.log.last().map_or("no reason is recorded", |it| it.as_str());
            Err(CliError::new(Kind::Failed, format!("plan {} failed: {}", it.name, show::log_line(why)))
                .hint(format!("pondtrack explain {}", it.name)))
        }
        _ => print(look, it, |it| show::plan(look, it)),
    }
}

fn read_intent(it: &command::Intent) -> Result<Intent, CliError> {
    let name = |it: &String| Name::from(it.as_str());
    Ok(match it {
        command::Intent::Drain { group, server } => {
            Intent::Drain { group: name(group), server: name(server) }
        }
        command::Intent::Return { group, server } => {
            Intent::Return { group: name(group), server: name(server) }
        }
        command::Intent::Switch { group, server } => {
            Intent::Switch { group: name(group), server: name(server) }
        }
        command::Intent::Stop { instance } => Intent::Stop { instance: name(instance) },
        command::Intent::Configure { file } => Intent::Configure { spec: read_group(file)? },
    })
}

/// Reads a group's configuration from a file and checks it.
pub fn read_group(file: &Path) -> Result<GroupSpec, CliError> {
    let text =
        std::fs::read(file).map_err(|e| CliError::new(Kind::Usage, format!("{}: {e}", file.display())))?;
    GroupSpec::parse(&text).map_err(|e| {
        CliError::new(Kind::Usage, format!("{}: {e}", file.display()))
            .hint("docs/operators/configuration.md shows a whole group")
    })
}

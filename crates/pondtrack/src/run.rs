//! Execution of commands through the operator interface of an instance.

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

/// Timeout of a request to the instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two polls of a plan.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Runs a command. Returns the text to print on standard output.
pub async fn run(options: &Options) -> Result<String, CliError> {
    let style = show::Style { colour: show::has_colour(options.colour), json: options.json };
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
    let operator = Name::from(options.operator.as_str());
    match &options.command {
        Command::Status => print(&style, &call_result(client.status().await)?, |s| show::status(&style, s)),
        Command::Plan(intent) => {
            let plan = call_result(client.propose(operator, read_intent(intent)?).await)?;
            print(&style, &plan, |plan| show::proposed_plan(&style, plan))
        }
        Command::Confirm { plan, no_watch } => {
            let confirmed = call_result(client.confirm(operator, plan.as_str().into()).await)?;
            if *no_watch {
                print(&style, &confirmed, |plan| show::plan(&style, plan))
            } else {
                watch(&client, &style, plan).await
            }
        }
        Command::Abort { plan } => {
            let aborted = call_result(client.abort(operator, plan.as_str().into()).await)?;
            print(&style, &aborted, |plan| show::plan(&style, plan))
        }
        Command::Watch { plan } => watch(&client, &style, plan).await,
        Command::Plans { plan: Some(plan) } => {
            let plans = call_result(client.plans(Some(plan.as_str().into())).await)?;
            print(&style, &plans, |plans| plans.iter().map(|plan| show::plan(&style, plan)).collect())
        }
        Command::Plans { plan: None } => {
            print(&style, &call_result(client.plans(None).await)?, |plans| show::plans(&style, plans))
        }
        Command::Explain { subject } => {
            let decisions = call_result(client.explain(subject.as_deref().map(Name::from)).await)?;
            print(&style, &decisions, |decisions| show::decisions(&style, decisions))
        }
        Command::Check { .. } => Ok(String::new()),
    }
}

fn connect(options: &Options) -> Result<HttpClient, CliError> {
    let url = format!("http://{}", options.at);
    let client = HttpClientBuilder::default().request_timeout(REQUEST_TIMEOUT).build(url);
    client.map_err(|e| CliError::new(Kind::Usage, e.to_string()))
}

/// Converts the error of a call to an error that is shown to the operator.
fn call_result<T>(result: Result<T, Error>) -> Result<T, CliError> {
    result.map_err(|e| match e {
        Error::Call(error) => {
            let kind = match error.code() {
                code::REFUSED => Kind::Refused,
                code::RACED => Kind::Raced,
                _ => Kind::Unavailable,
            };
            CliError::new(kind, error.message())
        }
        other => CliError::new(Kind::Unavailable, other.to_string())
            .hint("name a running instance: pondtrack --at ADDRESS, or set PONDTRACK_AT"),
    })
}

fn print<T: Serialize>(
    style: &show::Style,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<String, CliError> {
    if !style.json {
        return Ok(text(value));
    }
    let json =
        serde_json::to_string_pretty(value).map_err(|e| CliError::new(Kind::Unavailable, e.to_string()))?;
    Ok(format!("{json}\n"))
}

async fn watch(client: &HttpClient, style: &show::Style, name: &str) -> Result<String, CliError> {
    let mut printed = 0;
    loop {
        let plans = call_result(client.plans(Some(name.into())).await)?;
        let Some(plan) = plans.into_iter().next() else {
            return Err(CliError::new(Kind::Refused, format!("there is no plan {name:?}")));
        };
        if !style.json {
            for line in plan.log.iter().skip(printed) {
                eprintln!("{}", show::log_line(line));
            }
            printed = plan.log.len();
        }
        if plan.state != PlanState::Running {
            return plan_result(style, &plan);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Formats a plan that has ended. Returns an error if the plan failed.
fn plan_result(style: &show::Style, plan: &Plan) -> Result<String, CliError> {
    match plan.state {
        PlanState::Failed => {
            let reason = plan.log.last().map_or("no reason is recorded", |line| line.as_str());
            Err(CliError::new(Kind::Failed, format!("plan {} failed: {}", plan.name, show::log_line(reason)))
                .hint(format!("pondtrack explain {}", plan.name)))
        }
        _ => print(style, plan, |plan| show::plan(style, plan)),
    }
}

/// Converts an intent of the command line to that of the operator interface. Reads the file of `configure`.
fn read_intent(intent: &command::Intent) -> Result<Intent, CliError> {
    let name = |s: &String| Name::from(s.as_str());
    Ok(match intent {
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

/// Reads and validates the configuration of a group from a file.
pub fn read_group(file: &Path) -> Result<GroupSpec, CliError> {
    let text =
        std::fs::read(file).map_err(|e| CliError::new(Kind::Usage, format!("{}: {e}", file.display())))?;
    GroupSpec::parse(&text).map_err(|e| {
        CliError::new(Kind::Usage, format!("{}: {e}", file.display()))
            .hint("docs/operators/configuration.md shows a whole group")
    })
}

//! `yuccactl explain`: tells where nodes would send a request now, and why, without sending it.

use std::fmt;
use std::net::SocketAddr;

use clap::Args;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header::HOST;
use serde::Serialize;
use yuccatray::protocol::explain::ExplainRequest;
use yuccatray::protocol::explain::Explanation;
use yuccatray::transport::admin_client;

use crate::CommandContext;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::commands::explain_text::print_explanation;
use crate::output::OutputFormat;
use crate::output::print_json;

/// Tells where nodes would send a request now, and why, without sending it.
#[derive(Args)]
pub struct ExplainArgs {
    // The arguments are texts, since an error about a parsed one quotes it, and it may hold a key.
    /// Method of the request.
    method: String,
    /// URL of the request, such as `http://shop.example/shop/1`.
    url: String,
    // Taken up here, since the error of the parser about an unexpected argument quotes it.
    #[arg(hide = true)]
    extra: Vec<String>,
    /// Header field of the request, as 'Name: value'; may be repeated.
    #[arg(long = "header", short = 'H', value_name = "FIELD")]
    headers: Vec<String>,
    /// Admin address of a node; may be repeated.
    #[arg(long, env = "YUCCATRAY_NODE", default_value = "127.0.0.1:7301", value_delimiter = ',')]
    node: Vec<SocketAddr>,
}

/// Prints no value, since one may be a key.
impl fmt::Debug for ExplainArgs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ExplainArgs").field("node", &self.node).finish_non_exhaustive()
    }
}

/// Explanation of one node.
#[derive(Debug, Serialize)]
struct NodeExplanation {
    admin_addr: SocketAddr,
    #[serde(flatten)]
    explanation: Explanation,
}

/// A node that did not explain the request, with the reason.
#[derive(Debug, Serialize)]
struct NodeFailure {
    admin_addr: SocketAddr,
    reason: String,
}

/// Explanations of all nodes that gave one.
#[derive(Debug, Default, Serialize)]
struct Explanations {
    explanations: Vec<NodeExplanation>,
    failed: Vec<NodeFailure>,
}

/// Runs `yuccactl explain`.
pub async fn cmd_explain(context: &CommandContext, args: &ExplainArgs) -> Result<()> {
    let request = parse_request(args)?;
    let explanations = collect_explanations(context, &args.node, &request).await;
    if context.output == OutputFormat::Json {
        print_json(&explanations);
    } else {
        for (index, node) in explanations.explanations.iter().enumerate() {
            if index > 0 {
                println!();
            }
            print_explanation(node.admin_addr, &node.explanation);
        }
    }
    let failures = explanations.failed.iter();
    let failures: Vec<String> =
        failures.map(|failure| format!("node at {}: {}", failure.admin_addr, failure.reason)).collect();
    if failures.is_empty() {
        return Ok(());
    }
    Err(CliError::NotExplained { failures: failures.join("; ") })
}

/// Asks all nodes at the same time.
async fn collect_explanations(
    context: &CommandContext,
    nodes: &[SocketAddr],
    request: &ExplainRequest,
) -> Explanations {
    let timeout = context.request_timeout;
    let asks = nodes.iter().map(|addr| {
        let (addr, request) = (*addr, request.clone());
        let ask = tokio::spawn(async move { admin_client::explain(addr, &request, timeout).await });
        (addr, ask)
    });
    let asks: Vec<_> = asks.collect();
    let mut explanations = Explanations::default();
    for (admin_addr, ask) in asks {
        let reason = match ask.await {
            Ok(Ok(explanation)) => {
                explanations.explanations.push(NodeExplanation { admin_addr, explanation });
                continue;
            }
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        explanations.failed.push(NodeFailure { admin_addr, reason });
    }
    explanations
}

/// Returns the request that the arguments describe. Errors quote no argument, since it may hold a key.
fn parse_request(args: &ExplainArgs) -> Result<ExplainRequest> {
    if Method::from_bytes(args.method.as_bytes()).is_err() {
        return Err(usage("the method is not valid", "a method is a word such as GET"));
    }
    if !args.extra.is_empty() {
        let hint = "a header field follows -H, in quotes";
        return Err(usage("there are more arguments than a method and a URL", hint));
    }
    let hint = "a URL has the form http://HOST/PATH, without a user or password";
    let uri = args.url.parse::<Uri>().map_err(|_invalid| usage("the URL is not valid", hint))?;
    let host = uri.authority().filter(|host| uri.scheme().is_some() && !host.as_str().contains('@'));
    let host = host.ok_or_else(|| usage("the URL has no scheme or host, or also a user", hint))?;
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let fields = args.headers.iter().enumerate();
    let fields = fields.map(|(index, field)| parse_field(index + 1, field)).collect::<Result<_>>()?;
    Ok(ExplainRequest { method: args.method.clone(), host: host.to_string(), path: path.to_owned(), fields })
}

fn parse_field(number: usize, field: &str) -> Result<(String, String)> {
    let hint = "a header field has the form 'Name: value'; the host comes from the URL";
    let invalid = || usage(&format!("header field {number} is not valid"), hint);
    let (name, value) = field.split_once(':').ok_or_else(invalid)?;
    let (name, value) = (name.trim(), value.trim());
    let parsed_name = HeaderName::from_bytes(name.as_bytes()).ok().filter(|name| *name != HOST);
    if parsed_name.is_none() || HeaderValue::from_str(value).is_err() {
        return Err(invalid());
    }
    Ok((name.to_owned(), value.to_owned()))
}

fn usage(message: &str, hint: &str) -> CliError {
    CliError::Usage { message: message.to_owned(), hint: hint.to_owned() }
}

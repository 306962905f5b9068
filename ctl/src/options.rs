//! The command line, defined in one place.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, crate_version, value_parser};

/// Builds the command line.
#[must_use]
pub fn build_command() -> Command {
    Command::new("merlinctl")
        .version(crate_version!())
        .about("Administers merlinrudder and runs experiments with it")
        .subcommand_required(true)
        .subcommand(check())
        .subcommand(publish())
        .subcommand(status())
        .subcommand(keys())
        .subcommand(fake())
        .subcommand(load())
        .subcommand(overhead())
        .subcommand(replay())
        .subcommand(report())
        .subcommand(slopes())
        .subcommand(soak())
        .subcommand(demo())
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn admin_options(command: Command) -> Command {
    command
        .arg(option("admin", "ADDRESS", "Operators' address of any VM").required(true))
        .arg(
            option("token", "TOKEN", "Token of operators")
                .required(true)
                .env("MERLINCTL_TOKEN")
                .hide_env_values(true),
        )
}

fn soak() -> Command {
    Command::new("soak")
        .about("Let faults happen to processes of the platform's roles, and check what must hold")
        .arg(option("seed", "NUMBER", "First seed").default_value("1"))
        .arg(
            option(
                "seeds",
                "NUMBER",
                "How many seeds to play, one after the other",
            )
            .default_value("1"),
        )
        .arg(option("seconds", "NUMBER", "Time of faults for each seed").default_value("20"))
}

fn check() -> Command {
    Command::new("check")
        .about("Check a manifest whole, without publishing it")
        .arg(path("manifest", "Manifest document"))
}

fn publish() -> Command {
    let command = Command::new("publish")
        .about("Publish a manifest and say where it is in force")
        .arg(path("manifest", "Manifest document"));
    admin_options(command)
}

fn status() -> Command {
    admin_options(Command::new("status").about("Say how a VM is and what it knows of the others"))
}

fn keys() -> Command {
    Command::new("keys")
        .about("Make the authority, or a certificate for each VM named")
        .arg(path("folder", "Folder of the key files"))
        .arg(Arg::new("vms").num_args(0..).help("Ids of VMs"))
}

fn fake() -> Command {
    let announce = |command: Command| {
        command
            .arg(option("id", "NAME", "Name of the backend server").required(true))
            .arg(option("service", "NAME", "Service that it offers").required(true))
            .arg(option("zone", "NAME", "Availability zone").required(true))
            .arg(
                option(
                    "announce",
                    "ADDRESSES",
                    "VMs' addresses for backend servers, with commas",
                )
                .required(true)
                .value_delimiter(','),
            )
            .arg(option("token", "TOKEN", "Token of backend servers").required(true))
            .arg(listen())
    };
    let engine = announce(Command::new("engine").about("Run a stand-in engine"))
        .arg(option("speed", "FACTOR", "Speed against real time").default_value("1"))
        .arg(option("memory", "TOKENS", "Memory").default_value("400000"))
        .arg(option("slots", "COUNT", "Requests side by side").default_value("32"))
        .arg(option("lag-ms", "MS", "Delay of load reports").default_value("500"))
        .arg(
            Arg::new("ignores-fencing")
                .long("ignores-fencing")
                .action(ArgAction::SetTrue)
                .help("Obey orders with an old fencing number"),
        );
    let app = announce(Command::new("app").about("Run a stand-in application"))
        .arg(option("call-ms", "MS", "Time of one call").default_value("5"));
    let weights = Command::new("weights")
        .about("Run a stand-in weight store")
        .arg(listen())
        .arg(option("rate", "COUNT", "Downloads in a second").default_value("1"))
        .arg(option("burst", "COUNT", "Downloads at once").default_value("2"));
    Command::new("fake")
        .about("Run a stand-in of an outside system")
        .subcommand_required(true)
        .subcommand(engine)
        .subcommand(app)
        .subcommand(weights)
}

fn listen() -> Arg {
    option("listen", "ADDRESS", "Address to listen on")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
}

fn load() -> Command {
    Command::new("load")
        .about("Put an open-loop load on running VMs and measure it")
        .arg(
            option(
                "callers",
                "ADDRESSES",
                "VMs' addresses for callers, with commas",
            )
            .required(true)
            .value_delimiter(','),
        )
        .arg(
            option("tokens", "TOKENS", "Customers' tokens, with commas")
                .required(true)
                .value_delimiter(','),
        )
        .arg(option("model", "NAME", "Service or model").required(true))
        .arg(option("rate", "COUNT", "Requests in a second").default_value("10"))
        .arg(option("seconds", "COUNT", "Length of the run").default_value("10"))
        .arg(
            option("mix", "LIST", "Prompt tokens and weights")
                .default_value("1000:90,30000:8,200000:2"),
        )
        .arg(option("max-tokens", "COUNT", "Most tokens of an answer").default_value("64"))
        .arg(option(
            "trace",
            "FILE",
            "JSON lines with at_ms, prompt_tokens, max_tokens",
        ))
        .arg(option("seed", "NUMBER", "Seed of the mix").default_value("1"))
        .arg(option("output", "FILE", "Where the result goes, as JSON"))
}

fn overhead() -> Command {
    Command::new("overhead")
        .about("Compare the time to first token through a VM with a direct call to an engine")
        .arg(option("callers", "ADDRESS", "VM's address for callers").required(true))
        .arg(option("customer-token", "TOKEN", "Customer's token").required(true))
        .arg(option("model", "NAME", "Service or model").required(true))
        .arg(option("engine", "ADDRESS", "Address of a stand-in engine").required(true))
        .arg(option("count", "COUNT", "Calls of each kind").default_value("500"))
        .arg(option("prompt-tokens", "COUNT", "Tokens of a prompt").default_value("1000"))
}

fn replay() -> Command {
    Command::new("replay")
        .about("Replay traces against the dispatcher and baselines, on one clock")
        .arg(
            Arg::new("trace")
                .default_value("all")
                .help("Name of a trace, all, or a .json file"),
        )
        .arg(
            option("policy", "NAMES", "Policies, with commas")
                .default_value("first-token,short-slowdown,round-robin,least-loaded,first-come"),
        )
        .arg(
            option("load", "SHARE", "Offered load against the fleet's capacity")
                .default_value("0.8"),
        )
        .arg(option("seconds", "COUNT", "Length of a trace").default_value("300"))
        .arg(option("engines", "COUNT", "Engines").default_value("16"))
        .arg(option("seed", "NUMBER", "Seed").default_value("1"))
        .arg(option("output", "FILE", "Where the results go, as JSON"))
}

fn report() -> Command {
    Command::new("report")
        .about("Draw the results of load runs as SVG")
        .arg(path("output", "SVG file"))
        .arg(
            Arg::new("results")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Results of load runs"),
        )
}

fn slopes() -> Command {
    Command::new("slopes")
        .about("Measure what control costs a VM; run it once for each size")
        .arg(
            option(
                "sizes",
                "COUNTS",
                "Numbers of VMs, with commas; earlier sizes disturb later ones",
            )
            .default_value("6,12,24,48")
            .value_delimiter(','),
        )
}

fn demo() -> Command {
    Command::new("demo").about("Show a whole deployment in one process, with stand-ins and faults")
}

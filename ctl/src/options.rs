//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, crate_version, value_parser};

/// Defines `merlinctl` with its subcommands and their options.
#[must_use]
pub fn build_command() -> Command {
    Command::new("merlinctl")
        .version(crate_version!())
        .about("Administer merlinrudder and run experiments with it")
        .subcommand_required(true)
        .subcommand(check())
        .subcommand(check_config())
        .subcommand(publish())
        .subcommand(status())
        .subcommand(keys())
        .subcommand(evacuate())
        .subcommand(fake())
        .subcommand(load())
        .subcommand(overhead())
        .subcommand(replay())
        .subcommand(report())
        .subcommand(slopes())
        .subcommand(soak())
        .subcommand(demo())
}

fn required_path(name: &'static str, help: &'static str) -> Arg {
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
        .arg(option("admin", "ADDRESS", "Admin address of any VM").required(true))
        .arg(
            option("token", "TOKEN", "Bearer token of operators")
                .required(true)
                .env("MERLINCTL_TOKEN")
                .hide_env_values(true),
        )
}

fn soak() -> Command {
    Command::new("soak")
        .about("Inject faults into a deployment of node processes and check invariants")
        .arg(option("seed", "NUMBER", "First seed").default_value("1"))
        .arg(option("seeds", "NUMBER", "Number of consecutive seeds to run").default_value("1"))
        .arg(
            option(
                "seconds",
                "NUMBER",
                "Duration of fault injection per seed, in seconds",
            )
            .default_value("20"),
        )
        .arg(
            option(
                "culprits",
                "NUMBER",
                "Number of different requests that crash servers, at most 3",
            )
            .default_value("3"),
        )
        .arg(
            option(
                "parts",
                "NUMBER",
                "Number of callers whose requests share a part that crashes servers",
            )
            .default_value("0"),
        )
        .arg(
            Arg::new("silences")
                .long("silences")
                .action(ArgAction::SetTrue)
                .help("Also let servers be silent for longer and answer without framing"),
        )
        .arg(
            Arg::new("limits")
                .long("limits")
                .action(ArgAction::SetTrue)
                .help("Also let servers name limits on their request rates"),
        )
        .arg(
            Arg::new("cuts")
                .long("cuts")
                .action(ArgAction::SetTrue)
                .help("Also cut entry VMs off from all servers"),
        )
        .arg(
            Arg::new("evacuations")
                .long("evacuations")
                .action(ArgAction::SetTrue)
                .help("Also evacuate the availability zone of some servers"),
        )
        .arg(option("entry-vms", "NUMBER", "Number of entry VMs").default_value("3"))
}

fn check() -> Command {
    Command::new("check")
        .about("Validate a manifest without publishing it")
        .arg(required_path("manifest", "Manifest document"))
}

fn check_config() -> Command {
    Command::new("check-config")
        .about("Check a configuration of the hosting platform before it is sent")
        .long_about(
            "Check a configuration of the hosting platform before it is sent: errors, entries that \
             no request can match, limits that contradict each other, and what differs from another \
             version. Exit status: 0 if nothing was found, 1 if something was, 2 if a file cannot \
             be read. Differences alone are no finding.",
        )
        .arg(required_path("config", "Configuration document"))
        .arg(
            option("against", "FILE", "Version in force, to show what differs from it")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object"),
        )
}

fn publish() -> Command {
    let command = Command::new("publish")
        .about("Publish a manifest and show on which VMs it is in force")
        .arg(required_path("manifest", "Manifest document"));
    admin_options(command)
}

fn status() -> Command {
    admin_options(
        Command::new("status").about("Show the status of a VM and its view of the others"),
    )
}

fn evacuate() -> Command {
    let control = || {
        option(
            "control",
            "ADDRESSES",
            "Addresses of control VMs for operators, comma-separated",
        )
        .required(true)
        .value_delimiter(',')
    };
    let order = |name: &'static str, about: &'static str| {
        let zone = Arg::new("zone").required(true).help("Name of the zone");
        Command::new(name).about(about).arg(zone).arg(control())
    };
    Command::new("evacuate")
        .about("Evacuate availability zones of a deployment on the hosting platform")
        .subcommand_required(true)
        .subcommand(order("start", "Send nothing more to the servers of a zone"))
        .subcommand(order("end", "Send requests to the servers of a zone again"))
        .subcommand(
            Command::new("list")
                .about("Show the evacuated zones")
                .arg(control()),
        )
}

fn keys() -> Command {
    Command::new("keys")
        .about("Create the certificate authority if missing, and a certificate for each given VM")
        .arg(required_path(
            "folder",
            "Folder of the certificate and key files",
        ))
        .arg(Arg::new("vms").num_args(0..).help("Ids of the VMs"))
}

fn fake() -> Command {
    let with_announce_options = |command: Command| {
        command
            .arg(option("id", "NAME", "Name of the backend server").required(true))
            .arg(option("service", "NAME", "Service that it offers").required(true))
            .arg(option("zone", "NAME", "Availability zone").required(true))
            .arg(
                option(
                    "announce",
                    "ADDRESSES",
                    "Addresses at which VMs accept announcements, comma-separated",
                )
                .required(true)
                .value_delimiter(','),
            )
            .arg(option("token", "TOKEN", "Bearer token of backend servers").required(true))
            .arg(listen_option())
    };
    let engine = with_announce_options(Command::new("engine").about("Run a fake engine"))
        .arg(option("speed", "FACTOR", "Speed relative to real time").default_value("1"))
        .arg(option("memory", "TOKENS", "KV memory capacity, in tokens").default_value("400000"))
        .arg(option("slots", "COUNT", "Maximum number of concurrent requests").default_value("32"))
        .arg(option("lag-ms", "MS", "Delay of load reports, in milliseconds").default_value("500"))
        .arg(
            Arg::new("ignores-fencing")
                .long("ignores-fencing")
                .action(ArgAction::SetTrue)
                .help("Accept orders with an outdated fencing number"),
        );
    let app = with_announce_options(Command::new("app").about("Run a fake application")).arg(
        option(
            "call-ms",
            "MS",
            "Execution time of one call, in milliseconds",
        )
        .default_value("5"),
    );
    let weights = Command::new("weights")
        .about("Run a fake weight store")
        .arg(listen_option())
        .arg(option("rate", "COUNT", "Average downloads per second").default_value("1"))
        .arg(option("burst", "COUNT", "Maximum number of downloads at once").default_value("2"));
    Command::new("fake")
        .about("Run a fake of an external system")
        .subcommand_required(true)
        .subcommand(engine)
        .subcommand(app)
        .subcommand(weights)
}

fn listen_option() -> Arg {
    option("listen", "ADDRESS", "Address to listen on")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
}

fn load() -> Command {
    Command::new("load")
        .about("Generate open-loop load on running VMs and measure it")
        .arg(
            option(
                "callers",
                "ADDRESSES",
                "Addresses of VMs for callers, comma-separated",
            )
            .required(true)
            .value_delimiter(','),
        )
        .arg(
            option(
                "tokens",
                "TOKENS",
                "Bearer tokens of customers, comma-separated",
            )
            .required(true)
            .value_delimiter(','),
        )
        .arg(option("model", "NAME", "Name of a service or model").required(true))
        .arg(option("rate", "COUNT", "Requests per second").default_value("10"))
        .arg(option("seconds", "COUNT", "Duration of the run, in seconds").default_value("10"))
        .arg(
            option(
                "mix",
                "LIST",
                "Prompt lengths in tokens, each with its weight",
            )
            .default_value("1000:90,30000:8,200000:2"),
        )
        .arg(
            option("max-tokens", "COUNT", "Maximum number of tokens per answer")
                .default_value("64"),
        )
        .arg(option(
            "trace",
            "FILE",
            "Arrivals as JSON lines with at_ms, prompt_tokens, max_tokens; replaces the mix",
        ))
        .arg(option("seed", "NUMBER", "Seed of arrivals and prompts").default_value("1"))
        .arg(option("output", "FILE", "File for the result, as JSON"))
}

fn overhead() -> Command {
    Command::new("overhead")
        .about("Compare the time to first token through a VM with a direct call to an engine")
        .arg(option("callers", "ADDRESS", "Address of a VM for callers").required(true))
        .arg(option("customer-token", "TOKEN", "Bearer token of a customer").required(true))
        .arg(option("model", "NAME", "Name of a service or model").required(true))
        .arg(option("engine", "ADDRESS", "Address of a fake engine").required(true))
        .arg(option("count", "COUNT", "Number of measured calls of each kind").default_value("500"))
        .arg(option("prompt-tokens", "COUNT", "Prompt length, in tokens").default_value("1000"))
}

fn replay() -> Command {
    Command::new("replay")
        .about("Simulate traces with the dispatcher and baseline policies on a virtual clock")
        .arg(
            Arg::new("trace")
                .default_value("all")
                .help("Name of a trace, all, or a .json file"),
        )
        .arg(
            option("policy", "NAMES", "Policies, comma-separated")
                .default_value("first-token,short-slowdown,round-robin,least-loaded,first-come"),
        )
        .arg(
            option(
                "load",
                "SHARE",
                "Offered load as a fraction of the fleet's capacity",
            )
            .default_value("0.8"),
        )
        .arg(option("seconds", "COUNT", "Duration of each trace, in seconds").default_value("300"))
        .arg(option("engines", "COUNT", "Engines").default_value("16"))
        .arg(option("seed", "NUMBER", "Seed").default_value("1"))
        .arg(option("output", "FILE", "File for the results, as JSON"))
}

fn report() -> Command {
    Command::new("report")
        .about("Plot the results of load runs as SVG")
        .arg(required_path("output", "SVG file to write"))
        .arg(
            Arg::new("results")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Result files of load runs"),
        )
}

fn slopes() -> Command {
    Command::new("slopes")
        .about("Measure the idle cost per VM and the cost of decisions; run it once for each size")
        .arg(
            option(
                "sizes",
                "COUNTS",
                "Numbers of VMs, comma-separated; earlier sizes distort later results",
            )
            .default_value("6,12,24,48")
            .value_delimiter(','),
        )
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run a complete deployment in one process, with fake servers and a fault")
}

//! Command line options of the load generator.

use {super::ServiceLoad, camphorcove_core::conf::TimeSpan, clap::ValueEnum, std::net::SocketAddr};

/// Distribution of the times between requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Arrivals {
    /// Exponentially distributed times (a Poisson process), as from many independent callers.
    #[default]
    Poisson,
    /// Constant time between requests.
    Even,
}

/// Options of the `load` command.
#[derive(Clone, Debug, clap::Args)]
pub struct LoadOptions {
    /// Address where a host accepts callers; may be repeated, and each request goes to one
    /// of them at random.
    #[arg(long = "entry", required = true)]
    pub entries: Vec<SocketAddr>,
    /// Requests to a service; may be repeated. Comma-separated name=value pairs:
    /// name, path with {key}, weight, method, class, host, body, ids.
    #[arg(long = "service", required = true)]
    pub services: Vec<ServiceLoad>,
    /// Rate, duration, keys and seed.
    #[command(flatten)]
    pub plan: LoadPlan,
}

/// Rate, duration and keys of a load.
#[derive(Clone, Debug, clap::Args)]
pub struct LoadPlan {
    /// Requests per second over all services.
    #[arg(long, default_value_t = 1_000.0)]
    pub rate: f64,
    /// Duration, such as 30s.
    #[arg(long, default_value = "10s")]
    pub duration: TimeSpan,
    /// Number of different keys.
    #[arg(long, default_value_t = 10_000)]
    pub keys: usize,
    /// Exponent of Zipf's law over the keys; 0 makes them equally popular.
    #[arg(long, default_value_t = 0.0)]
    pub skew: f64,
    /// Distribution of the times between requests.
    #[arg(long, value_enum, default_value_t)]
    pub arrivals: Arrivals,
    /// Time a caller waits for an answer, such as 2s.
    #[arg(long, default_value = "2s")]
    pub timeout: TimeSpan,
    /// Maximum number of requests in flight; requests due beyond it are not sent and are
    /// counted as skipped.
    #[arg(long, default_value_t = 4_096)]
    pub in_flight: usize,
    /// Seed of the random services, keys, hosts and times between requests.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            rate: 1_000.0,
            duration: TimeSpan(10_000),
            keys: 10_000,
            skew: 0.0,
            arrivals: Arrivals::Poisson,
            timeout: TimeSpan(2_000),
            in_flight: 4_096,
            seed: 1,
        }
    }
}

//! What load to generate.

use {super::ServiceLoad, camphorcove_core::conf::TimeSpan, clap::ValueEnum, std::net::SocketAddr};

/// Spacing of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Arrivals {
    /// Random and independent, as from many callers.
    #[default]
    Poisson,
    /// Evenly spaced.
    Even,
}

/// Load to generate.
#[derive(Clone, Debug, clap::Args)]
pub struct LoadOptions {
    /// Address of an entry host; may be repeated.
    #[arg(long = "entry", required = true)]
    pub entries: Vec<SocketAddr>,
    /// Requests to a service; may be repeated. Comma-separated name=value pairs:
    /// name, path with {key}, weight, method, class, host, body, ids.
    #[arg(long = "service", required = true)]
    pub services: Vec<ServiceLoad>,
    /// The load itself.
    #[command(flatten)]
    pub plan: LoadPlan,
}

/// Rate, duration and keys.
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
    /// Spacing of requests.
    #[arg(long, value_enum, default_value_t)]
    pub arrivals: Arrivals,
    /// Time a caller waits for an answer, such as 2s.
    #[arg(long, default_value = "2s")]
    pub timeout: TimeSpan,
    /// Requests in flight at most; more are counted as skipped.
    #[arg(long, default_value_t = 4_096)]
    pub in_flight: usize,
    /// Seed of keys and spacing.
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

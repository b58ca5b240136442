//! Faults that a run injects, and safeguards of the protocol that a run may disable.

/// A fault to inject; hosts and servers are given by index, spans and delays in microseconds.
#[derive(Clone, Debug)]
pub enum Fault {
    KillHost(usize),
    RestartHost(usize),
    PauseHost(usize, u64),
    /// Pauses a host between its machine's next decision and the sending of the resulting messages.
    FreezeBeforeSend(usize, u64),
    /// Blocks messages between a host and all other nodes, in one direction or both.
    CutHost {
        host: usize,
        inbound: bool,
        outbound: bool,
    },
    /// Cuts a host off from the platform only.
    CutFromPlatform(usize),
    /// Requests of the host reach the platform, but the answers are lost.
    LosePlatformAnswers(usize),
    /// The next writes, as many as given, take effect, but their answers are lost.
    LoseWriteAnswers(u32),
    /// Cuts a host off from the other hosts only.
    CutFromHosts(usize),
    /// Cuts a host off from one server.
    CutFromServer(usize, usize),
    KillServer(usize),
    RestartServer(usize),
    PauseServer(usize, u64),
    /// Makes a server report that it is draining, or no longer draining.
    DrainServer(usize, bool),
    /// Configures only the first servers, as many as given.
    ConfigureServers(usize),
    /// Reports ten times the load for shards of the first server as for all others.
    ShiftLoad,
    PlatformDown,
    /// Delays messages to and from the platform by up to this much.
    PlatformSlow(u64),
    /// Percentage of all messages that are lost.
    LoseMessages(u32),
    /// Percentage of all messages that are delayed, and the largest delay.
    DelayMessages(u32, u64),
    Resign(usize),
    /// The operator confirms that the lost electors are gone for good.
    ConfirmLost,
    /// Ends all network and platform faults; dead hosts and servers stay dead.
    Heal,
    KillController,
    KillControllerAndServer(usize),
}

/// Safeguards of the protocol that a test disables to see whether the checker notices.
///
/// The default disables none.
#[derive(Clone, Copy, Debug, Default)]
pub struct DisabledSafeguards {
    /// Electors promise to a successor before their promise to the old controller has lapsed.
    pub elector_wait: bool,
    /// A restarted elector promises at once, though its earlier process may have
    /// promised to another controller.
    pub abstention: bool,
    /// A new controller does not wait until the grants of the old one have lapsed.
    pub grant_grace: bool,
    /// Orders and requests get a deadline that never passes.
    pub deadline: bool,
    /// Multiple of `DRIFT_PPM` by which clocks drift; 0 and 1 keep to the bound.
    pub drift_factor: i64,
}

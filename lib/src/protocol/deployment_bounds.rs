//! Bounds that a deployment sets for its nodes.

/// Bounds of a deployment that time limits of a node follow from; `None` for each that the deployment does not set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeploymentBounds {
    /// Time from the signal to stop until the process is killed, in milliseconds.
    pub stop_grace_ms: Option<u64>,
    /// Time within which a change of the configuration has to be in force on every node, in milliseconds.
    pub config_apply_ms: Option<u64>,
    /// Age of the last confirmation of the configuration from which a node may refuse keys, in milliseconds.
    pub revoke_ms: Option<u64>,
    /// Whether a node refuses requests that need a key once its configuration was not confirmed for `revoke_ms`.
    pub fail_closed: Option<bool>,
    /// Time after which no call may reach an upstream of a zone that operators have evacuated, in milliseconds.
    pub evacuation_ms: Option<u64>,
    /// Window in which the requests of a tenant are counted against its limit, in milliseconds.
    pub quota_window_ms: Option<u64>,
    /// Part of a tenant's limit by which it may be exceeded in a window, in millionths.
    pub quota_over_millionths: Option<u32>,
    /// Requests of a tenant beyond that in a window.
    pub quota_slack: Option<u32>,
}

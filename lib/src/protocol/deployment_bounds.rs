//! Bounds that a deployment sets for its nodes.

/// Bounds of a deployment that time limits of a node follow from; `None` for each that the deployment does not set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeploymentBounds {
    /// Time from the signal to stop until the process is killed, in milliseconds.
    pub stop_grace_ms: Option<u64>,
    /// Time within which a change of the configuration has to be in force on every node, in milliseconds.
    pub config_apply_ms: Option<u64>,
}

//! Generated messages and the peer service between yuccatray nodes.

/// Version 1 of the peer protocol, made from `proto/peer.proto`.
pub mod peer_v1 {
    include!("generated/yuccatray.peer.v1.rs");
}

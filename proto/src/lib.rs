//! Generated messages and gRPC service of the protocol between yuccatray nodes.

/// Version 1 of the peer protocol, generated from `proto/peer.proto` by the crate in `codegen`.
pub mod peer_v1 {
    include!("generated/yuccatray.peer.v1.rs");
}

//! Sockets: callers, peers, upstreams, the platform and operators.

pub mod admin_client;
pub mod admin_server;
pub mod announce_server;
pub mod call_body;
pub mod config_reader;
pub mod datagram_keys;
pub mod fleet_link;
pub mod gate;
pub mod gossip;
pub mod http_server;
pub mod ingress;
pub mod kind_watch;
pub mod peer_channel;
pub mod peer_security;
pub mod peer_server;
pub mod platform;
pub mod platform_http;
pub mod publisher;
pub mod rendezvous;
pub mod settled_write;
pub mod upstream_pool;

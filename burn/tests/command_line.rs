//! The binary as an operator's script meets it.

use std::net::TcpListener;
use std::process::Command;

use snapbox::assert_data_eq;

#[test]
fn burn_no_node_fails_with_hint() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it has an address");
    drop(listener);
    let output = Command::new(env!("CARGO_BIN_EXE_yuccatray-burn"))
        .args(["--node", &addr.to_string()])
        .output()
        .expect("the binary runs");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("it is text").replace(&addr.to_string(), "ADDR");
    assert_data_eq!(
        text,
        "error: node at ADDR gave no list of members: cannot connect: Connection refused (os error 111)\n\
         hint: --node (or YUCCATRAY_NODE) is the admin address of any node of the fleet\n"
    );
}

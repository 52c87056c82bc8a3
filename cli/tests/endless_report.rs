//! `yuccactl nodes` against an address that answers with a body that does not end.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;

/// Blocks of the body that the server sends before it stops reading and writing, 64 KiB each.
const BLOCKS: usize = 512;

#[test]
fn endless_report_of_a_node_is_not_read_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("a bound socket has an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut request = [0; 1_024];
        let _bytes = stream.read(&mut request).expect("the request arrives");
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("the head is sent");
        let block = vec![b' '; 65_536];
        let sent = (0..BLOCKS).take_while(|_| stream.write_all(&block).is_ok()).count();
        // The connection stays open until the client has ended.
        (sent, stream)
    });
    let output = Command::new(env!("CARGO_BIN_EXE_yuccactl"))
        .args(["nodes", "--node", &addr.to_string()])
        .output()
        .expect("the binary runs");
    let message = String::from_utf8(output.stderr).expect("the output is UTF-8");
    assert!(!output.status.success());
    assert!(message.contains("length limit exceeded"), "{message}");
    let (sent, _stream) = server.join().expect("the server ends");
    assert!(sent < BLOCKS, "the client read all {sent} blocks");
}

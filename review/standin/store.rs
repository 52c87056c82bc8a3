//! Stand-in for the platform's metadata store: objects by kind and name, with revisions and watches.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Head;
use crate::http::number;
use crate::http::parameter;

/// Age of the data that a read with `AllowStale` returns.
pub const STALENESS: Duration = Duration::from_secs(3);

/// Interval at which a waiting stale read looks for changes that have become old enough.
const STALE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone)]
struct Object {
    revision: u64,
    written_at: Instant,
    created: u64,
    /// Content as JSON text.
    spec: String,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    by_path: BTreeMap<String, Object>,
}

impl Objects {
    fn put(&mut self, path: &str, spec: &str) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.by_path.get(path).map_or(revision, |object| object.created);
        let object = Object { revision, written_at: Instant::now(), created, spec: spec.to_owned() };
        self.by_path.insert(path.to_owned(), object);
    }
}

/// The store; clones share its objects.
#[derive(Clone, Default)]
pub struct Store {
    objects: Arc<Mutex<Objects>>,
    changed: Arc<Condvar>,
}

fn object_text(path: &str, object: &Object) -> String {
    let name = path.rsplit('/').next().unwrap_or_default();
    let Object { revision, created, spec, .. } = object;
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"CreatedRev\":{created},\
         \"Finalizers\":[],\"Deleting\":false}},\"Spec\":{spec},\"Status\":null}}"
    )
}

impl Store {
    /// Starts an empty store and returns it with its address.
    pub fn start() -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let store = Self::default();
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok((store, addr))
    }

    /// Writes an object as the operator does.
    pub fn write(&self, path: &str, spec: &str) {
        self.objects.lock().unwrap().put(path, spec);
        self.changed.notify_all();
    }

    /// Returns the content of all objects of a kind.
    pub fn specs(&self, kind: &str) -> Vec<String> {
        let prefix = format!("{kind}/");
        let objects = self.objects.lock().unwrap();
        let of_kind = objects.by_path.iter().filter(|(path, _)| path.starts_with(&prefix));
        of_kind.map(|(_, object)| object.spec.clone()).collect()
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else {
                return;
            };
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let length = text.len();
            let answer = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{text}"
            );
            if connection.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let target = head.target();
        let path = target.split('?').next().unwrap_or_default();
        match head.method() {
            "GET" if parameter(target, "Watch").is_some() => self.watch(path, target),
            "GET" if path.matches('/').count() == 3 => self.get(path),
            "GET" => self.list(path),
            "POST" | "PUT" => self.change(head.method() == "POST", path, body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn get(&self, path: &str) -> (u16, String) {
        let objects = self.objects.lock().unwrap();
        objects.by_path.get(path).map_or((404, "{}".to_owned()), |object| (200, object_text(path, object)))
    }

    fn list(&self, path: &str) -> (u16, String) {
        let objects = self.objects.lock().unwrap();
        let items = texts_after(&objects, path, 0, Duration::ZERO).join(",");
        (200, format!("{{\"items\":[{items}],\"More\":false,\"AsOf\":{}}}", objects.revision))
    }

    fn watch(&self, path: &str, target: &str) -> (u16, String) {
        let after = number(target, "Watch");
        let deadline = Instant::now() + Duration::from_millis(number(target, "WaitMs"));
        let age = if parameter(target, "AllowStale").is_some() { STALENESS } else { Duration::ZERO };
        let mut objects = self.objects.lock().unwrap();
        loop {
            let texts = texts_after(&objects, path, after, age);
            let left = deadline.saturating_duration_since(Instant::now());
            if !texts.is_empty() || left.is_zero() {
                let events = texts.iter().map(|text| format!("{{\"Object\":{text},\"Deleted\":false}}"));
                let events = events.collect::<Vec<_>>().join(",");
                let as_of = revision_at(&objects, age).max(after);
                return (200, format!("{{\"events\":[{events}],\"AsOf\":{as_of}}}"));
            }
            // A stale read notices a change only once it is old enough.
            let pause = if age.is_zero() { left } else { left.min(STALE_CHECK_INTERVAL) };
            objects = self.changed.wait_timeout(objects, pause).unwrap().0;
        }
    }

    fn change(&self, create: bool, path: &str, body: &str) -> (u16, String) {
        let name = text_field(body, "Name").unwrap_or_default();
        let path = if create { format!("{path}/{name}") } else { path.to_owned() };
        let expected = number_field(body, "Revision");
        let mut objects = self.objects.lock().unwrap();
        let current = objects.by_path.get(&path).cloned();
        let met = match &current {
            None => create,
            Some(object) => !create && expected.is_none_or(|expected| expected == object.revision),
        };
        if !met {
            return (409, current.map_or("{}".to_owned(), |object| object_text(&path, &object)));
        }
        objects.put(&path, spec_of(body));
        drop(objects);
        self.changed.notify_all();
        self.get(&path)
    }
}

/// Returns the objects of a kind that changed after a revision, and no later than `age` ago.
fn texts_after(objects: &Objects, kind: &str, after: u64, age: Duration) -> Vec<String> {
    let prefix = format!("{kind}/");
    let of_kind = objects.by_path.iter().filter(|(path, object)| {
        path.starts_with(&prefix) && object.revision > after && object.written_at.elapsed() >= age
    });
    of_kind.map(|(path, object)| object_text(path, object)).collect()
}

/// Returns the revision of the store as it was `age` ago, as far as its present objects tell.
fn revision_at(objects: &Objects, age: Duration) -> u64 {
    let old = objects.by_path.values().filter(|object| object.written_at.elapsed() >= age);
    old.map(|object| object.revision).max().unwrap_or(0)
}

fn text_field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let rest = body.split_once(&format!("\"{name}\":\""))?.1;
    rest.split('"').next()
}

fn number_field(body: &str, name: &str) -> Option<u64> {
    let rest = body.split_once(&format!("\"{name}\":"))?.1;
    rest.split(|character: char| !character.is_ascii_digit()).next()?.parse().ok()
}

/// Returns the value of the member `Spec`, which is an object.
fn spec_of(body: &str) -> &str {
    let Some((_, rest)) = body.split_once("\"Spec\":") else {
        return "null";
    };
    let (mut depth, mut in_text, mut escaped) = (0, false, false);
    for (index, character) in rest.char_indices() {
        match character {
            _ if escaped => escaped = false,
            '\\' if in_text => escaped = true,
            '"' => in_text = !in_text,
            '{' | '[' if !in_text => depth += 1,
            '}' | ']' if !in_text => {
                depth -= 1;
                if depth == 0 {
                    return &rest[..=index];
                }
            }
            _ => {}
        }
    }
    "null"
}

//! Writes the fixtures of the version in production. `capture-production.sh` compiles this program
//! against that version's source tree, so it uses that version's names.
mod records;
mod values;

use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use std::path::PathBuf;
use stonegw_wire::frame::Frame;
use stonegw_wire::msg::encode;

/// The number of bytes on one line of a `.hex` file.
const LINE_BYTES: usize = 40;

/// Writes the encoded form of each value to a file in `dir`.
struct Capture {
    dir: PathBuf,
}

impl Capture {
    fn write(&self, file: &str, text: &str) {
        std::fs::write(self.dir.join(file), text).expect("the fixture file is writable");
    }

    fn write_hex(&self, name: &str, bytes: &[u8]) {
        let mut text = String::new();
        for line in bytes.chunks(LINE_BYTES) {
            let digits: Vec<String> = line.iter().map(|byte| format!("{byte:02x}")).collect();
            text.push_str(&digits.concat());
            text.push('\n');
        }
        self.write(&format!("{name}.hex"), &text);
    }
}

impl values::Visitor for Capture {
    fn message<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, v: &T) {
        self.write_hex(name, &encode(v));
        let json = serde_json::to_string(v).expect("the value serializes to JSON");
        self.write(&format!("{name}.json"), &format!("{json}\n"));
    }

    fn frame(&mut self, name: &str, frame: &Frame) {
        let mut bytes = vec![];
        frame.write(&mut bytes);
        self.write_hex(&format!("frame_{name}"), &bytes);
    }
}

fn main() {
    let dirs: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let [wire, control] = dirs.as_slice() else {
        panic!("usage: capture WIRE_DIR CONTROL_DIR");
    };
    let mut capture = Capture { dir: wire.clone() };
    values::messages(&mut capture);
    values::frames(&mut capture);
    let mut capture = Capture {
        dir: control.clone(),
    };
    records::records(&mut capture);
}

//! MessagePack values: the part that the protocol uses (no binary data, no extensions).

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(u64),
    Neg(i64),
    Num(f64),
    Str(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

impl From<&str> for Value {
    fn from(text: &str) -> Value {
        Value::Str(text.to_string())
    }
}
impl From<String> for Value {
    fn from(text: String) -> Value {
        Value::Str(text)
    }
}
impl From<u64> for Value {
    fn from(number: u64) -> Value {
        Value::Int(number)
    }
}
impl From<f64> for Value {
    fn from(number: f64) -> Value {
        Value::Num(number)
    }
}
impl From<bool> for Value {
    fn from(value: bool) -> Value {
        Value::Bool(value)
    }
}
impl From<Vec<Value>> for Value {
    fn from(list: Vec<Value>) -> Value {
        Value::List(list)
    }
}

/// Builds a map from pairs.
pub fn map(pairs: Vec<(&str, Value)>) -> Value {
    Value::Map(pairs.into_iter().map(|(k, v)| (k.to_string(), v)).collect())
}

impl Value {
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Map(pairs) => pairs
                .iter()
                .find(|(k, _)| k == key)
                .map(|(_, v)| v)
                .filter(|v| **v != Value::Nil),
            _ => None,
        }
    }
    pub fn str(&self, key: &str) -> &str {
        match self.get(key) {
            Some(Value::Str(text)) => text,
            _ => "",
        }
    }
    pub fn int(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Value::Int(number)) => Some(*number),
            Some(Value::Num(number)) => Some(*number as u64),
            _ => None,
        }
    }
    pub fn list(&self, key: &str) -> &[Value] {
        match self.get(key) {
            Some(Value::List(list)) => list,
            _ => &[],
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![];
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Value::Nil => out.push(0xc0),
            Value::Bool(false) => out.push(0xc2),
            Value::Bool(true) => out.push(0xc3),
            Value::Int(n) if *n < 128 => out.push(*n as u8),
            Value::Int(n) => {
                out.push(0xcf);
                out.extend(n.to_be_bytes());
            }
            Value::Neg(n) => {
                out.push(0xd3);
                out.extend(n.to_be_bytes());
            }
            Value::Num(n) => {
                out.push(0xcb);
                out.extend(n.to_be_bytes());
            }
            Value::Str(text) => write_str(out, text),
            Value::List(list) => {
                out.push(0xdd);
                out.extend((list.len() as u32).to_be_bytes());
                list.iter().for_each(|v| v.write(out));
            }
            Value::Map(pairs) => {
                out.push(0xdf);
                out.extend((pairs.len() as u32).to_be_bytes());
                for (key, value) in pairs {
                    write_str(out, key);
                    value.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<Value> {
        let mut at = 0;
        let value = read(bytes, &mut at)?;
        (at == bytes.len()).then_some(value)
    }

    /// JSON text: the form in which the pages count sizes, and the form of the record.
    pub fn json(&self) -> String {
        match self {
            Value::Nil => "null".into(),
            Value::Bool(value) => value.to_string(),
            Value::Int(n) => n.to_string(),
            Value::Neg(n) => n.to_string(),
            Value::Num(n) if n.fract() == 0.0 && n.abs() < 1e15 => format!("{n:.1}"),
            Value::Num(n) => n.to_string(),
            Value::Str(text) => format!("{text:?}"),
            Value::List(list) => {
                let items: Vec<String> = list.iter().map(Value::json).collect();
                format!("[{}]", items.join(","))
            }
            Value::Map(pairs) => {
                let items: Vec<String> = pairs
                    .iter()
                    .map(|(k, v)| format!("{k:?}:{}", v.json()))
                    .collect();
                format!("{{{}}}", items.join(","))
            }
        }
    }
}

fn write_str(out: &mut Vec<u8>, text: &str) {
    if text.len() < 32 {
        out.push(0xa0 | text.len() as u8);
    } else {
        out.push(0xdb);
        out.extend((text.len() as u32).to_be_bytes());
    }
    out.extend(text.as_bytes());
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, count: usize) -> Option<&'a [u8]> {
    let part = bytes.get(*at..at.checked_add(count)?)?;
    *at += count;
    Some(part)
}

fn uint(bytes: &[u8], at: &mut usize, count: usize) -> Option<u64> {
    let part = take(bytes, at, count)?;
    Some(part.iter().fold(0, |n, byte| n << 8 | u64::from(*byte)))
}

fn read(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let tag = *bytes.get(*at)?;
    *at += 1;
    let signed = |n: i64| {
        if n >= 0 {
            Value::Int(n as u64)
        } else {
            Value::Neg(n)
        }
    };
    Some(match tag {
        0x00..=0x7f => Value::Int(u64::from(tag)),
        0xe0..=0xff => Value::Neg(i64::from(tag as i8)),
        0xc0 => Value::Nil,
        0xc2 => Value::Bool(false),
        0xc3 => Value::Bool(true),
        0xcc => Value::Int(uint(bytes, at, 1)?),
        0xcd => Value::Int(uint(bytes, at, 2)?),
        0xce => Value::Int(uint(bytes, at, 4)?),
        0xcf => Value::Int(uint(bytes, at, 8)?),
        0xd0 => signed(i64::from(uint(bytes, at, 1)? as i8)),
        0xd1 => signed(i64::from(uint(bytes, at, 2)? as i16)),
        0xd2 => signed(i64::from(uint(bytes, at, 4)? as i32)),
        0xd3 => signed(uint(bytes, at, 8)? as i64),
        0xca => Value::Num(f64::from(f32::from_bits(uint(bytes, at, 4)? as u32))),
        0xcb => Value::Num(f64::from_bits(uint(bytes, at, 8)?)),
        0xa0..=0xbf => text(bytes, at, usize::from(tag & 0x1f))?,
        0xd9..=0xdb => {
            let count = uint(bytes, at, 1 << (tag - 0xd9))? as usize;
            text(bytes, at, count)?
        }
        0x90..=0x9f => list(bytes, at, usize::from(tag & 0x0f))?,
        0xdc => {
            let count = uint(bytes, at, 2)? as usize;
            list(bytes, at, count)?
        }
        0xdd => {
            let count = uint(bytes, at, 4)? as usize;
            list(bytes, at, count)?
        }
        0x80..=0x8f => pairs(bytes, at, usize::from(tag & 0x0f))?,
        0xde => {
            let count = uint(bytes, at, 2)? as usize;
            pairs(bytes, at, count)?
        }
        0xdf => {
            let count = uint(bytes, at, 4)? as usize;
            pairs(bytes, at, count)?
        }
        _ => return None,
    })
}

fn text(bytes: &[u8], at: &mut usize, count: usize) -> Option<Value> {
    let part = take(bytes, at, count)?;
    Some(Value::Str(std::str::from_utf8(part).ok()?.to_string()))
}

fn list(bytes: &[u8], at: &mut usize, count: usize) -> Option<Value> {
    let mut items = vec![];
    for _ in 0..count {
        items.push(read(bytes, at)?);
    }
    Some(Value::List(items))
}

fn pairs(bytes: &[u8], at: &mut usize, count: usize) -> Option<Value> {
    let mut items = vec![];
    for _ in 0..count {
        let Value::Str(key) = read(bytes, at)? else {
            return None;
        };
        items.push((key, read(bytes, at)?));
    }
    Some(Value::Map(items))
}

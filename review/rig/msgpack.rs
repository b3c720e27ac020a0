//! MessagePack values, as far as the protocol uses them, and their size and text as JSON.
#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Nil,
    Bool(bool),
    Int(i64),
    Uint(u64),
    Float(f64),
    Str(String),
    List(Vec<V>),
    Map(Vec<(String, V)>),
}

pub fn s(text: &str) -> V {
    V::Str(text.to_owned())
}

pub fn map(fields: &[(&str, V)]) -> V {
    V::Map(
        fields
            .iter()
            .map(|(k, v)| (k.to_string(), v.clone()))
            .collect(),
    )
}

impl V {
    pub fn get(&self, key: &str) -> Option<&V> {
        match self {
            V::Map(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }
    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(V::Str(text)) => text.clone(),
            _ => String::new(),
        }
    }
    pub fn uint(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(V::Uint(n)) => Some(*n),
            Some(V::Int(n)) if *n >= 0 => Some(*n as u64),
            _ => None,
        }
    }
    pub fn float(&self, key: &str) -> Option<f64> {
        match self.get(key) {
            Some(V::Float(f)) => Some(*f),
            Some(V::Uint(n)) => Some(*n as f64),
            Some(V::Int(n)) => Some(*n as f64),
            _ => None,
        }
    }
    pub fn list(&self, key: &str) -> Vec<V> {
        match self.get(key) {
            Some(V::List(items)) => items.clone(),
            _ => vec![],
        }
    }

    pub fn encode(&self, out: &mut Vec<u8>) {
        match self {
            V::Nil => out.push(0xc0),
            V::Bool(b) => out.push(0xc2 + u8::from(*b)),
            V::Int(n) if *n < 0 => {
                out.push(0xd3);
                out.extend(n.to_be_bytes());
            }
            V::Int(n) => V::Uint(*n as u64).encode(out),
            V::Uint(n) if *n < 128 => out.push(*n as u8),
            V::Uint(n) if *n <= 0xff => out.extend([0xcc, *n as u8]),
            V::Uint(n) if *n <= 0xffff => {
                out.push(0xcd);
                out.extend((*n as u16).to_be_bytes());
            }
            V::Uint(n) if *n <= 0xffff_ffff => {
                out.push(0xce);
                out.extend((*n as u32).to_be_bytes());
            }
            V::Uint(n) => {
                out.push(0xcf);
                out.extend(n.to_be_bytes());
            }
            V::Float(f) => {
                out.push(0xcb);
                out.extend(f.to_be_bytes());
            }
            V::Str(text) => {
                match text.len() {
                    n if n < 32 => out.push(0xa0 | n as u8),
                    n if n < 256 => out.extend([0xd9, n as u8]),
                    n => {
                        out.push(0xda);
                        out.extend((n as u16).to_be_bytes());
                    }
                }
                out.extend(text.as_bytes());
            }
            V::List(items) => {
                match items.len() {
                    n if n < 16 => out.push(0x90 | n as u8),
                    n if n < 65536 => {
                        out.push(0xdc);
                        out.extend((n as u16).to_be_bytes());
                    }
                    n => {
                        out.push(0xdd);
                        out.extend((n as u32).to_be_bytes());
                    }
                }
                items.iter().for_each(|item| item.encode(out));
            }
            V::Map(fields) => {
                match fields.len() {
                    n if n < 16 => out.push(0x80 | n as u8),
                    n => {
                        out.push(0xde);
                        out.extend((n as u16).to_be_bytes());
                    }
                }
                for (key, value) in fields {
                    V::Str(key.clone()).encode(out);
                    value.encode(out);
                }
            }
        }
    }
    pub fn bytes(&self) -> Vec<u8> {
        let mut out = vec![];
        self.encode(&mut out);
        out
    }
    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut at = 0;
        let value = decode_at(bytes, &mut at)?;
        (at == bytes.len()).then_some(value)
    }

    /// The value as JSON, in which the pages count sizes.
    pub fn json(&self) -> String {
        match self {
            V::Nil => "null".into(),
            V::Bool(b) => b.to_string(),
            V::Int(n) => n.to_string(),
            V::Uint(n) => n.to_string(),
            V::Float(f) => format!("{f:?}"),
            V::Str(text) => format!("{text:?}"),
            V::List(items) => {
                let items: Vec<String> = items.iter().map(V::json).collect();
                format!("[{}]", items.join(","))
            }
            V::Map(fields) => {
                let field = |(k, v): &(String, V)| format!("{k:?}:{}", v.json());
                let fields: Vec<String> = fields.iter().map(field).collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, n: usize) -> Option<&'a [u8]> {
    let part = bytes.get(*at..*at + n)?;
    *at += n;
    Some(part)
}

fn number(bytes: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    let part = take(bytes, at, n)?;
    Some(part.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
}

fn text(bytes: &[u8], at: &mut usize, n: usize) -> Option<V> {
    let part = take(bytes, at, n)?;
    Some(V::Str(String::from_utf8(part.to_vec()).ok()?))
}

fn list(bytes: &[u8], at: &mut usize, n: usize) -> Option<V> {
    let mut items = vec![];
    for _ in 0..n {
        items.push(decode_at(bytes, at)?);
    }
    Some(V::List(items))
}

fn fields(bytes: &[u8], at: &mut usize, n: usize) -> Option<V> {
    let mut found = vec![];
    for _ in 0..n {
        let V::Str(key) = decode_at(bytes, at)? else {
            return None;
        };
        found.push((key, decode_at(bytes, at)?));
    }
    Some(V::Map(found))
}

fn decode_at(bytes: &[u8], at: &mut usize) -> Option<V> {
    let tag = number(bytes, at, 1)? as u8;
    Some(match tag {
        0x00..=0x7f => V::Uint(u64::from(tag)),
        0xe0..=0xff => V::Int(i64::from(tag as i8)),
        0x80..=0x8f => return fields(bytes, at, usize::from(tag & 0x0f)),
        0x90..=0x9f => return list(bytes, at, usize::from(tag & 0x0f)),
        0xa0..=0xbf => return text(bytes, at, usize::from(tag & 0x1f)),
        0xc0 => V::Nil,
        0xc2 => V::Bool(false),
        0xc3 => V::Bool(true),
        0xca => V::Float(f64::from(f32::from_bits(number(bytes, at, 4)? as u32))),
        0xcb => V::Float(f64::from_bits(number(bytes, at, 8)?)),
        0xcc => V::Uint(number(bytes, at, 1)?),
        0xcd => V::Uint(number(bytes, at, 2)?),
        0xce => V::Uint(number(bytes, at, 4)?),
        0xcf => V::Uint(number(bytes, at, 8)?),
        0xd0 => V::Int(i64::from(number(bytes, at, 1)? as i8)),
        0xd1 => V::Int(i64::from(number(bytes, at, 2)? as i16)),
        0xd2 => V::Int(i64::from(number(bytes, at, 4)? as i32)),
        0xd3 => V::Int(number(bytes, at, 8)? as i64),
        0xd9 | 0xda | 0xdb => {
            let n = number(bytes, at, 1 << (tag - 0xd9))? as usize;
            return text(bytes, at, n);
        }
        0xdc | 0xdd => {
            let n = number(bytes, at, 2 << (tag - 0xdc))? as usize;
            return list(bytes, at, n);
        }
        0xde | 0xdf => {
            let n = number(bytes, at, 2 << (tag - 0xde))? as usize;
            return fields(bytes, at, n);
        }
        _ => return None,
    })
}

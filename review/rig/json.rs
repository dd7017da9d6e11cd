//! A small JSON reader and writer.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        Some(value)
    }
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Obj(rows) => rows.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }
    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Str(s)) => s.clone(),
            _ => String::new(),
        }
    }
    pub fn num(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Json::Num(n)) => Some(*n as u64),
            _ => None,
        }
    }
    pub fn list(&self, key: &str) -> Vec<Json> {
        match self.get(key) {
            Some(Json::Arr(rows)) => rows.clone(),
            _ => Vec::new(),
        }
    }
    pub fn as_str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }
    pub fn write(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(b) => b.to_string(),
            Json::Num(n) if n.fract() == 0.0 => format!("{}", *n as i64),
            Json::Num(n) => n.to_string(),
            Json::Str(s) => quote(s),
            Json::Arr(rows) => format!("[{}]", rows.iter().map(Json::write).collect::<Vec<_>>().join(",")),
            Json::Obj(rows) => {
                let rows: Vec<String> = rows.iter().map(|(k, v)| format!("{}:{}", quote(k), v.write())).collect();
                format!("{{{}}}", rows.join(","))
            }
        }
    }
}

pub fn s(text: &str) -> Json {
    Json::Str(text.to_owned())
}

pub fn n(number: u64) -> Json {
    Json::Num(number as f64)
}

pub fn obj(rows: Vec<(&str, Json)>) -> Json {
    Json::Obj(rows.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(rows));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = string(b, at)?;
                        skip(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        rows.push((key, value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(rows));
                    }
                    b',' => *at += 1,
                    _ => rows.push(value(b, at)?),
                }
            }
        }
        b'"' => Some(Json::Str(string(b, at)?)),
        b't' => word(at, 4, Json::Bool(true)),
        b'f' => word(at, 5, Json::Bool(false)),
        b'n' => word(at, 4, Json::Null),
        _ => {
            let from = *at;
            while *at < b.len() && b"+-.eE0123456789".contains(&b[*at]) {
                *at += 1;
            }
            std::str::from_utf8(&b[from..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn word(at: &mut usize, length: usize, value: Json) -> Option<Json> {
    *at += length;
    Some(value)
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let c = *b.get(*at + 1)?;
                *at += 2;
                match c {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let code = u32::from_str_radix(std::str::from_utf8(b.get(*at..*at + 4)?).ok()?, 16).ok()?;
                        *at += 4;
                        let mut buffer = [0; 4];
                        out.extend(char::from_u32(code).unwrap_or('?').encode_utf8(&mut buffer).as_bytes());
                    }
                    c => out.push(c),
                }
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}

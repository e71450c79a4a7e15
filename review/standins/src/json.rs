//! Finds raw values in JSON text, without a complete parser.

/// Returns the end of the value that begins at `start`.
fn value_end(text: &[u8], start: usize) -> usize {
    let mut depth = 0;
    let mut i = start;
    while i < text.len() {
        match text[i] {
            b'"' => {
                i += 1;
                while i < text.len() && text[i] != b'"' {
                    i += if text[i] == b'\\' { 2 } else { 1 };
                }
                if depth == 0 {
                    return i + 1;
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                if depth == 0 {
                    return i;
                }
                depth -= 1;
                if depth == 0 {
                    return i + 1;
                }
            }
            b',' if depth == 0 => return i,
            _ => {}
        }
        i += 1;
    }
    text.len()
}

fn skip_space(text: &[u8], mut i: usize) -> usize {
    while i < text.len() && text[i].is_ascii_whitespace() {
        i += 1;
    }
    i
}

/// Returns the raw value of a field of an object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut i = skip_space(text, 0);
    if text.get(i) != Some(&b'{') {
        return None;
    }
    i += 1;
    loop {
        i = skip_space(text, i);
        if text.get(i) != Some(&b'"') {
            return None;
        }
        let key_end = value_end(text, i);
        let key = &object[i + 1..key_end - 1];
        i = skip_space(text, key_end);
        i = skip_space(text, i + 1);
        let end = value_end(text, i);
        if key == name {
            return Some(object[i..end].trim());
        }
        i = skip_space(text, end);
        if text.get(i) != Some(&b',') {
            return None;
        }
        i += 1;
    }
}

/// Returns the raw elements of an array.
pub fn elements(array: &str) -> Vec<&str> {
    let text = array.as_bytes();
    let mut i = skip_space(text, 0) + 1;
    let mut found = Vec::new();
    loop {
        i = skip_space(text, i);
        if i >= text.len() || text[i] == b']' {
            return found;
        }
        let end = value_end(text, i);
        found.push(array[i..end].trim());
        i = skip_space(text, end);
        if text.get(i) == Some(&b',') {
            i += 1;
        }
    }
}

/// Returns the text of a string value, with the usual escapes resolved.
pub fn string(raw: &str) -> String {
    let inner = raw.trim().trim_start_matches('"');
    let inner = inner.strip_suffix('"').unwrap_or(inner);
    let mut text = String::new();
    let mut chars = inner.chars();
    while let Some(c) = chars.next() {
        if c != '\\' {
            text.push(c);
            continue;
        }
        match chars.next() {
            Some('n') => text.push('\n'),
            Some('t') => text.push('\t'),
            Some('r') => text.push('\r'),
            Some('u') => {
                let code: String = chars.by_ref().take(4).collect();
                let code = u32::from_str_radix(&code, 16).unwrap_or(0xfffd);
                text.push(char::from_u32(code).unwrap_or('\u{fffd}'));
            }
            Some(other) => text.push(other),
            None => {}
        }
    }
    text
}

pub fn number(raw: &str) -> Option<u64> {
    raw.trim().parse().ok()
}

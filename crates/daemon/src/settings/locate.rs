//! Line of a key in a YAML text.

/// Line, from 1, at which the key with the dotted path `key` stands; `None` where it is left out.
pub fn line_of(text: &str, key: &str) -> Option<usize> {
    let mut parts = key.split('.').peekable();
    let mut depth = 0;
    for (number, line) in text.lines().enumerate() {
        let content = line.trim_start();
        let indent = line.len() - content.len();
        let Some(part) = parts.peek() else { break };
        let is_key = content.strip_prefix(part).is_some_and(|rest| rest.starts_with(':'));
        if !is_key || indent < depth {
            continue;
        }
        parts.next();
        depth = indent + 1;
        if parts.peek().is_none() {
            return Some(number + 1);
        }
    }
    None
}

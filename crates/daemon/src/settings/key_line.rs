//! Search for the line of a key in a YAML text.

/// Line of the key with the dotted path `key`, counted from 1; `None` if the text does not set it.
pub fn find_key_line(text: &str, key: &str) -> Option<usize> {
    let mut segments = key.split('.').peekable();
    let mut min_indent = 0;
    for (number, line) in text.lines().enumerate() {
        let content = line.trim_start();
        let indent = line.len() - content.len();
        let Some(segment) = segments.peek() else { break };
        let is_key = content.strip_prefix(segment).is_some_and(|rest| rest.starts_with(':'));
        if !is_key || indent < min_indent {
            continue;
        }
        segments.next();
        min_indent = indent + 1;
        if segments.peek().is_none() {
            return Some(number + 1);
        }
    }
    None
}

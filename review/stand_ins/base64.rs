//! Standard base64 with padding, as the values of the store are encoded.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = (number << 8) | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index > group.len() {
                text.push('=');
            } else {
                let digit = (number >> (18 - 6 * index)) & 63;
                text.push(char::from(ALPHABET[digit as usize]));
            }
        }
    }
    text
}

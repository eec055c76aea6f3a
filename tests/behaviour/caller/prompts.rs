//! Prefix hashes and length estimates of prompts.

use figramp::caller::estimate_tokens;
use figramp::caller::prefix_hashes;
use figramp::caller::ContentWire;
use figramp::caller::MessageWire;
use figramp::caller::PREFIX_BLOCK_BYTES;
use quickcheck::quickcheck;

fn message(text: &str) -> MessageWire {
    MessageWire {
        role: "user".to_owned(),
        content: Some(ContentWire::Text(text.to_owned())),
    }
}

quickcheck! {
    fn a_longer_conversation_keeps_the_hashes_of_its_prefix(
        texts: Vec<String>, more: String
    ) -> bool {
        let shorter: Vec<MessageWire> = texts.iter().take(20).map(|text| message(text)).collect();
        let mut longer = shorter.clone();
        longer.push(message(&more));
        let (before, after) = (prefix_hashes("m", &shorter), prefix_hashes("m", &longer));
        after.starts_with(&before)
            && after.len() > before.len()
            && estimate_tokens(&longer) > estimate_tokens(&shorter)
    }

    fn hashes_depend_on_message_boundaries_and_the_model(left: String, right: String) -> bool {
        let one = prefix_hashes("m", &[message(&format!("{left}{right}"))]);
        let two = prefix_hashes("m", &[message(&left), message(&right)]);
        let other = prefix_hashes("n", &[message(&left), message(&right)]);
        one.last() != two.last() && two.last() != other.last()
    }
}

#[test]
fn long_texts_share_the_hashes_of_their_common_blocks() {
    let common = "x".repeat(3 * PREFIX_BLOCK_BYTES);
    let one = prefix_hashes("m", &[message(&format!("{common}one"))]);
    let two = prefix_hashes("m", &[message(&format!("{common}two"))]);
    assert_eq!(one.len(), 4);
    assert_eq!(one[..3], two[..3]);
    assert_ne!(one[3], two[3]);
}

#[test]
fn very_long_prompts_keep_only_their_first_and_last_hashes() {
    let block = |index: usize| message(&format!("{index}"));
    let one: Vec<MessageWire> = (0..200).map(block).collect();
    let grown: Vec<MessageWire> = (0..210).map(block).collect();
    let other: Vec<MessageWire> = (0..100).chain(500..600).map(block).collect();
    let hashes = prefix_hashes("m", &one);
    assert_eq!(hashes.len(), 64);
    assert_eq!(hashes[..32], prefix_hashes("m", &other)[..32]);
    let grown = prefix_hashes("m", &grown);
    assert_eq!(hashes[42..], grown[32..54]);
}

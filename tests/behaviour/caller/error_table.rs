//! The table of the status and code of each error kind.

use std::collections::HashSet;

use figramp::errors::ErrorKind;

#[test]
fn codes_are_unique_and_resolve_to_their_kind() {
    let codes: HashSet<&str> = ErrorKind::ALL
        .into_iter()
        .map(|kind| kind.answer().code)
        .collect();
    assert_eq!(codes.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        assert_eq!(ErrorKind::from_code(kind.answer().code), Some(kind));
    }
}

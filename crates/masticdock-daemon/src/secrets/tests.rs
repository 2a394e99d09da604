//! Tests of files with secrets.

use std::fs::{self, Permissions};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;

use super::{OperatorTokens, read_peer_key};

const TOKEN: &str = "0123456789abcdef-secret";

fn write_file(name: &str, text: &str, mode: u32) -> PathBuf {
    let path = std::env::temp_dir().join(format!("masticdock-{}-{name}", std::process::id()));
    fs::write(&path, text).unwrap();
    fs::set_permissions(&path, Permissions::from_mode(mode)).unwrap();
    path
}

/// Guards against a secret that any user of the VM can read or replace.
#[test]
fn file_open_to_other_users_is_rejected() {
    for mode in [0o604, 0o602, 0o644] {
        let path = write_file("open", TOKEN, mode);
        let error = format!("{:#}", read_peer_key(&path).unwrap_err());
        assert!(error.contains("open to other users"), "{error}");
        assert!(!error.contains(TOKEN));
        assert!(OperatorTokens::read(&path).is_err());
        fs::remove_file(path).unwrap();
    }
    let path = write_file("closed", TOKEN, 0o640);
    read_peer_key(&path).unwrap();
    fs::remove_file(path).unwrap();
}

/// Guards against trailing white space that changes the derived key, and against a key that
/// is too short.
#[test]
fn peer_key_ignores_surrounding_white_space() {
    let paths = [
        write_file("key1", TOKEN, 0o600),
        write_file("key2", &format!("{TOKEN}\n"), 0o600),
        write_file("key3", "short\n", 0o600),
    ];
    let keys = paths.each_ref().map(|path| read_peer_key(path).ok());
    assert!(keys[0].is_some());
    assert_eq!(keys[0], keys[1]);
    assert_eq!(keys[2], None);
    for path in paths {
        fs::remove_file(path).unwrap();
    }
}

/// Guards against a token that is attributed to another operator, and against tokens that
/// appear in error messages or debug output.
#[test]
fn tokens_identify_operators_and_are_not_printed() {
    let text = format!("# on loan until March\n\nana:{TOKEN}\nteam:berta:{TOKEN}-b\n");
    let path = write_file("tokens", &text, 0o600);
    let tokens = OperatorTokens::read(&path).unwrap();
    let name = |token: &str| tokens.operator_of(token).map(|id| id.to_string());
    assert_eq!(name(TOKEN).as_deref(), Some("ana"));
    assert_eq!(name(&format!("{TOKEN}-b")).as_deref(), Some("team:berta"));
    assert_eq!(name(""), None);
    assert!(!format!("{tokens:?}").contains("secret"));
    for wrong in ["", "ana", "ana:short-secret", "a b:0123456789abcdef-secret"] {
        fs::write(&path, wrong).unwrap();
        let error = format!("{:#}", OperatorTokens::read(&path).unwrap_err());
        assert!(
            !error.contains("secret") && !error.contains("0123"),
            "{error}"
        );
    }
    fs::remove_file(path).unwrap();
}

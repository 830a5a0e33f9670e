//! Odd entries in what the platform states.

use filbertpaddle_platform::protocol::VmList;

const SOUND: &str = r#"{"name":"vm-1","data_centre":"dc","role":"target",
    "address":"10.0.0.1:80","model":"m","leaving":false}"#;
const DEPTH: usize = 100_000;

#[test]
fn an_odd_entry_of_the_list_of_vms_leaves_the_others() {
    let deep = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let odd = [
        "7",
        "null",
        "{}",
        r#"{"name":"\udcff"}"#,
        &deep,
        &SOUND.replace(r#""target""#, r#""gpu""#),
        &SOUND.replace("false", "1e400"),
        &SOUND.replace(r#""m""#, &deep),
    ];
    for vm in odd {
        let text = format!(r#"{{"vms":[{SOUND},{vm},{SOUND}]}}"#);
        let list: Result<VmList, _> = serde_json::from_str(&text);
        let count = list.map(|list| list.vms.len()).unwrap_or_default();
        assert_eq!(count, 2, "{vm:.100}");
    }
}

#[test]
fn a_list_of_vms_of_another_form_is_refused() {
    for text in ["7", "{}", r#"{"vms":7}"#, r#"{"vms":[}"#] {
        assert!(serde_json::from_str::<VmList>(text).is_err(), "{text}");
    }
    let list: VmList = serde_json::from_str(r#"{"vms":[]}"#).unwrap();
    assert!(list.vms.is_empty());
}

//! Plain-text output of operators' commands.

use std::fmt::Write;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::Setting;

use crate::config_status::DataCentre;
use crate::config_status::Node;
use crate::config_status::Report;
use crate::operator_api::Answer;
use crate::operator_api::Audit;
use crate::operator_api::Entries;
use crate::operator_api::Refusals;

/// Formats the answer to a change.
pub fn answer(answer: &Answer) -> String {
    match answer {
        Answer::Accepted { revision } => format!("accepted at revision {revision}\n"),
        Answer::Unchanged { revision: None } => {
            "unchanged: the entry already has this value\n".to_owned()
        }
        Answer::Unchanged {
            revision: Some(revision),
        } => format!("unchanged: the entry has had this value since revision {revision}\n"),
        Answer::Conflict { current: None } => {
            "conflict: the entry does not exist; nothing was changed\n".to_owned()
        }
        Answer::Conflict {
            current: Some(current),
        } => format!(
            "conflict: nothing was changed; the current entry is:\n{}",
            change(current)
        ),
        Answer::Unavailable => {
            "the platform's table cannot be reached; nothing was changed\n".to_owned()
        }
        Answer::Unknown {
            revision,
            change_id,
        } => format!(
            "the change may have been accepted at revision {revision}; \
             send it again with --change-id {} to learn the result\n",
            change_id.0
        ),
        Answer::Invalid { detail } => format!("invalid: {detail}; nothing was changed\n"),
        Answer::Unauthorized => "the operator's token is missing or wrong\n".to_owned(),
    }
}

/// Formats one change.
pub fn change(change: &Change) -> String {
    let value = value(&change.setting);
    format!(
        "{} at revision {} by {} at {} ms\n{value}\n",
        change.setting.key(),
        change.revision,
        change.by,
        change.at_ms.0
    )
}

/// Formats a list of entries, one per line.
pub fn templates(entries: &Entries) -> String {
    let line = |change: &Change| {
        let (key, revision) = (change.setting.key(), change.revision);
        format!("{key} at revision {revision} by {}\n", change.by)
    };
    entries.entries.iter().map(line).collect()
}

/// Formats the audit trail.
pub fn audit(audit: &Audit) -> String {
    let mut text = String::new();
    for record in &audit.records {
        text.push_str(&change(&record.change));
        match &record.before {
            Some(before) => writeln!(text, "  before: {}", value(before)).ok(),
            None => writeln!(text, "  before: nothing").ok(),
        };
    }
    text
}

/// Formats refused actions.
pub fn refusals(refusals: &Refusals) -> String {
    let mut text = String::new();
    for refusal in &refusals.refusals {
        let by = refusal.by.as_deref().unwrap_or("unknown");
        writeln!(
            text,
            "{} ms at {}: {} by {by}: {}",
            refusal.at_ms.0, refusal.node, refusal.action, refusal.reason
        )
        .ok();
    }
    if refusals.dropped > 0 {
        writeln!(text, "at least {} more were dropped", refusals.dropped).ok();
    }
    text
}

/// Formats the replication status of all nodes.
pub fn report(report: &Report) -> String {
    let table = if report.table_silent {
        "platform table unavailable"
    } else {
        "platform table available"
    };
    let mut text = format!(
        "{}: revision {}, {}, {table}\n",
        report.node,
        report.head,
        age(report.age_ms)
    );
    let data_centres = report.data_centres.iter().map(data_centre);
    data_centres.for_each(|each| text.push_str(&each));
    text
}

fn data_centre(data_centre: &DataCentre) -> String {
    let state = if data_centre.answers {
        "answers"
    } else {
        "does not answer; the status of its nodes is out of date"
    };
    let nodes: String = data_centre.nodes.iter().map(node).collect();
    format!("{}: {state}\n{nodes}", data_centre.name)
}

fn node(node: &Node) -> String {
    let state = match (node.up_to_date, node.connected) {
        (true, true) => "up to date",
        (true, false) => "up to date, not connected",
        (false, true) => "not known to be up to date",
        (false, false) => "not known to be up to date, not connected",
    };
    match node.status.head {
        Some(head) => format!(
            "  {}: revision {head}, {}, {state}\n",
            node.status.node,
            age(node.status.age_ms)
        ),
        None => format!("  {}: no status received, {state}\n", node.status.node),
    }
}

fn age(age_ms: Option<Millis>) -> String {
    match age_ms {
        Some(age_ms) => format!("complete as of {} ms ago", age_ms.0),
        None => "not known to be complete".to_owned(),
    }
}

fn value(setting: &Setting) -> String {
    // Serialization cannot fail: all map keys in a setting are strings.
    serde_json::to_string(setting).unwrap_or_default()
}

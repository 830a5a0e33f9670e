//! A caller's request, checked against its template, and the items of its response.

use std::sync::Arc;

use data_encoding::HEXLOWER;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::template::Template;
use filbertpaddle_target::prefix::BLOCK_BYTES;
use filbertpaddle_target::prefix::digests;
use indexmap::IndexMap;
use serde::Deserialize;
use sha2::Digest;
use sha2::Sha256;
use xxhash_rust::xxh3::xxh3_64;

use crate::claims;
use crate::item_queue::ItemReceiver;

/// Estimated number of bytes per token.
const TOKEN_BYTES: usize = 4;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// Body of a request as sent by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// Name of one of the customer's templates.
    pub template: Name,
    /// Value of each parameter of the template.
    #[serde(default)]
    pub parameters: IndexMap<Name, String>,
    /// Unix time after which the caller no longer needs an answer.
    #[serde(default)]
    pub deadline_unix_ms: Option<Millis>,
}

/// A request that was checked against its template.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Customer that sent the request.
    pub customer: Name,
    /// Name of the template.
    pub template_name: Name,
    /// The template at the time of the request.
    pub template: Arc<Template>,
    /// Prompt or call body for the target.
    pub prompt: String,
    /// The caller's idempotency key, if any.
    pub key: Option<Name>,
    /// Maximum wait for a slot on a target.
    pub wait_ms: Millis,
}

/// Error of a request that was refused before it was run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{detail}")]
pub struct ValidationError {
    /// Machine-readable reason.
    pub reason: Reason,
    /// Human-readable description of the error.
    pub detail: String,
}

/// Item of a response, in the order sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseItem {
    /// The generation has started.
    Start {
        /// Identifier of the generation.
        generation: Name,
        /// Signed ticket that resumes the generation.
        ticket: String,
    },
    /// One token.
    Token {
        /// Position, from zero.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// A new generation replaces the tokens so far; only for answers delivered whole.
    Restart,
    /// The request has ended with this outcome.
    End(Outcome),
}

/// First response to a request.
#[derive(Debug)]
pub enum FirstResponse {
    /// The request ended without a result: it was not run, or it is not known whether it ran.
    Ended(Outcome),
    /// The request ran before and had this result.
    Replay(claims::RequestResult),
    /// The request is running.
    Running(ItemReceiver),
}

impl Request {
    /// Checks a body against its template.
    ///
    /// # Errors
    ///
    /// Returns [`ValidationError`] for the first check that fails.
    pub fn check(
        customer: Name,
        template: Arc<Template>,
        body: Body,
        key: Option<&str>,
        now_unix_ms: Millis,
    ) -> Result<Self, ValidationError> {
        check_parameters(&template, &body.parameters)?;
        let key = check_key(&template, key)?;
        let wait_ms = check_deadline(&template, body.deadline_unix_ms, now_unix_ms)?;
        let prompt = prompt(&template, &body.parameters);
        Ok(Self {
            customer,
            template_name: body.template,
            template,
            prompt,
            key,
            wait_ms,
        })
    }

    /// Returns the key of the template, which contains its customer.
    pub fn template_key(&self) -> Name {
        format!("{}/{}", self.customer, self.template_name).into()
    }

    /// Returns the estimated length of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.prompt.len() / TOKEN_BYTES + 1).unwrap_or(u32::MAX)
    }

    /// Returns the digest that targets' prefix caches use for the complete blocks of the
    /// template's prompt; zero if there are none.
    pub fn prefix(&self) -> u64 {
        digests(&self.template.prompt)
            .last()
            .copied()
            .unwrap_or_default()
    }

    /// Returns the estimated length of the complete blocks of the template's prompt.
    pub fn prefix_tokens(&self) -> u32 {
        let bytes = digests(&self.template.prompt).len() * BLOCK_BYTES;
        u32::try_from(bytes / TOKEN_BYTES).unwrap_or(u32::MAX)
    }

    /// Returns a digest that is equal for a resent request.
    pub fn digest(&self) -> u64 {
        xxh3_64(self.identity().as_bytes())
    }

    /// Returns a collision-resistant digest that is equal for a resent request.
    pub fn digest_hex(&self) -> Name {
        HEXLOWER
            .encode(&Sha256::digest(self.identity().as_bytes()))
            .into()
    }

    fn identity(&self) -> String {
        format!("{}\n{}", self.template_key(), self.prompt)
    }
}

fn check_parameters(
    template: &Template,
    parameters: &IndexMap<Name, String>,
) -> Result<(), ValidationError> {
    let missing = template
        .parameters
        .iter()
        .find(|name| !parameters.contains_key(*name));
    if let Some(name) = missing {
        return Err(bad_request(format!("parameter {name} is missing")));
    }
    let unknown = parameters
        .keys()
        .find(|name| !template.parameters.contains(name));
    if let Some(name) = unknown {
        return Err(bad_request(format!("parameter {name} is unknown")));
    }
    Ok(())
}

fn check_key(template: &Template, key: Option<&str>) -> Result<Option<Name>, ValidationError> {
    let Some(key) = key else {
        if template.idempotent {
            return Ok(None);
        }
        return Err(ValidationError {
            reason: Reason::KeyRequired,
            detail: "the template is non-idempotent: send an Idempotency-Key".to_owned(),
        });
    };
    let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !printable {
        let detail = format!("an Idempotency-Key has 1 to {MAX_KEY_BYTES} printable characters");
        return Err(bad_request(detail));
    }
    Ok(Some(key.into()))
}

fn check_deadline(
    template: &Template,
    deadline_unix_ms: Option<Millis>,
    now_unix_ms: Millis,
) -> Result<Millis, ValidationError> {
    let Some(deadline) = deadline_unix_ms else {
        return Ok(template.max_wait_ms);
    };
    if deadline <= now_unix_ms {
        return Err(ValidationError {
            reason: Reason::Deadline,
            detail: "the deadline has passed".to_owned(),
        });
    }
    Ok(template.max_wait_ms.min(deadline.since(now_unix_ms)))
}

fn prompt(template: &Template, parameters: &IndexMap<Name, String>) -> String {
    let mut prompt = template.prompt.clone();
    for name in &template.parameters {
        let value = parameters.get(name).map_or("", String::as_str);
        prompt.push_str(&format!("\n{name}: {value}"));
    }
    prompt
}

fn bad_request(detail: String) -> ValidationError {
    ValidationError {
        reason: Reason::BadRequest,
        detail,
    }
}

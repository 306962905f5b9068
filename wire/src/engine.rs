//! JSON bodies of the HTTP interface to inference engines.

use merlinrudder_core::dispatch::BLOCK_TOKENS;
use merlinrudder_core::rendezvous::stable_hash;
use serde::{Deserialize, Serialize};

/// Prompt bytes hashed as one prefix-cache block, at 4 bytes per token.
const BLOCK_BYTES: usize = BLOCK_TOKENS * 4;
/// Maximum number of leading blocks of a prompt that are hashed and compared.
const MAX_PREFIX_BLOCKS: usize = 64;

/// Returns the chained hashes of a prompt's leading blocks.
///
/// Each hash covers its block and all blocks before it. A last block that is not full is left out.
#[must_use]
pub fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    let blocks = prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS);
    blocks
        .map(|block| {
            hash = stable_hash(&[&u64::to_le_bytes(hash), block]);
            hash
        })
        .collect()
}

/// Body of `POST /v1/completions` at an engine.
///
/// The answer is a stream of server-sent events, each with an `EngineEvent`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineRequest {
    /// Id of the request; `EngineCancel` refers to it.
    pub request_id: String,
    /// Number of the attempt, which each event repeats.
    pub attempt: u32,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum length of the whole answer, in tokens.
    pub max_tokens: u64,
    /// Number of output tokens that the caller already has; the stream starts after them.
    #[serde(default)]
    pub resume_from: u64,
    /// Scheduling priority; lower values run first.
    #[serde(default)]
    pub priority: u8,
    /// Memory reserved at other engines for a part of the prompt's KV cache.
    #[serde(default)]
    pub reservations: Vec<EngineReservation>,
}

/// Memory reserved at another engine for a prompt that one engine cannot hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineReservation {
    /// Address of the other engine, as `host:port`.
    pub address: String,
    /// Reserved memory, in tokens.
    pub tokens: u64,
}

/// Server-sent event in the answer of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineEvent {
    /// Id of the request.
    pub request_id: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Zero-based index of the token; in the last event the number of tokens.
    pub index: u64,
    /// Text of the token; ignored in the last event.
    #[serde(default)]
    pub text: String,
    /// Whether this is the last event, after which the answer is complete.
    #[serde(default)]
    pub done: bool,
    /// Number of prompt tokens; set in the last event only.
    #[serde(default)]
    pub prompt_tokens: u64,
}

/// Body of `POST /cancel`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineCancel {
    /// Id of the request.
    pub request_id: String,
    /// Highest attempt to cancel; later attempts continue.
    pub attempt: u32,
}

/// Body of `POST /kv/reserve`, `POST /kv/release` and `POST /kv/export`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineKvRequest {
    /// Id of the request.
    pub request_id: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Memory to reserve, in tokens.
    pub tokens: u64,
    /// Time without renewal after which the engine frees the memory, in milliseconds.
    pub lease_ms: u64,
}

/// Response body of an engine that refuses a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineRefusal {
    /// Reason code, such as `memory` or `draining`.
    pub reason: String,
    /// Whether the request may have run; only false proves that nothing of it ran.
    pub ran: bool,
}

/// Memory that an engine holds for one attempt, as `GET /holdings` lists it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineHolding {
    /// Id of the request.
    pub request_id: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Memory held, in tokens.
    pub tokens: u64,
    /// Time for which it has been held, in milliseconds.
    pub age_ms: u64,
}

/// Body of `POST /orders`: changes an engine's loaded models, version or role.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineOrder {
    /// Fencing number of the sender's order lease.
    ///
    /// Engines that check it reject an order with an outdated number.
    pub fencing: u64,
    /// Id of the order; repeating an order with the same id has no effect.
    pub order_id: String,
    /// Change that the engine must make.
    pub action: EngineAction,
}

/// Change that an order asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Load the model with this name.
    LoadModel(String),
    /// Load the adapter with this name.
    LoadAdapter(String),
    /// Change to this version.
    SetVersion(String),
    /// Change to this role.
    SetRole(String),
}

/// Body of `POST /kv/import`: a chunk of a prompt's KV cache from another engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineImport {
    /// Id of the request.
    pub request_id: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Number of tokens in the chunk.
    pub tokens: u64,
    /// Whether this is the last chunk.
    pub last: bool,
}

/// Response body of `POST /kv/export`: how much of a request's KV cache an engine holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineExport {
    /// Number of tokens that were imported or computed.
    pub tokens: u64,
}

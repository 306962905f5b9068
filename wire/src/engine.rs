//! JSON over HTTP between the system and model engines.

use merlinrudder_core::dispatch::BLOCK_TOKENS;
use merlinrudder_core::rendezvous::stable_hash;
use serde::{Deserialize, Serialize};

/// Bytes of a prompt that stand for one block of the prefix cache.
const BLOCK_BYTES: usize = BLOCK_TOKENS * 4;
/// Most prefix blocks of one prompt that are compared.
const MAX_BLOCKS: usize = 64;

/// Returns the hashes of a prompt's leading blocks, each over all before it.
#[must_use]
pub fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            hash = stable_hash(&[&u64::to_le_bytes(hash), block]);
            hash
        })
        .collect()
}

/// Body of `POST /v1/completions` at an engine; the answer is a stream of `EngineEvent`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineRequest {
    /// Request id, which cancels name.
    pub request_id: String,
    /// Attempt, which events repeat.
    pub attempt: u32,
    /// The prompt.
    pub prompt: String,
    /// Most tokens of the whole answer.
    pub max_tokens: u64,
    /// Tokens that the caller has already; the stream starts after them.
    #[serde(default)]
    pub resume_from: u64,
    /// Lower runs first.
    #[serde(default)]
    pub priority: u8,
    /// Memory reserved at other engines for this prompt.
    #[serde(default)]
    pub reservations: Vec<EngineReservation>,
}

/// Memory reserved for a prompt that one engine cannot hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineReservation {
    /// Address of the engine, as `host:port`.
    pub address: String,
    /// Tokens reserved there.
    pub tokens: u64,
}

/// One server-sent event of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineEvent {
    /// The request.
    pub request_id: String,
    /// The attempt.
    pub attempt: u32,
    /// Number of the token, from zero; for the last event the number of all tokens.
    pub index: u64,
    /// Text of the token.
    #[serde(default)]
    pub text: String,
    /// Whether the answer is whole.
    #[serde(default)]
    pub done: bool,
    /// Tokens of the prompt, with the last event.
    #[serde(default)]
    pub prompt_tokens: u64,
}

/// Body of `POST /cancel`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineCancel {
    /// The request.
    pub request_id: String,
    /// Last attempt to cancel; a later one goes on.
    pub attempt: u32,
}

/// Body of `POST /kv/reserve` and `POST /kv/release`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineKvRequest {
    /// The request.
    pub request_id: String,
    /// The attempt.
    pub attempt: u32,
    /// Tokens to hold.
    pub tokens: u64,
    /// Time without renewal after which the engine frees them, in milliseconds.
    pub lease_ms: u64,
}

/// What an engine refuses with; nothing of the request ran.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineRefusal {
    /// Reason code, such as `memory` or `draining`.
    pub reason: String,
    /// Always false in a refusal that proves that nothing ran.
    pub ran: bool,
}

/// One thing that an engine holds, from `GET /holdings`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineHolding {
    /// The request.
    pub request_id: String,
    /// The attempt.
    pub attempt: u32,
    /// Tokens of memory.
    pub tokens: u64,
    /// How long it has been held, in milliseconds.
    pub age_ms: u64,
}

/// Body of `POST /orders`: what an engine is to hold or to be.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineOrder {
    /// Number of the holder of the right to give orders; an old one is refused where it is checked.
    pub fencing: u64,
    /// Name of the order; the same order again changes nothing.
    pub order_id: String,
    /// What to do.
    pub action: EngineAction,
}

/// What an order asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Load a model.
    LoadModel(String),
    /// Load an adapter.
    LoadAdapter(String),
    /// Change to a version.
    SetVersion(String),
    /// Change role.
    SetRole(String),
}

/// Body of `POST /kv/import`, from engine to engine: a piece of a prompt's KV cache arrives.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineImport {
    /// The request.
    pub request_id: String,
    /// The attempt.
    pub attempt: u32,
    /// Tokens of the piece.
    pub tokens: u64,
    /// Whether it is the last piece.
    pub last: bool,
}

/// Answer to `POST /kv/export`: what an engine holds of a request's KV cache.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineExport {
    /// Tokens that were imported or computed.
    pub tokens: u64,
}

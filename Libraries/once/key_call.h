#pragma once

#include "base/error.h"
#include "base/name_table.h"
#include "base/time.h"
#include "once/idempotency_key.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::once {

/// Identifies one attempt of one connection that waits for the answer of a key.
using waiter = std::uint64_t;

/// The states of a key at an agent. `ceded` is a key that was sealed for a later owner: it does not run here, but it
/// may run there, so unlike `sealed` it never supports the statement "not run".
enum class key_state : std::uint8_t { unseen, asking, running, done, sealed, ceded, unknown };
inline constexpr std::size_t key_state_count = static_cast<std::size_t>(key_state::unknown) + 1;
inline constexpr base::name_table<key_state, key_state_count> key_state_names{
    base::make_names({"unseen", "asking", "running", "done", "sealed", "ceded", "unknown"})};

/// A keyed call as it arrives at the agent.
struct key_call {
    std::string organisation;
    idempotency_key key;
    std::uint64_t body_fingerprint{0};
    /// The incarnation of the agent that issued the clock stamp.
    std::uint64_t incarnation{0};
    /// Echo of the agent's steady clock from the last heartbeat.
    base::time_point stamp{};
    waiter from{0};
};

/// The answer of a target.
struct call_answer {
    unsigned status{0};
    std::string body;
    std::string content_type{};
};

/// What becomes of a call or a query.
enum class key_action : std::uint8_t { run, attached, stored_answer, refuse, ask_earlier_owners };

struct key_decision {
    key_action action{key_action::refuse};
    /// Valid for `refuse`.
    base::error_kind refusal{base::error_kind::internal};
    /// Valid for `stored_answer`.
    call_answer answer;
    /// Valid for `ask_earlier_owners`: the targets that must be sent the question.
    std::vector<std::string> ask;
    /// Valid for `ask_earlier_owners`: identifies the question, and the answers must state it.
    std::uint64_t question{0};
};

/// What a waiter receives after an event: a stored answer or a refusal.
struct waiter_outcome {
    waiter to{0};
    key_decision decision;
};

/// The reply of an earlier owner to the question of the current one.
enum class owner_reply : std::uint8_t { ceded, sealed, running, done, unknown, unreachable };

struct earlier_owner_answer {
    owner_reply reply{owner_reply::unknown};
    /// The question that this answers.
    std::uint64_t question{0};
    /// Valid for `done`. Without a stored answer the earlier owner replies `unknown`.
    std::uint64_t body_fingerprint{0};
    call_answer answer;
};

/// A key that an entry sent to an earlier incarnation.
struct remembered_key {
    std::string scoped;
    std::uint64_t body_fingerprint{0};
    /// `sealed`, `done` or `unknown`.
    key_state outcome{key_state::unknown};
    call_answer answer;
};

} // namespace cyclamenledge::once

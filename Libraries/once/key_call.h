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

/// Identifies one attempt on one connection that waits for the outcome of a key.
using waiter_id = std::uint64_t;

/// The states of a key at an agent. A `ceded` key was released to a later owner: it does not run here but may run
/// there, so unlike `sealed` it never allows the statement "not run".
enum class key_state : std::uint8_t { unseen, asking, running, done, sealed, ceded, unknown };
inline constexpr std::size_t key_state_count = static_cast<std::size_t>(key_state::unknown) + 1;
inline constexpr base::name_table<key_state, key_state_count> key_state_names{
    base::make_names({"unseen", "asking", "running", "done", "sealed", "ceded", "unknown"})};

/// A keyed call that an entry submits to the agent.
struct key_call {
    std::string organisation;
    idempotency_key key;
    std::uint64_t body_fingerprint{0};
    /// The incarnation of the agent that issued the clock stamp.
    std::uint64_t incarnation{0};
    /// The agent's steady clock at its last heartbeat, echoed by the entry.
    base::time_point stamp{};
    waiter_id waiter{0};
};

/// The answer of a target.
struct call_answer {
    unsigned status{0};
    std::string body;
    std::string content_type{};
};

/// The action to take for a submitted call or a query.
enum class key_action : std::uint8_t { run, attached, stored_answer, refuse, ask_earlier_owners };

struct key_decision {
    key_action action{key_action::refuse};
    /// Valid for `refuse`.
    base::error_kind refusal{base::error_kind::internal};
    /// Valid for `stored_answer`.
    call_answer answer;
    /// Valid for `ask_earlier_owners`: the earlier owners to send the question to.
    std::vector<std::string> ask;
    /// Valid for `ask_earlier_owners`: the number of the question, which the answers must repeat.
    std::uint64_t question{0};
};

/// The final decision to send to one waiter: a stored answer or a refusal.
struct waiter_outcome {
    waiter_id waiter{0};
    key_decision decision;
};

/// The reply of an earlier owner to the question of the current one.
enum class owner_reply : std::uint8_t { ceded, sealed, running, done, unknown, unreachable };

struct earlier_owner_answer {
    owner_reply reply{owner_reply::unknown};
    /// The number of the answered question.
    std::uint64_t question{0};
    /// Valid for `done`. Without a stored answer the earlier owner replies `unknown`.
    std::uint64_t body_fingerprint{0};
    call_answer answer;
};

/// A key that an entry sent to an earlier incarnation of an agent.
struct remembered_key {
    std::string scoped;
    std::uint64_t body_fingerprint{0};
    /// `sealed`, `done` or `unknown`.
    key_state outcome{key_state::unknown};
    call_answer answer;
};

} // namespace cyclamenledge::once

#pragma once

#include "link/connection.h"
#include "once/key_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cyclamenledge::agent {

enum class waiter_kind : std::uint8_t { submit, query };

/// Where the outcome of a key is to be sent.
struct call_waiter {
    link::connection_pointer connection;
    std::uint64_t attempt{0};
    std::string key;
    std::uint64_t fingerprint{0};
    waiter_kind kind{waiter_kind::submit};
};

/// A call as it arrived. It is shared by the table and the coroutine that runs it.
using call_message = std::shared_ptr<wire::schema::SubmitCallT const>;

/// A key that is asked about or run. The message is null where the question to earlier owners serves a query.
struct open_key {
    call_message message;
    /// Whether the planned stop counts it.
    bool counted{false};
};

/// The keys of an agent with what belongs to the open ones, and the count of calls at the target.
struct call_table {
    std::optional<once::key_table> keys;
    std::unordered_map<once::waiter_id, call_waiter> waiters;
    std::map<std::string, open_key, std::less<>> open;
    once::waiter_id last_waiter{0};
    std::uint32_t running{0};

    /// Takes out a key that is no longer asked about or run. True when the planned stop counted it.
    bool close_settled(std::string_view scoped);
};

} // namespace cyclamenledge::agent

#include "entry/attempt.h"

#include <utility>

namespace cyclamenledge::entry {

namespace {

std::atomic<std::uint64_t> next_attempt{1};

stream::attempt_identity make_identity(link::connection const& connection) {
    auto const number = next_attempt.fetch_add(1, std::memory_order_relaxed);
    return {number, number, connection.number()};
}

} // namespace

attempt::attempt(guarded_attempts& table, link::connection_pointer connection, mailbox_pointer receiver)
    : open_attempt(make_identity(*connection))
    , table_(table)
    , connection_(std::move(connection))
    , receiver_(std::move(receiver)) {
    table_.with([&](stream::attempt_table& attempts) { attempts.open(*this); });
}

attempt::~attempt() {
    table_.with([&](stream::attempt_table& attempts) { attempts.close(*this); });
}

} // namespace cyclamenledge::entry

#include "agent/plain_part.h"

#include <utility>

namespace cyclamenledge::agent {

plain_part::plain_part(process::runtime& daemon, blackboard& board, boost::asio::ip::tcp::endpoint target)
    : board_(board)
    , client_(std::move(target))
    , calls_(daemon, board, client_) {}

base::result<void> plain_part::apply(catalogue::catalogue_pointer const& published, catalogue::target const& self) {
    service_ = *published->find_service(self.service);
    return base::success();
}

void plain_part::dump(boost::json::object& state) const {
    board_.calls.with([&](call_table const& table) {
        boost::json::object keys;
        auto const counts = table.keys->counts();
        for (std::size_t index = 0; index < counts.size(); ++index)
            keys[once::key_state_names.name(static_cast<once::key_state>(index))] = counts.at(index);
        auto const left = std::chrono::ceil<base::seconds>(table.keys->recovery_end() - base::clock::now());
        keys["recovery_ends_in_seconds"] = std::max<std::int64_t>(left.count(), 0);
        keys["answer_bytes"] = table.keys->answer_bytes();
        state["keys"] = std::move(keys);
        state["calls"] = {{"running", table.running}, {"open_keys", table.open.size()}};
    });
}

} // namespace cyclamenledge::agent

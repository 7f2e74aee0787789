#include "stream/attempt_table.h"

namespace cyclamenledge::stream {

bool attempt_table::open(open_attempt& attempt) {
    return attempts_.insert(attempt).second;
}

void attempt_table::close(open_attempt& attempt) {
    if (attempt.is_linked())
        attempts_.erase(attempts_.iterator_to(attempt));
}

open_attempt* attempt_table::match(attempt_identity const& answer) {
    auto const found = attempts_.find(answer.attempt);
    if (found == attempts_.end()) {
        ++counters_.late;
        return nullptr;
    }
    auto const& identity = found->identity();
    auto const same_request = identity.request == answer.request || !switches_.check_request;
    auto const same_connection = identity.connection == answer.connection || !switches_.check_connection;
    if (!same_request || !same_connection) {
        ++counters_.mismatched;
        return nullptr;
    }
    return &*found;
}

std::vector<open_attempt*> attempt_table::close_connection(connection_number connection) {
    std::vector<open_attempt*> lost;
    for (auto position = attempts_.begin(); position != attempts_.end();) {
        auto& attempt = *position++;
        if (attempt.identity().connection != connection)
            continue;
        close(attempt);
        lost.push_back(&attempt);
    }
    return lost;
}

} // namespace cyclamenledge::stream

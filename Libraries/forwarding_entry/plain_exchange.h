#pragma once

#include "forwarding_entry/entry_parts.h"
#include "forwarding_entry/request_context.h"
#include "forwarding_entry/retry_gate.h"
#include "forwarding_entry/send_result.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// Serves one request whose answer is read in full before it is forwarded to the caller.
class plain_exchange : public boost::intrusive_ref_counter<plain_exchange> {
public:
    plain_exchange(entry_parts& parts, request_context request)
        : parts_(parts)
        , request_(std::move(request)) {}

    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<http::response> run_attempts();
    boost::asio::awaitable<send_result> send_to(std::string target);
    boost::asio::awaitable<send_result> read_answer(std::string const& target, std::string const& address,
                                                    http::upstream_pointer connection, base::time_point attempt_end);
    base::time_point attempt_deadline(base::time_point now) const;
    retry_decision decide_next(send_result const& last);
    forwarding::attempt_facts make_attempt_facts(send_result const& last) const;
    http::response make_final_answer(send_result last);
    placement_need next_placement();
    void on_caller_left();

    entry_parts& parts_;
    request_context request_;
    http::upstream_pointer connection_;
    std::vector<std::string> tried_targets_;
    std::uint32_t possible_runs_{0};
    std::uint32_t unsent_attempts_{0};
    /// Why the request is not sent to another target, for the log.
    std::string_view not_repeated_{retry_reason::final_outcome};
    /// Targets crashed while they ran requests with the same content.
    bool crashes_targets_{false};
    bool caller_left_{false};
};

} // namespace cyclamenledge::forwarding_entry

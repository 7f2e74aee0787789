#pragma once

#include "forwarding_entry/entry_parts.h"
#include "forwarding_entry/request_context.h"
#include "forwarding_entry/retry_gate.h"
#include "forwarding_entry/send_result.h"

#include <boost/asio/steady_timer.hpp>
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
        , request_(std::move(request))
        , answer_memory_(parts.answer_memory) {}

    boost::asio::awaitable<void> run();

private:
    using self_pointer = boost::intrusive_ptr<plain_exchange>;

    /// A request that was sent and whose answer has not arrived.
    struct running_attempt : public boost::intrusive_ref_counter<running_attempt> {
        running_attempt(boost::asio::io_context& context, std::string sent_to)
            : target(std::move(sent_to))
            , timer(context) {}

        std::string target;
        base::time_point sent_at{base::clock::now()};
        boost::asio::steady_timer timer;
        bool ended{false};
    };
    using attempt_pointer = boost::intrusive_ptr<running_attempt>;

    /// All that the next attempt needs: a placement, a connection and the retry budget.
    struct prepared_attempt {
        std::string target;
        http::upstream_pointer connection;
        retry_decision decision;
    };

    boost::asio::awaitable<http::response> run_attempts();
    boost::asio::awaitable<send_result> send_to(std::string target, http::upstream_pointer connection);
    boost::asio::awaitable<send_result> read_answer(forwarding::target_incarnation target, std::string address,
                                                    http::upstream_pointer connection);
    boost::asio::awaitable<void> replace_when_slow(self_pointer self, attempt_pointer current);
    boost::asio::awaitable<std::optional<prepared_attempt>> prepare_successor(attempt_pointer current);
    void withdraw(prepared_attempt const& unused);
    retry_decision decide_next(send_result const& last);
    forwarding::attempt_facts make_attempt_facts(send_result const& last) const;
    http::response make_final_answer(send_result last);
    placement_need next_placement(std::vector<std::string> const& excluded);
    /// Whether the request is known to crash targets, so that no other one may get it.
    bool learn_refusal();
    void on_caller_left();

    entry_parts& parts_;
    request_context request_;
    http::upstream_pointer connection_;
    /// Whether the head of the running attempt's answer has arrived.
    bool answer_began_{false};
    /// Set when the running attempt was ended for it.
    std::optional<prepared_attempt> successor_;
    /// Held until the answer is written to the caller.
    base::byte_lease answer_memory_;
    std::vector<std::string> tried_targets_;
    std::uint32_t possible_runs_{0};
    std::uint32_t unsent_attempts_{0};
    /// Why the request is not sent to another target, for the log.
    std::string_view not_repeated_{retry_reason::final_outcome};
    /// Set once the request is known to crash targets.
    std::optional<poison::refusal> refusal_;
    bool caller_left_{false};
};

} // namespace cyclamenledge::forwarding_entry

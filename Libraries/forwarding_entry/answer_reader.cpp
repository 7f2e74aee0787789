#include "forwarding_entry/answer_reader.h"

#include "log/logger.h"
#include "platform/engine_calls.h"
#include "platform/request_headers.h"

namespace cyclamenledge::forwarding_entry {

namespace {

// Late answers to earlier requests that are skipped before the connection is given up.
constexpr int maximum_mismatched_answers = 3;

} // namespace

http::awaitable_result<http::response_head> read_matching_head(http::upstream_pointer connection,
                                                               expected_answer expected) {
    auto bytes_left = expected.maximum_bytes;
    for (int mismatched = 0; mismatched <= maximum_mismatched_answers; ++mismatched) {
        BOOST_OUTCOME_CO_TRY(auto head, co_await connection->read_head(expected.time_left(), expected.has_body));
        auto const facts = platform::decode_answer(head);
        if (facts.two_answers)
            co_return base::make_error(base::error_kind::io_failed, "the heads of two answers in one");
        // Another target at the address does not speak for the one that was asked.
        if (expected.on_notices && !facts.other_target)
            expected.on_notices(facts.notices);
        // An answer that names no request can only be attributed on a connection that carried no other one.
        bool const unnamed_but_own = facts.request_id.empty() && connection->carries_first_request();
        // Once more and late, it would be taken for the answer to a call that has no id.
        if (unnamed_but_own)
            connection->add_request_name(platform::unnamed_call);
        if (unnamed_but_own || facts.request_id == expected.request)
            co_return head;
        connection->end_after_answer();
        log::write(log::event_kind::answer_dropped, {{"request", expected.request}, {"of", facts.request_id}});
        BOOST_OUTCOME_CO_TRY(auto const dropped, co_await connection->drop_body(bytes_left, expected.time_left()));
        bytes_left -= dropped;
    }
    co_return base::make_error(base::error_kind::io_failed, "answers to other requests");
}

} // namespace cyclamenledge::forwarding_entry

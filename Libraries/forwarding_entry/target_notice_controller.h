#pragma once

#include "forwarding/target_notices.h"
#include "forwarding_entry/blackboard.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// Applies what targets say of themselves in their answers.
class target_notice_controller {
public:
    target_notice_controller(boost::asio::io_context& context, blackboard& board)
        : context_(context)
        , board_(board)
        , timer_(context) {}

    /// The observer is called when targets have become usable or unusable, but not from within the calls below.
    void set_observer(std::function<void()> on_change) { on_change_ = std::move(on_change); }
    /// Returns a handler of the notices that the target gives in answers on the connection of the request. A notice of
    /// an earlier incarnation says nothing about a later one under the same id.
    forwarding::notices_handler make_handler(forwarding::target_incarnation target, std::string request);
    /// Another target answers at the target's address.
    void on_replaced(forwarding::target_incarnation const& target, std::string const& request);

private:
    void on_answer(forwarding::target_incarnation const& target, std::string const& request,
                   forwarding::target_notices const& notices);
    void mark_leaving(forwarding::target_incarnation const& target, std::string const& request,
                      std::string_view source);
    void notify();
    /// Calls the observer when the next hold-off ends.
    void schedule();

    boost::asio::io_context& context_;
    blackboard& board_;
    std::function<void()> on_change_;
    boost::asio::steady_timer timer_;
};

} // namespace cyclamenledge::forwarding_entry

#include "entry/mailbox.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace cyclamenledge::entry {

bool mailbox::deliver(std::uint64_t attempt, event_content content) {
    return channel_.try_send(boost::system::error_code{}, attempt_event{attempt, std::move(content)});
}

boost::asio::awaitable<attempt_event> mailbox::receive() {
    auto [code, event] = co_await channel_.async_receive(boost::asio::as_tuple(boost::asio::use_awaitable));
    if (code)
        co_return attempt_event{0, caller_gone{}};
    co_return std::move(event);
}

} // namespace cyclamenledge::entry

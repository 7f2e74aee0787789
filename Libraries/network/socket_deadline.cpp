#include "network/socket_deadline.h"

#include <utility>

namespace cyclamenledge::network {

namespace asio = boost::asio;

void socket_deadline::watched::close() {
    auto* const expired = std::exchange(socket, nullptr);
    if (expired == nullptr)
        return;
    boost::system::error_code ignored;
    expired->close(ignored);
}

socket_deadline::socket_deadline(asio::any_io_executor const& executor, asio::ip::tcp::socket& socket,
                                 base::milliseconds limit)
    : watched_(new watched)
    , timer_(executor, limit) {
    watched_->socket = &socket;
    timer_.async_wait([expiring = watched_](boost::system::error_code const& code) {
        if (!code)
            expiring->close();
    });
}

socket_deadline::~socket_deadline() {
    watched_->socket = nullptr;
}

bool socket_deadline::lift() {
    // An expired wait can't be cancelled, and its handler may not have run yet.
    if (timer_.cancel() == 0)
        watched_->close();
    return std::exchange(watched_->socket, nullptr) != nullptr;
}

} // namespace cyclamenledge::network

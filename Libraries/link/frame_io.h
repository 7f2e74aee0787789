#pragma once

#include "base/result.h"
#include "wire/frame.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace cyclamenledge::link {

using tcp = boost::asio::ip::tcp;
template <class Value>
using awaitable_result = boost::asio::awaitable<base::result<Value>>;

/// Reads and verifies one frame.
awaitable_result<wire::frame> read_frame(tcp::socket& socket);
/// Writes all bytes.
awaitable_result<void> write_bytes(tcp::socket& socket, std::string bytes);

} // namespace cyclamenledge::link

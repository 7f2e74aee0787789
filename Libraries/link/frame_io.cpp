#include "link/frame_io.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace cyclamenledge::link {

namespace asio = boost::asio;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

base::error io_error(boost::system::error_code const& code) {
    return base::make_error(base::error_kind::link_lost, code.message());
}

} // namespace

awaitable_result<wire::frame> read_frame(tcp::socket& socket) {
    std::array<std::uint8_t, wire::frame_header_bytes> header_bytes{};
    auto [header_code, header_count] = co_await asio::async_read(socket, asio::buffer(header_bytes), use_tuple);
    if (header_code)
        co_return io_error(header_code);
    BOOST_OUTCOME_CO_TRY(auto const header, wire::parse_frame_header(header_bytes));

    std::string body(header.body_bytes, '\0');
    auto [body_code, body_count] = co_await asio::async_read(socket, asio::buffer(body), use_tuple);
    if (body_code)
        co_return io_error(body_code);
    co_return wire::verify_frame(header.kind, std::move(body));
}

awaitable_result<void> write_bytes(tcp::socket& socket, std::string bytes) {
    auto [code, count] = co_await asio::async_write(socket, asio::buffer(bytes), use_tuple);
    if (code)
        co_return io_error(code);
    co_return base::success();
}

} // namespace cyclamenledge::link

#include "network/endpoint.h"

#include <charconv>
#include <sstream>

namespace cyclamenledge::network {

namespace asio = boost::asio;

base::result<asio::ip::tcp::endpoint> parse_endpoint(std::string const& address) {
    auto const failure = [&] {
        return base::make_error(base::error_kind::invalid_configuration, "not an IP:PORT address: " + address);
    };
    auto const colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return failure();
    std::string host = address.substr(0, colon);
    if (host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);

    boost::system::error_code code;
    auto const ip = asio::ip::make_address(host, code);
    std::uint16_t port = 0;
    char const* const end = address.data() + address.size();
    auto const [rest, parse_code] = std::from_chars(address.data() + colon + 1, end, port);
    if (code || parse_code != std::errc{} || rest != end)
        return failure();
    return asio::ip::tcp::endpoint{ip, port};
}

std::string address_text(asio::ip::tcp::endpoint const& endpoint) {
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

base::result<void> open_acceptor(asio::ip::tcp::acceptor& acceptor, std::string const& address) {
    BOOST_OUTCOME_TRY(auto const endpoint, parse_endpoint(address));
    boost::system::error_code code;
    acceptor.open(endpoint.protocol(), code);
    if (!code)
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{true}, code);
    if (!code)
        acceptor.bind(endpoint, code);
    if (!code)
        acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return base::make_error(base::error_kind::io_failed, "cannot listen on " + address + ": " + code.message());
    return base::success();
}

} // namespace cyclamenledge::network

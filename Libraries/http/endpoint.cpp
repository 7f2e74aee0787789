#include "http/endpoint.h"

#include <charconv>

namespace cyclamenledge::http {

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

} // namespace cyclamenledge::http

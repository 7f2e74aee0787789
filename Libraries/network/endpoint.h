#pragma once

#include "base/result.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace cyclamenledge::network {

/// Parses IP:PORT, with an IPv6 address in square brackets. Names are not resolved.
base::result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string const& address);

/// The address as IP:PORT, in the form that parse_endpoint reads.
std::string address_text(boost::asio::ip::tcp::endpoint const& endpoint);

/// Binds an acceptor to IP:PORT and listens.
base::result<void> open_acceptor(boost::asio::ip::tcp::acceptor& acceptor, std::string const& address);

} // namespace cyclamenledge::network

#include "support/process/loopback.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <stdexcept>
#include <unistd.h>

namespace cyclamenledge::tests::process {

namespace {

using boost::asio::ip::tcp;

constexpr std::uint16_t first_port = 12000;
constexpr std::uint16_t last_port = 32000;

bool is_free(std::string const& host, std::uint16_t port) {
    boost::asio::io_context context;
    tcp::acceptor acceptor{context};
    boost::system::error_code code;
    acceptor.open(tcp::v4(), code);
    acceptor.set_option(tcp::acceptor::reuse_address{true}, code);
    acceptor.bind({boost::asio::ip::make_address(host), port}, code);
    return !code;
}

} // namespace

loopback::loopback(std::uint8_t family)
    : port_(first_port) {
    auto const process = static_cast<unsigned>(::getpid());
    host_ = "127." + std::to_string(family) + "." + std::to_string(process / 250 % 250 + 1) + "." +
            std::to_string(process % 250 + 1);
}

std::string loopback::next() {
    while (++port_ < last_port) {
        if (is_free(host_, port_))
            return host_ + ":" + std::to_string(port_);
    }
    throw std::runtime_error("no free loopback port at " + host_);
}

} // namespace cyclamenledge::tests::process

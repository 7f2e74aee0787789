#include "support/platform_process/raw_target.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <sys/socket.h>
#include <utility>

namespace cyclamenledge::tests::process {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// A reset may take away what the entry has not read.
constexpr std::chrono::milliseconds delivery_time{10};
constexpr int started_at = 1;

/// The value behind the name, which ends with a colon and a blank. Empty when the head lacks it.
std::string field_value(std::string const& head, std::string const& name) {
    auto const at = head.find(name);
    if (at == std::string::npos)
        return {};
    return head.substr(at + name.size(), head.find("\r\n", at) - at - name.size());
}

} // namespace

raw_target::raw_target(std::string service, std::string answer, answer_end end)
    : service_(std::move(service))
    , answer_(std::move(answer))
    , end_(end)
    , thread_([this] { serve(); }) {}

raw_target::~raw_target() {
    stopped_ = true;
    {
        // Ends the wait for the next request.
        std::lock_guard const lock{mutex_};
        if (served_connection_ >= 0)
            ::shutdown(served_connection_, SHUT_RDWR);
    }
    // Ends the wait for the next connection.
    tcp::socket last{context_};
    boost::system::error_code ignored;
    last.connect(address_, ignored);
    thread_.join();
}

void raw_target::set_answer(std::string answer, answer_end end) {
    std::lock_guard const lock{mutex_};
    answer_ = std::move(answer);
    end_ = end;
}

bool raw_target::received(std::string const& text) {
    std::lock_guard const lock{mutex_};
    return received_heads_.find(text) != std::string::npos;
}

std::string raw_target::announcement() const {
    return boost::json::serialize(boost::json::object{{"service", service_},
                                                      {"address", "127.0.0.1:" + std::to_string(address_.port())},
                                                      {"zone", "domain-0"},
                                                      {"version", "v1"},
                                                      {"slots", 24},
                                                      {"state", "ready"},
                                                      {"coldLeftMs", 0},
                                                      {"born", started_at}});
}

std::string raw_target::report() const {
    auto const body = boost::json::serialize(boost::json::object{
        {"state", "ready"}, {"kvUsed", 0}, {"kvTotal", 30000}, {"born", replaced_ ? started_at + 1 : started_at}});
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void raw_target::serve() {
    while (!stopped_) {
        boost::system::error_code code;
        tcp::socket peer{context_};
        acceptor_.accept(peer, code);
        if (!code && !stopped_)
            serve_connection(peer);
    }
}

void raw_target::serve_connection(tcp::socket& peer) {
    {
        std::lock_guard const lock{mutex_};
        served_connection_ = peer.native_handle();
    }
    asio::streambuf received;
    first_request_ = true;
    while (!stopped_ && answer(peer, received)) {
    }
    std::lock_guard const lock{mutex_};
    served_connection_ = -1;
    // The destructor of the socket would end the connection without a reset.
    boost::system::error_code code;
    peer.close(code);
}

bool raw_target::answer(tcp::socket& peer, asio::streambuf& received) {
    boost::system::error_code code;
    auto const size = asio::read_until(peer, received, "\r\n\r\n", code);
    std::string const head{asio::buffers_begin(received.data()),
                           asio::buffers_begin(received.data()) + static_cast<std::ptrdiff_t>(size)};
    if (!code && head.starts_with("GET /-/report ")) {
        asio::write(peer, asio::buffer(report()), code);
        return false;
    }
    auto const id = field_value(head, "X-Request-Id: ");
    if (code || id.empty())
        return false;
    received.consume(size);
    // A connection that is closed before its bytes are read is reset.
    auto const body = field_value(head, "Content-Length: ");
    auto const body_size = body.empty() ? std::size_t{0} : std::stoul(body);
    if (received.size() < body_size)
        asio::read(peer, received, asio::transfer_exactly(body_size - received.size()), code);
    received.consume(body_size);
    ++requests_;
    if (std::exchange(first_request_, false))
        ++connections_;
    std::unique_lock lock{mutex_};
    received_heads_ += head;
    auto const end = end_;
    auto const bytes = boost::algorithm::replace_all_copy(answer_, "ID", id);
    lock.unlock();
    asio::write(peer, asio::buffer(bytes), code);
    if (end == answer_end::keep)
        return !code;
    std::this_thread::sleep_for(delivery_time);
    if (end == answer_end::reset)
        peer.set_option(asio::socket_base::linger{true, 0}, code);
    if (end == answer_end::process_end) {
        stopped_ = true;
        acceptor_.close(code);
    }
    return false;
}

} // namespace cyclamenledge::tests::process

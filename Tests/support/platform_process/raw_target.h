#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/streambuf.hpp>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>

namespace cyclamenledge::tests::process {

/// How a target ends its connection after an answer.
enum class answer_end {
    close,
    reset,
    /// The connection stays open for further requests until the entry ends it.
    keep,
    /// The target's process ends, so that it takes no connection any more.
    process_end,
};

/// Answers each request with the same bytes, in which ID stands for the id of the request, and ends the connection
/// unless told otherwise. Questions for its load are answered as by a sound engine. One connection is served at a time.
class raw_target {
public:
    raw_target(std::string service, std::string answer, answer_end end);
    raw_target(raw_target const&) = delete;
    raw_target& operator=(raw_target const&) = delete;
    ~raw_target();

    /// For the requests that come from now on.
    void set_answer(std::string answer, answer_end end);
    /// Another incarnation than the announced one has the address.
    void replace_incarnation() { replaced_ = true; }
    std::string announcement() const;
    int requests() const { return requests_; }
    /// Whether a head that it received holds the text.
    bool received(std::string const& text);
    /// Connections that have carried a request.
    int connections() const { return connections_; }

private:
    /// The answer to a question for the load, which names the incarnation.
    std::string report() const;
    void serve();
    void serve_connection(boost::asio::ip::tcp::socket& peer);
    /// Answers the next request of the connection. Returns whether another one may follow.
    bool answer(boost::asio::ip::tcp::socket& peer, boost::asio::streambuf& received);

    std::string service_;
    std::mutex mutex_;
    /// The heads of all requests.
    std::string received_heads_;
    std::string answer_;
    answer_end end_;
    std::atomic<bool> stopped_{false};
    std::atomic<bool> replaced_{false};
    std::atomic<int> requests_{0};
    std::atomic<int> connections_{0};
    /// Whether the connection has carried none yet. Only the serving thread uses it.
    bool first_request_{true};
    /// The connection that is being served, or -1. Guarded by the mutex.
    int served_connection_{-1};
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_{context_, {boost::asio::ip::address_v4::loopback(), 0}};
    boost::asio::ip::tcp::endpoint address_{acceptor_.local_endpoint()};
    std::thread thread_;
};

} // namespace cyclamenledge::tests::process

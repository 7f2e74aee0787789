#include "generation_world.h"
#include "network/endpoint.h"
#include "support/table_test.h"
#include "wire/frame.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace cyclamenledge::tests {

namespace {

struct raw_case {
    std::string_view name;
    std::string bytes;
    bool half_close;
    /// Status in the answer, or empty when the connection is closed without one.
    std::string_view status;
};

std::string post_head(std::string const& length) {
    return "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\n\r\n";
}

std::string frame_head(std::uint32_t length, unsigned version, unsigned kind) {
    std::string bytes;
    for (unsigned shift = 0; shift < 32; shift += 8)
        bytes.push_back(static_cast<char>((length >> shift) & 0xffU));
    bytes.push_back(static_cast<char>(version));
    bytes.push_back(static_cast<char>(kind));
    return bytes;
}

} // namespace

class input_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(input_test);
    CPPUNIT_TEST(malformed_http);
    CPPUNIT_TEST(split_requests);
    CPPUNIT_TEST(malformed_frames);
    CPPUNIT_TEST(slow_caller);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against input of callers that ends the process, holds a connection for ever or gets no clear answer.
    void malformed_http() {
        generation_world world;
        world.add_target("text-1");
        world.extra_settings += "limits: {header_timeout: 1 s}\n";
        world.start_all();
        std::vector<raw_case> const cases{
            {"garbage", "\x01\x02\x03 garbage\r\n\r\n", false, "400"},
            {"oversized header", "GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", false, "413"},
            {"oversized announced body", post_head("2000000"), false, "413"},
            {"oversized body", post_head("4000000") + std::string(4000000, 'x'), false, "413"},
            {"negative length", post_head("-1"), false, "400"},
            {"truncated header", "POST /v1/compl", true, "400"},
            {"truncated body", post_head("100") + "{\"model\"", true, "400"},
            {"slow header", "POST /v1/completions HTTP/1.1\r\n", false, "408"},
            {"body that is not JSON", post_head("3") + "abc", true, "400"},
            {"closed at once", "", true, ""},
        };
        for_each_row(cases, [&](raw_case const& row) {
            auto const answer = process::send_raw(world.caller_address(), row.bytes, row.half_close);
            CPPUNIT_ASSERT_MESSAGE("not closed: " + answer.bytes, answer.closed);
            auto const wanted = row.status.empty() ? std::string{} : "HTTP/1.1 " + std::string(row.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.bytes, wanted, answer.bytes.substr(0, wanted.size()));
            CPPUNIT_ASSERT(!row.status.empty() || answer.bytes.empty());
        });
        assert_lives(world);
    }

    // Guards against a request that arrives in two segments being taken for a caller that has closed: a readiness event
    // of the second segment may be handled after the data has been read.
    void split_requests() {
        constexpr std::size_t requests = 400;
        generation_world world;
        world.add_target("text-1");
        world.start_all({"--speed", "1000"});
        std::string const body = R"({"model":"text","prompt":"split length=1","max_tokens":1})";
        auto const head = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer " +
                          world.key() + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        auto const endpoint = network::parse_endpoint(world.caller_address()).value();
        for (std::size_t i = 0; i < requests; ++i) {
            boost::asio::io_context context;
            boost::asio::ip::tcp::socket socket{context};
            socket.connect(endpoint);
            socket.set_option(boost::asio::ip::tcp::no_delay{true});
            boost::asio::write(socket, boost::asio::buffer(head));
            boost::asio::write(socket, boost::asio::buffer(body));
            std::string answer;
            boost::system::error_code code;
            boost::asio::read(socket, boost::asio::dynamic_buffer(answer), code);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("request " + std::to_string(i), std::string{"HTTP/1.1 "}, answer.substr(0, 9));
        }
    }

    // Guards against frames of another process that end the agent or the entry, or hold a connection for ever.
    void malformed_frames() {
        generation_world world;
        world.add_target("text-1");
        world.start_all();
        wire::schema::HelloT hello;
        hello.process = "stranger";
        hello.nonce = std::vector<std::uint8_t>(16, 1);
        auto const valid_hello = wire::encode(hello);
        std::vector<raw_case> const cases{
            {"garbage", "GET / HTTP/1.1\r\n\r\n", false, ""},
            {"oversized frame", frame_head(0xffffffffU, 1, 0), false, ""},
            {"other version", frame_head(4, 99, 0) + "abcd", false, ""},
            {"unknown kind", frame_head(4, 1, 255) + "abcd", false, ""},
            {"malformed body", frame_head(4, 1, 0) + "\xff\xff\xff\xff", false, ""},
            {"truncated body", frame_head(400, 1, 0) + "abcd", true, ""},
            {"silent peer", "", false, ""},
            {"silent in the handshake", valid_hello, false, ""},
            {"wrong order", wire::encode(wire::schema::HeartbeatT{}), false, ""},
            {"two greetings", valid_hello + valid_hello, false, ""},
        };
        for (auto const& address : {world.target("text-1").peer_address, world.entry("entry-1").peer_address}) {
            for_each_row(cases, [&](raw_case const& row) {
                auto const answer = process::send_raw(address, row.bytes, row.half_close);
                CPPUNIT_ASSERT_MESSAGE("not closed: " + address, answer.closed);
            });
        }
        assert_lives(world);
    }

    // Guards against memory that grows with the output of a caller that does not read.
    void slow_caller() {
        constexpr std::size_t callers = 50;
        constexpr std::size_t bound_bytes = 64UL * 1024 * 1024;
        generation_world world;
        auto& target = world.add_target("text-1");
        target.memory_tokens = 20'000'000;
        world.service_classes = "  - {name: interactive, owner: tests, goal: completion, token_gap_target: 10 s}\n";
        world.start_all({"--speed", "200", "--memory-tokens", "20000000"});
        std::vector<boost::asio::ip::tcp::socket> sockets;
        for (std::size_t index = 0; index < callers; ++index) {
            auto& socket = sockets.emplace_back(world.context());
            socket.open(boost::asio::ip::tcp::v4());
            socket.set_option(boost::asio::socket_base::receive_buffer_size{4096});
            socket.connect(process::to_endpoint(world.caller_address()));
            process::http_call call;
            auto const body = completion_body("slow", 200000, true);
            auto const request = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + world.key() +
                                 "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            boost::asio::write(socket, boost::asio::buffer(request));
        }
        auto const tokens = [&] { return world.counter(target.operator_address, "cyclamenledge_tokens_total"); };
        double last = -1;
        auto steady_since = std::chrono::steady_clock::now();
        world.wait("the flow of tokens stops", [&] {
            auto const now = std::chrono::steady_clock::now();
            auto const current = tokens();
            if (current != last)
                steady_since = now;
            last = current;
            return current > 0 && now - steady_since > std::chrono::seconds{2};
        });
        auto const entry_bytes = world.find("entry-1").resident_bytes();
        auto const agent_bytes = world.find("text-1").resident_bytes();
        auto const figures = "entry " + std::to_string(entry_bytes) + " bytes, agent " + std::to_string(agent_bytes) +
                             " bytes, tokens " + std::to_string(last);
        CPPUNIT_ASSERT_MESSAGE(figures, entry_bytes < bound_bytes && agent_bytes < bound_bytes);
        CPPUNIT_ASSERT_MESSAGE(figures, last < static_cast<double>(callers) * 200000);
        sockets.clear();
        world.wait("the generations are cancelled", [&] { return world.open_requests(target.operator_address) == 0; });
        assert_lives(world);
    }

private:
    static void assert_lives(generation_world& world) {
        auto const reader = world.open("alpha", 20);
        world.read_all(*reader);
        assert_complete(reader->result(), 20, world);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(input_test);

} // namespace cyclamenledge::tests

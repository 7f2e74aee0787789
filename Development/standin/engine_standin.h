#pragma once

#include "engine_model/engine.h"
#include "http/server.h"
#include "standin.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cyclamenledge::standin {

/// An HTTP engine over the engine model. Token n of a generation is "<tag>:<n> ", where the tag is the first word of
/// the prompt, so that a receiver can tell lost, repeated and crossed tokens. "length=N" in a prompt sets the length.
class engine_standin : public standin, public http::request_handler {
public:
    std::string name() const override { return "engine"; }
    std::string description() const override { return "A model engine with continuous batching"; }
    void add_options(CLI::App& options) override;
    base::result<void> start(boost::asio::io_context& context) override;
    boost::asio::awaitable<void> handle(http::session_pointer client, http::request received) override;

private:
    struct generation {
        std::string id;
        std::string tag;
        std::uint32_t produced{0};
        std::uint32_t length{0};
        std::string finish;
        bool lost{false};
        std::shared_ptr<boost::asio::steady_timer> changed;
    };
    using generation_pointer = std::shared_ptr<generation>;

    boost::asio::awaitable<void> drive();
    boost::asio::awaitable<void> start_generation(http::session_pointer client, http::request const& received);
    boost::asio::awaitable<void> stream(http::session_pointer client, generation_pointer source, std::uint32_t from);
    boost::asio::awaitable<void> restart_later();
    boost::asio::awaitable<void> stay_silent(http::session_pointer client);
    void take(engine_model::engine_event const& event);
    void crash();
    http::response answer_load();
    http::response answer_live() const;
    http::response answer_order(http::request const& received);
    http::response set_faults(http::request const& received);
    http::response cancel(std::string const& id);
    std::uint32_t choose_length(std::string const& prompt, std::uint32_t maximum) const;

    std::string address_;
    engine_model::engine_parameters parameters_;
    double speed_{1.0};
    std::uint32_t mean_length_{200};
    std::uint32_t cold_ms_{0};
    std::uint32_t restart_ms_{1000};
    bool check_fencing_{false};

    boost::asio::io_context* context_{nullptr};
    std::optional<engine_model::engine> engine_;
    std::optional<http::server> server_;
    std::map<std::string, generation_pointer> by_id_;
    std::map<std::uint64_t, generation_pointer> by_number_;
    std::uint64_t next_number_{1};
    std::uint64_t preemptions_{0};
    std::uint64_t fence_{0};
    std::uint64_t incarnation_base_{0};
    base::time_point started_at_{};
    std::string loaded_model_;
    std::string crash_on_;
    bool silent_{false};
    bool up_{true};
};

} // namespace cyclamenledge::standin

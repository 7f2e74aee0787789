#pragma once

#include "agent/blackboard.h"
#include "agent/service_client.h"
#include "link/hub_observer.h"
#include "process/runtime.h"

#include <boost/asio/strand.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::agent {

/// Takes plain calls from entries and runs them at the service. Keyed calls go through the key table.
class call_controller : public link::hub_observer {
public:
    call_controller(process::runtime& daemon, blackboard& board, service_client const& service);

    /// Starts the recovery of the key table, registers for frames and watches the service.
    void start(catalogue::service const& served);

    void submit(link::connection& source, wire::schema::SubmitCallT message);
    void query(link::connection& source, wire::schema::QueryKeyT const& message);
    void remember(wire::schema::RememberedKeysT const& message);
    /// Question of a later owner and the reply of an earlier one.
    void cede(link::connection& source, wire::schema::OwnerQuestionT const& message);
    void take_reply(link::connection const& source, wire::schema::OwnerReplyT message);
    /// The configuration in force was the newest one at the given time.
    void on_configuration_confirmed(base::time_point as_of);

    void fill_heartbeat(wire::schema::HeartbeatT& content) override;
    wire::schema::LoadHintT hint() const;

private:
    /// What an event made of a key, taken over while the table was locked.
    struct verdict {
        once::key_decision decision;
        once::waiter_id waiter{0};
        std::optional<base::error> refusal;
        bool opened{false};
        bool sealed{false};
    };

    boost::asio::awaitable<void> watch_service();
    boost::asio::awaitable<void> run_plain(link::connection_pointer source, call_message call);
    boost::asio::awaitable<void> run_keyed(std::string scoped, call_message call);
    boost::asio::awaitable<void> ask(std::string scoped, std::string owner, wire::schema::OwnerQuestionT question);
    void submit_plain(link::connection& source, call_message call);
    void submit_keyed(link::connection& source, call_message call);
    verdict offer(once::key_call const& offered, call_waiter const& from, call_message const& call);
    verdict ask_state(wire::schema::QueryKeyT const& message, once::idempotency_key const& key,
                      call_waiter const& from);
    static void open(call_table& table, std::string const& scoped, verdict& made, call_waiter const& from,
                     open_key item);
    void act(std::string const& scoped, verdict const& made, call_waiter const& from, call_message const& call,
             wire::schema::OwnerQuestionT question);
    void report_state(call_waiter const& to, std::string const& scoped);
    void on_reply(std::string const& scoped, std::string const& owner, once::earlier_owner_answer const& answer);
    bool awaits(std::string const& scoped, std::string const& owner) const;
    void finish(std::string const& scoped, http::client_result<service_answer> answer);
    void deliver(std::vector<once::waiter_outcome> const& outcomes);
    void deliver(call_waiter const& to, once::key_decision const& decision);
    std::optional<base::error> refusal_reason() const;
    std::uint32_t running_bound() const;
    once::key_ownership owners_of(std::string_view organisation, once::idempotency_key const& key) const;

    process::runtime& daemon_;
    blackboard& board_;
    service_client const& service_;
    once::key_limits limits_;
    std::string service_name_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
};

} // namespace cyclamenledge::agent

#include "daemons.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <future>
#include <iostream>
#include <optional>

namespace cyclamenledge::tests {

namespace {

using std::chrono::seconds;

/// The start jitter of 10 s, and the time for processes to start on a busy machine.
constexpr seconds start_limit{40};
constexpr seconds stream_limit{60};

std::vector<std::string> operator_addresses() {
    std::vector<std::string> addresses;
    for (unsigned number = 1; number <= 3; ++number) {
        addresses.push_back(daemons::entry_operator(number));
        addresses.push_back(daemons::agent_operator(number));
    }
    return addresses;
}

bool in_force_everywhere(std::uint64_t revision) {
    return std::ranges::all_of(operator_addresses(),
                               [&](auto const& address) { return daemons::revision_of(address) == revision; });
}

boost::json::object configuration_state(std::string const& address) {
    auto const state = get_object(address, "/state");
    auto const* part = state.if_contains("configuration");
    return part == nullptr ? boost::json::object{} : part->as_object();
}

/// The standing of a target at an entry.
std::string standing_at(unsigned entry, std::string const& target) {
    auto const state = get_object(daemons::entry_operator(entry), "/state");
    auto const* targets = state.if_contains("targets");
    if (targets == nullptr)
        return {};
    for (auto const& item : targets->as_array()) {
        if (item.at("target").as_string() == boost::json::string_view{target})
            return std::string{item.at("standing").as_string()};
    }
    return {};
}

std::uint64_t admitted_at(unsigned agent) {
    auto const state = get_object(daemons::agent_operator(agent), "/state");
    std::uint64_t admitted = 0;
    for (auto const& item : state.at("classes").as_array())
        admitted += item.at("admitted").to_number<std::uint64_t>();
    return admitted;
}

http_answer complete(unsigned entry, std::string const& tag, unsigned length) {
    return http_post(daemons::caller_address(entry), "/v1/completions",
                     boost::json::serialize(boost::json::object{
                         {"model", "wording"}, {"prompt", tag + " length=" + std::to_string(length)}}));
}

/// Requests at every entry, all of which have to be answered.
void check_service(unsigned count) {
    for (unsigned number = 0; number < count; ++number)
        CPPUNIT_ASSERT_EQUAL(200U, complete(1 + number % 3, "q" + std::to_string(number), 2).status);
}

} // namespace

class configuration_process_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_process_test);
    CPPUNIT_TEST(waits_without_configuration);
    CPPUNIT_TEST(change_is_in_force_everywhere);
    CPPUNIT_TEST(invalid_publication_changes_nothing);
    CPPUNIT_TEST(fresh_entry_ignores_a_stale_service);
    CPPUNIT_TEST(peers_supply_configuration_while_the_service_is_down);
    CPPUNIT_TEST(failure_domain_leaves_and_returns);
    CPPUNIT_TEST(leaving_vm_gets_no_new_work);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { fleet_.emplace(); }
    void tearDown() override { fleet_.reset(); }

    /// Guards against a daemon that exits or claims to be ready before it has a catalogue.
    void waits_without_configuration() {
        fleet_->start_entry(1, true);
        CPPUNIT_ASSERT(wait_until(start_limit, [] {
            auto const state = configuration_state(daemons::entry_operator(1));
            return state.contains("service_reachable") && !state.at("service_reachable").as_bool();
        }));
        CPPUNIT_ASSERT(!daemons::ready(daemons::entry_operator(1)));
        CPPUNIT_ASSERT_EQUAL(503U, complete(1, "early", 1).status);
    }

    /// Guards against processes that a publication does not reach, also those without the service in their settings.
    void change_is_in_force_everywhere() {
        start_fleet();
        for (std::uint64_t revision = 2; revision <= 6; ++revision) {
            auto const start = std::chrono::steady_clock::now();
            fleet_->configure({{"publish", catalogue_text({revision})}});
            CPPUNIT_ASSERT(wait_until(dissemination_limit, [&] { return in_force_everywhere(revision); }));
            std::cout << "in_force_ms "
                      << std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count()
                      << '\n';
        }
    }

    /// Guards against an invalid document that is put in force, or that is dropped without a report.
    void invalid_publication_changes_nothing() {
        start_fleet();
        fleet_->configure({{"publish", "rules: 1\nrevision: 2\nfailure_domains: nonsense\n"}});
        CPPUNIT_ASSERT(wait_until(dissemination_limit, [] {
            auto const state = configuration_state(daemons::entry_operator(1));
            return state.contains("last_rejected") &&
                   state.at("last_rejected").at("revision").to_number<std::uint64_t>() == 2;
        }));
        CPPUNIT_ASSERT(in_force_everywhere(1));
        check_service(3);
        fleet_->configure({{"publish", catalogue_text({3})}});
        CPPUNIT_ASSERT(wait_until(dissemination_limit, [] { return in_force_everywhere(3); }));
    }

    /// Guards against a process that takes, or returns to, the old revision of a stale service.
    void fresh_entry_ignores_a_stale_service() {
        start_fleet(2);
        fleet_->configure({{"publish", catalogue_text({2})}});
        CPPUNIT_ASSERT(wait_until(dissemination_limit, [] {
            return daemons::revision_of(daemons::entry_operator(1)) == 2 &&
                   daemons::revision_of(daemons::entry_operator(2)) == 2;
        }));
        // From now on the service shows an older revision than the fleet has in force.
        fleet_->configure({{"publish", catalogue_text({1})}});
        fleet_->start_entry(3, true);
        CPPUNIT_ASSERT(wait_until(start_limit, [] { return daemons::revision_of(daemons::entry_operator(3)) == 2; }));
        // Until the entry has met the stale service.
        CPPUNIT_ASSERT(wait_until(start_limit, [] {
            auto const state = configuration_state(daemons::entry_operator(3));
            CPPUNIT_ASSERT(state.at("revision").to_number<std::uint64_t>() == 2);
            return state.contains("service_failure") && state.at("service_failure").as_string() == "stale";
        }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, daemons::revision_of(daemons::entry_operator(3)));
    }

    /// Guards against a start that needs the configuration service although peers have the configuration.
    void peers_supply_configuration_while_the_service_is_down() {
        start_fleet(2);
        fleet_->configure({{"down", true}});
        fleet_->start_entry(3, true);
        CPPUNIT_ASSERT(wait_until(start_limit, [] { return daemons::ready(daemons::entry_operator(3)); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, daemons::revision_of(daemons::entry_operator(3)));
    }

    /// Guards against new work at a failure domain that was taken out, streams cut by it, and a target that stays out.
    void failure_domain_leaves_and_returns() {
        start_fleet();
        // A target that is new for the entry is ramped, so that the first requests may be refused or go elsewhere.
        CPPUNIT_ASSERT(wait_until(start_limit, [] {
            complete(3, "first", 2);
            return admitted_at(3) > 0;
        }));
        auto const before = admitted_at(3);
        // The entry of the same region chooses this target.
        auto running = std::async(std::launch::async, [] { return complete(3, "long", 500); });
        CPPUNIT_ASSERT(wait_until(start_limit, [&] { return admitted_at(3) == before + 1; }));

        fleet_->configure({{"publish", catalogue_text({2, false})}});
        CPPUNIT_ASSERT(wait_until(dissemination_limit, [] {
            return in_force_everywhere(2) && standing_at(3, "wording-3") == "failure_domain_out_of_service";
        }));
        auto const taken_out = admitted_at(3);
        check_service(12);
        CPPUNIT_ASSERT_EQUAL(taken_out, admitted_at(3));
        CPPUNIT_ASSERT(running.wait_for(stream_limit) == std::future_status::ready);
        auto const answer = running.get();
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
        CPPUNIT_ASSERT(answer.body.find("long:499 ") != std::string::npos);

        fleet_->configure({{"publish", catalogue_text({3, true})}});
        CPPUNIT_ASSERT(wait_until(dissemination_limit, [] { return in_force_everywhere(3); }));
        CPPUNIT_ASSERT(wait_until(start_limit,
                                  [&] { return complete(3, "back", 2).status == 200 && admitted_at(3) > taken_out; }));
    }

    /// Guards against new work at a target whose VM the list shows as leaving.
    void leaving_vm_gets_no_new_work() {
        start_fleet();
        fleet_->set_vm("vm-w3", "leaving");
        CPPUNIT_ASSERT(wait_until(dissemination_limit + seconds{2}, [] {
            auto const agent = get_object(daemons::agent_operator(3), "/state");
            return agent.at("target").at("vm_leaving").as_bool() && standing_at(1, "wording-3") == "vm_leaving" &&
                   standing_at(2, "wording-3") == "vm_leaving" && standing_at(3, "wording-3") == "vm_leaving";
        }));
        auto const before = admitted_at(3);
        check_service(12);
        CPPUNIT_ASSERT_EQUAL(before, admitted_at(3));
    }

private:
    void start_fleet(unsigned entries = 3) {
        fleet_->start_config_service(catalogue_text({}));
        fleet_->start_vm_list();
        for (unsigned number = 1; number <= 3; ++number) {
            fleet_->start_engine(number);
            fleet_->start_agent(number);
        }
        for (unsigned number = 1; number <= entries; ++number)
            fleet_->start_entry(number, number == 1);
        CPPUNIT_ASSERT(wait_until(start_limit, [&] {
            for (unsigned number = 1; number <= 3; ++number) {
                if (!daemons::ready(daemons::agent_operator(number)))
                    return false;
                if (number <= entries && !all_eligible(number))
                    return false;
            }
            return true;
        }));
        // New targets are ramped, so that the first requests of an entry may be refused.
        for (unsigned number = 1; number <= entries; ++number)
            CPPUNIT_ASSERT(wait_until(start_limit, [&] { return complete(number, "start", 2).status == 200; }));
    }

    static bool all_eligible(unsigned entry) {
        return std::ranges::all_of(std::vector<std::string>{"wording-1", "wording-2", "wording-3"},
                                   [&](auto const& target) { return standing_at(entry, target) == "eligible"; });
    }

    std::optional<daemons> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_process_test);

} // namespace cyclamenledge::tests

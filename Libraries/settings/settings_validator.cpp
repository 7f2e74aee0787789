#include "settings/settings_validator.h"

#include "yaml_reader/range.h"
#include "yaml_reader/values.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace cyclamenledge::settings {

namespace {

using base::milliseconds;
using yaml_reader::check_range;
using yaml_reader::check_text;
using yaml_reader::path;
using yaml_reader::range;
using yaml_reader::violations;

constexpr std::array<std::string_view, 7> log_levels{"off", "fatal", "error", "warn", "info", "debug", "trace"};
/// Shorter shared keys could be guessed from one recorded handshake.
constexpr std::size_t shortest_shared_key = 16;
constexpr std::size_t longest_shared_key = 256;
/// A rotation needs the old and the new key.
constexpr std::size_t most_shared_keys = 2;
constexpr std::size_t most_peers = 64;

struct address_rule {
    std::string_view key;
    std::string process_settings::*member;
};
constexpr std::array<address_rule, 4> addresses{{{"caller_address", &process_settings::caller_address},
                                                 {"peer_address", &process_settings::peer_address},
                                                 {"operator_address", &process_settings::operator_address},
                                                 {"target_address", &process_settings::target_address}}};

struct optional_address_rule {
    std::string_view key;
    std::optional<std::string> process_settings::*member;
};
constexpr std::array<optional_address_rule, 2> optional_addresses{
    {{"configuration_address", &process_settings::configuration_address},
     {"vm_list_address", &process_settings::vm_list_address}}};

bool is_log_level(std::string_view text) {
    return std::ranges::find(log_levels, text) != log_levels.end();
}

void add_address(std::string const& value, path const& at, violations& out) {
    if (!yaml_reader::is_address(value))
        out.add(at, yaml_reader::quote(value), std::string{yaml_reader::address_form});
}

/// An address that belongs to the other role is an error, since it would silently have no effect.
bool belongs_to_role(process_settings const& settings, std::string_view key) {
    return serves_callers(settings.role) ? key != "target_address" : key != "caller_address";
}

void check_addresses(process_settings const& settings, path const& root, violations& out) {
    std::unordered_map<std::string_view, std::string_view> seen;
    for (auto const& rule : addresses) {
        auto const& value = settings.*(rule.member);
        path const at{&root, rule.key};
        if (!belongs_to_role(settings, rule.key)) {
            if (!value.empty())
                out.add(at, yaml_reader::quote(value), "the other role only");
            continue;
        }
        add_address(value, at, out);
        auto const [first, fresh] = seen.emplace(value, rule.key);
        if (!fresh && !value.empty())
            out.add(at, "'" + value + "' as in " + std::string{first->second}, "an address of its own");
    }
    for (auto const& rule : optional_addresses) {
        auto const& value = settings.*(rule.member);
        if (value)
            add_address(*value, path{&root, rule.key}, out);
    }
}

void check_peers(process_settings const& settings, path const& root, violations& out) {
    path const list{&root, "peers"};
    std::unordered_set<std::string_view> seen;
    if (settings.peers.size() > most_peers)
        out.add(list, std::to_string(settings.peers.size()) + " peers", "at most " + std::to_string(most_peers));
    for (std::size_t index = 0; index < settings.peers.size(); ++index) {
        add_address(settings.peers[index], path{&list, index}, out);
        if (!seen.insert(settings.peers[index]).second)
            out.add(path{&list, index}, "a peer a second time", "each peer once");
    }
}

/// The messages leave the keys out, since they end up in logs.
void check_shared_keys(process_settings const& settings, path const& root, violations& out) {
    path const list{&root, "shared_keys"};
    auto const& keys = settings.shared_keys;
    if (keys.empty() || keys.size() > most_shared_keys)
        out.add(list, std::to_string(keys.size()) + " keys", "1 key, or 2 during a rotation");
    for (std::size_t index = 0; index < keys.size(); ++index) {
        if (keys[index].size() < shortest_shared_key || keys[index].size() > longest_shared_key) {
            out.add(path{&list, index}, "a key of " + std::to_string(keys[index].size()) + " bytes", "16 to 256 bytes");
        } else if (std::find(keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(index), keys[index]) !=
                   keys.begin() + static_cast<std::ptrdiff_t>(index)) {
            out.add(path{&list, index}, "a key a second time", "each key once");
        }
    }
}

void check_catalogue_source(process_settings const& settings, path const& root, violations& out) {
    // Entries connect to an agent, which then receives the catalogue from them.
    bool const has_source = settings.configuration_address || settings.catalogue_file || !settings.peers.empty();
    if (!has_source && settings.role == process_role::entry)
        out.add(root, "neither configuration_address nor catalogue_file nor peers", "one of them");
    if (settings.configuration_address && settings.catalogue_file)
        out.add({&root, "catalogue_file"}, "a file besides configuration_address",
                "one of them; the file is only read without a configuration service");
    if (settings.catalogue_file && settings.catalogue_file->empty())
        out.add({&root, "catalogue_file"}, "an empty text", "a path");
}

void check_forwarding(process_settings const& settings, path const& root, violations& out) {
    path const at{&root, "forwarding"};
    auto const& forwarding = settings.forwarding;
    if (!is_forwarding(settings.role)) {
        if (forwarding.readiness_address || forwarding.store_address || !forwarding.regions.empty())
            out.add(at, "settings of a forwarding role", "the roles forwarding_entry and forwarding_agent only");
        return;
    }
    // The tables of these roles belong to the one thread of the event loop.
    if (settings.threads != 1)
        out.add({&root, "threads"}, std::to_string(settings.threads) + " threads", "1 for a forwarding role");
    for (std::size_t index = 0; index < forwarding.regions.size(); ++index) {
        auto const& text = forwarding.regions[index];
        auto const mark = text.find('=');
        if (mark == std::string::npos || mark == 0 || mark + 1 == text.size())
            out.add(path{&at, "regions"}, yaml_reader::quote(text), "DOMAIN=REGION");
    }
    if (settings.role == process_role::forwarding_agent)
        return;
    if (forwarding.readiness_address)
        add_address(*forwarding.readiness_address, {&at, "readiness_address"}, out);
    if (!forwarding.store_address)
        out.add({&at, "store_address"}, "no such key", "an address, for a forwarding entry");
    else
        add_address(*forwarding.store_address, {&at, "store_address"}, out);
    check_range(forwarding, at, range{"agent_port", &forwarding_settings::agent_port, 1U, 65535U}, out);
    check_range(forwarding, at, range{"retry_share", &forwarding_settings::retry_share, 0.0, 1.0}, out);
    check_range(forwarding, at, range{"retry_reserve", &forwarding_settings::retry_reserve, 0.0, 1e9}, out);
    if (forwarding.retry_window < base::seconds{1} || forwarding.retry_window > base::seconds{60})
        out.add({&at, "retry_window"}, yaml_reader::value_text(forwarding.retry_window), "1 s to 60 s");
    if (forwarding.deferrable_objective < base::seconds{0} || forwarding.deferrable_objective > base::seconds{60})
        out.add({&at, "deferrable_objective"}, yaml_reader::value_text(forwarding.deferrable_objective), "0 s to 60 s");
}

void check_limits(caller_limits const& limits, path const& root, violations& out) {
    path const at{&root, "limits"};
    constexpr std::size_t kibibyte = 1024;
    check_range(limits, at, range{"header_bytes", &caller_limits::header_bytes, kibibyte, 64 * kibibyte}, out);
    // A body travels in one frame of at most 1 MiB + 64 KiB.
    check_range(limits, at, range{"body_bytes", &caller_limits::body_bytes, kibibyte, kibibyte * kibibyte}, out);
    check_range(limits, at, range{"connections", &caller_limits::connections, 1U, 1'000'000U}, out);
    if (limits.header_timeout < base::seconds{1} || limits.header_timeout > base::seconds{300})
        out.add({&at, "header_timeout"}, yaml_reader::value_text(limits.header_timeout), "1 s to 300 s");
}

void check_drain(process_settings const& settings, path const& root, violations& out) {
    check_range(
        settings, root,
        range{"drain_accept", &process_settings::drain_accept, milliseconds{0}, milliseconds{std::chrono::minutes{10}}},
        out);
    if (settings.drain_limit && *settings.drain_limit < milliseconds{1})
        out.add({&root, "drain_limit"}, yaml_reader::value_text(*settings.drain_limit), "at least 1 ms");
    if (settings.drain_margin.count() > 0 && settings.drain_margin >= settings.drain_limit.value_or(milliseconds{0}))
        out.add({&root, "drain_margin"}, yaml_reader::value_text(settings.drain_margin), "less than drain_limit");
}

} // namespace

std::vector<yaml_reader::violation> validate(process_settings const& settings) {
    using yaml_reader::text_rule;
    static constexpr std::array<text_rule<process_settings>, 4> texts{{
        {"name", &process_settings::name, yaml_reader::is_name, yaml_reader::name_form},
        {"failure_domain", &process_settings::failure_domain, yaml_reader::is_name, yaml_reader::name_form},
        {"vm", &process_settings::vm, yaml_reader::is_label, yaml_reader::label_form},
        {"log_level", &process_settings::log_level, is_log_level, "off, fatal, error, warn, info, debug or trace"},
    }};
    violations out;
    path const root;
    for (auto const& rule : texts)
        check_text(settings, root, rule, out);
    check_range(settings, root, range{"threads", &process_settings::threads, 1U, 64U}, out);
    check_addresses(settings, root, out);
    check_catalogue_source(settings, root, out);
    check_peers(settings, root, out);
    check_shared_keys(settings, root, out);
    check_limits(settings.limits, root, out);
    check_drain(settings, root, out);
    check_forwarding(settings, root, out);
    return out.take();
}

} // namespace cyclamenledge::settings

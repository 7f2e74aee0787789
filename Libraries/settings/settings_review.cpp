#include "settings/settings_review.h"

#include "yaml_reader/range.h"
#include "yaml_reader/values.h"

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cyclamenledge::settings {

namespace {

using yaml_reader::findings;
using yaml_reader::path;
using yaml_reader::quote;
using yaml_reader::value_text;
using enum yaml_reader::finding_kind;

/// A setting that only a forwarding entry reads, and whether it differs from its default.
struct entry_setting {
    std::string_view key;
    bool (*stated)(forwarding_settings const&, forwarding_settings const& defaults);
};

template <auto Member>
bool differs(forwarding_settings const& settings, forwarding_settings const& defaults) {
    return settings.*Member != defaults.*Member;
}

constexpr std::array<entry_setting, 9> entry_settings{{
    {"readiness_address", &differs<&forwarding_settings::readiness_address>},
    {"store_address", &differs<&forwarding_settings::store_address>},
    {"agent_port", &differs<&forwarding_settings::agent_port>},
    {"regions", &differs<&forwarding_settings::regions>},
    {"retry_share", &differs<&forwarding_settings::retry_share>},
    {"retry_reserve", &differs<&forwarding_settings::retry_reserve>},
    {"retry_window", &differs<&forwarding_settings::retry_window>},
    {"deferrable_objective", &differs<&forwarding_settings::deferrable_objective>},
    {"target_pace", &differs<&forwarding_settings::target_pace>},
}};

void review_drain(process_settings const& subject, path const& root, findings& out) {
    if (!subject.drain_limit || subject.drain_accept == base::milliseconds{0})
        return;
    auto const ends = *subject.drain_limit - subject.drain_margin;
    // The process ends at the limit, and with it the requests that it still accepts.
    if (subject.drain_accept >= ends)
        out.add(contradiction, path{&root, "drain_accept"},
                value_text(subject.drain_accept) + ", so new requests are accepted until the process ends and are cut",
                "less than drain_limit without drain_margin, " + value_text(ends));
}

void review_role(process_settings const& subject, path const& at, findings& out) {
    forwarding_settings const defaults;
    for (auto const& each : entry_settings) {
        if (each.stated(subject.forwarding, defaults))
            out.add(no_effect, path{&at, each.key}, "a setting that only the role forwarding_entry reads",
                    "the default, or no such key");
    }
}

void review_regions(forwarding_settings const& subject, path const& at, findings& out) {
    path const list{&at, "regions"};
    std::unordered_map<std::string_view, std::string_view> seen;
    for (std::size_t index = 0; index < subject.regions.size(); ++index) {
        std::string_view const text = subject.regions[index];
        auto const mark = text.find('=');
        auto const region = text.substr(mark + 1);
        auto const [first, fresh] = seen.emplace(text.substr(0, mark), region);
        if (!fresh && first->second != region)
            out.add(contradiction, path{&list, index},
                    quote(text) + " after region " + quote(first->second) + " for the same failure domain",
                    "one region for each failure domain");
    }
}

void review_retries(forwarding_settings const& subject, path const& at, findings& out) {
    if (subject.retry_share == 0 && subject.retry_reserve == 0)
        out.add(no_effect, path{&at, "retry_share"},
                "0 beside a retry_reserve of 0, so no request is sent again and retry_window has no effect",
                "a share or a reserve above 0");
}

} // namespace

std::vector<yaml_reader::finding> review(process_settings const& subject) {
    findings out;
    path const root;
    path const forwarding{&root, "forwarding"};
    review_drain(subject, root, out);
    if (subject.role != process_role::forwarding_entry) {
        review_role(subject, forwarding, out);
    } else {
        review_regions(subject.forwarding, forwarding, out);
        review_retries(subject.forwarding, forwarding, out);
    }
    return out.take();
}

} // namespace cyclamenledge::settings

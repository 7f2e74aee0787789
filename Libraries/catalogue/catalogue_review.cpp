#include "catalogue/catalogue_review.h"

#include "yaml_reader/range.h"
#include "yaml_reader/values.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace cyclamenledge::catalogue {

namespace {

using yaml_reader::path;
using yaml_reader::quote;
using yaml_reader::value_text;
using enum yaml_reader::finding_kind;

/// Names listed in one message before the rest is only counted.
constexpr std::size_t listed_names = 4;

/// A limit of an organisation as a number; zero means no limit.
struct limit_rule {
    std::string_view key;
    double (*value)(organisation_limits const&);
};

constexpr std::array<limit_rule, 3> limit_rules{{
    {"requests_per_second", [](organisation_limits const& limits) { return limits.requests_per_second; }},
    {"concurrent_requests",
     [](organisation_limits const& limits) { return static_cast<double>(limits.concurrent_requests); }},
    {"tokens_per_second", [](organisation_limits const& limits) { return limits.tokens_per_second; }},
}};

template <class Names>
std::string list_names(Names const& names) {
    std::string text;
    std::size_t count = 0;
    for (auto const& name : names) {
        if (++count <= listed_names)
            text += (text.empty() ? "" : ", ") + std::string{name};
    }
    return count <= listed_names ? text : text + " and " + std::to_string(count - listed_names) + " more";
}

/// Collects the findings of one catalogue.
class reviewer {
public:
    explicit reviewer(catalogue const& subject)
        : subject_(subject) {
        count_users();
    }

    std::vector<yaml_reader::finding> run() && {
        review_section(subject_.failure_domains(), "failure_domains", &reviewer::review_failure_domain);
        review_section(subject_.services(), "services", &reviewer::review_service);
        review_section(subject_.targets(), "targets", &reviewer::review_target);
        review_section(subject_.service_classes(), "service_classes", &reviewer::review_class);
        review_section(subject_.organisations(), "organisations", &reviewer::review_organisation);
        return findings_.take();
    }

private:
    struct service_users {
        std::uint32_t targets_in_service{0};
        /// Regions with a target in service.
        std::set<std::string_view> regions;
        std::set<std::string_view> organisations;
    };

    void count_users();
    template <class Item>
    void review_section(std::vector<Item> const& items, std::string_view section,
                        void (reviewer::*rule)(Item const&, path const&)) {
        path const root;
        path const list{&root, section};
        for (std::size_t index = 0; index < items.size(); ++index)
            (this->*rule)(items[index], path{&list, index});
    }

    void review_failure_domain(failure_domain const& item, path const& at);
    void review_service(service const& item, path const& at);
    void review_warm_targets(service const& item, service_users const& users, path const& at);
    void review_call_owners(service const& item, path const& at);
    void review_target(target const& item, path const& at);
    void review_class(service_class const& item, path const& at);
    void review_organisation(organisation const& item, path const& at);
    void review_regions(organisation const& item, path const& at);
    void review_branches(organisation const& head, path const& at);
    void review_stretch(organisation const& branch, path const& at);

    catalogue const& subject_;
    std::set<std::string_view> used_domains_;
    std::set<std::string_view> used_classes_;
    /// Regions in which callers reach an entry.
    std::set<std::string_view> entry_regions_;
    std::map<std::string_view, service_users> services_;
    /// Sums of the limits of each head office's branches, in the order of limit_rules.
    std::map<std::string_view, std::array<double, limit_rules.size()>> branch_sums_;
    yaml_reader::findings findings_;
};

void reviewer::count_users() {
    for (auto const& item : subject_.targets()) {
        used_domains_.insert(item.failure_domain);
        if (!subject_.in_service(item))
            continue;
        auto& users = services_[item.service];
        ++users.targets_in_service;
        users.regions.insert(subject_.find_failure_domain(item.failure_domain)->region);
    }
    for (auto const& item : subject_.entries()) {
        used_domains_.insert(item.failure_domain);
        auto const& domain = *subject_.find_failure_domain(item.failure_domain);
        if (domain.state == service_state::in_service)
            entry_regions_.insert(domain.region);
    }
    for (auto const& item : subject_.organisations()) {
        used_classes_.insert(item.service_class);
        for (auto const& name : item.services)
            services_[name].organisations.insert(item.name);
        if (item.head_office.empty())
            continue;
        auto& sum = branch_sums_[item.head_office];
        for (std::size_t index = 0; index < limit_rules.size(); ++index)
            sum[index] += limit_rules[index].value(item.limits);
    }
}

void reviewer::review_failure_domain(failure_domain const& item, path const& at) {
    if (!used_domains_.contains(item.name))
        findings_.add(unused, at, "no target or entry in failure domain " + quote(item.name),
                      "place some there, or remove it");
}

void reviewer::review_service(service const& item, path const& at) {
    auto const& users = services_[item.name];
    if (users.organisations.empty())
        findings_.add(unused, at, "no organisation that may call service " + quote(item.name),
                      "list it in the services of an organisation, or remove it with its targets");
    if (users.targets_in_service == 0) {
        auto const affected = users.organisations.empty() ? "" : "; it refuses " + list_names(users.organisations);
        findings_.add(never_serves, at, "no target of service " + quote(item.name) + " in service" + affected,
                      "return a target and its failure domain to service");
        return;
    }
    if (item.kind == service_kind::generation)
        review_warm_targets(item, users, at);
    else
        review_call_owners(item, at);
}

void reviewer::review_warm_targets(service const& item, service_users const& users, path const& at) {
    path const placement{&at, "placement"};
    path const key{&placement, "minimum_warm"};
    auto const warm = item.placement.minimum_warm;
    // Agents keep at least one target warm, so that a service never starts from nothing.
    if (warm == 0)
        findings_.add(no_effect, key, "0, which acts as 1", "state 1 or more");
    if (warm > users.targets_in_service)
        findings_.add(contradiction, key,
                      value_text(warm) + " with only " + value_text(users.targets_in_service) + " targets in service",
                      "at most the number of targets in service");
}

void reviewer::review_call_owners(service const& item, path const& at) {
    // A call that no rule matches is non-idempotent, and such calls run at the owner of their key only.
    if (item.key_owners.empty()) {
        if (item.call_rules.empty())
            findings_.add(never_serves, at,
                          "neither call rules nor key owners, so every call needs an owner and none has one",
                          "add key owners, or rules for the idempotent calls");
        return;
    }
    path const list{&at, "key_owners"};
    path const set{&list, item.key_owners.size() - 1};
    path const targets{&set, "targets"};
    auto const& owners = item.key_owners.back().targets;
    for (std::size_t index = 0; index < owners.size(); ++index) {
        if (!subject_.in_service(*subject_.find_target(owners[index])))
            findings_.add(never_serves, path{&targets, index},
                          "key owner " + quote(owners[index]) + " out of service, so the calls of its keys are refused",
                          "append a set without it, or return it to service");
    }
}

void reviewer::review_target(target const& item, path const& at) {
    auto const& owner = *subject_.find_service(item.service);
    if (owner.kind == service_kind::generation && item.memory_tokens < owner.default_output_tokens)
        findings_.add(contradiction, path{&at, "memory_tokens"},
                      value_text(item.memory_tokens) + ", less than one output of service " + quote(owner.name) +
                          " is assumed to have",
                      "at least its default_output_tokens of " + value_text(owner.default_output_tokens) +
                          " and a prompt");
}

void reviewer::review_class(service_class const& item, path const& at) {
    if (!used_classes_.contains(item.name))
        findings_.add(unused, at, "no organisation in service class " + quote(item.name),
                      "name it in an organisation, or remove it");
    if (item.queue_limit == 0)
        findings_.add(no_effect, path{&at, "queue_limit"},
                      "0, so a full target refuses requests of the class at once and queue_deadline has no effect",
                      "1 or more");
    else if (item.queue_deadline < item.first_token_target)
        findings_.add(contradiction, path{&at, "queue_deadline"},
                      value_text(item.queue_deadline) + ", which ends before the first token is due",
                      "at least the first_token_target of " + value_text(item.first_token_target));
}

void reviewer::review_organisation(organisation const& item, path const& at) {
    review_regions(item, at);
    if (item.head_office.empty())
        review_branches(item, at);
    else if (item.stretch > 0)
        review_stretch(item, at);
}

void reviewer::review_regions(organisation const& item, path const& at) {
    if (subject_.find_service_class(item.service_class)->crossing != region_crossing::never)
        return;
    path const list{&at, "services"};
    for (std::size_t index = 0; index < item.services.size(); ++index) {
        auto const& serving = services_[item.services[index]].regions;
        // A service without any target in service has its own finding.
        if (serving.empty())
            continue;
        std::vector<std::string_view> missing;
        std::ranges::set_difference(entry_regions_, serving, std::back_inserter(missing));
        if (!missing.empty())
            findings_.add(never_serves, path{&list, index},
                          "no target of service " + quote(item.services[index]) + " in service in " +
                              list_names(missing) + ", and class " + quote(item.service_class) +
                              " never crosses regions",
                          "a target in each region with entries, or a class that may cross");
    }
}

void reviewer::review_branches(organisation const& head, path const& at) {
    auto const found = branch_sums_.find(head.name);
    if (found == branch_sums_.end())
        return;
    path const limits{&at, "limits"};
    for (std::size_t index = 0; index < limit_rules.size(); ++index) {
        auto const& rule = limit_rules[index];
        auto const total = rule.value(head.limits);
        auto const sum = found->second[index];
        if (total > 0 && sum > total)
            findings_.add(contradiction, path{&limits, rule.key},
                          value_text(total) + ", while the limits of the branches of " + quote(head.name) +
                              " add up to " + value_text(sum),
                          "at least the sum, since the branches cannot all have their limits at once");
    }
}

void reviewer::review_stretch(organisation const& branch, path const& at) {
    auto const& head = *subject_.find_organisation(branch.head_office);
    path const key{&at, "stretch"};
    bool usable = false;
    for (auto const& rule : limit_rules) {
        auto const own = rule.value(branch.limits);
        auto const total = rule.value(head.limits);
        // Without a limit there is nothing to stretch, and a limit as large as the total leaves nothing to borrow.
        if (own == 0 || (total > 0 && own >= total))
            continue;
        usable = true;
        if (total > 0 && own * (1 + branch.stretch) > total) {
            findings_.add(contradiction, key,
                          value_text(branch.stretch) + ", which takes " + std::string{rule.key} + " to " +
                              value_text(own * (1 + branch.stretch)),
                          "at most the " + value_text(total) + " of head office " + quote(head.name));
            return;
        }
    }
    if (!usable)
        findings_.add(no_effect, key,
                      value_text(branch.stretch) + " without a limit below that of head office " + quote(head.name),
                      "a lower limit, or no stretch");
}

} // namespace

std::vector<yaml_reader::finding> review(catalogue const& subject) {
    return reviewer{subject}.run();
}

} // namespace cyclamenledge::catalogue

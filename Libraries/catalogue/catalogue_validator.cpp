#include "catalogue/catalogue_validator.h"

#include "yaml_reader/range.h"
#include "yaml_reader/values.h"

#include <algorithm>
#include <array>
#include <string>
#include <unordered_set>

namespace cyclamenledge::catalogue {

namespace {

using base::milliseconds;
using yaml_reader::check_range;
using yaml_reader::check_text;
using yaml_reader::path;
using yaml_reader::quote;
using yaml_reader::range;
using yaml_reader::text_rule;
using yaml_reader::violations;

constexpr std::array<std::string_view, 7> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
constexpr std::uint32_t maximum_running_limit = 100'000;

template <class Object>
constexpr text_rule<Object> name_rule{"name", &Object::name, yaml_reader::is_name, yaml_reader::name_form};
template <class Object>
constexpr text_rule<Object> owner_rule{"owner", &Object::owner, yaml_reader::is_label, yaml_reader::label_form};
template <class Object>
constexpr text_rule<Object> vm_rule{"vm", &Object::vm, yaml_reader::is_label, yaml_reader::label_form};

/// Finds values that occur twice, over one or more lists.
class duplicate_finder {
public:
    duplicate_finder(violations& out, std::string_view allowed)
        : out_(out)
        , allowed_(allowed) {}

    template <class Item>
    void add(std::vector<Item> const& items, std::string_view section, std::string Item::*member,
             std::string_view key) {
        path const root;
        path const list{&root, section};
        for (std::size_t index = 0; index < items.size(); ++index) {
            path const at{&list, index};
            auto const& value = items[index].*member;
            auto const [first, fresh] = first_.emplace(value, std::pair{section, index});
            // An empty value is reported by the check of the value itself.
            if (fresh || value.empty())
                continue;
            auto const& [other_section, other_index] = first->second;
            out_.add(path{&at, key},
                     quote(value) + " as in " + std::string{other_section} + "[" + std::to_string(other_index) + "]",
                     std::string{allowed_});
        }
    }

private:
    violations& out_;
    std::string_view allowed_;
    std::unordered_map<std::string_view, std::pair<std::string_view, std::size_t>> first_;
};

/// Checks each item of a section with a function that takes the item and its path.
template <class Item, class Check>
void for_each_item(std::vector<Item> const& items, std::string_view section, Check const& check) {
    path const root;
    path const list{&root, section};
    for (std::size_t index = 0; index < items.size(); ++index)
        check(items[index], path{&list, index});
}

/// Checks a list of texts for values that are not accepted or occur twice.
template <class Accepts>
void check_list(std::vector<std::string> const& items, path const& at, std::string_view allowed, violations& out,
                Accepts const& accepts) {
    std::unordered_set<std::string_view> seen;
    for (std::size_t index = 0; index < items.size(); ++index) {
        if (!accepts(items[index]))
            out.add(path{&at, index}, quote(items[index]), std::string{allowed});
        else if (!seen.insert(items[index]).second)
            out.add(path{&at, index}, quote(items[index]) + " a second time", "each item once");
    }
}

bool shadows(call_rule const& earlier, call_rule const& later) {
    return earlier.method == later.method && later.path_prefix.starts_with(earlier.path_prefix);
}

/// Checks a limit of a branch against the limit of its head office; zero means no limit.
void check_branch_limit(double own, double total, path const& at, std::string_view key, violations& out) {
    if (total == 0 || (own != 0 && own <= total))
        return;
    out.add(path{&at, key}, own == 0 ? std::string{"no limit"} : yaml_reader::value_text(own),
            "above 0 and at most the head office's " + yaml_reader::value_text(total));
}

void check_limits(organisation_limits const& limits, path const& at, violations& out) {
    check_range(limits, at, range{"requests_per_second", &organisation_limits::requests_per_second, 0.0, 1e6}, out);
    check_range(limits, at, range{"concurrent_requests", &organisation_limits::concurrent_requests, 0U, 1'000'000U},
                out);
    check_range(limits, at, range{"tokens_per_second", &organisation_limits::tokens_per_second, 0.0, 1e9}, out);
}

void check_class(service_class const& item, path const& at, violations& out) {
    constexpr milliseconds shortest{1};
    constexpr milliseconds longest{std::chrono::minutes{10}};
    check_text(item, at, owner_rule<service_class>, out);
    check_range(item, at, range{"token_gap_target", &service_class::token_gap_target, shortest, longest}, out);
    check_range(item, at, range{"first_token_target", &service_class::first_token_target, shortest, longest}, out);
    check_range(item, at, range{"queue_deadline", &service_class::queue_deadline, shortest, longest}, out);
    check_range(item, at, range{"weight", &service_class::weight, 1U, 1000U}, out);
    check_range(item, at, range{"priority", &service_class::priority, 0U, 1000U}, out);
    check_range(item, at, range{"queue_limit", &service_class::queue_limit, 0U, 100'000U}, out);
    if (!(item.admission_quantile > 0 && item.admission_quantile < 1)) {
        out.add(path{&at, "admission_quantile"}, yaml_reader::value_text(item.admission_quantile),
                "above 0 and below 1");
    }
}

} // namespace

std::vector<yaml_reader::violation> catalogue_validator::run() && {
    for (auto const& item : subject_.targets())
        ++targets_per_service_[item.service];
    check_unique_names();
    check_unique_addresses();
    check_unique_digests();
    check_failure_domains();
    check_services();
    check_targets();
    check_entries();
    check_service_classes();
    check_organisations();
    return violations_.take();
}

void catalogue_validator::check_unique_names() {
    auto const check = [this](auto const& items, std::string_view section) {
        using item_type = typename std::decay_t<decltype(items)>::value_type;
        for_each_item(items, section, [this](item_type const& item, path const& at) {
            check_text(item, at, name_rule<item_type>, violations_);
        });
        duplicate_finder{violations_, "a name that is unique in its section"}.add(items, section, &item_type::name,
                                                                                  "name");
    };
    check(subject_.failure_domains(), "failure_domains");
    check(subject_.services(), "services");
    check(subject_.service_classes(), "service_classes");
    check(subject_.organisations(), "organisations");
    for_each_item(subject_.entries(), "entries",
                  [this](entry const& item, path const& at) { check_text(item, at, name_rule<entry>, violations_); });
    for_each_item(subject_.targets(), "targets",
                  [this](target const& item, path const& at) { check_text(item, at, name_rule<target>, violations_); });
    // Entries and agents identify themselves to each other by these names.
    duplicate_finder processes{violations_, "a name that is unique among targets and entries"};
    processes.add(subject_.targets(), "targets", &target::name, "name");
    processes.add(subject_.entries(), "entries", &entry::name, "name");
}

void catalogue_validator::check_unique_addresses() {
    duplicate_finder addresses{violations_, "an address that is unique among targets and entries"};
    addresses.add(subject_.targets(), "targets", &target::agent_address, "agent_address");
    addresses.add(subject_.entries(), "entries", &entry::peer_address, "peer_address");
}

void catalogue_validator::check_unique_digests() {
    duplicate_finder{violations_, "a bearer key of its own"}.add(subject_.organisations(), "organisations",
                                                                 &organisation::bearer_key_sha256, "bearer_key_sha256");
}

void catalogue_validator::check_failure_domains() {
    constexpr text_rule<failure_domain> region{"region", &failure_domain::region, yaml_reader::is_label,
                                               yaml_reader::label_form};
    for_each_item(subject_.failure_domains(), "failure_domains",
                  [&](failure_domain const& item, path const& at) { check_text(item, at, region, violations_); });
}

void catalogue_validator::check_services() {
    for_each_item(subject_.services(), "services",
                  [this](service const& item, path const& at) { check_service(item, at); });
}

void catalogue_validator::check_service(service const& item, path const& at) {
    check_text(item, at, owner_rule<service>, violations_);
    if (!targets_per_service_.contains(item.name))
        violations_.add(at, "no target of the service",
                        "at least one item of targets with service " + quote(item.name));
    check_range(item, at, range{"default_output_tokens", &service::default_output_tokens, 1U, 1'000'000U}, violations_);
    if (item.key_lifetime < base::seconds{1} || item.key_lifetime > std::chrono::hours{168})
        violations_.add(path{&at, "key_lifetime"}, yaml_reader::value_text(item.key_lifetime), "1 s to 168 h");
    if (item.kind == service_kind::generation)
        check_generation(item, at);
    else
        check_plain(item, at);
}

void catalogue_validator::check_generation(service const& item, path const& at) {
    constexpr text_rule<model_placement> model{"model", &model_placement::model, yaml_reader::is_label,
                                               yaml_reader::label_form};
    constexpr text_rule<model_placement> version{"version", &model_placement::version, yaml_reader::is_label,
                                                 yaml_reader::label_form};
    path const placement{&at, "placement"};
    check_text(item.placement, placement, model, violations_);
    check_text(item.placement, placement, version, violations_);
    check_list(item.placement.adapters, path{&placement, "adapters"}, yaml_reader::label_form, violations_,
               yaml_reader::is_label);
    auto const found = targets_per_service_.find(item.name);
    std::size_t const targets = found == targets_per_service_.end() ? 0 : found->second;
    if (targets > 0 && item.placement.minimum_warm > targets) {
        violations_.add(path{&placement, "minimum_warm"}, yaml_reader::value_text(item.placement.minimum_warm),
                        "0 to " + std::to_string(targets) + ", the number of targets");
    }
    if (!item.call_rules.empty())
        violations_.add(path{&at, "call_rules"}, "call rules of a generation service", "plain services only");
    if (!item.key_owners.empty())
        violations_.add(path{&at, "key_owners"}, "key owners of a generation service", "plain services only");
}

void catalogue_validator::check_plain(service const& item, path const& at) {
    if (!item.placement.model.empty() || !item.placement.version.empty() || !item.placement.adapters.empty())
        violations_.add(path{&at, "placement"}, "a placement of a plain service", "generation services only");
    check_call_rules(item, at);
    check_key_owners(item, at);
}

void catalogue_validator::check_call_rules(service const& item, path const& at) {
    path const list{&at, "call_rules"};
    for (std::size_t index = 0; index < item.call_rules.size(); ++index) {
        auto const& rule = item.call_rules[index];
        path const rule_at{&list, index};
        if (std::ranges::find(methods, rule.method) == methods.end())
            violations_.add(path{&rule_at, "method"}, quote(rule.method),
                            "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS");
        if (!rule.path_prefix.starts_with('/') || !yaml_reader::is_label(rule.path_prefix))
            violations_.add(path{&rule_at, "path_prefix"}, quote(rule.path_prefix), "'/' and up to 127 bytes");
        // The first rule that matches applies, so a rule below an earlier one would silently have no effect.
        auto const end = item.call_rules.begin() + static_cast<std::ptrdiff_t>(index);
        auto const earlier = std::find_if(item.call_rules.begin(), end,
                                          [&](call_rule const& candidate) { return shadows(candidate, rule); });
        if (earlier != end)
            violations_.add(rule_at, "a rule that never applies, since an earlier rule matches its calls",
                            "longer prefixes before shorter ones");
    }
}

void catalogue_validator::check_key_owners(service const& item, path const& at) {
    auto const non_idempotent = std::ranges::any_of(
        item.call_rules, [](call_rule const& rule) { return rule.semantics == call_semantics::non_idempotent; });
    path const list{&at, "key_owners"};
    if (non_idempotent && item.key_owners.empty())
        violations_.add(list, "no key owners", "at least one set, since the service has non-idempotent calls");
    for (std::size_t index = 0; index < item.key_owners.size(); ++index) {
        path const set_at{&list, index};
        check_owner_set(item, item.key_owners[index], set_at);
        if (index > 0 && item.key_owners[index].from <= item.key_owners[index - 1].from)
            violations_.add(path{&set_at, "from"}, "a time that is not after that of the set before it",
                            "sets in growing time");
    }
}

void catalogue_validator::check_owner_set(service const& item, key_owner_set const& owners, path const& at) {
    path const list{&at, "targets"};
    if (owners.targets.empty())
        violations_.add(list, "no targets", "at least one target of the service");
    check_list(owners.targets, list, "a target of service " + quote(item.name), violations_,
               [&](std::string const& name) {
                   auto const* found = subject_.find_target(name);
                   return found != nullptr && found->service == item.name;
               });
}

void catalogue_validator::check_targets() {
    for_each_item(subject_.targets(), "targets",
                  [this](target const& item, path const& at) { check_target(item, at); });
}

void catalogue_validator::check_target(target const& item, path const& at) {
    constexpr text_rule<target> address{"agent_address", &target::agent_address, yaml_reader::is_address,
                                        yaml_reader::address_form};
    constexpr std::uint32_t most_memory = 1'000'000'000;
    check_text(item, at, vm_rule<target>, violations_);
    check_text(item, at, address, violations_);
    check_failure_domain_name(item.failure_domain, at);
    check_range(item, at, range{"maximum_running", &target::maximum_running, 1U, maximum_running_limit}, violations_);
    // A maximum that is itself wrong does not bound the floor, so that one mistake gives one error.
    bool const bounded = item.maximum_running >= 1 && item.maximum_running <= maximum_running_limit;
    auto const highest_floor = bounded ? item.maximum_running : maximum_running_limit;
    check_range(item, at, range{"warmup_floor", &target::warmup_floor, 1U, highest_floor}, violations_);
    auto const* owner = subject_.find_service(item.service);
    if (owner == nullptr)
        violations_.add(path{&at, "service"}, quote(item.service), "the name of an item of services");
    else if (owner->kind == service_kind::generation)
        check_range(item, at, range{"memory_tokens", &target::memory_tokens, 1U, most_memory}, violations_);
    else if (item.memory_tokens != 0)
        violations_.add(path{&at, "memory_tokens"}, yaml_reader::value_text(item.memory_tokens),
                        "targets of generation services only");
}

void catalogue_validator::check_entries() {
    constexpr text_rule<entry> address{"peer_address", &entry::peer_address, yaml_reader::is_address,
                                       yaml_reader::address_form};
    for_each_item(subject_.entries(), "entries", [&](entry const& item, path const& at) {
        check_text(item, at, vm_rule<entry>, violations_);
        check_text(item, at, address, violations_);
        check_failure_domain_name(item.failure_domain, at);
    });
}

void catalogue_validator::check_service_classes() {
    for_each_item(subject_.service_classes(), "service_classes",
                  [this](service_class const& item, path const& at) { check_class(item, at, violations_); });
}

void catalogue_validator::check_organisations() {
    for_each_item(subject_.organisations(), "organisations",
                  [this](organisation const& item, path const& at) { check_organisation(item, at); });
}

void catalogue_validator::check_organisation(organisation const& item, path const& at) {
    constexpr text_rule<organisation> digest{"bearer_key_sha256", &organisation::bearer_key_sha256,
                                             yaml_reader::is_sha256, yaml_reader::sha256_form};
    check_text(item, at, owner_rule<organisation>, violations_);
    check_text(item, at, digest, violations_);
    check_range(item, at, range{"stretch", &organisation::stretch, 0.0, 10.0}, violations_);
    check_limits(item.limits, path{&at, "limits"}, violations_);
    if (subject_.find_service_class(item.service_class) == nullptr)
        violations_.add(path{&at, "service_class"}, quote(item.service_class),
                        "the name of an item of service_classes");
    path const services{&at, "services"};
    if (item.services.empty())
        violations_.add(services, "no services", "at least one service");
    check_list(item.services, services, "the name of an item of services", violations_,
               [this](std::string const& name) { return subject_.find_service(name) != nullptr; });
    if (!item.head_office.empty())
        check_branch(item, at);
    else if (item.stretch != 0)
        violations_.add(path{&at, "stretch"}, yaml_reader::value_text(item.stretch), "branches only");
}

void catalogue_validator::check_branch(organisation const& branch, path const& at) {
    auto const* head = subject_.find_organisation(branch.head_office);
    if (head == nullptr || !head->head_office.empty()) {
        violations_.add(path{&at, "head_office"},
                        quote(branch.head_office) + (head == nullptr ? "" : ", which is itself a branch"),
                        "the name of an organisation without a head office");
        return;
    }
    path const limits{&at, "limits"};
    auto const& own = branch.limits;
    auto const& total = head->limits;
    check_branch_limit(own.requests_per_second, total.requests_per_second, limits, "requests_per_second", violations_);
    check_branch_limit(own.concurrent_requests, total.concurrent_requests, limits, "concurrent_requests", violations_);
    check_branch_limit(own.tokens_per_second, total.tokens_per_second, limits, "tokens_per_second", violations_);
}

void catalogue_validator::check_failure_domain_name(std::string_view name, path const& at) {
    if (subject_.find_failure_domain(name) == nullptr)
        violations_.add(path{&at, "failure_domain"}, quote(name), "the name of an item of failure_domains");
}

} // namespace cyclamenledge::catalogue

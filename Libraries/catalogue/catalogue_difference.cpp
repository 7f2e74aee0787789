#include "catalogue/catalogue_difference.h"

#include "catalogue/names.h"
#include "yaml_reader/range.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <set>
#include <span>
#include <utility>

namespace cyclamenledge::catalogue {

namespace {

using yaml_reader::value_text;

/// A value of an item as operators read it.
template <class Item>
struct field {
    std::string_view words;
    std::string (*text)(Item const&);
};

/// Limits and names that are not set.
std::string or_none(std::string text) {
    return text.empty() ? std::string{"none"} : text;
}

std::string limit_text(double value) {
    return value == 0 ? std::string{"no limit"} : value_text(value);
}

std::string duration_text(base::milliseconds value) {
    return value_text(value);
}

std::string two_digits(unsigned value) {
    return (value < 10 ? "0" : "") + std::to_string(value);
}

/// The form in which documents have times.
std::string time_text(base::wall_time value) {
    auto const day = std::chrono::floor<std::chrono::days>(value);
    std::chrono::year_month_day const date{day};
    std::chrono::hh_mm_ss const time{std::chrono::floor<base::seconds>(value - day)};
    return std::to_string(static_cast<int>(date.year())) + "-" + two_digits(static_cast<unsigned>(date.month())) + "-" +
           two_digits(static_cast<unsigned>(date.day())) + "T" +
           two_digits(static_cast<unsigned>(time.hours().count())) + ":" +
           two_digits(static_cast<unsigned>(time.minutes().count())) + ":" +
           two_digits(static_cast<unsigned>(time.seconds().count())) + "Z";
}

template <class Items, class Text>
std::string join(Items const& items, std::string_view separator, Text const& text) {
    std::string result;
    for (auto const& item : items)
        result += (result.empty() ? "" : std::string{separator}) + text(item);
    return result;
}

std::string join_names(std::vector<std::string> const& names) {
    return join(names, ", ", [](std::string const& name) { return name; });
}

/// As join_names, for lists whose order means nothing.
std::string join_sorted(std::vector<std::string> names) {
    std::ranges::sort(names);
    return or_none(join_names(names));
}

std::string owner_set_text(key_owner_set const& set) {
    return "from " + time_text(set.from) + " " + join_sorted(set.targets);
}

std::string rule_text(call_rule const& rule) {
    return rule.method + " " + rule.path_prefix + " " + std::string{call_semantics_names.name(rule.semantics)};
}

constexpr auto domain_fields = std::to_array<field<failure_domain>>({
    {"region", [](failure_domain const& item) { return item.region; }},
    {"state", [](failure_domain const& item) { return std::string{service_state_names.name(item.state)}; }},
});

constexpr auto service_fields = std::to_array<field<service>>({
    {"owner", [](service const& item) { return item.owner; }},
    {"kind", [](service const& item) { return std::string{service_kind_names.name(item.kind)}; }},
    {"model", [](service const& item) { return or_none(item.placement.model); }},
    {"model version", [](service const& item) { return or_none(item.placement.version); }},
    {"adapters", [](service const& item) { return join_sorted(item.placement.adapters); }},
    {"targets kept warm", [](service const& item) { return value_text(item.placement.minimum_warm); }},
    {"assumed output tokens", [](service const& item) { return value_text(item.default_output_tokens); }},
    {"call rules", [](service const& item) { return or_none(join(item.call_rules, "; ", rule_text)); }},
    {"key owners", [](service const& item) { return or_none(join(item.key_owners, "; ", owner_set_text)); }},
    {"lifetime of keys", [](service const& item) { return duration_text(item.key_lifetime); }},
});

constexpr auto target_fields = std::to_array<field<target>>({
    {"service", [](target const& item) { return item.service; }},
    {"failure domain", [](target const& item) { return item.failure_domain; }},
    {"VM", [](target const& item) { return item.vm; }},
    {"address of the agent", [](target const& item) { return item.agent_address; }},
    {"state", [](target const& item) { return std::string{service_state_names.name(item.state)}; }},
    {"fencing", [](target const& item) { return std::string{fencing_support_names.name(item.fencing)}; }},
    {"memory in tokens", [](target const& item) { return value_text(item.memory_tokens); }},
    {"most running requests", [](target const& item) { return value_text(item.maximum_running); }},
    {"running requests after a start", [](target const& item) { return value_text(item.warmup_floor); }},
});

constexpr auto entry_fields = std::to_array<field<entry>>({
    {"failure domain", [](entry const& item) { return item.failure_domain; }},
    {"VM", [](entry const& item) { return item.vm; }},
    {"address for peers", [](entry const& item) { return item.peer_address; }},
});

constexpr auto class_fields = std::to_array<field<service_class>>({
    {"owner", [](service_class const& item) { return item.owner; }},
    {"goal", [](service_class const& item) { return std::string{class_goal_names.name(item.goal)}; }},
    {"token gap target", [](service_class const& item) { return duration_text(item.token_gap_target); }},
    {"first token target", [](service_class const& item) { return duration_text(item.first_token_target); }},
    {"admission quantile", [](service_class const& item) { return value_text(item.admission_quantile); }},
    {"weight", [](service_class const& item) { return value_text(item.weight); }},
    {"priority", [](service_class const& item) { return value_text(item.priority); }},
    {"requests queued at a target", [](service_class const& item) { return value_text(item.queue_limit); }},
    {"longest wait in a queue", [](service_class const& item) { return duration_text(item.queue_deadline); }},
    {"crossing of regions",
     [](service_class const& item) { return std::string{region_crossing_names.name(item.crossing)}; }},
});

constexpr auto organisation_fields = std::to_array<field<organisation>>({
    {"owner", [](organisation const& item) { return item.owner; }},
    {"head office", [](organisation const& item) { return or_none(item.head_office); }},
    {"service class", [](organisation const& item) { return item.service_class; }},
    {"bearer key digest", [](organisation const& item) { return item.bearer_key_sha256; }},
    {"services", [](organisation const& item) { return join_sorted(item.services); }},
    {"requests per second", [](organisation const& item) { return limit_text(item.limits.requests_per_second); }},
    {"concurrent requests", [](organisation const& item) { return limit_text(item.limits.concurrent_requests); }},
    {"tokens per second", [](organisation const& item) { return limit_text(item.limits.tokens_per_second); }},
    {"stretch", [](organisation const& item) { return value_text(item.stretch); }},
});

/// Who is affected by changes, collected over both catalogues.
class audience {
public:
    audience(catalogue const& before, catalogue const& after)
        : sides_{&before, &after} {}

    void add(failure_domain const& item) {
        for (auto const* side : sides_) {
            for (auto const& each : side->targets()) {
                if (each.failure_domain == item.name)
                    services_.insert(each.service);
            }
        }
        add_callers();
    }
    void add(service const& item) {
        services_.insert(item.name);
        add_callers();
    }
    void add(target const& item) {
        services_.insert(item.service);
        add_callers();
    }
    /// Callers may use any entry.
    void add(entry const&) {}
    void add(service_class const& item) {
        add_if([&](organisation const& each) { return each.service_class == item.name; });
    }
    /// The branches of a head office share its limits.
    void add(organisation const& item) {
        organisations_.insert(item.name);
        add_if([&](organisation const& each) { return each.head_office == item.name; });
    }

    void move_into(difference& out) const {
        out.services.assign(services_.begin(), services_.end());
        out.organisations.assign(organisations_.begin(), organisations_.end());
    }

private:
    void add_callers() {
        add_if([this](organisation const& each) {
            return std::ranges::any_of(each.services, [this](auto const& name) { return services_.contains(name); });
        });
    }
    template <class Condition>
    void add_if(Condition const& condition) {
        for (auto const* side : sides_) {
            for (auto const& each : side->organisations()) {
                if (condition(each))
                    organisations_.insert(each.name);
            }
        }
    }

    std::array<catalogue const*, 2> sides_;
    std::set<std::string> services_;
    std::set<std::string> organisations_;
};

class comparison {
public:
    comparison(catalogue const& before, catalogue const& after)
        : before_(before)
        , after_(after) {}

    std::vector<difference> run() && {
        compare_section<failure_domain>("failure domain", &catalogue::failure_domains, &catalogue::find_failure_domain,
                                        domain_fields);
        compare_section<service>("service", &catalogue::services, &catalogue::find_service, service_fields);
        compare_section<target>("target", &catalogue::targets, &catalogue::find_target, target_fields);
        compare_section<entry>("entry", &catalogue::entries, &catalogue::find_entry, entry_fields);
        compare_section<service_class>("service class", &catalogue::service_classes, &catalogue::find_service_class,
                                       class_fields);
        compare_section<organisation>("organisation", &catalogue::organisations, &catalogue::find_organisation,
                                      organisation_fields);
        compare_revision();
        return std::move(found_);
    }

private:
    template <class Item>
    using section = std::vector<Item> const& (catalogue::*)() const;
    template <class Item>
    using look_up = Item const* (catalogue::*)(std::string_view) const;

    template <class Item>
    void compare_section(std::string_view title, section<Item> items, look_up<Item> find,
                         std::span<field<Item> const> fields);
    template <class Item>
    void add(std::string_view title, Item const* before, Item const* after, std::vector<value_change> values);
    void compare_revision();

    /// Most items have no effects beyond their values.
    template <class Item>
    void describe(Item const*, Item const*, difference&) const {}
    void describe(failure_domain const* before, failure_domain const* after, difference& out) const;
    void describe(service const* before, service const* after, difference& out) const;
    void describe(target const* before, target const* after, difference& out) const;
    void describe(organisation const* before, organisation const* after, difference& out) const;

    std::vector<value_change> derived_values(service const& before, service const& after) const;
    template <class Item>
    std::vector<value_change> derived_values(Item const&, Item const&) const {
        return {};
    }

    catalogue const& before_;
    catalogue const& after_;
    std::vector<difference> found_;
};

template <class Item>
void comparison::compare_section(std::string_view title, section<Item> items, look_up<Item> find,
                                 std::span<field<Item> const> fields) {
    for (auto const& old : (before_.*items)()) {
        auto const* successor = (after_.*find)(old.name);
        if (successor == nullptr) {
            add(title, &old, static_cast<Item const*>(nullptr), {});
            continue;
        }
        std::vector<value_change> values;
        for (auto const& each : fields) {
            auto earlier = each.text(old);
            auto later = each.text(*successor);
            if (earlier != later)
                values.push_back({each.words, std::move(earlier), std::move(later)});
        }
        std::ranges::move(derived_values(old, *successor), std::back_inserter(values));
        if (!values.empty())
            add(title, &old, successor, std::move(values));
    }
    for (auto const& fresh : (after_.*items)()) {
        if ((before_.*find)(fresh.name) == nullptr)
            add(title, static_cast<Item const*>(nullptr), &fresh, {});
    }
}

template <class Item>
void comparison::add(std::string_view title, Item const* before, Item const* after, std::vector<value_change> values) {
    difference made;
    made.item = title;
    made.kind = before == nullptr ? change_kind::added : after == nullptr ? change_kind::removed : change_kind::changed;
    made.name = (after == nullptr ? before : after)->name;
    made.values = std::move(values);
    audience affected{before_, after_};
    for (auto const* side : {before, after}) {
        if (side != nullptr)
            affected.add(*side);
    }
    affected.move_into(made);
    describe(before, after, made);
    found_.push_back(std::move(made));
}

void comparison::compare_revision() {
    auto const earlier = before_.revision();
    auto const later = after_.revision();
    bool const same_items = found_.empty();
    if (same_items && earlier == later)
        return;
    difference made{change_kind::changed, "catalogue", {}, {}, {}, {}, {}};
    if (earlier != later)
        made.values.push_back({"revision", value_text(earlier), value_text(later)});
    // A process takes only a publication with a higher revision than the one that it uses.
    if (later <= earlier)
        made.effects.push_back("running processes pass over the new catalogue, since its revision is not above " +
                               value_text(earlier));
    found_.push_back(std::move(made));
}

std::size_t count_in_service(catalogue const& side, std::string_view service) {
    return static_cast<std::size_t>(std::ranges::count_if(
        side.targets(), [&](target const& each) { return each.service == service && side.in_service(each); }));
}

std::vector<value_change> comparison::derived_values(service const& before, service const& after) const {
    auto const earlier = count_in_service(before_, before.name);
    auto const later = count_in_service(after_, after.name);
    if (earlier == later)
        return {};
    return {{"targets in service", std::to_string(earlier), std::to_string(later)}};
}

void comparison::describe(failure_domain const* before, failure_domain const* after, difference& out) const {
    if (before == nullptr || after == nullptr || before->state == after->state)
        return;
    bool const returns = after->state == service_state::in_service;
    auto const& side = returns ? after_ : before_;
    auto const targets = std::ranges::count_if(side.targets(), [&](target const& each) {
        return each.failure_domain == after->name && side.in_service(each);
    });
    out.effects.push_back((returns ? "targets that take new work again: " : "targets that take no new work: ") +
                          std::to_string(targets));
}

void comparison::describe(service const* before, service const* after, difference& out) const {
    if (after == nullptr) {
        out.effects.emplace_back("its calls are refused");
        return;
    }
    if (count_in_service(after_, after->name) == 0)
        out.effects.emplace_back("its calls are refused, since none of its targets is in service");
    if (before == nullptr)
        return;
    bool const kept = std::ranges::all_of(before->key_owners, [&](key_owner_set const& set) {
        return std::ranges::any_of(after->key_owners, [&](key_owner_set const& each) {
            return each.from == set.from && owner_set_text(each) == owner_set_text(set);
        });
    });
    // The next owner asks the owners of earlier sets whether a key has run.
    if (!kept)
        out.effects.emplace_back("a set of key owners is gone or altered, so a call that ran under it may run again; "
                                 "keep a set for 48 h after its successor's time");
}

void comparison::describe(target const* before, target const* after, difference& out) const {
    bool const served = before != nullptr && before_.in_service(*before);
    bool const serves = after != nullptr && after_.in_service(*after);
    if (served != serves)
        out.effects.emplace_back(serves ? "it takes new work" : "it takes no new work");
}

void comparison::describe(organisation const* before, organisation const* after, difference& out) const {
    if (after == nullptr) {
        out.effects.emplace_back("its calls are refused");
        return;
    }
    if (before == nullptr)
        return;
    if (before->bearer_key_sha256 != after->bearer_key_sha256)
        out.effects.emplace_back("calls with its earlier bearer key are refused");
    for (auto const& name : before->services) {
        if (std::ranges::find(after->services, name) == after->services.end())
            out.effects.push_back("its calls of service " + name + " are refused");
    }
}

} // namespace

std::vector<difference> compare(catalogue const& before, catalogue const& after) {
    return comparison{before, after}.run();
}

std::string to_text(difference const& item) {
    std::string text = std::string{item.item} + (item.name.empty() ? "" : " " + item.name) + ": " +
                       std::string{change_kind_names.name(item.kind)};
    for (auto const& each : item.values)
        text += "\n  " + std::string{each.value} + ": " + each.before + " -> " + each.after;
    for (auto const& each : item.effects)
        text += "\n  effect: " + each;
    if (!item.services.empty())
        text += "\n  services affected: " + join_names(item.services);
    if (!item.organisations.empty())
        text += "\n  organisations affected: " + join_names(item.organisations);
    return text;
}

} // namespace cyclamenledge::catalogue

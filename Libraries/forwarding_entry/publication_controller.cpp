#include "forwarding_entry/publication_controller.h"

#include "http/message.h"
#include "log/logger.h"
#include "platform/operator_documents.h"
#include "platform/target_documents.h"

#include <array>
#include <utility>

namespace cyclamenledge::forwarding_entry {

using forwarding::publication;
using forwarding::publication_kind;

namespace {

// The operator writes again what a restored store has lost. Until then an evacuation that the store does not list may
// still be wanted.
constexpr base::seconds lost_evacuation_lifetime{10};
// The store removes the announcement of a target that is gone after three heartbeats, about 3.6 s.
constexpr base::seconds doubtful_target_lifetime{5};

} // namespace

publication_controller::received_change publication_controller::decode(publication change,
                                                                       std::string_view source) const {
    received_change received{std::move(change), false, nullptr};
    auto& content = received.content;
    auto const* known = board_.publications.find(content.kind, content.name);
    received.after_restore = known != nullptr && known->revision.era < content.revision.era;
    if (content.kind != publication_kind::configuration || content.removed)
        return received;
    auto decoded = platform::decode_configuration(content.text);
    if (!decoded) {
        log::write(log::event_kind::configuration_rejected,
                   {{"revision", content.revision.number}, {"source", source}, {"reason", decoded.error().message}});
        return received;
    }
    received.routes = std::move(decoded).value();
    content.version = received.routes->version();
    return received;
}

void publication_controller::apply(std::vector<publication> changes, std::string_view source) {
    bool changed = false;
    for (auto& change : changes) {
        auto const received = decode(std::move(change), source);
        if (!board_.publications.apply(received.content))
            continue;
        activate(received, source);
        changed = true;
    }
    if (changed && on_change_)
        on_change_();
}

void publication_controller::reconcile(forwarding::publication_listing listing, std::string_view source) {
    std::map<forwarding::publication_table::key, received_change> decoded;
    for (auto& item : listing.items) {
        auto received = decode(item, source);
        item.version = received.content.version;
        decoded.insert_or_assign({item.kind, item.name}, std::move(received));
    }
    // Documents that the listing lacks get its revision, so those of an earlier era have to be found before.
    auto const known_before = board_.publications.known_before(listing.as_of.era);
    auto const changes = board_.publications.reconcile(std::move(listing));
    for (auto const& change : changes) {
        forwarding::publication_table::key const key{change.kind, change.name};
        auto const found = decoded.find(key);
        activate(found != decoded.end() ? found->second : received_change{change, known_before.contains(key), nullptr},
                 source);
    }
    if (!changes.empty() && on_change_)
        on_change_();
}

void publication_controller::activate(received_change const& change, std::string_view source) {
    using action = void (publication_controller::*)(received_change const&, std::string_view);
    // Indexed by publication_kind.
    static constexpr std::array<action, 3> actions{&publication_controller::apply_configuration,
                                                   &publication_controller::apply_evacuation,
                                                   &publication_controller::apply_target};
    (this->*actions.at(static_cast<std::size_t>(change.content.kind)))(change, source);
}

void publication_controller::apply_configuration(received_change const& change, std::string_view source) {
    // After the removal of the configuration the last one stays active.
    if (!change.routes || (board_.routes && board_.routes->version() >= change.content.version))
        return;
    board_.routes = change.routes;
    board_.fleet.apply_routes(board_.routes);
    log::write(log::event_kind::configuration_applied, {{"version", change.content.version},
                                                        {"revision", change.content.revision.number},
                                                        {"source", source},
                                                        {"routes", board_.routes->routes().size()}});
    for (auto const& organisation : board_.routes->organisations()) {
        if (!http::can_be_header_value(organisation.name))
            log::write(log::event_kind::organisation_ignored,
                       {{"organisation", organisation.name}, {"version", change.content.version}});
    }
}

void publication_controller::set_evacuated(std::string const& failure_domain, bool evacuated, std::uint64_t revision,
                                           std::string_view source) {
    board_.fleet.set_evacuated(failure_domain, evacuated);
    log::write(evacuated ? log::event_kind::failure_domain_evacuated : log::event_kind::failure_domain_returned,
               {{"failure_domain", failure_domain}, {"revision", revision}, {"source", source}});
}

void publication_controller::apply_evacuation(received_change const& change, std::string_view source) {
    auto const& [kind, name, revision, removed, text, version] = change.content;
    if (removed && change.after_restore && board_.fleet.evacuated(name)) {
        lost_evacuations_.try_emplace(name, base::clock::now() + lost_evacuation_lifetime);
        return;
    }
    lost_evacuations_.erase(name);
    set_evacuated(name, !removed, revision.number, source);
}

void publication_controller::expire(base::time_point now) {
    std::erase_if(lost_evacuations_, [&](auto const& entry) {
        if (now < entry.second)
            return false;
        set_evacuated(entry.first, false, board_.publications.newest().number, "not_written_again");
        return true;
    });
    std::erase_if(doubtful_targets_, [&](auto const& entry) {
        if (now < entry.second)
            return false;
        auto const* announced = board_.publications.find(publication_kind::target, entry.first);
        if (announced == nullptr || announced->removed)
            return true;
        if (auto const record = platform::decode_target(entry.first, announced->text))
            use_target(record.value(), announced->revision.number, "still_listed");
        return true;
    });
}

bool publication_controller::is_outdated(forwarding::target_record const& record, bool after_restore) const {
    auto const* known = board_.fleet.find(record.id);
    if (known == nullptr || known->record.started_at != record.started_at)
        return known != nullptr && known->record.started_at > record.started_at;
    // The store orders what is written to it, so a lower number is an older announcement only in a copy. Another writer
    // may have stored a higher one.
    if (after_restore && record.sequence < known->record.sequence)
        return true;
    // The copy may hold a target that has left since. If it is still there, it announces itself again.
    bool const gone = known->removed || known->said_leaving();
    return after_restore && gone && record.sequence == known->record.sequence &&
           record.state == forwarding::target_state::serving;
}

void publication_controller::apply_target(received_change const& change, std::string_view source) {
    auto const now = base::clock::now();
    auto const& name = change.content.name;
    auto const revision = change.content.revision.number;
    doubtful_targets_.erase(name);
    if (change.content.removed) {
        ignored_targets_.erase(name);
        bool const unconfirmed = board_.announcements().removals_in_doubt(now) || change.after_restore;
        board_.fleet.remove_target(name, unconfirmed, now);
        log::write(
            log::event_kind::target_removed,
            {{"target", name}, {"revision", revision}, {"source", source}, {"store_in_doubt", unconfirmed ? 1 : 0}});
        return;
    }
    auto const record = platform::decode_target(name, change.content.text);
    if (!record) {
        ignore_target(name, revision, record.error());
        return;
    }
    ignored_targets_.erase(name);
    if (is_outdated(record.value(), change.after_restore)) {
        log::write(log::event_kind::target_outdated, {{"target", name}, {"revision", revision}, {"source", source}});
        auto const* known = board_.fleet.find(name);
        bool const same_incarnation = known->record.started_at == record.value().started_at;
        if (same_incarnation && known->removed && known->record.state == forwarding::target_state::serving)
            doubtful_targets_[name] = now + doubtful_target_lifetime;
        return;
    }
    use_target(record.value(), revision, source);
}

void publication_controller::ignore_target(std::string const& name, std::uint64_t revision, base::error const& reason) {
    board_.fleet.remove_target(name, false, base::clock::now());
    metrics_.add(metrics::counter_kind::announcements_ignored);
    if (ignored_targets_.insert(name).second)
        log::write(log::event_kind::target_ignored,
                   {{"target", name}, {"revision", revision}, {"reason", reason.message}});
}

void publication_controller::use_target(forwarding::target_record const& record, std::uint64_t revision,
                                        std::string_view source) {
    auto const* existing = board_.fleet.find(record.id);
    bool const leaving = record.state == forwarding::target_state::leaving;
    if (existing == nullptr || existing->removed || leaving)
        log::write(leaving ? log::event_kind::target_leaving : log::event_kind::target_seen,
                   {{"target", record.id},
                    {"address", record.address},
                    {"service", record.service},
                    {"failure_domain", record.failure_domain},
                    {"software_version", record.software_version},
                    {"revision", revision},
                    {"source", source}});
    board_.fleet.update_target(record, base::clock::now());
}

} // namespace cyclamenledge::forwarding_entry

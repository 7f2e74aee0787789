#include "process/configuration_controller.h"

#include "base/random.h"
#include "catalogue/catalogue_reader.h"
#include "log/logger.h"
#include "network/endpoint.h"
#include "yaml_reader/file.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenledge::process {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds tick_interval{100};
/// Must be shorter than the time after which the schedule counts a long poll as failed.
constexpr base::seconds long_poll_wait{60};
/// Smallest interval between part reads of an agent from the service. Without peers, 1,700 agents without this limit
/// would exceed the call rate that the service allows.
constexpr base::seconds agent_part_interval{2};
constexpr std::size_t maximum_remembered_offers = 64;
constexpr std::string_view service_name = "service";
constexpr std::string_view file_name = "file";

configuration::gossip_settings gossip_settings_of(settings::process_settings const& settings) {
    return {settings.role == settings::process_role::agent ? base::duration{agent_part_interval}
                                                           : base::duration::zero()};
}

base::result<catalogue::catalogue_pointer> validate(std::string_view document, std::uint64_t revision) {
    auto read = catalogue::check_catalogue(std::string{document}, "catalogue", configuration::maximum_joined_bytes);
    if (!read.value)
        return base::make_error(base::error_kind::invalid_configuration, to_text(read.errors.front()));
    if ((*read.value)->revision() != revision) {
        return base::make_error(base::error_kind::invalid_configuration,
                                "the document has revision " + std::to_string((*read.value)->revision()) +
                                    " and was published as " + std::to_string(revision));
    }
    return *read.value;
}

configuration::offer_message to_content(wire::schema::ConfigurationOfferT const& message) {
    return {{message.revision, message.digest, message.parts}};
}

configuration::part_response to_content(wire::schema::ConfigurationDocumentT message) {
    if (!message.held)
        return {message.digest, nullptr};
    return {message.digest, configuration::part_pointer{new configuration::part{std::move(message.text)}}};
}

struct message_sender {
    link::connection& to;

    void operator()(configuration::offer_message const& content) const {
        wire::schema::ConfigurationOfferT message;
        message.revision = content.index.revision;
        message.digest = content.index.digest;
        message.parts = content.index.parts;
        to.send(message);
    }
    void operator()(configuration::part_request const& content) const {
        wire::schema::ConfigurationRequestT message;
        message.digest = content.digest;
        to.send(message);
    }
    void operator()(configuration::part_response const& content) const {
        wire::schema::ConfigurationDocumentT message;
        message.digest = content.digest;
        message.held = content.content != nullptr;
        if (content.content)
            message.text = content.content->text();
        to.send(message);
    }
};

} // namespace

base::result<std::unique_ptr<configuration_controller>>
configuration_controller::create(runtime& daemon, role& served, membership_controller& members) {
    std::unique_ptr<configuration_controller> created{new configuration_controller{daemon, served, members}};
    if (auto const& address = daemon.settings().configuration_address) {
        BOOST_OUTCOME_TRY(auto const endpoint, network::parse_endpoint(*address));
        created->service_.emplace(endpoint);
    }
    return created;
}

configuration_controller::configuration_controller(runtime& daemon, role& served, membership_controller& members)
    : daemon_(daemon)
    , role_(served)
    , members_(members)
    , strand_(asio::make_strand(daemon.context()))
    , gossip_(gossip_settings_of(daemon.settings()))
    , schedule_(base::random_seed(), base::clock::now())
    , store_(validate) {}

configuration_controller::~configuration_controller() {
    worker_.join();
}

base::result<void> configuration_controller::start() {
    auto& hub = daemon_.hub();
    hub.handle<wire::schema::ConfigurationOfferT>(
        [this](link::connection& source, wire::schema::ConfigurationOfferT const& message) {
            if (message.parts.size() > configuration::maximum_parts)
                source.close(base::make_error(base::error_kind::protocol_error, "an offer with too many parts"));
            else
                receive(source.peer().process, to_content(message));
        });
    hub.handle<wire::schema::ConfigurationRequestT>(
        [this](link::connection& source, wire::schema::ConfigurationRequestT const& message) {
            receive(source.peer().process, configuration::part_request{message.digest});
        });
    hub.handle<wire::schema::ConfigurationDocumentT>(
        [this](link::connection& source, wire::schema::ConfigurationDocumentT message) {
            receive(source.peer().process, to_content(std::move(message)));
        });
    hub.add_observer(*this);
    daemon_.add_state("configuration", [this] { return state(); });
    if (auto const& path = daemon_.settings().catalogue_file) {
        BOOST_OUTCOME_TRYV(apply_file(*path));
    }
    asio::co_spawn(strand_, run_schedule(), asio::detached);
    return base::success();
}

base::result<void> configuration_controller::apply_file(std::string const& path) {
    BOOST_OUTCOME_TRY(auto const text, yaml_reader::read_file(path));
    BOOST_OUTCOME_TRY(auto const read, catalogue::read_catalogue(text, path));
    apply(configuration::split_document(text, read->revision()), std::string{file_name});
    return base::success();
}

void configuration_controller::on_connected(link::connection& source) {
    asio::post(strand_, [this, peer = source.peer().process] {
        gossip_.connect(peer, base::clock::now());
        process_gossip_output();
    });
}

void configuration_controller::on_heartbeat(link::connection& source, wire::schema::HeartbeatT const& heartbeat) {
    if (heartbeat.confirmed_age > 0 && heartbeat.revision == revision_.load(std::memory_order_relaxed))
        record_confirmation(base::clock::now() - base::seconds{heartbeat.confirmed_age});
    asio::post(strand_, [this, peer = source.peer().process, revision = heartbeat.revision] {
        gossip_.on_peer_revision(peer, revision, base::clock::now());
        process_gossip_output();
    });
}

void configuration_controller::on_disconnected(link::connection& source, base::error const&) {
    asio::post(strand_, [this, peer = source.peer().process] {
        if (daemon_.hub().find_connection(peer))
            return;
        gossip_.disconnect(peer, base::clock::now());
        process_gossip_output();
    });
}

void configuration_controller::fill_heartbeat(wire::schema::HeartbeatT& content) {
    content.revision = revision_.load(std::memory_order_relaxed);
    auto const confirmed_at = confirmed_at_.load(std::memory_order_relaxed);
    if (confirmed_at == base::time_point{})
        return;
    auto const age = std::chrono::floor<base::seconds>(base::clock::now() - confirmed_at);
    content.confirmed_age = static_cast<std::uint32_t>(age.count()) + 1;
}

void configuration_controller::record_confirmation(base::time_point as_of) {
    auto last_confirmed = confirmed_at_.load(std::memory_order_relaxed);
    while (last_confirmed < as_of && !confirmed_at_.compare_exchange_weak(last_confirmed, as_of)) {
    }
    if (last_confirmed < as_of)
        role_.on_configuration_confirmed(as_of);
}

void configuration_controller::receive(std::string const& peer, configuration::gossip_content const& content) {
    asio::post(strand_, [this, peer, content] {
        if (auto const* offer = std::get_if<configuration::offer_message>(&content))
            record_offered_index(peer, offer->index);
        gossip_.receive(peer, content, base::clock::now());
        process_gossip_output();
    });
}

void configuration_controller::record_offered_index(std::string const& source,
                                                    configuration::publication_index const& index) {
    if (publication_sources_.size() >= maximum_remembered_offers)
        publication_sources_.clear();
    publication_sources_.try_emplace(index.digest, source);
    bool const conflicting = status_.with([&](configuration_status& status) {
        if (index.revision != status.revision || index.digest == status.digest)
            return false;
        bool const already_recorded = status.last_conflict && status.last_conflict->digest == index.digest;
        status.last_conflict = {index.revision, index.digest, source, "another digest for the revision in force"};
        return !already_recorded;
    });
    if (conflicting) {
        log::write(
            log::event_kind::configuration_conflict,
            {{"revision", index.revision}, {"digest", configuration::digest_text(index.digest)}, {"source", source}});
    }
}

void configuration_controller::process_gossip_output() {
    while (auto complete = gossip_.take_completed_publication()) {
        auto const found = publication_sources_.find(complete->index.digest);
        auto source = found == publication_sources_.end() ? std::string{"peer"} : found->second;
        asio::post(worker_, [this, offered = std::move(*complete), from = std::move(source)] {
            if (apply(offered, from) != configuration::offer_outcome::applied) {
                asio::post(strand_, [this, index = offered.index] {
                    gossip_.on_rejected(index, base::clock::now());
                    process_gossip_output();
                });
            }
        });
    }
    for (auto const& message : gossip_.take_outgoing_messages())
        send(message);
}

void configuration_controller::send(configuration::gossip_message const& message) {
    if (message.peer == configuration::service_source) {
        auto const& request = std::get<configuration::part_request>(message.content);
        asio::co_spawn(strand_, read_part(request.digest), asio::detached);
    } else if (auto const connection = daemon_.hub().find_connection(message.peer)) {
        std::visit(message_sender{*connection}, message.content);
    }
}

configuration::offer_outcome configuration_controller::apply(configuration::publication const& offered,
                                                             std::string const& source) {
    auto const outcome = store_.offer(offered.document(), offered.index.revision, source, base::clock::now());
    if (outcome == configuration::offer_outcome::applied)
        activate(offered, source);
    else if (outcome == configuration::offer_outcome::rejected)
        report_rejection(offered.index);
    return outcome;
}

void configuration_controller::activate(configuration::publication const& offered, std::string const& source) {
    auto const published = store_.active()->published;
    // Offers the publication to peers before this process has built its tables.
    asio::post(strand_, [this, offered] {
        schedule_.on_peer_configuration(base::clock::now());
        gossip_.on_applied(offered, base::clock::now());
        process_gossip_output();
    });
    members_.on_catalogue(published);
    auto const applied = role_.apply_catalogue(published);
    auto const reason = applied ? std::string{} : applied.error().message;
    status_.with([&](configuration_status& status) {
        status.revision = offered.index.revision;
        status.digest = offered.index.digest;
        status.source = source;
        status.since = base::clock::now();
        status.not_applied_by_role = reason;
    });
    revision_ = offered.index.revision;
    daemon_.metrics().add(metrics::counter_kind::configuration_applied);
    if (applied) {
        log::write(log::event_kind::configuration_applied, {{"revision", offered.index.revision}, {"source", source}});
    } else {
        log::write(log::event_kind::configuration_applied,
                   {{"revision", offered.index.revision}, {"source", source}, {"not_applied_by_role", reason}});
    }
}

void configuration_controller::report_rejection(configuration::publication_index const& index) {
    auto const& rejected = store_.last_rejected();
    if (!rejected || rejected->digest != index.digest)
        return;
    status_.with([&](configuration_status& status) { status.last_rejected = rejected; });
    daemon_.metrics().add(metrics::counter_kind::configuration_rejected);
    log::write(log::event_kind::configuration_rejected,
               {{"revision", index.revision}, {"source", rejected->source}, {"reason", rejected->reason}});
}

asio::awaitable<void> configuration_controller::run_schedule() {
    asio::steady_timer timer{strand_};
    while (true) {
        auto const now = base::clock::now();
        gossip_.tick(now);
        update_peers();
        update_first_contacts();
        if (auto const kind = service_ ? schedule_.poll(now) : std::nullopt)
            asio::co_spawn(strand_, read_index(*kind), asio::detached);
        process_gossip_output();
        timer.expires_after(tick_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> configuration_controller::read_index(configuration::read_kind kind) {
    bool const watch = kind == configuration::read_kind::long_poll;
    // A plain read returns the index of any revision, which detects a stale service or one that has another document of
    // the same revision.
    auto const after = watch ? std::max(gossip_.revision(), service_revision_) : 0;
    auto const wait = watch ? base::milliseconds{long_poll_wait} : base::milliseconds{0};
    auto const answer = co_await service_->read_index(after, wait);
    using enum configuration::read_outcome;
    if (!answer) {
        update_service_status(false, answer.error().message);
        schedule_.on_outcome(failed, base::clock::now());
        co_return;
    }
    auto outcome = not_newer;
    bool stale = false;
    if (auto const& index = answer.value()) {
        if (index->revision > std::max(gossip_.revision(), service_revision_))
            outcome = newer;
        stale = index->revision < gossip_.revision();
        service_revision_ = std::max(service_revision_, index->revision);
        record_offered_index(std::string{service_name}, *index);
        gossip_.receive(configuration::service_source, configuration::offer_message{*index}, base::clock::now());
    }
    if (!stale && outcome == not_newer)
        record_confirmation(base::clock::now());
    update_service_status(!stale, stale ? "stale" : "");
    schedule_.on_outcome(outcome, base::clock::now());
    process_gossip_output();
}

asio::awaitable<void> configuration_controller::read_part(std::uint64_t digest) {
    auto const answer = co_await service_->read_part(digest);
    configuration::part_response content{digest, nullptr};
    if (answer)
        content.content = answer.value();
    gossip_.receive(configuration::service_source, content, base::clock::now());
    process_gossip_output();
}

void configuration_controller::update_service_status(bool reachable, std::string const& failure) {
    bool const changed = status_.with([&](configuration_status& status) {
        bool const before = status.service_reachable.value_or(true);
        status.service_reachable = reachable;
        status.service_failure = failure;
        return before != reachable;
    });
    if (changed && reachable)
        log::write(log::event_kind::configuration_source_found);
    else if (changed)
        log::write(log::event_kind::configuration_source_lost, {{"reason", failure}});
}

std::vector<configuration::peer> configuration_controller::live_entries(configuration::peer& self) const {
    std::vector<configuration::peer> live;
    daemon_.board().members.with([&](auto& members) {
        if (!members || !members->published())
            return;
        auto const& published = *members->published();
        auto const region_of = [&](std::string_view name) {
            auto const* domain = published.find_failure_domain(name);
            return domain == nullptr ? std::string{} : domain->region;
        };
        self.region = region_of(self.failure_domain);
        for (auto const* item : members->live_entries(base::clock::now()))
            live.push_back({item->name, item->failure_domain, region_of(item->failure_domain)});
    });
    return live;
}

void configuration_controller::update_peers() {
    if (daemon_.settings().role != settings::process_role::entry)
        return;
    configuration::peer self{daemon_.settings().name, daemon_.settings().failure_domain, {}};
    auto const live = live_entries(self);
    if (live.empty())
        return;
    bool const watcher = configuration::is_watcher(self, live);
    schedule_.set_watcher(watcher, base::clock::now());
    status_.with([&](configuration_status& status) { status.watcher = watcher; });

    std::map<std::string, std::string> chosen;
    daemon_.board().members.with([&](auto& members) {
        for (auto const* item : configuration::select_peers(self, live)) {
            if (auto const* entry = members->published()->find_entry(item->name))
                chosen.emplace(entry->name, entry->peer_address);
        }
    });
    for (auto const& [name, address] : peers_) {
        if (!chosen.contains(name))
            daemon_.hub().disconnect(name);
    }
    for (auto const& [name, address] : chosen)
        daemon_.hub().connect(name, address);
    peers_ = std::move(chosen);
}

void configuration_controller::update_first_contacts() {
    auto const connected = daemon_.hub().ready_connections().size();
    // The peers of the settings are only needed until configuration has been received and there are other connections.
    // Every process that starts would otherwise stay connected to the same few peers.
    if (gossip_.revision() > 0 && connected > first_contacts_.size()) {
        for (auto const& address : first_contacts_)
            daemon_.hub().disconnect_address(address);
        first_contacts_.clear();
    } else if (connected == 0 && first_contacts_.empty()) {
        for (auto const& address : daemon_.settings().peers) {
            if (address == daemon_.settings().peer_address)
                continue;
            daemon_.hub().connect_address(address);
            first_contacts_.insert(address);
        }
    }
}

boost::json::object configuration_controller::state() const {
    auto dump = status_.with([](configuration_status const& status) { return status.dump(base::clock::now()); });
    std::set<std::string> connected;
    for (auto const& item : daemon_.hub().ready_connections())
        connected.insert(item->peer().process);
    dump["connected_peers"] = connected.size();
    return dump;
}

} // namespace cyclamenledge::process

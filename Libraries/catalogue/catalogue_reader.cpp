#include "catalogue/catalogue_reader.h"

#include "catalogue/catalogue_builder.h"
#include "catalogue/names.h"
#include "yaml_reader/field_table.h"
#include "yaml_reader/violation.h"

#include <utility>

namespace cyclamenledge::catalogue {

namespace {

using yaml_reader::choice;
using yaml_reader::field_table;
using yaml_reader::object;
using yaml_reader::object_list;
using yaml_reader::scalar;
using yaml_reader::text_list;
using enum yaml_reader::presence;

/// The version of the rules that this program applies.
constexpr std::uint64_t rule_set_version = 1;

struct catalogue_document {
    std::uint64_t rules{0};
    std::uint64_t revision{0};
    std::vector<failure_domain> failure_domains;
    std::vector<service> services;
    std::vector<target> targets;
    std::vector<entry> entries;
    std::vector<service_class> service_classes;
    std::vector<organisation> organisations;
};

field_table<failure_domain> const& failure_domain_fields() {
    static field_table<failure_domain> const fields{
        scalar("name", &failure_domain::name, required),
        scalar("region", &failure_domain::region, required),
        choice("state", &failure_domain::state, service_state_names),
    };
    return fields;
}

field_table<model_placement> const& placement_fields() {
    static field_table<model_placement> const fields{
        scalar("model", &model_placement::model, required),
        scalar("version", &model_placement::version, required),
        text_list("adapters", &model_placement::adapters),
        scalar("minimum_warm", &model_placement::minimum_warm),
    };
    return fields;
}

field_table<call_rule> const& call_rule_fields() {
    static field_table<call_rule> const fields{
        scalar("method", &call_rule::method, required),
        scalar("path_prefix", &call_rule::path_prefix, required),
        choice("semantics", &call_rule::semantics, call_semantics_names, required),
    };
    return fields;
}

field_table<key_owner_set> const& key_owner_fields() {
    static field_table<key_owner_set> const fields{
        scalar("from", &key_owner_set::from, required),
        text_list("targets", &key_owner_set::targets, required),
    };
    return fields;
}

field_table<service> const& service_fields() {
    static field_table<service> const fields{
        scalar("name", &service::name, required),
        scalar("owner", &service::owner, required),
        choice("kind", &service::kind, service_kind_names, required),
        object("placement", &service::placement, placement_fields()),
        scalar("default_output_tokens", &service::default_output_tokens),
        object_list("call_rules", &service::call_rules, call_rule_fields()),
        object_list("key_owners", &service::key_owners, key_owner_fields()),
        scalar("key_lifetime", &service::key_lifetime),
    };
    return fields;
}

field_table<target> const& target_fields() {
    static field_table<target> const fields{
        scalar("name", &target::name, required),
        scalar("service", &target::service, required),
        scalar("failure_domain", &target::failure_domain, required),
        scalar("vm", &target::vm, required),
        scalar("agent_address", &target::agent_address, required),
        choice("state", &target::state, service_state_names),
        choice("fencing", &target::fencing, fencing_support_names),
        scalar("memory_tokens", &target::memory_tokens),
        scalar("maximum_running", &target::maximum_running),
        scalar("warmup_floor", &target::warmup_floor),
    };
    return fields;
}

field_table<entry> const& entry_fields() {
    static field_table<entry> const fields{
        scalar("name", &entry::name, required),
        scalar("failure_domain", &entry::failure_domain, required),
        scalar("vm", &entry::vm, required),
        scalar("peer_address", &entry::peer_address, required),
    };
    return fields;
}

field_table<service_class> const& service_class_fields() {
    static field_table<service_class> const fields{
        scalar("name", &service_class::name, required),
        scalar("owner", &service_class::owner, required),
        choice("goal", &service_class::goal, class_goal_names, required),
        scalar("token_gap_target", &service_class::token_gap_target),
        scalar("first_token_target", &service_class::first_token_target),
        scalar("admission_quantile", &service_class::admission_quantile),
        scalar("weight", &service_class::weight),
        scalar("priority", &service_class::priority),
        scalar("queue_limit", &service_class::queue_limit),
        scalar("queue_deadline", &service_class::queue_deadline),
        choice("crossing", &service_class::crossing, region_crossing_names),
    };
    return fields;
}

field_table<organisation_limits> const& limit_fields() {
    static field_table<organisation_limits> const fields{
        scalar("requests_per_second", &organisation_limits::requests_per_second),
        scalar("concurrent_requests", &organisation_limits::concurrent_requests),
        scalar("tokens_per_second", &organisation_limits::tokens_per_second),
    };
    return fields;
}

field_table<organisation> const& organisation_fields() {
    static field_table<organisation> const fields{
        scalar("name", &organisation::name, required),
        scalar("owner", &organisation::owner, required),
        scalar("head_office", &organisation::head_office),
        scalar("service_class", &organisation::service_class, required),
        scalar("bearer_key_sha256", &organisation::bearer_key_sha256, required),
        text_list("services", &organisation::services, required),
        object("limits", &organisation::limits, limit_fields()),
        scalar("stretch", &organisation::stretch),
    };
    return fields;
}

field_table<catalogue_document> const& document_fields() {
    static field_table<catalogue_document> const fields{
        scalar("rules", &catalogue_document::rules, required),
        scalar("revision", &catalogue_document::revision, required),
        object_list("failure_domains", &catalogue_document::failure_domains, failure_domain_fields(), required),
        object_list("services", &catalogue_document::services, service_fields(), required),
        object_list("targets", &catalogue_document::targets, target_fields(), required),
        object_list("entries", &catalogue_document::entries, entry_fields(), required),
        object_list("service_classes", &catalogue_document::service_classes, service_class_fields(), required),
        object_list("organisations", &catalogue_document::organisations, organisation_fields(), required),
    };
    return fields;
}

/// Checks what only a document has.
std::vector<yaml_reader::violation> check_header(catalogue_document const& document) {
    yaml_reader::violations found;
    yaml_reader::path const root;
    if (document.rules != rule_set_version)
        found.add({&root, "rules"}, std::to_string(document.rules), std::to_string(rule_set_version));
    if (document.revision == 0)
        found.add({&root, "revision"}, "0", "at least 1");
    return found.take();
}

template <class Item>
void move_into(catalogue_builder& builder, std::vector<Item>& items) {
    for (auto& item : items)
        builder.add(std::move(item));
}

catalogue_builder to_builder(catalogue_document&& document) {
    catalogue_builder builder;
    builder.revision(document.revision);
    move_into(builder, document.failure_domains);
    move_into(builder, document.services);
    move_into(builder, document.targets);
    move_into(builder, document.entries);
    move_into(builder, document.service_classes);
    move_into(builder, document.organisations);
    return builder;
}

} // namespace

yaml_reader::reading<catalogue_pointer> check_catalogue(std::string const& text, std::string const& source,
                                                        std::size_t maximum_bytes) {
    yaml_reader::diagnostics errors{source};
    auto const root = yaml_reader::parse_document(text, errors, maximum_bytes);
    if (!root)
        return {std::nullopt, errors.take()};
    catalogue_document document;
    document_fields().read(*root, {}, document, errors);
    yaml_reader::add_violations(check_header(document), *root, errors);
    std::vector<yaml_reader::violation> violations;
    auto built = to_builder(std::move(document)).build(violations);
    yaml_reader::add_violations(violations, *root, errors);
    if (built == nullptr || !errors.empty())
        return {std::nullopt, errors.take()};
    return {std::move(built), {}};
}

base::result<catalogue_pointer> read_catalogue(std::string const& text, std::string const& source) {
    return check_catalogue(text, source).to_result();
}

std::vector<std::string> catalogue_keys() {
    std::vector<std::string> keys;
    document_fields().list_keys("", keys);
    return keys;
}

} // namespace cyclamenledge::catalogue

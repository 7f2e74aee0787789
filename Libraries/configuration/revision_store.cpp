#include "configuration/revision_store.h"

#include "base/name_table.h"
#include "configuration/publication.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::configuration {

namespace {

constexpr base::name_table<offer_outcome, 5> outcome_names{
    base::make_names({"applied", "older", "same", "conflicting", "rejected"})};

} // namespace

std::string_view name_of(offer_outcome outcome) {
    return outcome_names.name(outcome);
}

revision_store::revision_store(validator validate, store_switches switches)
    : validate_(std::move(validate))
    , switches_(switches) {}

offer_outcome revision_store::offer(std::string_view document, std::uint64_t revision, std::string_view source,
                                    base::time_point now) {
    auto const digest = publication_digest(document, revision);
    if (active_ && revision < active_->revision && switches_.compare_revisions)
        return offer_outcome::older;
    if (active_ && revision == active_->revision) {
        if (digest == active_->digest)
            return offer_outcome::same;
        last_conflict_ = {revision, digest, std::string{source}, "another digest for the revision in force"};
        return offer_outcome::conflicting;
    }
    if (was_rejected(digest))
        return offer_outcome::rejected;

    ++validations_;
    auto validated = validate_(document, revision);
    if (!validated) {
        remember_rejection(digest);
        last_rejected_ = {revision, digest, std::string{source}, validated.error().message};
        return offer_outcome::rejected;
    }
    active_ = {revision, digest, std::string{source}, now, std::move(validated).value()};
    return offer_outcome::applied;
}

bool revision_store::was_rejected(std::uint64_t digest) const {
    return std::ranges::find(rejected_digests_, digest) != rejected_digests_.end();
}

void revision_store::remember_rejection(std::uint64_t digest) {
    if (!switches_.remember_rejections)
        return;
    rejected_digests_.push_back(digest);
    if (rejected_digests_.size() > maximum_remembered_rejections)
        rejected_digests_.pop_front();
}

} // namespace cyclamenledge::configuration

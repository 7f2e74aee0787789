#pragma once

#include "base/result.h"
#include "base/time.h"
#include "catalogue/catalogue.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenledge::configuration {

enum class offer_outcome : std::uint8_t { applied, older, same, conflicting, rejected };

std::string_view name_of(offer_outcome outcome);

/// Validates a document. A pure function, so that every process reaches the same result.
using validator =
    std::function<base::result<catalogue::catalogue_pointer>(std::string_view document, std::uint64_t revision)>;

/// The configuration in force in this process.
struct revision_in_force {
    std::uint64_t revision{0};
    std::uint64_t digest{0};
    std::string source;
    base::time_point since{};
    catalogue::catalogue_pointer published;
};

/// A document that was not applied, for the process state.
struct refused_revision {
    std::uint64_t revision{0};
    std::uint64_t digest{0};
    std::string source;
    std::string reason;
};

/// Rejected documents that are remembered; the oldest is forgotten first.
inline constexpr std::size_t remembered_rejections = 64;

/// Mechanisms that only mutation checks in tests switch off.
struct store_switches {
    bool compare_revisions{true};
    bool remember_rejections{true};
};

/// Keeps the newest valid revision. It never goes back to an older one.
class revision_store {
public:
    explicit revision_store(validator validate, store_switches switches = {});

    offer_outcome offer(std::string_view document, std::uint64_t revision, std::string_view source,
                        base::time_point now);

    /// Whether a document was found invalid before, so that it need not be transferred again.
    bool was_rejected(std::uint64_t digest) const;

    std::uint64_t revision() const { return in_force_ ? in_force_->revision : 0; }
    std::optional<revision_in_force> const& in_force() const { return in_force_; }
    std::optional<refused_revision> const& last_rejected() const { return last_rejected_; }
    /// The last document with the revision in force but another digest: a mistake of the publisher.
    std::optional<refused_revision> const& last_conflict() const { return last_conflict_; }
    std::uint64_t validations() const { return validations_; }

private:
    void remember_rejection(std::uint64_t digest);

    validator validate_;
    store_switches switches_;
    std::optional<revision_in_force> in_force_;
    std::optional<refused_revision> last_rejected_;
    std::optional<refused_revision> last_conflict_;
    std::deque<std::uint64_t> rejected_digests_;
    std::uint64_t validations_{0};
};

} // namespace cyclamenledge::configuration

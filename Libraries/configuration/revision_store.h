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

/// Validates a document. Must be a pure function, so that every process reaches the same result.
using validator =
    std::function<base::result<catalogue::catalogue_pointer>(std::string_view document, std::uint64_t revision)>;

/// The configuration that this process uses.
struct active_revision {
    std::uint64_t revision{0};
    std::uint64_t digest{0};
    std::string source;
    base::time_point since{};
    catalogue::catalogue_pointer published;
};

/// A rejected or conflicting document, as shown in the state dump.
struct rejected_revision {
    std::uint64_t revision{0};
    std::uint64_t digest{0};
    std::string source;
    std::string reason;
};

/// Number of rejected documents whose digests are stored; the oldest is evicted first.
inline constexpr std::size_t maximum_remembered_rejections = 64;

/// Mechanisms that mutation checks in tests disable. All are enabled in production.
struct store_switches {
    bool compare_revisions{true};
    bool remember_rejections{true};
};

/// Stores the newest valid revision. The active revision never decreases.
class revision_store {
public:
    explicit revision_store(validator validate, store_switches switches = {});

    /// Validates a document and makes it active if its revision is newer than the active one and it is valid.
    offer_outcome offer(std::string_view document, std::uint64_t revision, std::string_view source,
                        base::time_point now);

    /// Whether the document with this digest was rejected before and need not be transferred again.
    bool was_rejected(std::uint64_t digest) const;

    std::uint64_t revision() const { return active_ ? active_->revision : 0; }
    std::optional<active_revision> const& active() const { return active_; }
    std::optional<rejected_revision> const& last_rejected() const { return last_rejected_; }
    /// The last document that had the active revision but another digest. Only a mistake of the publisher causes this.
    std::optional<rejected_revision> const& last_conflict() const { return last_conflict_; }
    std::uint64_t validations() const { return validations_; }

private:
    void remember_rejection(std::uint64_t digest);

    validator validate_;
    store_switches switches_;
    std::optional<active_revision> active_;
    std::optional<rejected_revision> last_rejected_;
    std::optional<rejected_revision> last_conflict_;
    std::deque<std::uint64_t> rejected_digests_;
    std::uint64_t validations_{0};
};

} // namespace cyclamenledge::configuration

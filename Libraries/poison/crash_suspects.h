#pragma once

#include "base/time.h"
#include "poison/request_content.h"
#include "poison/success_memory.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamenledge::poison {

/// What a fingerprint identifies.
enum class content_kind : std::uint8_t { request, prompt_part };

/// Report of a crash, as entries send it to each other.
struct crash_notice {
    std::uint64_t fingerprint{0};
    std::string target;
    /// The incarnation of the engine that crashed.
    std::uint64_t incarnation{0};
    /// Time from the crash to the sending of the notice. An age is sent because clocks of processes are not compared.
    base::milliseconds age{0};
    /// Time for which the request had run when the target crashed.
    base::milliseconds ran_for{0};
    content_kind kind{content_kind::request};
};

struct crash_suspects_options {
    base::seconds crash_record_lifetime{600};
    std::size_t maximum_fingerprints{10'000};
    std::size_t maximum_crash_records{32};
    std::size_t maximum_remembered_successes{10'000};
    /// Targets that a request may crash before it is refused.
    std::size_t targets_to_refuse{2};
    /// The same for a part of prompts. Other requests with other parts run on the same target, so that a crash says
    /// less about one of them.
    std::size_t targets_to_refuse_part{3};
    /// The same for a part on which targets have answered before.
    std::size_t targets_to_refuse_sound_part{5};
};

/// Why a request is refused.
struct refusal {
    std::uint64_t fingerprint{0};
    content_kind kind{content_kind::request};
    std::size_t crashes{0};
    /// Time until the newest crash record expires.
    base::milliseconds time_to_expiry{0};
};

/// Requests and parts of prompts that targets were running when these crashed. A request is refused when it, or a part
/// of its prompt, has crash records on enough different targets, one run after the other: runs that overlap may share
/// one cause, such as the loss of a failure domain, and many callers may send the same harmless request.
///
/// A target runs many requests at a time, so those beside the culprit get crash records as well. A crash does not count
/// against a request or part if something else explains it better: something that was running on the same target, has
/// enough crash records to be refused, has not succeeded, and has crashed at least as many targets (a whole request:
/// more).
///
/// When a table is full, the fingerprint with the least recent event is evicted.
class crash_suspects {
public:
    explicit crash_suspects(crash_suspects_options options = {});

    /// Merges a crash that this process detected or a peer reported. Returns whether the crash was new; the caller then
    /// sends it to the peers. A crash is new only once, however often and late its notice arrives. While no bound is
    /// reached, the state does not depend on the order or repetition of notices.
    bool on_crash(crash_notice const& notice, base::time_point now);
    /// Clears the crash records of a fingerprint that ran to completion. Earlier crashes no longer count, even if a
    /// peer reports them again. Returns whether there were any; the caller then tells the peers.
    bool on_success(std::uint64_t fingerprint, base::time_point now);
    /// The same for a part of a prompt on which a target has answered. Crashes of runs that had started before no
    /// longer count, because the part was sound while they ran.
    bool on_part_success(std::uint64_t fingerprint, base::time_point now);
    /// Merges a success that a peer reported, also when it arrives before the crashes that it clears. Returns whether
    /// it cleared any.
    bool on_peer_success(std::uint64_t fingerprint, base::milliseconds age, base::time_point now);
    /// Returns the age of a success of this process that has cleared a crash which a peer reported since the last call.
    /// The caller then tells the peers.
    std::optional<base::milliseconds> take_refutation(std::uint64_t fingerprint, base::time_point now);
    /// Whether the fingerprint has a crash record.
    bool suspects(std::uint64_t fingerprint, base::time_point now) const;
    /// Whether the request or a part of its prompt has a crash record.
    bool suspects(request_content const& content, base::time_point now) const;
    /// Whether requests with the fingerprint are refused.
    bool refuses(std::uint64_t fingerprint, base::time_point now) const;
    /// Why the request is refused. No value if it is not.
    std::optional<refusal> find_refusal(request_content const& content, base::time_point now) const;
    /// Time until the fingerprint's newest crash record expires. Zero without one.
    base::milliseconds time_to_expiry(std::uint64_t fingerprint, base::time_point now) const;
    /// Returns all current crash records, to be sent to a peer that connects.
    std::vector<crash_notice> notices(base::time_point now) const;
    void expire(base::time_point now);
    std::size_t size() const { return suspects_.size(); }

private:
    struct crash_record {
        std::string target;
        std::uint64_t incarnation{0};
        base::time_point at{};
        base::time_point run_started{};
        /// The fingerprint ran to completion since. The record is kept, so that a late copy of its notice is not taken
        /// for a new crash and passed on again.
        bool cleared{false};
    };
    struct suspect {
        std::uint64_t fingerprint{0};
        content_kind kind{content_kind::request};
        std::vector<crash_record> crash_records;
        base::time_point newest{};
        /// Crashes up to this time were cleared by a success.
        base::time_point cleared{base::time_point::min()};
        /// A peer reported a crash that a success of this process has cleared.
        bool refutation_due{false};

        bool has_succeeded() const { return cleared != base::time_point::min(); }
    };
    using suspect_list = std::list<suspect>;
    using crash_records = std::vector<crash_record const*>;
    /// The target and its incarnation.
    using crash_identity = std::pair<std::string, std::uint64_t>;

    bool expired(base::time_point at, base::time_point now) const { return now - at > options_.crash_record_lifetime; }
    static crash_identity identity_of(crash_record const& record);
    suspect const* find(std::uint64_t fingerprint) const;
    std::size_t targets_to_refuse(suspect const& judged) const;
    /// The records that are neither cleared nor expired, in the order of the crashes.
    crash_records current_records(suspect const& counted, base::time_point now) const;
    /// Number of different targets that crashed, counting only one of the runs that overlap.
    static std::size_t count_separate_crashes(crash_records const& records);
    std::optional<refusal> judge(suspect const& judged, request_content const& content, base::time_point now) const;
    /// Whether something that the request does not hold explains the crash at least as well.
    bool explained_by_others(crash_record const& record, suspect const& judged, request_content const& content,
                             base::time_point now) const;
    /// Whether the crashes that both have in common are rather those of the other one.
    bool explains_better(suspect const& other, suspect const& judged, base::time_point now) const;
    /// Whether a success at that time shows that the content did not cause the crash.
    static bool clears(suspect const& cleared, crash_record const& record, base::time_point success);
    /// Returns whether there were crash records that the success clears.
    static bool clear(suspect& cleared, base::time_point at);
    suspect_list::iterator find_or_insert(std::uint64_t fingerprint, base::time_point at);
    /// Sets the time of the newest event and moves the element to its position in the list.
    void update_newest(suspect_list::iterator updated, base::time_point at);
    void remove_from_crash(crash_record const& record, std::uint64_t fingerprint);
    void evict_oldest();
    void erase_oldest();

    crash_suspects_options options_;
    /// Sorted by the time of the newest event, oldest first.
    suspect_list suspects_;
    std::unordered_map<std::uint64_t, suspect_list::iterator> by_fingerprint_;
    /// The fingerprints with a record of the crash.
    std::map<crash_identity, std::vector<std::uint64_t>> by_crash_;
    /// Successes of parts at this process, also of those without crash records.
    success_memory part_successes_;
};

} // namespace cyclamenledge::poison

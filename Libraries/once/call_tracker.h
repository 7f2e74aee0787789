#pragma once

#include "once/key_call.h"
#include "once/key_limits.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::once {

struct call_tracker_options {
    key_limits limits;
    std::size_t maximum_keys{200'000};
    std::size_t maximum_answer_bytes{16U << 20U};
};

/// The state of an entry's link to the agent that a key was sent to.
struct target_link {
    bool reachable{false};
    std::uint64_t incarnation{0};
};

/// The next step of an entry for a caller whose answer was lost.
enum class lost_answer_action : std::uint8_t {
    /// Send query_key. A new incarnation must receive the remembered keys first.
    query,
    /// Wait until the target is reachable or the deadline has passed.
    wait,
    /// Send the stored answer.
    answer,
    outcome_unknown,
};

/// The entry's bounded record of the keys that it sent to agents. A new incarnation of an agent uses it to answer for
/// keys of earlier incarnations. The at-most-once guarantee does not depend on it, so the oldest settled key may be
/// evicted when the bound is reached.
class call_tracker {
public:
    explicit call_tracker(call_tracker_options options);

    /// Records that a key is sent. Returns false when the bound is reached and no key is settled; the call must then be
    /// refused.
    bool on_sent(std::string scoped, std::string target, std::uint64_t incarnation, std::uint64_t body_fingerprint,
                 base::time_point now);
    /// Records an outcome: done, sealed or unknown. The fingerprint is that of the attempt that received it. Returns
    /// false when the outcome does not belong to the last attempt of the key, for example because it is a response to
    /// another request or comes from another incarnation. Such an answer must be dropped.
    bool on_outcome(std::string_view scoped, std::string_view target, std::uint64_t incarnation,
                    std::uint64_t body_fingerprint, key_state outcome, call_answer answer);
    /// The next step for a caller whose link to the target broke or timed out.
    lost_answer_action action_after_lost_answer(std::string_view scoped, std::uint64_t body_fingerprint,
                                                target_link contact, base::time_point deadline,
                                                base::time_point now) const;
    /// The stored answer, or null when there is none for this body.
    call_answer const* answer_of(std::string_view scoped, std::uint64_t body_fingerprint) const;
    /// The keys that were sent to other incarnations of the target than the given one.
    std::vector<remembered_key> remembered_keys(std::string_view target, std::uint64_t incarnation) const;
    void expire(base::time_point now);

    std::size_t size() const { return keys_.size(); }

private:
    struct sent_key {
        std::string scoped;
        std::string target;
        std::uint64_t incarnation{0};
        std::uint64_t body_fingerprint{0};
        key_state outcome{key_state::running};
        bool answer_dropped{false};
        call_answer answer;
        base::time_point sent{};
    };
    using sent_list = std::list<sent_key>;

    static bool is_final(sent_key const& key) {
        return key.outcome == key_state::done || key.outcome == key_state::sealed;
    }
    void erase_key(sent_list::iterator position);
    bool evict_settled();

    call_tracker_options options_;
    /// Ordered by the time at which the keys were last sent.
    sent_list keys_;
    std::unordered_map<std::string_view, sent_list::iterator> by_key_;
    std::size_t answer_bytes_{0};
};

} // namespace cyclamenledge::once

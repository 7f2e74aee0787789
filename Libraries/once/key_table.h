#pragma once

#include "once/clock_reading.h"
#include "once/key_call.h"
#include "once/key_limits.h"
#include "once/key_owner.h"

#include <boost/intrusive/list.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::once {

/// The safety mechanisms of the key table. A mutation test disables one to show that the guarantees depend on it.
enum class key_mechanism : std::uint8_t {
    none,
    sealing,
    recovery,
    freshness,
    earlier_owners,
    fingerprint,
    future_keys
};

struct key_table_options {
    /// The name of the target that this agent serves.
    std::string target;
    std::uint64_t incarnation{0};
    key_limits limits;
    /// For mutation tests only.
    key_mechanism disabled_mechanism{key_mechanism::none};
};

/// The result of an earlier owner's answer: the decision for the key, and the outcomes to send to its waiters.
struct earlier_owner_result {
    key_decision decision;
    std::vector<waiter_outcome> outcomes;
};

/// The reply to a later owner's question, and the refusals to send to the waiters of a call that was ended by ceding
/// its key.
struct cede_result {
    earlier_owner_answer answer;
    std::vector<waiter_outcome> outcomes;
};

/// The agent's table of idempotency keys. It decides for each call whether it may run, so that each key runs at most
/// once.
class key_table {
public:
    key_table(key_table_options options, clock_reading start);

    /// Decides a submitted call. `owners` must be derived from the agent's own catalogue at `now`.
    key_decision submit(key_call const& call, key_ownership const& owners, clock_reading now);
    /// Stores the answer of the target and returns it as the outcome of every waiter of the key.
    std::vector<waiter_outcome> complete(std::string_view scoped, call_answer answer, clock_reading now);
    /// Marks a running key as unknown: the target failed during the call, so the call may or may not have run.
    std::vector<waiter_outcome> fail(std::string_view scoped, clock_reading now);
    /// Seals a key whose running call was never sent to the target, and therefore did not run.
    std::vector<waiter_outcome> seal_unsent(std::string_view scoped, clock_reading now);
    /// Decides an entry's query for the outcome of a key. An unseen key is sealed by the query, after its earlier
    /// owners have ceded it, so that it cannot run afterwards.
    key_decision query(std::string_view organisation, idempotency_key const& key, std::uint64_t body_fingerprint,
                       waiter_id waiter, key_ownership const& owners, clock_reading now);
    /// Replies to the question of a later owner. An unseen key is ceded to that owner and cannot run here afterwards.
    cede_result cede(std::string_view organisation, idempotency_key const& key, std::string const& later_owner,
                     std::uint64_t question, clock_reading now);
    /// Processes the answer of one earlier owner. The decision is `run` once the last one has ceded the key. An answer
    /// to a closed question is ignored, because a call with another body may have opened a new question for the key.
    earlier_owner_result on_earlier_owner_answer(std::string_view scoped, std::string const& owner,
                                                 earlier_owner_answer const& answer, clock_reading now);
    /// Adds the keys that an entry sent to an earlier incarnation of this agent. A record keeps its state unless that
    /// is `unknown`.
    void recover(std::vector<remembered_key> const& remembered, clock_reading now);
    /// Records that the active configuration was confirmed as the newest one at `as_of`, by its source or a peer.
    void on_configuration_confirmed(base::time_point as_of);
    /// Removes the records of keys that are past their lifetime and can no longer be used by a call.
    void expire(clock_reading now);

    key_state state_of(std::string_view scoped) const;
    /// The stored answer of a key that is done, or null.
    call_answer const* answer_of(std::string_view scoped) const;
    /// The number of keys in each state.
    std::array<std::size_t, key_state_count> counts() const;
    /// The time from which no key of an earlier incarnation can be used.
    base::time_point recovery_end() const;
    /// The earlier owners of an `asking` key that have not answered.
    std::vector<std::string> pending_owners(std::string_view scoped) const;
    std::size_t size() const { return records_.size(); }
    std::size_t answer_bytes() const { return answer_bytes_; }

private:
    enum class call_intent : std::uint8_t { run, seal };

    /// Data of a key that is `asking` or `running`. Allocated separately to keep the records of settled keys small.
    struct active_call {
        std::vector<waiter_id> waiters;
        std::vector<std::string> pending_owners;
        call_intent intent{call_intent::run};
        bool earlier_owner_sealed{false};
        bool earlier_owner_done{false};
        bool earlier_owner_unknown{false};
        bool earlier_owner_unavailable{false};
        earlier_owner_answer done_answer;
        base::time_point asked_at{};
        std::uint64_t question{0};
    };

    struct key_record : boost::intrusive::list_base_hook<> {
        std::string_view scoped;
        key_state state{key_state::unseen};
        bool answer_dropped{false};
        std::uint64_t body_fingerprint{0};
        base::time_point retained_since{};
        std::unique_ptr<active_call> active;
        std::unique_ptr<call_answer> answer;
        std::unique_ptr<std::string> ceded_to;
    };

    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const;
    };
    using record_map = std::unordered_map<std::string, key_record, text_hash, std::equal_to<>>;

    bool is_enabled(key_mechanism mechanism) const { return options_.disabled_mechanism != mechanism; }
    key_record* find(std::string_view scoped);
    key_record* insert(std::string scoped, key_state state, clock_reading now);
    void erase_record(key_record& record);
    void set_state(key_record& record, key_state state, clock_reading now);
    void store_answer(key_record& record, call_answer answer);
    bool is_stale(key_call const& call, clock_reading now) const;
    bool is_expired(idempotency_key const& key, clock_reading now) const;
    bool is_future(idempotency_key const& key, clock_reading now) const;
    bool may_have_run_before_start(idempotency_key const& key, clock_reading now) const;
    key_decision decide_existing(key_record& record, std::uint64_t body_fingerprint, waiter_id waiter);
    std::optional<base::error_kind> check_key(std::string const& scoped, idempotency_key const& key, clock_reading now);
    std::optional<base::error_kind> check_ownership(key_ownership const& owners, clock_reading now) const;
    key_decision start_call(std::string scoped, std::uint64_t body_fingerprint, waiter_id waiter, call_intent intent,
                            key_ownership const& owners, clock_reading now);
    earlier_owner_result decide_after_answers(key_record& record, clock_reading now);
    static key_decision settled_decision(key_record const& record);
    std::vector<waiter_outcome> finish_waiters(key_record& record, key_decision const& decision);

    key_table_options options_;
    clock_reading start_;
    base::time_point configuration_as_of_;
    record_map records_;
    /// Records in the order of their expiry.
    boost::intrusive::list<key_record> by_age_;
    std::size_t answer_bytes_{0};
    std::uint64_t last_question_{0};
};

} // namespace cyclamenledge::once

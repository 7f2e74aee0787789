#pragma once

#include "once/key_call.h"
#include "once/key_limits.h"
#include "once/key_owner.h"
#include "once/moment.h"

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

/// A mechanism that a mutation test leaves out.
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
    /// The name of the target beside the agent.
    std::string target;
    std::uint64_t incarnation{0};
    key_limits limits;
    /// For mutation tests only.
    key_mechanism left_out{key_mechanism::none};
};

/// The result of an event: what to do for the key, and what its waiters receive.
struct key_event {
    key_decision decision;
    std::vector<waiter_outcome> outcomes;
};

/// The answer to an earlier-owner question, and the waiters that it turned away.
struct cession {
    earlier_owner_answer answer;
    std::vector<waiter_outcome> outcomes;
};

/// The agent's table of keys, which lets each key run at most once.
class key_table {
public:
    key_table(key_table_options options, moment start);

    /// Call with the ownership that the agent's own catalogue gives for the key at `now`.
    key_decision submit(key_call const& call, key_ownership const& owners, moment now);
    /// The target answered. The outcomes are for every waiter of the key.
    std::vector<waiter_outcome> complete(std::string_view scoped, call_answer answer, moment now);
    /// The target failed while the key ran, so whether it ran is not known.
    std::vector<waiter_outcome> fail(std::string_view scoped, moment now);
    /// The running call was never sent to the target, so it did not run and its key is sealed.
    std::vector<waiter_outcome> withdraw(std::string_view scoped, moment now);
    /// Question of an entry. An unseen key is sealed in the same step, after the earlier owners have ceded it.
    key_decision query(std::string_view organisation, idempotency_key const& key, std::uint64_t body_fingerprint,
                       waiter from, key_ownership const& owners, moment now);
    /// Question of a later owner. An unseen key is ceded to it in the same step.
    cession cede(std::string_view organisation, idempotency_key const& key, std::string const& to,
                 std::uint64_t question, moment now);
    /// The answer of one earlier owner. The decision is `run` once the last one has ceded the key. An answer to a
    /// question that is no longer open is ignored: the key may be asked about again by then, for a call with another
    /// body.
    key_event on_earlier_owner_answer(std::string_view scoped, std::string const& owner,
                                      earlier_owner_answer const& answer, moment now);
    /// Takes the keys that an entry sent to an earlier incarnation. Keys that are known here keep their state.
    void recover(std::vector<remembered_key> const& remembered, moment now);
    /// The configuration in force was confirmed as the newest one at `as_of`, by its source or through a peer.
    void on_configuration_confirmed(base::time_point as_of);
    /// Forgets keys that no call can use any more.
    void expire(moment now);

    key_state state_of(std::string_view scoped) const;
    /// The stored answer of a key that is done, or null.
    call_answer const* answer_of(std::string_view scoped) const;
    /// The number of keys in each state.
    std::array<std::size_t, key_state_count> counts() const;
    /// When the keys of earlier incarnations can no longer be used.
    base::time_point recovery_end() const;
    /// The earlier owners of an `asking` key that have not answered.
    std::vector<std::string> owners_to_answer(std::string_view scoped) const;
    std::size_t size() const { return records_.size(); }
    std::size_t answer_bytes() const { return answer_bytes_; }

private:
    enum class purpose : std::uint8_t { run, seal };

    /// What is needed only while a key is open, kept apart so that a settled key stays small.
    struct open_call {
        std::vector<waiter> waiters;
        std::vector<std::string> to_answer;
        purpose reason{purpose::run};
        bool sealed_earlier{false};
        bool done_earlier{false};
        bool unknown_earlier{false};
        bool unavailable_earlier{false};
        earlier_owner_answer done;
        base::time_point asked{};
        std::uint64_t question{0};
    };

    struct record : boost::intrusive::list_base_hook<> {
        std::string_view scoped;
        key_state state{key_state::unseen};
        bool answer_dropped{false};
        std::uint64_t body_fingerprint{0};
        base::time_point kept_from{};
        std::unique_ptr<open_call> open;
        std::unique_ptr<call_answer> answer;
        std::unique_ptr<std::string> ceded_to;
    };

    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const;
    };
    using record_map = std::unordered_map<std::string, record, text_hash, std::equal_to<>>;

    bool uses(key_mechanism mechanism) const { return options_.left_out != mechanism; }
    record* find(std::string_view scoped);
    record* insert(std::string scoped, key_state state, moment now);
    void forget(record& item);
    void settle(record& item, key_state state, moment now);
    void store(record& item, call_answer answer);
    bool is_stale(key_call const& call, moment now) const;
    bool is_expired(idempotency_key const& key, moment now) const;
    bool is_future(idempotency_key const& key, moment now) const;
    bool may_have_run_before_start(idempotency_key const& key, moment now) const;
    key_decision known(record& item, std::uint64_t body_fingerprint, waiter from);
    std::optional<base::error_kind> unusable(std::string const& scoped, idempotency_key const& key, moment now);
    std::optional<base::error_kind> not_the_owner(key_ownership const& owners, moment now) const;
    key_decision open(std::string scoped, std::uint64_t body_fingerprint, waiter from, purpose reason,
                      key_ownership const& owners, moment now);
    key_event resolve(record& item, moment now);
    static key_decision outcome(record const& item);
    std::vector<waiter_outcome> close(record& item, key_decision const& decision);

    key_table_options options_;
    moment start_;
    base::time_point configuration_as_of_;
    record_map records_;
    /// In the order in which the records may be forgotten.
    boost::intrusive::list<record> by_age_;
    std::size_t answer_bytes_{0};
    std::uint64_t questions_{0};
};

} // namespace cyclamenledge::once

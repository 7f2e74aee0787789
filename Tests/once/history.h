#pragma once

#include "base/hash.h"
#include "once/call_tracker.h"
#include "once/caller_refusal.h"
#include "once/key_owner.h"
#include "once/key_table.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

using namespace cyclamenledge::once;
using base::milliseconds;

/// Drives several entries and agents through a random history of calls and faults, and notes broken guarantees.
class history {
public:
    explicit history(std::uint64_t seed, key_mechanism left_out = key_mechanism::none)
        : random_(seed)
        , left_out_(left_out) {
        limits_.key_lifetime = base::seconds{60};
        limits_.configuration_age = base::seconds{60};
        limits_.clock_tolerance = milliseconds{2000};
        limits_.freshness = milliseconds{3000};
        limits_.vm_list_lag = milliseconds{4000};
        sets_.push_back({base::wall_time{}, random_owners()});
        for (auto& clock_error : skew_)
            clock_error = milliseconds{static_cast<std::int64_t>(random_.below(2001)) - 1000};
        for (std::size_t index = 0; index < agents_.size(); ++index)
            start(index);
        // The agents leave recovery at different times, and most histories begin with agents that accept keys.
        pass(milliseconds{10'000});
    }

    /// The first broken guarantee, or empty text.
    std::string run() {
        auto const steps = 20 + random_.below(200);
        for (std::uint64_t step = 0; step < steps && broken_.empty(); ++step)
            random_event();
        if (broken_.empty())
            serve_after_faults();
        return broken_;
    }

private:
    enum class kind : std::uint8_t { submit, query, ask, owner_answer, outcome };
    struct message {
        kind what{kind::submit};
        std::size_t from{0};
        std::size_t to{0};
        std::size_t key{0};
        std::uint64_t body{0};
        std::size_t attempt{0};
        std::uint64_t incarnation{0};
        base::time_point stamp{};
        base::time_point sent{};
        earlier_owner_answer reply{};
        key_decision decision{};
    };
    struct agent {
        std::unique_ptr<key_table> table;
        std::uint64_t incarnation{0};
        std::size_t revision{1};
        bool paused{false};
        std::optional<base::time_point> gone;
        std::optional<base::time_point> was_gone;
        base::time_point started{};
        std::map<std::size_t, std::uint64_t> running;
        std::map<std::size_t, base::time_point> submitted;
    };
    struct entry {
        std::size_t revision{1};
        std::array<std::uint64_t, 3> incarnations{};
        std::array<base::time_point, 3> stamps{};
        std::unique_ptr<call_tracker> tracker;
    };
    struct key_fact {
        idempotency_key key;
        base::time_point first_used{};
        unsigned runs{0};
        std::uint64_t ran_body{0};
        bool sealed_said{false};
        std::set<std::uint64_t> reused_said;
    };
    struct attempt {
        std::size_t from{0};
        std::size_t target{0};
        std::size_t key{0};
        std::uint64_t body{0};
        std::uint64_t incarnation{0};
        bool open{true};
        bool answered{false};
    };

    static std::string name(std::size_t agent_index) { return std::string(1, static_cast<char>('a' + agent_index)); }
    bool chance(std::uint64_t percent) { return random_.below(100) < percent; }
    milliseconds up_to(std::uint64_t count) {
        return milliseconds{static_cast<std::int64_t>(random_.below(count + 1))};
    }
    base::wall_time true_wall() const {
        return base::wall_time{std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())};
    }
    moment agent_moment(std::size_t index) const { return {now_, true_wall() + skew_[index]}; }
    std::vector<std::string> random_owners() {
        std::vector<std::string> owners{name(random_.below(3))};
        if (auto second = name(random_.below(3)); second != owners.front())
            owners.push_back(std::move(second));
        return owners;
    }
    key_ownership owners(std::size_t revision, std::size_t key, base::wall_time wall, std::size_t observer) const {
        std::vector<absent_owner> absent;
        for (std::size_t index = 0; index < agents_.size(); ++index) {
            auto const& other = agents_[index];
            if (other.gone && now_ - *other.gone > limits_.vm_list_lag)
                absent.push_back({name(index), wall - std::chrono::duration_cast<milliseconds>(now_ - *other.gone)});
            else if (other.was_gone && observer != index && now_ - other.started < limits_.vm_list_lag)
                absent.push_back(
                    {name(index), wall - std::chrono::duration_cast<milliseconds>(now_ - *other.was_gone)});
        }
        return key_owner({sets_.begin(), sets_.begin() + static_cast<std::ptrdiff_t>(revision)}, limits_)
            .owners_of("o", keys_[key].key, wall, absent);
    }
    void pass(milliseconds span) {
        now_ += span;
        for (auto& item : agents_) {
            if (item.table)
                item.table->expire({now_, true_wall()});
        }
    }
    void start(std::size_t index) {
        auto& item = agents_[index];
        item.incarnation = ++incarnations_;
        item.was_gone = item.gone;
        item.gone.reset();
        item.paused = false;
        item.started = now_;
        item.running.clear();
        item.submitted.clear();
        item.table = std::make_unique<key_table>(key_table_options{name(index), item.incarnation, limits_, left_out_},
                                                 agent_moment(index));
        learn(index);
    }
    void learn(std::size_t index) {
        agents_[index].revision = sets_.size();
        agents_[index].table->on_configuration_confirmed(now_);
    }
    void heartbeat(std::size_t entry_index, std::size_t index) {
        auto& from = entries_[entry_index];
        auto& item = agents_[index];
        if (!item.table || item.paused || (partitioned_ && (entry_index == 1) != (index == 2)))
            return;
        if (from.incarnations[index] != item.incarnation)
            item.table->recover(from.tracker->remembered_for(name(index), item.incarnation), agent_moment(index));
        from.incarnations[index] = item.incarnation;
        from.stamps[index] = now_;
    }
    std::size_t new_key() {
        auto key = idempotency_key::issue(true_wall() + up_to(6000) - milliseconds{3000}, random_);
        if (chance(20))
            key = idempotency_key::issue(true_wall() + up_to(60'000), random_);
        if (chance(25))
            key = idempotency_key::parse("opaque-" + std::to_string(keys_.size())).value();
        keys_.push_back({std::move(key), now_, 0, 0, false, {}});
        return keys_.size() - 1;
    }
    std::optional<std::size_t> call(std::size_t entry_index, std::size_t key, std::uint64_t body) {
        auto& from = entries_[entry_index];
        auto const current = owners(from.revision, key, true_wall() + skew_[3 + entry_index], 9).current;
        if (current.empty())
            return std::nullopt;
        auto const target = static_cast<std::size_t>(current.front() - 'a');
        attempts_.push_back({entry_index, target, key, body, from.incarnations[target], true, false});
        from.tracker->on_sent(scoped_key("o", keys_[key].key), current, from.incarnations[target], body, now_);
        message submit{kind::submit, entry_index, target, key, body, attempts_.size() - 1};
        submit.incarnation = from.incarnations[target];
        submit.stamp = from.stamps[target];
        send(std::move(submit));
        return attempts_.size() - 1;
    }
    void send(message item) {
        item.sent = now_;
        bag_.push_back(std::move(item));
    }

    void random_event() {
        auto const entry_index = random_.below(2);
        auto const index = random_.below(3);
        auto& item = agents_[index];
        auto const event = random_.below(100);
        if (event < 15) {
            auto const key = keys_.empty() || chance(20)
                                 ? new_key()
                                 : keys_.size() - 1 - random_.below(std::min<std::size_t>(keys_.size(), 3));
            // Callers do not repeat an opaque key after its lifetime; the design does not cover that.
            if (keys_[key].key.created() || now_ - keys_[key].first_used < limits_.key_lifetime)
                call(entry_index, key, chance(85) ? 1 : 2);
        } else if (event < 60) {
            deliver_random();
        } else if (event < 66) {
            heartbeat(entry_index, index);
        } else if (event < 72) {
            finish_run(index, chance(90));
        } else if (event < 79) {
            lose_answer();
        } else if (event < 82) {
            sets_.push_back({std::max(sets_.back().from, true_wall() + up_to(3000)), random_owners()});
        } else if (event < 86) {
            if (item.table && !item.paused)
                learn(index);
        } else if (event < 89) {
            entries_[entry_index].revision = sets_.size();
        } else if (event < 91) {
            if (chance(50)) {
                start(index);
            } else {
                item.table.reset();
                item.gone = item.gone ? item.gone : now_;
            }
        } else if (event < 92) {
            item.paused = !item.paused;
        } else if (event < 93) {
            // An entry dies and is replaced: its attempts and its memory are gone.
            entries_[entry_index].tracker = std::make_unique<call_tracker>(call_tracker_options{limits_});
            for (auto& open : attempts_)
                open.open = open.open && open.from != entry_index;
        } else if (event < 94) {
            partitioned_ = !partitioned_;
        } else {
            partitioned_ = partitioned_ && chance(50);
            pass(chance(90) ? up_to(2500) : up_to(40'000));
        }
    }
    void deliver_random() {
        if (bag_.empty())
            return;
        auto const place = bag_.begin() + static_cast<std::ptrdiff_t>(random_.below(bag_.size()));
        auto item = *place;
        if (!chance(15))
            bag_.erase(place);
        if (chance(10) && item.what == kind::outcome)
            item.attempt = random_.below(attempts_.size());
        if (!chance(10))
            deliver(std::move(item));
    }
    void deliver(message item) {
        // Frames of a partition arrive late, when it has ended.
        if (partitioned_ && crosses_partition(item))
            return bag_.push_back(std::move(item));
        if (item.what == kind::outcome)
            return receive_outcome(item);
        auto& to = agents_[item.to];
        if (!to.table)
            return;
        if (to.paused)
            return bag_.push_back(std::move(item));
        auto const at = agent_moment(item.to);
        auto const& key = keys_[item.key].key;
        switch (item.what) {
        case kind::submit: {
            auto decision = to.table->submit({"o", key, item.body, item.incarnation, item.stamp, item.attempt},
                                             owners(to.revision, item.key, at.wall, item.to), at);
            if (decision.action == key_action::run || decision.action == key_action::ask_earlier_owners)
                to.submitted[item.key] = item.stamp;
            return follow(item.to, item.key, item.body, item.attempt, std::move(decision));
        }
        case kind::query:
            return follow(item.to, item.key, item.body, item.attempt,
                          to.table->query("o", key, item.body, item.attempt,
                                          owners(to.revision, item.key, at.wall, item.to), at));
        case kind::ask: {
            auto ceded = to.table->cede("o", key, name(item.from), item.reply.question, at);
            notify(item.to, item.key, std::move(ceded.outcomes));
            message answer{kind::owner_answer, item.to, item.from, item.key, item.body, item.attempt};
            answer.reply = std::move(ceded.answer);
            answer.incarnation = item.incarnation;
            return send(std::move(answer));
        }
        case kind::owner_answer: {
            // Attempts belong to a connection, so an answer does not reach another incarnation.
            if (item.incarnation != to.incarnation)
                return;
            auto event = to.table->on_earlier_owner_answer(scoped_key("o", key), name(item.from), item.reply, at);
            notify(item.to, item.key, std::move(event.outcomes));
            if (event.decision.action == key_action::run)
                begin_run(item.to, item.key, item.body);
            return;
        }
        case kind::outcome:
            return;
        }
    }
    /// Entry 1 and agent c are on one side, all others on the other side.
    bool crosses_partition(message const& item) const {
        bool const from_entry = item.what == kind::submit || item.what == kind::query;
        bool const from_far = from_entry ? item.from == 1 : item.from == 2;
        bool const to_far = item.what == kind::outcome ? attempts_[item.attempt].from == 1 : item.to == 2;
        return from_far != to_far;
    }
    void follow(std::size_t index, std::size_t key, std::uint64_t body, std::size_t attempt_index,
                key_decision decision) {
        switch (decision.action) {
        case key_action::run:
            return begin_run(index, key, body);
        case key_action::attached:
            return;
        case key_action::ask_earlier_owners:
            for (auto const& owner : decision.ask) {
                message question{kind::ask, index, static_cast<std::size_t>(owner.front() - 'a'), key, body, 0};
                question.incarnation = agents_[index].incarnation;
                question.reply.question = decision.question;
                send(std::move(question));
            }
            return;
        case key_action::stored_answer:
        case key_action::refuse:
            return notify(index, key, {{attempt_index, std::move(decision)}});
        }
    }
    void notify(std::size_t index, std::size_t key, std::vector<waiter_outcome> outcomes) {
        for (auto& outcome : outcomes) {
            message answer{kind::outcome, index, 0, key, 0, outcome.to};
            answer.body = attempts_[outcome.to].body;
            answer.incarnation = agents_[index].incarnation;
            answer.decision = std::move(outcome.decision);
            send(std::move(answer));
        }
    }
    void begin_run(std::size_t index, std::size_t key, std::uint64_t body) {
        auto& fact = keys_[key];
        if (++fact.runs > 1)
            broken_ = "a key ran twice";
        if (fact.sealed_said || fact.reused_said.contains(body))
            broken_ = "a key ran after the statement \"not run\"";
        if (now_ - agents_[index].submitted[key] > 2 * limits_.freshness)
            broken_ = "a call ran long after it was sent";
        fact.ran_body = body;
        agents_[index].running[key] = body;
    }
    void finish_run(std::size_t index, bool success) {
        auto& item = agents_[index];
        if (!item.table || item.paused || item.running.empty())
            return;
        auto const [key, body] = *item.running.begin();
        item.running.erase(item.running.begin());
        auto const scoped = scoped_key("o", keys_[key].key);
        notify(index, key,
               success ? item.table->complete(scoped, {200, text_of(key, body)}, agent_moment(index))
                       : item.table->fail(scoped, agent_moment(index)));
    }
    static std::string text_of(std::size_t key, std::uint64_t body) {
        return std::to_string(key) + "#" + std::to_string(body);
    }
    void lose_answer() {
        if (attempts_.empty())
            return;
        auto const index = random_.below(attempts_.size());
        auto const& lost = attempts_[index];
        if (lost.open)
            send({kind::query, lost.from, lost.target, lost.key, lost.body, index});
    }
    void receive_outcome(message const& item) {
        auto& open = attempts_[item.attempt];
        // The entry compares the key of the answer with that of its attempt, which detects crossed answers.
        if (!open.open || open.key != item.key || open.body != item.body)
            return;
        auto const& decision = item.decision;
        auto& fact = keys_[open.key];
        auto const scoped = scoped_key("o", fact.key);
        auto state = key_state::unknown;
        if (decision.action == key_action::stored_answer) {
            state = key_state::done;
            open.answered = true;
            if (decision.answer.body != text_of(open.key, open.body))
                broken_ = "an answer belongs to another key or body";
        } else {
            auto const told = caller_refusal(base::make_error(decision.refusal, ""));
            if (told.kind == base::error_kind::key_sealed) {
                state = key_state::sealed;
                fact.sealed_said = true;
            } else if (base::answer_for(told.kind).run == base::run_statement::not_run) {
                fact.reused_said.insert(open.body);
            }
            if ((fact.sealed_said && fact.runs > 0) || (fact.runs > 0 && fact.reused_said.contains(fact.ran_body)))
                broken_ = "\"not run\" was said for a key that ran";
        }
        open.open = false;
        if (state != key_state::unknown)
            entries_[open.from].tracker->on_outcome(scoped, name(item.from), item.incarnation, open.body, state,
                                                    decision.answer);
    }
    void serve_after_faults() {
        partitioned_ = false;
        for (std::size_t index = 0; index < agents_.size(); ++index) {
            if (!agents_[index].table)
                start(index);
            agents_[index].paused = false;
        }
        pass(milliseconds{20'000});
        for (std::size_t index = 0; index < agents_.size(); ++index) {
            learn(index);
            heartbeat(0, index);
        }
        entries_[0].revision = sets_.size();
        bag_.clear();
        keys_.push_back({idempotency_key::issue(true_wall() + skew_[3], random_), now_, 0, 0, false, {}});
        auto const served = call(0, keys_.size() - 1, 1);
        for (unsigned round = 0; round < 50 && broken_.empty(); ++round) {
            while (!bag_.empty() && broken_.empty()) {
                auto item = bag_.front();
                bag_.erase(bag_.begin());
                deliver(std::move(item));
            }
            for (std::size_t index = 0; index < agents_.size(); ++index)
                finish_run(index, true);
        }
        if (broken_.empty() && (!served || !attempts_[*served].answered))
            broken_ = "a new key was not served after the faults";
    }

    base::random_source random_;
    key_mechanism left_out_;
    key_limits limits_;
    base::time_point now_{base::seconds{1'000'000}};
    std::array<milliseconds, 5> skew_{};
    std::vector<catalogue::key_owner_set> sets_;
    std::array<agent, 3> agents_;
    std::array<entry, 2> entries_{make_entry(), make_entry()};
    std::vector<key_fact> keys_;
    std::vector<attempt> attempts_;
    std::vector<message> bag_;
    std::uint64_t incarnations_{0};
    bool partitioned_{false};
    std::string broken_;

    static entry make_entry() {
        entry item;
        item.tracker = std::make_unique<call_tracker>(call_tracker_options{});
        return item;
    }
};

} // namespace cyclamenledge::tests

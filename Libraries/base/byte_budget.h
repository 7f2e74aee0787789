#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <utility>

namespace cyclamenledge::base {

/// Memory that several holders share. A holder may hold at most as much as stays free, so that no number of large
/// holders leaves nothing for small ones: one alone gets half, two get a third each. Belongs to one thread. Lives as
/// long as its holders, which may outlive what has made it.
class byte_budget : public boost::intrusive_ref_counter<byte_budget, boost::thread_unsafe_counter> {
public:
    explicit byte_budget(std::size_t limit)
        : limit_(limit) {}
    byte_budget(byte_budget const&) = delete;
    byte_budget& operator=(byte_budget const&) = delete;

    std::size_t held() const { return held_; }

private:
    friend class byte_lease;

    std::size_t limit_;
    std::size_t held_{0};
};

using byte_budget_pointer = boost::intrusive_ptr<byte_budget>;

/// The part of a budget that one holder has. Returns it at its end. One without a budget has no limit.
class byte_lease {
public:
    byte_lease() = default;
    explicit byte_lease(byte_budget_pointer budget)
        : budget_(std::move(budget)) {}
    byte_lease(byte_lease&& other) noexcept
        : budget_(std::move(other.budget_))
        , bytes_(std::exchange(other.bytes_, 0)) {}
    byte_lease& operator=(byte_lease&& other) noexcept {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    byte_lease(byte_lease const&) = delete;
    byte_lease& operator=(byte_lease const&) = delete;
    ~byte_lease() { resize(0); }

    /// Returns false, and changes nothing, if the budget does not allow to hold so much. It always allows less.
    bool resize(std::size_t bytes);
    std::size_t bytes() const { return bytes_; }

private:
    byte_budget_pointer budget_;
    std::size_t bytes_{0};
};

} // namespace cyclamenledge::base

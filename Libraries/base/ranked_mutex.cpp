#include "base/ranked_mutex.h"

#include <cstdio>
#include <cstdlib>

namespace cyclamenledge::base {

namespace {

#ifndef NDEBUG
thread_local std::uint32_t held_ranks = 0;

std::uint32_t bit_of(lock_rank rank) {
    return 1U << static_cast<unsigned>(rank);
}

void check_order(lock_rank rank) {
    if (held_ranks < bit_of(rank))
        return;
    std::fprintf(stderr, "lock order violated: rank %u taken while ranks 0x%x are held\n", static_cast<unsigned>(rank),
                 held_ranks);
    std::abort();
}
#endif

} // namespace

void ranked_mutex::lock() {
#ifndef NDEBUG
    check_order(rank_);
#endif
    mutex_.lock();
#ifndef NDEBUG
    held_ranks |= bit_of(rank_);
#endif
}

bool ranked_mutex::try_lock() {
    bool const taken = mutex_.try_lock();
#ifndef NDEBUG
    if (taken)
        held_ranks |= bit_of(rank_);
#endif
    return taken;
}

void ranked_mutex::unlock() {
#ifndef NDEBUG
    held_ranks &= ~bit_of(rank_);
#endif
    mutex_.unlock();
}

} // namespace cyclamenledge::base
